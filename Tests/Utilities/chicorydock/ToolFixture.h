#pragma once

#include <LibCore/Error.h>
#include <Tests/LibOperator/MockOperatorHandler.h>
#include <Utilities/chicorydock/Tool.h>

#include <QJsonDocument>
#include <QJsonObject>
#include <QTemporaryDir>

#include <fstream>
#include <map>
#include <sstream>

namespace Chicorydock {

/// Runs commands of the tool in the test process against mocked nodes `127.0.0.1:1` and `127.0.0.1:2`. A node that is
/// not marked as reachable refuses connections.
class ToolFixture {
public:
    int run(std::vector<std::string> arguments)
    {
        m_out.str("");
        m_err.str("");
        arguments.push_back("--node=127.0.0.1:1,127.0.0.1:2");
        return Chicorydock::run(arguments, m_out, m_err,
            { .connect = [this](const std::string& address, Milliseconds) { return connect(address); },
                .sleep = [this](Milliseconds) { ++sleeps; } });
    }

    std::string writeFile(const std::string& name, const std::string& content)
    {
        const std::string path = m_folder.filePath(QString::fromStdString(name)).toStdString();
        std::ofstream(path) << content;
        return path;
    }

    std::string out() const { return m_out.str(); }
    std::string err() const { return m_err.str(); }
    QJsonObject outJson() const { return QJsonDocument::fromJson(QByteArray::fromStdString(out())).object(); }
    QJsonObject errJson() const { return QJsonDocument::fromJson(QByteArray::fromStdString(err())).object(); }

    MockOperatorHandler first;
    MockOperatorHandler second;
    bool isFirstReachable { true };
    bool isSecondReachable { true };
    int sleeps { 0 };

private:
    std::shared_ptr<OperatorHandler> connect(const std::string& address)
    {
        const bool isFirst = address == "127.0.0.1:1";
        if (!(isFirst ? isFirstReachable : isSecondReachable))
            throw Error(ErrorKind::NotReady, "node " + address + " did not answer: refused");
        // The fixture owns the mocks.
        return { isFirst ? &first : &second, [](OperatorHandler*) {} };
    }

    QTemporaryDir m_folder;
    std::ostringstream m_out;
    std::ostringstream m_err;
};

}

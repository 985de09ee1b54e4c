#include "TestProcess.h"

#include <Tests/Support/WaitFor.h>
#include <catch2/catch.hpp>

#include <QJsonDocument>

#include <csignal>

namespace Chicorydock {

TestProcess::TestProcess(const QString& program, const QStringList& arguments, const QString& logFile)
{
    m_process.setProgram(QString(PROGRAM_FOLDER) + '/' + program);
    m_process.setArguments(arguments);
    m_process.setStandardErrorFile(logFile, QIODevice::Append);
    m_process.start();
    const bool isReady = waitFor([&] { return m_process.canReadLine() || m_process.state() == QProcess::NotRunning; });
    INFO(program.toStdString() << ", log in " << logFile.toStdString());
    REQUIRE(isReady);
    REQUIRE(m_process.state() == QProcess::Running);
    m_ready = QJsonDocument::fromJson(m_process.readLine()).object();
}

TestProcess::~TestProcess()
{
    if (!isRunning())
        return;
    resume();
    kill();
}

std::string TestProcess::ready(const char* member) const
{
    return m_ready.value(QLatin1String(member)).toString().toStdString();
}

void TestProcess::kill()
{
    m_process.kill();
    m_process.waitForFinished(-1);
}

void TestProcess::freeze() { ::kill(static_cast<pid_t>(m_process.processId()), SIGSTOP); }

void TestProcess::resume() { ::kill(static_cast<pid_t>(m_process.processId()), SIGCONT); }

void TestProcess::terminate() { m_process.terminate(); }

int TestProcess::waitForExit()
{
    const bool hasEnded = waitFor([&] { return m_process.state() == QProcess::NotRunning; });
    REQUIRE(hasEnded);
    return m_process.exitStatus() == QProcess::NormalExit ? m_process.exitCode() : -1;
}

}

#include <Utilities/chicorydock/JobFile.h>

#include <LibSettings/ProblemList.h>

#include <QJsonDocument>
#include <QJsonObject>

#include <set>
#include <sstream>

namespace Chicorydock {

namespace {

    /// Checks the lines of one file.
    class ItemChecker {
    public:
        explicit ItemChecker(const std::string& fileName)
            : m_problems(fileName)
        {
        }

        void check(uint32_t line, const std::string& text)
        {
            QJsonParseError error;
            const QJsonDocument document = QJsonDocument::fromJson(QByteArray::fromStdString(text), &error);
            if (!document.isObject()) {
                const QString found
                    = error.error == QJsonParseError::NoError ? "another JSON value" : error.errorString();
                m_problems.add(line, "", found.toStdString(), "a JSON object");
                return;
            }
            const QJsonObject item = document.object();
            for (const char* key : { "custom_id", "method", "url" }) {
                if (item[key].toString().isEmpty())
                    m_problems.add(line, key, "no text", "a text that is not empty");
            }
            if (!item["body"].isObject())
                m_problems.add(line, "body", "no object", "a JSON object");
            const QString id = item["custom_id"].toString();
            if (!id.isEmpty() && !m_ids.insert(id).second)
                m_problems.add(line, "custom_id", "\"" + id.toStdString() + "\" a second time", "each only once");
        }

        ProblemList& problems() { return m_problems; }

    private:
        ProblemList m_problems;
        std::set<QString> m_ids;
    };

}

void checkJobItems(const std::string& items, const std::string& fileName)
{
    ItemChecker checker(fileName);
    std::istringstream in(items);
    std::string text;
    uint32_t line = 0;
    while (std::getline(in, text))
        checker.check(++line, text);
    if (line == 0)
        checker.problems().add(1, "", "an empty file", "at least one item");
    checker.problems().throwIfAny();
}

}

#include <Utilities/chicorydock/LogTimeline.h>

#include <QJsonDocument>

#include <algorithm>
#include <iterator>
#include <tuple>

namespace Chicorydock {

namespace {

    std::string stringField(const QJsonObject& object, const char* name)
    {
        return object[QLatin1String(name)].toString().toStdString();
    }

    /// Returns the identifier that a caller has given its job, from that under which nodes store it: the scope of a
    /// workspace follows there after a separator.
    std::string callerIdOf(const std::string& id) { return id.substr(0, id.rfind('@')); }

    std::string jobIdOf(const QJsonObject& line) { return stringField(line["details"].toObject(), "job"); }

}

LogTimeline::LogTimeline(std::string id)
    : m_id(std::move(id))
{
}

void LogTimeline::read(std::istream& in)
{
    std::string text;
    while (std::getline(in, text)) {
        ++m_totalLines;
        const size_t start = text.find('{');
        if (start == std::string::npos) {
            ++m_unreadableLines;
            continue;
        }
        const QByteArray json(text.data() + start, static_cast<qsizetype>(text.size() - start));
        const QJsonDocument document = QJsonDocument::fromJson(json);
        if (!document.isObject())
            ++m_unreadableLines;
        else if (document.object().contains("subject"))
            m_lines.push_back(document.object());
    }
}

std::set<std::string> LogTimeline::relatedIds() const
{
    std::set<std::string> ids { m_id };
    for (const QJsonObject& it : m_lines) {
        if (stringField(it, "id") == m_id && !jobIdOf(it).empty())
            ids.insert(jobIdOf(it));
    }
    return ids;
}

bool LogTimeline::matches(const QJsonObject& line, const std::set<std::string>& ids) const
{
    const std::string id = stringField(line, "id");
    if (ids.contains(id) || ids.contains(callerIdOf(id)))
        return true;
    return jobIdOf(line) == m_id || callerIdOf(jobIdOf(line)) == m_id;
}

std::vector<QJsonObject> LogTimeline::logEnds(const std::vector<QJsonObject>& matchingLines) const
{
    std::set<std::string> nodesWithOpenRequests;
    for (const QJsonObject& it : matchingLines) {
        if (stringField(it, "subject") != "request")
            continue;
        if (stringField(it, "action") == "placed")
            nodesWithOpenRequests.insert(stringField(it, "node"));
        else if (stringField(it, "action") == "finished")
            nodesWithOpenRequests.erase(stringField(it, "node"));
    }
    std::vector<QJsonObject> ends;
    for (const std::string& node : nodesWithOpenRequests) {
        const auto last = std::ranges::find_if(
            m_lines.rbegin(), m_lines.rend(), [&](const QJsonObject& it) { return stringField(it, "node") == node; });
        QJsonObject end { { "node", QString::fromStdString(node) }, { "subject", "node" }, { "action", "log_ends" },
            { "id", QString::fromStdString(node) }, { "wall_ms", (*last)["wall_ms"] },
            { "sequence", (*last)["sequence"] } };
        end["details"] = QJsonObject { { "reason", "the process wrote no end of the request before its log ends" } };
        ends.push_back(end);
    }
    return ends;
}

std::vector<QJsonObject> LogTimeline::lines() const
{
    const std::set<std::string> ids = relatedIds();
    std::vector<QJsonObject> matchingLines;
    for (const QJsonObject& it : m_lines) {
        if (matches(it, ids))
            matchingLines.push_back(it);
    }
    std::ranges::copy(logEnds(matchingLines), std::back_inserter(matchingLines));
    std::ranges::stable_sort(matchingLines, {}, [](const QJsonObject& it) {
        return std::tuple(it["wall_ms"].toInteger(), stringField(it, "node"), it["sequence"].toInteger());
    });
    return matchingLines;
}

}

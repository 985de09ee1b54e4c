#include <Utilities/chicorydock/LogStory.h>

#include <QJsonDocument>

#include <algorithm>
#include <iterator>
#include <tuple>

namespace Chicorydock {

namespace {

    std::string textOf(const QJsonObject& object, const char* name)
    {
        return object[QLatin1String(name)].toString().toStdString();
    }

    std::string jobOf(const QJsonObject& line) { return textOf(line["details"].toObject(), "job"); }

}

LogStory::LogStory(std::string id)
    : m_id(std::move(id))
{
}

void LogStory::read(std::istream& in)
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

std::set<std::string> LogStory::relatedIds() const
{
    std::set<std::string> ids { m_id };
    for (const QJsonObject& it : m_lines) {
        if (textOf(it, "id") == m_id && !jobOf(it).empty())
            ids.insert(jobOf(it));
    }
    return ids;
}

bool LogStory::concerns(const QJsonObject& line, const std::set<std::string>& ids) const
{
    if (ids.contains(textOf(line, "id")))
        return true;
    return jobOf(line) == m_id;
}

std::vector<QJsonObject> LogStory::missingEnds(const std::vector<QJsonObject>& story) const
{
    std::set<std::string> open;
    for (const QJsonObject& it : story) {
        if (textOf(it, "subject") != "request")
            continue;
        if (textOf(it, "action") == "placed")
            open.insert(textOf(it, "node"));
        else if (textOf(it, "action") == "finished")
            open.erase(textOf(it, "node"));
    }
    std::vector<QJsonObject> ends;
    for (const std::string& node : open) {
        const auto last = std::ranges::find_if(
            m_lines.rbegin(), m_lines.rend(), [&](const QJsonObject& it) { return textOf(it, "node") == node; });
        QJsonObject end { { "node", QString::fromStdString(node) }, { "subject", "node" }, { "action", "log_ends" },
            { "id", QString::fromStdString(node) }, { "wall_ms", (*last)["wall_ms"] },
            { "sequence", (*last)["sequence"] } };
        end["details"] = QJsonObject { { "reason", "the process wrote no end of the request before its log ends" } };
        ends.push_back(end);
    }
    return ends;
}

std::vector<QJsonObject> LogStory::lines() const
{
    const std::set<std::string> ids = relatedIds();
    std::vector<QJsonObject> story;
    for (const QJsonObject& it : m_lines) {
        if (concerns(it, ids))
            story.push_back(it);
    }
    std::ranges::copy(missingEnds(story), std::back_inserter(story));
    std::ranges::stable_sort(story, {}, [](const QJsonObject& it) {
        return std::tuple(it["wall_ms"].toInteger(), textOf(it, "node"), it["sequence"].toInteger());
    });
    return story;
}

}

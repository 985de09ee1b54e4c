#pragma once

#include <QJsonObject>

#include <cstdint>
#include <istream>
#include <set>
#include <string>
#include <vector>

namespace Chicorydock {

/// The log lines of several processes that tell of one request, job or item.
///
/// Thread safety: none.
class LogStory {
public:
    explicit LogStory(std::string id);

    /// Takes the lines of one log. Text in front of the JSON object of a line is passed over. Lines that are no JSON
    /// object are counted.
    void read(std::istream&);

    /// Returns the lines in the order of their time, then of their process. Lines of the job of an item belong to the
    /// story of the item, and lines of its items to that of a job. Where a process placed a request and told no end of
    /// it, a line is added that says when its log ends.
    std::vector<QJsonObject> lines() const;

    uint64_t unreadableLines() const { return m_unreadableLines; }
    uint64_t totalLines() const { return m_totalLines; }

private:
    bool concerns(const QJsonObject&, const std::set<std::string>& ids) const;
    std::set<std::string> relatedIds() const;
    /// Returns a line for each process whose part of the story has no end.
    std::vector<QJsonObject> missingEnds(const std::vector<QJsonObject>& story) const;

    const std::string m_id;
    std::vector<QJsonObject> m_lines;
    uint64_t m_unreadableLines { 0 };
    uint64_t m_totalLines { 0 };
};

}

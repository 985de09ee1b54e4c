#pragma once

#include <QJsonObject>

#include <cstdint>
#include <istream>
#include <set>
#include <string>
#include <vector>

namespace Chicorydock {

/// The lines about one request, job or item from the logs of several processes.
///
/// Thread safety: none.
class LogTimeline {
public:
    explicit LogTimeline(std::string id);

    /// Reads the lines of one log. Text in front of the JSON object of a line is skipped. Lines without a JSON object
    /// are counted as unreadable; objects without a `subject` are ignored.
    void read(std::istream&);

    /// Returns the lines ordered by time, then by process. The timeline of an item includes the lines of its job, and
    /// that of a job includes the lines of its items. If a process logged that it placed a request but not that the
    /// request finished, a line is added that shows when the log of the process ends.
    std::vector<QJsonObject> lines() const;

    uint64_t unreadableLines() const { return m_unreadableLines; }
    uint64_t totalLines() const { return m_totalLines; }

private:
    bool matches(const QJsonObject&, const std::set<std::string>& ids) const;
    std::set<std::string> relatedIds() const;
    /// Returns a `log_ends` line for each process that placed a request and did not log that it finished.
    std::vector<QJsonObject> logEnds(const std::vector<QJsonObject>& matchingLines) const;

    const std::string m_id;
    std::vector<QJsonObject> m_lines;
    uint64_t m_unreadableLines { 0 };
    uint64_t m_totalLines { 0 };
};

}

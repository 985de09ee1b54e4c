#include <Tests/Fakes/engine/LoadHistory.h>

namespace Chicorydock {

void LoadHistory::add(const LoadReport& report, MonotonicTime now)
{
    m_reports.emplace_back(now, report);
    // The first remaining report is the newest that is at least as old as the delay, if there is one.
    while (m_reports.size() > 1 && m_reports[1].first <= now - m_delay)
        m_reports.pop_front();
}

LoadReport LoadHistory::reportAt(MonotonicTime now) const
{
    LoadReport result;
    for (const auto& [time, report] : m_reports) {
        if (time > now - m_delay)
            break;
        result = report;
    }
    return result;
}

}

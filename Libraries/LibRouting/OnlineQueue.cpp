#include <LibRouting/OnlineQueue.h>

#include <algorithm>
#include <cassert>
#include <cmath>

namespace Chicorydock {

namespace {

    constexpr std::chrono::seconds ageing { 2 };
    // Doubling the worth of work has the effect of an arrival this much earlier.
    constexpr double secondsPerDoubledWorth = 0.1;
    constexpr double maxWorthSeconds = 0.5;

}

OnlineQueue::Key OnlineQueue::keyFor(const Work& work, MonotonicTime::duration drainInterval, MonotonicTime now) const
{
    MonotonicTime::duration behind {};
    if (const auto it = m_backlog.find(work.workspace); it != m_backlog.end()) {
        const auto others = static_cast<int64_t>(m_backlog.size() - 1);
        // For each queued work of the same workspace, one work of every other workspace starts first.
        behind = std::min<MonotonicTime::duration>(ageing, drainInterval * (static_cast<int64_t>(it->second) * others));
    }
    const double worthSeconds = secondsPerDoubledWorth * std::log2(std::max(1e-3, work.worth));
    const auto virtualTime = std::min(work.deadline, now + ageing) + behind
        - fromSeconds(std::clamp(worthSeconds, -maxWorthSeconds, maxWorthSeconds));
    return { virtualTime.time_since_epoch().count(), work.id };
}

void OnlineQueue::push(Key key, const std::string& workspace)
{
    const bool isNew = m_tree.insert(key).second;
    assert(isNew);
    (void)isNew;
    ++m_backlog[workspace];
}

void OnlineQueue::erase(Key key, const std::string& workspace)
{
    if (!m_tree.erase(key))
        return;
    const auto it = m_backlog.find(workspace);
    assert(it != m_backlog.end());
    if (--it->second == 0)
        m_backlog.erase(it);
}

}

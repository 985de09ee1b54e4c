#pragma once

#include <LibCore/Clock.h>

#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace Chicorydock {

/// Runs actions in the order of their simulated times; actions of the same time run in the order of insertion.
class EventQueue {
public:
    MonotonicTime now() const { return m_now; }

    void at(MonotonicTime time, std::function<void()> action)
    {
        m_events.push({ std::max(time, m_now), m_sequence++, std::move(action) });
    }

    void after(double seconds, std::function<void()> action) { at(m_now + fromSeconds(seconds), std::move(action)); }

    void runUntil(MonotonicTime end)
    {
        while (!m_events.empty() && m_events.top().time <= end) {
            Event event = std::move(const_cast<Event&>(m_events.top()));
            m_events.pop();
            m_now = event.time;
            event.action();
        }
        m_now = end;
    }

private:
    struct Event {
        MonotonicTime time;
        uint64_t sequence { 0 };
        std::function<void()> action;

        bool operator<(const Event& other) const
        {
            return std::pair { time, sequence } > std::pair { other.time, other.sequence };
        }
    };

    std::priority_queue<Event> m_events;
    uint64_t m_sequence { 0 };
    // Does not start at the epoch, which means "never" in the schedulers.
    MonotonicTime m_now { std::chrono::hours { 1 } };
};

}

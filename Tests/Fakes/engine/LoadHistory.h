#pragma once

#include <LibEndpoint/EndpointMessages.h>

#include <deque>

namespace Chicorydock {

/// Keeps load reports, so that they can be returned with a delay.
class LoadHistory {
public:
    explicit LoadHistory(Milliseconds delay)
        : m_delay(delay)
    {
    }

    void add(const LoadReport&, MonotonicTime now);

    /// Returns the newest report that is at least as old as the delay, or an empty one.
    LoadReport reportAt(MonotonicTime now) const;

private:
    Milliseconds m_delay;
    std::deque<std::pair<MonotonicTime, LoadReport>> m_reports;
};

}

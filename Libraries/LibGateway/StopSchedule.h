#pragma once

#include <LibCore/Clock.h>

#include <compare>

namespace Chicorydock {

/// Decides which requests a node still takes while it stops. The process ends at a fixed time after it was told to
/// stop, so a request that may still be in progress then must not begin there: it is refused as not run, and another
/// node serves it.
///
/// Load: planned restarts, during which the load balancer sends connections until it has noticed that the node is not
/// ready, and callers send further requests on connections that they keep open.
///
/// Thread safety: immutable.
class StopSchedule {
public:
    /// Time in which the last responses leave the process.
    static constexpr Milliseconds lastResponseTime { 100 };

    /// The process ends at `endsAt`, whatever is in progress.
    explicit StopSchedule(MonotonicTime endsAt)
        : m_endsAt(endsAt)
    {
    }

    MonotonicTime endsAt() const { return m_endsAt; }

    /// Returns the time by which all requests must have a response.
    MonotonicTime respondBy() const { return m_endsAt - lastResponseTime; }

    /// Returns whether a request that may take that long can begin now.
    bool admits(Milliseconds timeLimit, MonotonicTime now) const { return now + timeLimit <= respondBy(); }

    auto operator<=>(const StopSchedule&) const = default;

private:
    MonotonicTime m_endsAt;
};

}

#pragma once

#include <LibGateway/StopSchedule.h>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace Chicorydock {

/// What a node that stops still has to do.
struct OpenWork {
    /// Requests of callers and of peers whose response has not left the process completely.
    int requests { 0 };
    int peerRequests { 0 };
    /// Bytes of responses that callers and peers have not taken yet.
    int64_t unsentBytes { 0 };
    /// Connections whose last response was sent, and which the other side has not closed.
    int closingConnections { 0 };
    /// Connections that are about to deliver a request.
    int expectingConnections { 0 };
    /// Jobs that the node owns, or whose release the store has not confirmed.
    size_t jobs { 0 };

    auto operator<=>(const OpenWork&) const = default;
};

/// Decides when the stages of a planned stop are reached and when the process ends: as soon as no work is open, but not
/// before the load balancer has stopped sending connections, and at the end of the schedule whatever is open.
///
/// Load: planned restarts, as for `StopSchedule`.
///
/// Thread safety: none.
class StopProgress {
public:
    enum class Stage {
        /// The store has confirmed the release of all jobs.
        JobsReleased,
        /// No connections are accepted any more, and idle ones are closed.
        ConnectionsClosed,
        /// Requests that are still open get a response now.
        ResponsesDue,
        Ended,
    };

    /// Returns the name of the stage in the log.
    static std::string_view name(Stage);

    /// The process has `processTime` from the signal on, because the platform counts from there. Connections are
    /// accepted for `acceptTime` from when the signal was handled on, because only then does the load balancer learn of
    /// the stop.
    StopProgress(MonotonicTime signalledAt, MonotonicTime handledAt, Milliseconds processTime, Milliseconds acceptTime)
        : m_schedule(signalledAt + processTime)
        , m_acceptsUntil(handledAt + acceptTime)
    {
    }

    const StopSchedule& schedule() const { return m_schedule; }

    /// Returns whether the node must accept no connections any more and close those that are idle.
    bool closesConnections(MonotonicTime now) const { return now >= m_acceptsUntil; }

    /// Returns the stages that were reached since the last call. Precondition: if `closesConnections(now)`, the
    /// connections were closed before `open` was determined.
    std::vector<Stage> update(const OpenWork& open, MonotonicTime now);

    bool hasEnded() const { return m_hasEnded; }

    /// Returns whether nothing is open that the process waits for.
    static bool isIdle(const OpenWork&);

private:
    bool isReached(Stage, const OpenWork&, MonotonicTime now) const;

    StopSchedule m_schedule;
    MonotonicTime m_acceptsUntil;
    std::vector<Stage> m_pending { Stage::JobsReleased, Stage::ConnectionsClosed, Stage::ResponsesDue, Stage::Ended };
    bool m_hasEnded { false };
};

}

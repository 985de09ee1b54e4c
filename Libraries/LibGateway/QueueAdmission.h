#pragma once

#include <LibCore/Random.h>
#include <LibGateway/RetryBookings.h>
#include <LibGateway/SlotEndpoints.h>

#include <string>

namespace Chicorydock {

/// The requests of a service that wait at this node, as seen by one of them.
struct WaitingLine {
    /// Requests that are served first, and the time for which they are expected to hold their slots.
    size_t ahead { 0 };
    Milliseconds timeAhead { 0 };
    /// This request and those that are served after it.
    size_t rest { 1 };

    auto operator<=>(const WaitingLine&) const = default;
};

/// Decides which online requests are refused because they would wait too long for a slot, and when their callers should
/// retry.
///
/// Load: more online requests than the slots of a service can serve in time. An early refusal lets the caller retry
/// when it can still be served, and bounds the queue. A request is judged by what is served before it in the order of
/// the queue, so the surplus of one workspace is refused and not the requests of others.
///
/// Thread safety: none.
class QueueAdmission {
public:
    /// The arguments outlive the object.
    QueueAdmission(const ServiceCapacity&, const SlotPeers&, const SlotTimeEstimator&, Random&);

    /// Records that the request has arrived. To be called once for each request.
    void recordArrival(const OnlineWork&, MonotonicTime now);

    /// Returns whether the request is refused.
    bool shouldRefuse(const OnlineWork&, const WaitingLine&, MonotonicTime now) const;

    /// Returns the expected time of the request in the queue.
    Milliseconds expectedWait(const OnlineWork&, const WaitingLine&) const;

    /// Returns the time after which a refused caller should retry: when the slots that it needs get free behind all
    /// earlier refused callers, see `RetryBookings`.
    /// Without workspaces it is partly random, so that callers that were refused together do not return together.
    Milliseconds retryAfter(const OnlineWork&, const WaitingLine&, MonotonicTime now);

    /// Returns the shortest time that `retryAfter()` may return. Books nothing.
    Milliseconds earliestRetryAfter(const OnlineWork&, const WaitingLine&) const;

private:
    Milliseconds randomRetryAfter(Milliseconds wait);
    /// Returns a time behind earlier bookings.
    Milliseconds bookRetry(const OnlineWork&, Milliseconds wait, MonotonicTime now);
    /// Returns the requests queued at peers that are expected to be served before the request.
    double aheadAtPeers(const OnlineWork&, const WaitingLine&) const;

    const ServiceCapacity& m_capacity;
    const SlotPeers& m_peers;
    const SlotTimeEstimator& m_slotTimes;
    Random& m_random;
    RetryBookings m_bookings;
};

}

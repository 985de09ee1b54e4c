#pragma once

#include <LibCore/Random.h>
#include <LibGateway/SlotEndpoints.h>

#include <string>

namespace Chicorydock {

/// Decides which online requests are refused because they would wait too long for a slot, and when their callers should
/// retry.
///
/// Load: more online requests than the slots of a service can serve in time. An early refusal lets the caller retry
/// when it can still be served, and bounds the queue.
///
/// Thread safety: none.
class QueueAdmission {
public:
    /// The arguments outlive the object.
    QueueAdmission(const ServiceCapacity&, const SlotPeers&, const HoldTimeEstimator&, Random&);

    /// Returns whether the request is refused, given the number of requests of its service that this node serves first.
    bool shouldRefuse(const OnlineWork&, size_t ahead, MonotonicTime now) const;

    /// Returns the expected time in the queue behind `ahead` requests of this node.
    Milliseconds expectedWait(const std::string& service, size_t ahead) const;

    /// Returns the time after which a refused caller should retry. It is partly random, so that callers that were
    /// refused together do not return together.
    Milliseconds retryAfter(const std::string& service, size_t ahead);

private:
    const ServiceCapacity& m_capacity;
    const SlotPeers& m_peers;
    const HoldTimeEstimator& m_holdTimes;
    Random& m_random;
};

}

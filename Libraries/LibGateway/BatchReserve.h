#pragma once

#include <LibGateway/SlotEndpoints.h>

#include <string>

namespace Chicorydock {

/// Decides how many slots batch items leave free, so that most online requests find a free slot.
///
/// The reserve is one slot of each endpoint, because nodes learn late of the slots that their peers take. A scheduler
/// that is the only one in its failure domain knows the use there exactly, so it needs only a small share of all slots
/// together; with hundreds of slots, one of each endpoint would leave a seventh of the fleet idle between the peaks of
/// online load.
///
/// Load: batch jobs that would fill every slot while online requests arrive in bursts.
///
/// Thread safety: none.
class BatchReserve {
public:
    /// Requests within a rate limit that items leave to online work.
    static constexpr uint32_t rateReserve = 1;

    /// The arguments outlive the reserve.
    BatchReserve(const SlotEndpoints&, const SlotPeers&);

    /// Returns whether the reserve of the endpoint is a share of all slots of its service in this failure domain.
    bool isPooled(const SlotEndpoint&) const;

    /// Returns whether this scheduler is the only one in its failure domain and too few slots of the service are free
    /// there for items to take more of those with a pooled reserve.
    bool isPoolExhausted(const std::string& service, MonotonicTime now) const;

    /// Returns the number of items that may start at the endpoint now.
    uint32_t freeForBatch(const SlotEndpoint&, MonotonicTime now) const;

    /// Records whether a slot of the endpoint is free for items, and since when.
    void updateAvailability(SlotEndpoint&, MonotonicTime now) const;

private:
    /// Returns whether this scheduler is the only one in its failure domain, so that it knows the use of the slots
    /// there exactly and at once.
    bool isSoleInDomain() const { return m_peers.countAt(PeerDistance::FailureDomain) == 0; }
    bool isInOwnDomain(const SlotEndpoint&) const;
    /// Returns the slots of the endpoint that items may use.
    uint32_t batchCapacity(const SlotEndpoint&) const;
    /// Returns whether so many slots of the service are free in this failure domain that items may take more of them.
    bool hasSlotsAboveReserve(const std::string& service, MonotonicTime now) const;

    const SlotEndpoints& m_endpoints;
    const SlotPeers& m_peers;
};

}

#include <LibGateway/BatchReserve.h>

#include <algorithm>
#include <cmath>

namespace Chicorydock {

namespace {

    /// Slots of an endpoint that batch work leaves free, so that an online request does not have to wait for a yield.
    constexpr uint32_t batchReserve = 1;

    /// Share of a service's slots in a failure domain that a sole scheduler leaves free: the online requests that
    /// arrive while an item yields.
    constexpr double pooledReserveShare = 0.03;
    /// Below this number of slots, such a share is less than a few slots and does not cover a burst of requests.
    constexpr uint32_t minSlotsForPooledReserve = 64;

    /// Endpoints with fewer slots have no reserve, because batch work would otherwise not run there at all.
    constexpr uint32_t minSlotsForReserve = 4;

    uint32_t batchSlots(uint32_t slotCount)
    {
        return slotCount >= minSlotsForReserve ? slotCount - batchReserve : slotCount;
    }

}

BatchReserve::BatchReserve(const SlotEndpoints& endpoints, const SlotPeers& peers)
    : m_endpoints(endpoints)
    , m_peers(peers)
{
}

bool BatchReserve::isInOwnDomain(const SlotEndpoint& endpoint) const
{
    return endpoint.record.failureDomain == m_peers.location().failureDomain;
}

bool BatchReserve::isPooled(const SlotEndpoint& endpoint) const
{
    if (!isSoleInDomain() || !isInOwnDomain(endpoint))
        return false;
    return m_endpoints.capacity().domainSlots(endpoint.record.service) >= minSlotsForPooledReserve;
}

bool BatchReserve::isPoolExhausted(const std::string& service, MonotonicTime now) const
{
    return isSoleInDomain() && !hasSlotsAboveReserve(service, now);
}

uint32_t BatchReserve::batchCapacity(const SlotEndpoint& endpoint) const
{
    return isPooled(endpoint) ? endpoint.slotLimit : batchSlots(endpoint.slotLimit);
}

bool BatchReserve::hasSlotsAboveReserve(const std::string& service, MonotonicTime now) const
{
    uint64_t slotCount = 0;
    uint64_t free = 0;
    for (const auto& [id, it] : m_endpoints) {
        if (!it.isUsable || it.record.service != service || !isInOwnDomain(it))
            continue;
        slotCount += it.slotLimit;
        free += std::min(it.slotLimit - std::min(it.slotLimit, it.total()), it.limiter.available(now));
    }
    return static_cast<double>(free) > std::round(static_cast<double>(slotCount) * pooledReserveShare);
}

uint32_t BatchReserve::freeForBatch(const SlotEndpoint& endpoint, MonotonicTime now) const
{
    const uint32_t capacity = batchCapacity(endpoint);
    const uint32_t available = endpoint.limiter.available(now);
    return std::min(capacity - std::min(capacity, endpoint.total()), available - std::min(available, rateReserve));
}

void BatchReserve::updateAvailability(SlotEndpoint& endpoint, MonotonicTime now) const
{
    const bool isFree = endpoint.total() < batchCapacity(endpoint);
    if (isFree && !endpoint.isFreeForBatch)
        endpoint.freeForBatchSince = now;
    endpoint.isFreeForBatch = isFree;
}

}

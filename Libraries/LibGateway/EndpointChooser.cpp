#include <LibGateway/EndpointChooser.h>

#include <algorithm>
#include <limits>

namespace Chicorydock {

namespace {

    /// Costs of using an endpoint in another region or failure domain, in units of the load of an endpoint (1 is full).
    /// The link between regions is slow and billed by volume.
    constexpr double otherRegionCost = 0.9;
    constexpr double otherDomainCost = 0.02;

    /// Age in milliseconds at which reports from another failure domain cost as much as the load of a full endpoint,
    /// and the maximum cost of old reports.
    constexpr double reportAgeCostScale = 400;
    constexpr double maxReportAgeCost = 0.6;

    /// Cost of an endpoint where a batch item has to yield first. Items of this node yield immediately, items of peers
    /// only after a report has reached the peer.
    constexpr double ownYieldCost = 0.5;
    constexpr double peerYieldCost = 0.7;

    /// Cost for online work, and advantage for items, of an endpoint with a rate limit. An item uses one request for
    /// several seconds of work, so it loses least by the limit.
    constexpr double limitedRateCost = 1;

    /// Advantage of an endpoint that keeps the whole prompt. A full endpoint costs 1 more than an idle one, so a part
    /// that many requests share is spread over several endpoints.
    constexpr double promptAdvantage = 0.9;

    /// Time for which the reported work time of an endpoint is used. Phases of slow work last about this long.
    constexpr Milliseconds workTimeLifetime { 600 };
    /// Cost of an endpoint where work takes twice the normal time.
    constexpr double slownessCostFactor = 0.25;

    /// Time after the end of its own work in which a node may reuse the slot without waiting for its turn: its peers do
    /// not know yet that the slot is free.
    constexpr Milliseconds slotReuseTime { 10 };

    /// Random cost of an endpoint, in slots. It makes nodes that see the same loads choose different endpoints.
    constexpr double randomSlots = 0.5;

    /// Maximum cost of an endpoint that the node does not prefer, in slots. It serves the same purpose.
    constexpr double preferredSlots = 2;

}

EndpointChooser::EndpointChooser(
    SlotEndpoints& endpoints, const SlotPeers& peers, const BatchReserve& reserve, Random& random)
    : m_endpoints(endpoints)
    , m_peers(peers)
    , m_reserve(reserve)
    , m_random(random)
    , m_turns(endpoints, peers)
{
}

double EndpointChooser::distanceCost(const SlotEndpoint& endpoint) const
{
    const PeerDistance distance = m_peers.distanceTo(endpoint.record.failureDomain);
    if (distance == PeerDistance::FailureDomain)
        return 0;
    const double age = static_cast<double>(m_peers.reportAge(distance).count());
    const double ageCost = std::min(age / reportAgeCostScale, maxReportAgeCost);
    return ageCost + (distance == PeerDistance::Region ? otherDomainCost : otherRegionCost);
}

double EndpointChooser::slownessCost(const SlotEndpoint& endpoint, MonotonicTime now) const
{
    double slowdown = 1;
    if (m_endpoints.isLearningLoad())
        slowdown = endpoint.loadProfile.slowdown(
            endpoint.total() + 1, endpoint.record.slotCount, endpoint.normalDuration, now);
    // What the endpoint reports about this moment comes on top of what it takes in the mean.
    if (endpoint.workTimePercent > 100 && now - endpoint.observedAt <= workTimeLifetime)
        slowdown *= endpoint.workTimePercent / 100.0;
    return (slowdown - 1) * slownessCostFactor;
}

double EndpointChooser::promptGain(const PromptPlacement::Matches& prompt, const SlotEndpoint& endpoint) const
{
    // Reading a prompt again costs less than sending the response through another failure domain.
    if (m_peers.distanceTo(endpoint.record.failureDomain) != PeerDistance::FailureDomain)
        return 0;
    return promptAdvantage * prompt.keptShare(endpoint.key);
}

void EndpointChooser::recordStart(const WorkProfile& profile, const SlotEndpoint& endpoint, MonotonicTime now)
{
    if (m_isPlacingByPrompt)
        m_prompts.record(profile, endpoint.key, now);
}

SlotEndpoint* EndpointChooser::chooseForOnline(const OnlineWork& work, MonotonicTime now)
{
    SlotEndpoint* best = nullptr;
    double bestCost = std::numeric_limits<double>::max();
    const PromptPlacement::Matches prompt = m_prompts.find(work.profile, now);
    for (auto& [id, it] : m_endpoints) {
        if (!it.isEligible(work, now))
            continue;
        const uint32_t capacity = it.slotLimit;
        const uint32_t free = it.freeForOnline(now);
        if (free == 0 || !m_turns.isSpilloverAllowed(it, work, now))
            continue;
        // The node whose work has just ended knows of the free slot before its peers do.
        const bool hasJustFreedSlot = !it.limiter.isLimited() && now - it.ownEndedAt < slotReuseTime;
        if (!hasJustFreedSlot && !m_turns.isOnlineTurn(it, free, now))
            continue;
        // The random part spreads the requests of nodes that see the same loads.
        double cost = static_cast<double>(it.total()) / capacity + distanceCost(it) + slownessCost(it, now)
            + (m_random.unit() * randomSlots + it.preference * preferredSlots) / capacity;
        if (it.total() >= capacity)
            cost += it.own.batch > 0 ? ownYieldCost : peerYieldCost;
        if (it.limiter.isLimited())
            cost += limitedRateCost * (1 + it.preference);
        cost -= promptGain(prompt, it);
        if (cost < bestCost) {
            bestCost = cost;
            best = &it;
        }
    }
    return best;
}

SlotEndpoint* EndpointChooser::chooseForBatch(const BatchWork& work, MonotonicTime now)
{
    SlotEndpoint* best = nullptr;
    double bestCost = std::numeric_limits<double>::max();
    const PromptPlacement::Matches prompt = m_prompts.find(work.profile, now);
    const bool isPoolExhausted = m_reserve.isPoolExhausted(work.service, now);
    for (auto& [id, it] : m_endpoints) {
        if (!it.isEligible(work, now))
            continue;
        if (isPoolExhausted && m_reserve.isPooled(it))
            continue;
        m_reserve.updateAvailability(it, now);
        const uint32_t free = m_reserve.freeForBatch(it, now);
        if (free == 0 || !m_turns.isBatchTurn(it, free, now))
            continue;
        const double cost = static_cast<double>(it.total()) / it.slotLimit + distanceCost(it) + slownessCost(it, now)
            + m_random.unit() * randomSlots / it.slotLimit - (it.limiter.isLimited() ? limitedRateCost : 0)
            - promptGain(prompt, it);
        if (cost < bestCost) {
            bestCost = cost;
            best = &it;
        }
    }
    return best;
}

}

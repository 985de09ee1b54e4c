#include <LibGateway/EndpointChooser.h>

#include <algorithm>
#include <limits>
#include <tuple>

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

    /// Mean of the random numbers that are drawn.
    constexpr double meanDraw = 0.5;

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

PromptPlacement::Matches EndpointChooser::findPrompt(const WorkProfile& profile, MonotonicTime now) const
{
    return m_isPlacingByPrompt ? m_prompts.find(profile, now) : PromptPlacement::Matches {};
}

EndpointObstacle EndpointChooser::onlineObstacle(
    SlotEndpoint& endpoint, const OnlineWork& work, MonotonicTime now) const
{
    if (const EndpointObstacle obstacle = endpoint.obstacleFor(work, now); obstacle != EndpointObstacle::None)
        return obstacle;
    const uint32_t free = endpoint.freeForOnline(now);
    if (free == 0)
        return EndpointObstacle::Full;
    if (!m_turns.isSpilloverAllowed(endpoint, work, now))
        return EndpointObstacle::Remote;
    // The node whose work has just ended knows of the free slot before its peers do.
    const bool hasJustFreedSlot = !endpoint.limiter.isLimited() && now - endpoint.ownEndedAt < slotReuseTime;
    if (!hasJustFreedSlot && !m_turns.isOnlineTurn(endpoint, free, now))
        return EndpointObstacle::OtherTurn;
    return EndpointObstacle::None;
}

EndpointCost EndpointChooser::onlineCost(
    const SlotEndpoint& endpoint, const PromptPlacement::Matches& prompt, double draw, MonotonicTime now) const
{
    const uint32_t capacity = endpoint.slotLimit;
    EndpointCost cost;
    cost.load = static_cast<double>(endpoint.total()) / capacity;
    cost.distance = distanceCost(endpoint);
    cost.slowness = slownessCost(endpoint, now);
    // The random part spreads the requests of nodes that see the same loads.
    cost.spread = (draw * randomSlots + endpoint.preference * preferredSlots) / capacity;
    if (endpoint.total() >= capacity)
        cost.yield = endpoint.own.batch > 0 ? ownYieldCost : peerYieldCost;
    if (endpoint.limiter.isLimited())
        cost.rateLimit = limitedRateCost * (1 + endpoint.preference);
    cost.prompt -= promptGain(prompt, endpoint);
    return cost;
}

SlotEndpoint* EndpointChooser::chooseForOnline(const OnlineWork& work, MonotonicTime now)
{
    SlotEndpoint* best = nullptr;
    double bestCost = std::numeric_limits<double>::max();
    const PromptPlacement::Matches prompt = findPrompt(work.profile, now);
    for (auto& [id, it] : m_endpoints) {
        if (onlineObstacle(it, work, now) != EndpointObstacle::None)
            continue;
        const double cost = onlineCost(it, prompt, m_random.unit(), now).total();
        if (cost < bestCost) {
            bestCost = cost;
            best = &it;
        }
    }
    return best;
}

EndpointObstacle EndpointChooser::eligibilityForBatch(
    const SlotEndpoint& endpoint, const BatchWork& work, bool isPoolExhausted, MonotonicTime now) const
{
    const EndpointObstacle obstacle = endpoint.obstacleFor(work, now);
    if (obstacle == EndpointObstacle::None && isPoolExhausted && m_reserve.isPooled(endpoint))
        return EndpointObstacle::Full;
    return obstacle;
}

EndpointObstacle EndpointChooser::batchLoadObstacle(SlotEndpoint& endpoint, MonotonicTime now) const
{
    const uint32_t free = m_reserve.freeForBatch(endpoint, now);
    if (free == 0)
        return EndpointObstacle::Full;
    return m_turns.isBatchTurn(endpoint, free, now) ? EndpointObstacle::None : EndpointObstacle::OtherTurn;
}

EndpointCost EndpointChooser::batchCost(
    const SlotEndpoint& endpoint, const PromptPlacement::Matches& prompt, double draw, MonotonicTime now) const
{
    EndpointCost cost;
    cost.load = static_cast<double>(endpoint.total()) / endpoint.slotLimit;
    cost.distance = distanceCost(endpoint);
    cost.slowness = slownessCost(endpoint, now);
    cost.spread = draw * randomSlots / endpoint.slotLimit;
    cost.rateLimit = endpoint.limiter.isLimited() ? -limitedRateCost : 0;
    cost.prompt -= promptGain(prompt, endpoint);
    return cost;
}

SlotEndpoint* EndpointChooser::chooseForBatch(const BatchWork& work, MonotonicTime now)
{
    SlotEndpoint* best = nullptr;
    double bestCost = std::numeric_limits<double>::max();
    const PromptPlacement::Matches prompt = findPrompt(work.profile, now);
    const bool isPoolExhausted = m_reserve.isPoolExhausted(work.service, now);
    for (auto& [id, it] : m_endpoints) {
        if (eligibilityForBatch(it, work, isPoolExhausted, now) != EndpointObstacle::None)
            continue;
        m_reserve.updateAvailability(it, now);
        if (batchLoadObstacle(it, now) != EndpointObstacle::None)
            continue;
        const double cost = batchCost(it, prompt, m_random.unit(), now).total();
        if (cost < bestCost) {
            bestCost = cost;
            best = &it;
        }
    }
    return best;
}

EndpointEvaluation EndpointChooser::makeEvaluation(
    const SlotEndpoint& endpoint, EndpointObstacle obstacle, MonotonicTime now)
{
    return { endpoint.record.id, endpoint.record.failureDomain, obstacle, {}, endpoint.view(now) };
}

void EndpointChooser::sortByCost(std::vector<EndpointEvaluation>& evaluations)
{
    std::ranges::stable_sort(evaluations, {}, [](const EndpointEvaluation& it) {
        return std::tuple(it.obstacle != EndpointObstacle::None, it.cost.total());
    });
}

std::vector<EndpointEvaluation> EndpointChooser::evaluate(const OnlineWork& work, MonotonicTime now)
{
    std::vector<EndpointEvaluation> evaluations;
    const PromptPlacement::Matches prompt = findPrompt(work.profile, now);
    for (auto& [id, it] : m_endpoints) {
        if (it.record.service != work.service)
            continue;
        evaluations.push_back(makeEvaluation(it, onlineObstacle(it, work, now), now));
        if (it.slotLimit > 0)
            evaluations.back().cost = onlineCost(it, prompt, meanDraw, now);
    }
    sortByCost(evaluations);
    return evaluations;
}

std::vector<EndpointEvaluation> EndpointChooser::evaluate(const BatchWork& work, MonotonicTime now)
{
    std::vector<EndpointEvaluation> evaluations;
    const PromptPlacement::Matches prompt = findPrompt(work.profile, now);
    const bool isPoolExhausted = m_reserve.isPoolExhausted(work.service, now);
    for (auto& [id, it] : m_endpoints) {
        if (it.record.service != work.service)
            continue;
        EndpointObstacle obstacle = eligibilityForBatch(it, work, isPoolExhausted, now);
        if (obstacle == EndpointObstacle::None)
            obstacle = batchLoadObstacle(it, now);
        evaluations.push_back(makeEvaluation(it, obstacle, now));
        if (it.slotLimit > 0)
            evaluations.back().cost = batchCost(it, prompt, meanDraw, now);
    }
    sortByCost(evaluations);
    return evaluations;
}

}

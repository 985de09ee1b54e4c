#include <LibGateway/SlotScheduler.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <utility>

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

    /// Time for which the reported work time of an endpoint is used. Phases of slow work last about this long.
    constexpr Milliseconds workTimeLifetime { 600 };
    /// Cost of an endpoint where work takes twice the normal time.
    constexpr double slownessCostFactor = 0.25;

    /// A new request is queued only if its expected wait is at most this share of the time until its latest start. The
    /// estimate is rough, and an early refusal is of more use to the caller than a late one.
    constexpr double maxExpectedWaitShare = 0.5;

    /// Time within which the online use of a slot becomes known to the peers that rank first for its endpoint.
    constexpr Milliseconds onlineTurnTime { 30 };

    /// Turns after which a slot that stays free is open to the online requests of all nodes, however many there are.
    constexpr uint32_t maxOnlineTurns = 4;

    /// A slot that stays free for this long, and for this many turns at the node's distance from the endpoint, is open
    /// to the items of all nodes. Items can wait for seconds.
    constexpr Milliseconds maxBatchTurnTime { 1'000 };
    constexpr int maxBatchTurns = 4;

    /// Interval between two checks for expired peers and outdated load reports of endpoints.
    constexpr Milliseconds expiryInterval { 20 };

    /// Time after the end of its own work in which a node may reuse the slot without waiting for its turn: its peers do
    /// not know yet that the slot is free.
    constexpr Milliseconds slotReuseTime { 10 };

    /// Random cost of an endpoint, in slots. It makes nodes that see the same loads choose different endpoints.
    constexpr double randomSlots = 0.5;

    /// Maximum cost of an endpoint that the node does not prefer, in slots. It serves the same purpose.
    constexpr double preferredSlots = 2;

    /// Refused callers are told to retry after `minRetryAfter` plus the expected wait plus a random delay, but after
    /// `maxRetryAfter` at most. The random delay is up to the longer of the expected wait and `minRetrySpread`.
    constexpr Milliseconds minRetrySpread { 300 };
    constexpr Milliseconds minRetryAfter { 150 };
    constexpr Milliseconds maxRetryAfter { 1'600 };

}

SlotScheduler::SlotScheduler(Location location, Random& random)
    : m_random(random)
    , m_peers(std::move(location))
    , m_endpoints(m_peers)
    , m_reserve(m_endpoints, m_peers)
    , m_usage(m_endpoints, m_peers, m_reserve)
{
}

void SlotScheduler::submit(const OnlineWork& work, MonotonicTime now)
{
    m_online.push_back(work);
    m_online.back().submittedAt = now;
}

void SlotScheduler::submit(const BatchWork& work) { m_batch.push_back(work); }

void SlotScheduler::withdraw(uint64_t work)
{
    std::erase_if(m_online, [&](const OnlineWork& it) { return it.id == work; });
    std::erase_if(m_batch, [&](const BatchWork& it) { return it.id == work; });
}

void SlotScheduler::adopt(const RunningWork& work, MonotonicTime now)
{
    SlotEndpoint* endpoint = m_endpoints.find(work.endpoint);
    if (!endpoint || m_usage.find(work.id))
        return;
    m_usage.add(work, *endpoint, now);
}

void SlotScheduler::finish(uint64_t work, EndpointOutcome outcome, MonotonicTime now)
{
    const std::optional<RunningWork> finished = m_usage.remove(work, now);
    if (!finished)
        return;
    SlotEndpoint* endpoint = m_endpoints.find(finished->endpoint);
    if (endpoint && outcome == EndpointOutcome::Failed)
        endpoint->recordFailure(now);
    if (outcome != EndpointOutcome::Answered)
        return;
    if (endpoint)
        endpoint->recordResponse(now);
    const auto held = std::chrono::duration_cast<Milliseconds>(now - finished->startedAt);
    if (finished->isBatch)
        m_holdTimes.addItem(finished->service, held + finished->slotTimeUsed);
    else
        m_holdTimes.addRequest(finished->service, held);
}

void SlotScheduler::observeRate(const std::string& endpoint, const RateStatement& statement, MonotonicTime now)
{
    if (m_endpoints.observeRate(endpoint, statement, now))
        m_usage.recordRateChange();
}

bool SlotScheduler::isTooLate(
    const std::string& service, MonotonicTime dueAt, Milliseconds slotTimeUsed, MonotonicTime now) const
{
    return now + std::max(m_holdTimes.itemTime(service) - slotTimeUsed, Milliseconds { 0 }) > dueAt;
}

void SlotScheduler::expire(MonotonicTime now)
{
    if (now - m_lastExpiryAt < expiryInterval)
        return;
    m_lastExpiryAt = now;
    m_usage.removeSilentPeers(now);
    m_endpoints.expireObservations(now);
}

std::vector<SlotDecision> SlotScheduler::poll(MonotonicTime now)
{
    std::vector<SlotDecision> decisions;
    expire(now);
    m_endpoints.updateLimits(m_holdTimes, now);
    decideOnline(decisions, now);
    decideYields(decisions, now);
    decideBatch(decisions, now);
    return decisions;
}

void SlotScheduler::decideOnline(std::vector<SlotDecision>& decisions, MonotonicTime now)
{
    if (m_online.empty())
        return;
    // Requests that can still be on time come first, ordered by priority and then by urgency. Late requests follow,
    // because serving them first would make all others late too.
    std::ranges::stable_sort(m_online, {}, [&](const OnlineWork& it) {
        const bool isLate = now > it.startBy;
        return std::tuple(isLate, it.priority, isLate ? it.deadline : it.startBy);
    });
    std::map<std::string, size_t> ahead;
    // Earliest arrival, by service, of the requests that found no slot. Only a request that has waited longer may use
    // more endpoints, so the others need not look.
    std::map<std::string, MonotonicTime> earliestWaiting;
    std::vector<OnlineWork> waiting;
    for (OnlineWork& work : m_online) {
        const auto found = earliestWaiting.find(work.service);
        const bool isHopeless = found != earliestWaiting.end() && work.submittedAt >= found->second;
        SlotEndpoint* endpoint = isHopeless ? nullptr : chooseForOnline(work, now);
        if (!endpoint && work.excluded.empty() && !work.softwareVersion)
            earliestWaiting.insert_or_assign(work.service,
                found == earliestWaiting.end() ? work.submittedAt : std::min(found->second, work.submittedAt));
        if (endpoint) {
            if (endpoint->total() >= endpoint->record.slotCount && endpoint->own.batch > 0)
                yieldOne(decisions, *endpoint, now);
            startWork(decisions, { .id = work.id }, *endpoint, now);
            continue;
        }
        size_t& before = ahead[work.service];
        if (work.service.empty() || m_endpoints.isVersionGone(work) || shouldRefuse(work, before, now)) {
            const SlotView view { .expectedWait = expectedWait(work.service, before) };
            decisions.push_back({ SlotDecision::Kind::Refuse, work.id, {}, retryAfter(work.service, before), view });
            continue;
        }
        ++before;
        work.isAccepted = true;
        waiting.push_back(std::move(work));
    }
    m_online = std::move(waiting);
}

Milliseconds SlotScheduler::retryAfter(const std::string& service, size_t ahead)
{
    const Milliseconds wait = expectedWait(service, ahead);
    const double spread = m_random.unit() * static_cast<double>(std::max(wait, minRetrySpread).count());
    return std::min(minRetryAfter + wait + Milliseconds { std::lround(spread) }, maxRetryAfter);
}

bool SlotScheduler::shouldRefuse(const OnlineWork& work, size_t ahead, MonotonicTime now) const
{
    const MonotonicTime start = now + expectedWait(work.service, ahead);
    if (start > work.deadline)
        return true;
    // A caller that may retry is better served by a later attempt that is on time than by a late response.
    if (work.isLastAttempt)
        return false;
    if (work.isAccepted)
        return start > work.startBy;
    return toSeconds(start - now) > toSeconds(work.startBy - now) * maxExpectedWaitShare;
}

Milliseconds SlotScheduler::expectedWait(const std::string& service, size_t ahead) const
{
    const Milliseconds hold = m_holdTimes.requestTime(service);
    // Requests queued at peers compete for the same slots.
    const double queue = static_cast<double>(ahead + m_peers.waiting());
    const double queueTime = queue * static_cast<double>(hold.count()) / m_endpoints.capacity().usableSlots(service);
    return std::max(Milliseconds { std::lround(queueTime) }, m_endpoints.capacity().nextRequestIn(service));
}

bool SlotScheduler::isSpilloverAllowed(const SlotEndpoint& endpoint, const OnlineWork& work, MonotonicTime now) const
{
    const PeerDistance distance = m_peers.distanceTo(endpoint.record.failureDomain);
    if (distance == PeerDistance::FailureDomain || m_endpoints.capacity().domainSlots(work.service) == 0)
        return true;
    // At peak load, most slots that appear free in another failure domain are taken before the request arrives there,
    // and a local slot usually becomes free sooner than the report of that.
    if (endpoint.total() * 2 <= endpoint.record.slotCount)
        return true;
    return now - work.submittedAt >= m_peers.turnTime(distance);
}

bool SlotScheduler::isOnlineTurn(SlotEndpoint& endpoint, uint32_t free, MonotonicTime now) const
{
    // All nodes compute the same order for this endpoint. As many nodes as there are free slots may claim one
    // immediately. The next ones may follow if the slots are still free when those claims would have been reported.
    const PrecedingNodes& before = precedingNodes(endpoint);
    uint32_t turns = std::min((before.inDomain + before.elsewhere) / free, maxOnlineTurns);
    if (!endpoint.limiter.isLimited())
        return now - endpoint.onlineChangedAt >= onlineTurnTime * turns;
    // The requests that a limit allows are few, so a node leaves a turn to the others after each of its own.
    turns += endpoint.limiter.isSlowerThan(onlineTurnTime) ? 1 : 0;
    return now - endpoint.limiter.availableSince(1, now) >= onlineTurnTime * turns;
}

bool SlotScheduler::isBatchTurn(SlotEndpoint& endpoint, uint32_t free, MonotonicTime now) const
{
    const PrecedingNodes& before = precedingNodes(endpoint);
    const PeerDistance distance = m_peers.distanceTo(endpoint.record.failureDomain);
    const Milliseconds domainTurn = m_peers.turnTime(PeerDistance::FailureDomain);
    const Milliseconds ownTurn = m_peers.turnTime(distance);
    Milliseconds turn = domainTurn * (before.inDomain / free) + ownTurn * (before.elsewhere / free);
    // A node in another domain first waits until a claim by a node of the endpoint's domain would have been reported.
    if (distance != PeerDistance::FailureDomain)
        turn += ownTurn;
    MonotonicTime since = endpoint.freeForBatchSince;
    if (endpoint.limiter.isLimited())
        since = std::max(since, endpoint.limiter.availableSince(1 + BatchReserve::rateReserve, now));
    return now - since >= std::min(turn, std::max(maxBatchTurnTime, ownTurn * maxBatchTurns));
}

const PrecedingNodes& SlotScheduler::precedingNodes(SlotEndpoint& endpoint) const
{
    if (endpoint.precedingNodesGeneration != m_peers.generation()) {
        endpoint.precedingNodes = m_peers.precedingNodes(endpoint.record.id, endpoint.record.failureDomain);
        endpoint.precedingNodesGeneration = m_peers.generation();
    }
    return endpoint.precedingNodes;
}

double SlotScheduler::distanceCost(const SlotEndpoint& endpoint) const
{
    const PeerDistance distance = m_peers.distanceTo(endpoint.record.failureDomain);
    if (distance == PeerDistance::FailureDomain)
        return 0;
    const double age = static_cast<double>(m_peers.reportAge(distance).count());
    const double ageCost = std::min(age / reportAgeCostScale, maxReportAgeCost);
    return ageCost + (distance == PeerDistance::Region ? otherDomainCost : otherRegionCost);
}

double SlotScheduler::slownessCost(const SlotEndpoint& endpoint, MonotonicTime now) const
{
    if (endpoint.workTimePercent <= 100 || now - endpoint.observedAt > workTimeLifetime)
        return 0;
    return (endpoint.workTimePercent / 100.0 - 1) * slownessCostFactor;
}

SlotEndpoint* SlotScheduler::chooseForOnline(const OnlineWork& work, MonotonicTime now)
{
    SlotEndpoint* best = nullptr;
    double bestCost = std::numeric_limits<double>::max();
    for (auto& [id, it] : m_endpoints) {
        if (!it.isEligible(work, now))
            continue;
        const uint32_t capacity = it.record.slotCount;
        const uint32_t free = it.freeForOnline(now);
        if (free == 0 || !isSpilloverAllowed(it, work, now))
            continue;
        // The node whose work has just ended knows of the free slot before its peers do.
        const bool hasJustFreedSlot = !it.limiter.isLimited() && now - it.ownEndedAt < slotReuseTime;
        if (!hasJustFreedSlot && !isOnlineTurn(it, free, now))
            continue;
        // The random part spreads the requests of nodes that see the same loads.
        double cost = static_cast<double>(it.total()) / capacity + distanceCost(it) + slownessCost(it, now)
            + (m_random.unit() * randomSlots + it.preference * preferredSlots) / capacity;
        if (it.total() >= capacity)
            cost += it.own.batch > 0 ? ownYieldCost : peerYieldCost;
        if (it.limiter.isLimited())
            cost += limitedRateCost * (1 + it.preference);
        if (cost < bestCost) {
            bestCost = cost;
            best = &it;
        }
    }
    return best;
}

void SlotScheduler::startWork(
    std::vector<SlotDecision>& decisions, RunningWork work, SlotEndpoint& endpoint, MonotonicTime now)
{
    const SlotView view = endpoint.view(now);
    work.service = endpoint.record.service;
    work.endpoint = endpoint.record.id;
    work.startedAt = now;
    m_usage.add(work, endpoint, now);
    ++endpoint.starts;
    endpoint.limiter.recordStarts(1, now);
    decisions.push_back({ SlotDecision::Kind::Start, work.id, endpoint.record.id, {}, view });
}

void SlotScheduler::yieldOne(std::vector<SlotDecision>& decisions, SlotEndpoint& endpoint, MonotonicTime now)
{
    // Items that will be late in any case yield first, then the one that is due last.
    const auto order = [&](const RunningWork& it) {
        return std::tuple(isTooLate(it.service, it.dueAt, it.slotTimeUsed, it.startedAt), it.dueAt, it.startedAt);
    };
    const std::pair<const uint64_t, RunningWork>* chosen = nullptr;
    for (const auto& it : m_usage.running()) {
        if (!it.second.isBatch || it.second.endpoint != endpoint.record.id)
            continue;
        if (!chosen || order(it.second) > order(chosen->second))
            chosen = &it;
    }
    if (!chosen)
        return;
    const uint64_t work = chosen->first;
    decisions.push_back({ SlotDecision::Kind::Yield, work, endpoint.record.id, {}, endpoint.view(now) });
    m_usage.remove(work, now);
}

uint32_t SlotScheduler::ownShareOfYields(const SlotEndpoint& endpoint, uint32_t excess) const
{
    return std::min(m_peers.excessAfterPeers(endpoint.key, excess), endpoint.own.batch);
}

void SlotScheduler::decideYields(std::vector<SlotDecision>& decisions, MonotonicTime now)
{
    if (m_usage.ownBatch() == 0)
        return;
    for (auto& [id, endpoint] : m_endpoints) {
        if (endpoint.own.batch == 0 || endpoint.total() <= endpoint.record.slotCount)
            continue;
        for (uint32_t n = ownShareOfYields(endpoint, endpoint.total() - endpoint.record.slotCount); n > 0; --n)
            yieldOne(decisions, endpoint, now);
    }
}

SlotEndpoint* SlotScheduler::chooseForBatch(const BatchWork& work, MonotonicTime now)
{
    SlotEndpoint* best = nullptr;
    double bestCost = std::numeric_limits<double>::max();
    const bool isPoolExhausted = m_reserve.isPoolExhausted(work.service, now);
    for (auto& [id, it] : m_endpoints) {
        if (!it.isEligible(work, now))
            continue;
        if (isPoolExhausted && m_reserve.isPooled(it))
            continue;
        m_reserve.updateAvailability(it, now);
        const uint32_t free = m_reserve.freeForBatch(it, now);
        if (free == 0 || !isBatchTurn(it, free, now))
            continue;
        const double cost = static_cast<double>(it.total()) / it.record.slotCount + distanceCost(it)
            + slownessCost(it, now) + m_random.unit() * randomSlots / it.record.slotCount
            - (it.limiter.isLimited() ? limitedRateCost : 0);
        if (cost < bestCost) {
            bestCost = cost;
            best = &it;
        }
    }
    return best;
}

void SlotScheduler::decideBatch(std::vector<SlotDecision>& decisions, MonotonicTime now)
{
    if (m_batch.empty())
        return;
    // Items that can still be on time come first, the most urgent ones in front. With more work than slots, running
    // late items first would make all items late.
    std::ranges::stable_sort(m_batch, {}, [&](const BatchWork& it) {
        return std::tuple(isTooLate(it.service, it.dueAt, it.slotTimeUsed, now), it.dueAt);
    });
    std::set<std::string> fullServices;
    std::vector<BatchWork> waiting;
    for (BatchWork& work : m_batch) {
        SlotEndpoint* endpoint = fullServices.contains(work.service) ? nullptr : chooseForBatch(work, now);
        if (!endpoint && work.excluded.empty() && !work.softwareVersion)
            fullServices.insert(work.service);
        if (endpoint)
            startWork(decisions,
                { .id = work.id, .isBatch = true, .dueAt = work.dueAt, .slotTimeUsed = work.slotTimeUsed }, *endpoint,
                now);
        else if (work.service.empty() || m_endpoints.isVersionGone(work))
            decisions.push_back({ SlotDecision::Kind::Refuse, work.id });
        else
            waiting.push_back(std::move(work));
    }
    m_batch = std::move(waiting);
}

}

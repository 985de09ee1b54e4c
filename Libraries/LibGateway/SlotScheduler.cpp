#include <LibGateway/SlotScheduler.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>
#include <tuple>
#include <utility>

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

    /// Requests within a rate limit that items leave to online work.
    constexpr uint32_t rateReserve = 1;

    /// Time for which the end of a limit is reported. Other nodes know of it by then.
    constexpr std::chrono::seconds rateNewsAge { 10 };

    /// Time for which the reported work time of an endpoint is used. Phases of slow work last about this long.
    constexpr Milliseconds workTimeLifetime { 600 };
    /// Cost of an endpoint where work takes twice the normal time.
    constexpr double slownessCostFactor = 0.25;

    /// Time within which work that only its endpoint has reported is also reported by the node that started it.
    constexpr Milliseconds unattributedLifetime { 150 };
    /// Limit on that work; an endpoint with more is full in any case.
    constexpr uint32_t maxUnattributed = 1'000'000;

    /// Time for which an endpoint is avoided after its first failure. It doubles with each further failure.
    constexpr Milliseconds firstAvoidance { 250 };
    constexpr uint32_t maxAvoidanceDoublings = 4;

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

    uint32_t batchSlots(uint32_t slotCount)
    {
        return slotCount >= minSlotsForReserve ? slotCount - batchReserve : slotCount;
    }

}

SlotScheduler::SlotScheduler(Location location, Random& random)
    : m_random(random)
    , m_peers(std::move(location))
{
}

void SlotScheduler::setEndpoints(const std::vector<EndpointRecord>& records)
{
    for (auto& [id, it] : m_endpoints)
        it.isUsable = false;
    for (const EndpointRecord& record : records) {
        const auto [it, isNew] = m_endpoints.try_emplace(record.id);
        Endpoint& endpoint = it->second;
        if (!isNew && endpoint.record.startedAt != record.startedAt) {
            endpoint.failures = 0;
            endpoint.limiter.reset();
        }
        endpoint.record = record;
        endpoint.isUsable = true;
        if (!isNew)
            continue;
        endpoint.key = SlotPeers::endpointKey(record.id);
        m_endpointsByKey[endpoint.key] = &endpoint;
        endpoint.preference = SlotPeers::nodeRank(record.id, m_peers.location().node) / 4294967296.0;
        endpoint.peers = m_peers.useOf(endpoint.key);
    }
    std::erase_if(m_endpoints, [&](const auto& it) {
        const Endpoint& endpoint = it.second;
        const bool isDropped = !endpoint.isUsable && endpoint.own == SlotUse {};
        if (isDropped)
            m_endpointsByKey.erase(endpoint.key);
        return isDropped;
    });
    countSlots();
}

void SlotScheduler::countSlots()
{
    m_capacity.clear();
    for (const auto& [id, it] : m_endpoints) {
        const bool isInDomain = it.record.failureDomain == m_peers.location().failureDomain;
        if (it.isUsable)
            m_capacity.addEndpoint(it.record.service, it.record.slotCount, isInDomain);
    }
}

void SlotScheduler::updateLimits(MonotonicTime now)
{
    m_capacity.clearLimits();
    for (const auto& [id, it] : m_endpoints) {
        const std::string& service = it.record.service;
        if (it.isUsable && it.limiter.isLimited())
            m_capacity.addLimit(service, it.record.slotCount, it.limiter, m_holdTimes.requestTime(service), now);
    }
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
    Endpoint* endpoint = findEndpoint(work.endpoint);
    if (!endpoint || m_running.contains(work.id))
        return;
    addOwnWork(work, *endpoint, now);
}

void SlotScheduler::addOwnWork(const RunningWork& work, Endpoint& endpoint, MonotonicTime now)
{
    ++(work.isBatch ? endpoint.own.batch : endpoint.own.online);
    m_ownBatch += work.isBatch ? 1 : 0;
    ++m_useVersion;
    endpoint.changedAt = now;
    updateBatchAvailability(endpoint, now);
    m_running[work.id] = work;
}

SlotScheduler::Endpoint* SlotScheduler::findEndpoint(const std::string& id)
{
    const auto it = m_endpoints.find(id);
    return it == m_endpoints.end() ? nullptr : &it->second;
}

SlotScheduler::Endpoint* SlotScheduler::findEndpointByKey(uint32_t key)
{
    const auto it = m_endpointsByKey.find(key);
    return it == m_endpointsByKey.end() ? nullptr : it->second;
}

SlotView SlotScheduler::viewOf(const Endpoint& endpoint, MonotonicTime now)
{
    SlotView view { endpoint.online(), endpoint.own.batch + endpoint.peers.batch, endpoint.record.slotCount };
    if (endpoint.changedAt != MonotonicTime {})
        view.age = std::chrono::duration_cast<Milliseconds>(now - endpoint.changedAt);
    return view;
}

bool SlotScheduler::hasPooledReserve(const Endpoint& endpoint) const
{
    if (!isSoleInDomain() || endpoint.record.failureDomain != m_peers.location().failureDomain)
        return false;
    return m_capacity.domainSlots(endpoint.record.service) >= minSlotsForPooledReserve;
}

uint32_t SlotScheduler::batchCapacity(const Endpoint& endpoint) const
{
    return hasPooledReserve(endpoint) ? endpoint.record.slotCount : batchSlots(endpoint.record.slotCount);
}

bool SlotScheduler::hasSlotsAboveReserve(const std::string& service, MonotonicTime now) const
{
    uint64_t slotCount = 0;
    uint64_t free = 0;
    for (const auto& [id, it] : m_endpoints) {
        if (!it.isUsable || it.record.service != service || it.record.failureDomain != m_peers.location().failureDomain)
            continue;
        slotCount += it.record.slotCount;
        free += std::min(it.record.slotCount - std::min(it.record.slotCount, it.total()), it.limiter.available(now));
    }
    return static_cast<double>(free) > std::round(static_cast<double>(slotCount) * pooledReserveShare);
}

void SlotScheduler::updateBatchAvailability(Endpoint& endpoint, MonotonicTime now) const
{
    const bool isFree = endpoint.total() < batchCapacity(endpoint);
    if (isFree && !endpoint.isFreeForBatch)
        endpoint.freeForBatchSince = now;
    endpoint.isFreeForBatch = isFree;
}

void SlotScheduler::finish(uint64_t work, EndpointOutcome outcome, MonotonicTime now)
{
    const auto it = m_running.find(work);
    if (it == m_running.end())
        return;
    const RunningWork running = it->second;
    m_running.erase(it);
    ++m_useVersion;
    m_ownBatch -= running.isBatch ? 1 : 0;
    Endpoint* endpoint = findEndpoint(running.endpoint);
    if (endpoint) {
        --(running.isBatch ? endpoint->own.batch : endpoint->own.online);
        endpoint->changedAt = now;
        if (!running.isBatch)
            endpoint->ownEndedAt = endpoint->onlineChangedAt = now;
        updateBatchAvailability(*endpoint, now);
    }
    if (endpoint && outcome == EndpointOutcome::Failed) {
        const uint32_t doublings = std::min(endpoint->failures++, maxAvoidanceDoublings);
        endpoint->avoidedUntil = now + firstAvoidance * (1 << doublings);
    }
    if (outcome != EndpointOutcome::Answered)
        return;
    if (endpoint) {
        endpoint->failures = 0;
        endpoint->respondedAt = now;
    }
    const auto held = std::chrono::duration_cast<Milliseconds>(now - running.startedAt);
    if (running.isBatch)
        m_holdTimes.addItem(running.service, held + running.slotTimeUsed);
    else
        m_holdTimes.addRequest(running.service, held);
}

const RunningWork* SlotScheduler::findRunning(uint64_t work) const
{
    const auto it = m_running.find(work);
    return it == m_running.end() ? nullptr : &it->second;
}

MonotonicTime SlotScheduler::lastResponse(const std::string& endpoint) const
{
    const auto it = m_endpoints.find(endpoint);
    return it == m_endpoints.end() ? MonotonicTime {} : std::max(it->second.respondedAt, it->second.observedAt);
}

bool SlotScheduler::isTooLate(
    const std::string& service, MonotonicTime dueAt, Milliseconds slotTimeUsed, MonotonicTime now) const
{
    return now + std::max(m_holdTimes.itemTime(service) - slotTimeUsed, Milliseconds { 0 }) > dueAt;
}

void SlotScheduler::addPeerUse(const PeerUse& usage, bool isAdded)
{
    for (const auto& [key, use] : usage.use) {
        Endpoint* endpoint = findEndpointByKey(key);
        if (!endpoint)
            continue;
        endpoint->peers.online += isAdded ? use.online : -use.online;
        endpoint->peers.batch += isAdded ? use.batch : -use.batch;
    }
}

void SlotScheduler::addPeerRates(const PeerUse& before, const PeerUse& after, MonotonicTime now)
{
    for (const auto& [key, rate] : after.rates) {
        Endpoint* endpoint = findEndpointByKey(key);
        if (!endpoint)
            continue;
        endpoint->limiter.update({ rate.perSecond, now - rate.age }, now);
        // Without an earlier report, or after a restart of the peer, it is unknown when its requests were sent.
        const auto known = before.rates.find(key);
        if (known != before.rates.end() && rate.starts > known->second.starts)
            endpoint->limiter.recordStarts(rate.starts - known->second.starts, now);
    }
}

void SlotScheduler::setPeerUse(const std::string& node, const PeerUse& usage, MonotonicTime now)
{
    const PeerUse before = m_peers.set(node, usage, now);
    if (before == usage)
        return;
    addPeerUse(before, false);
    addPeerUse(usage, true);
    addPeerRates(before, usage, now);
    recordChanges(before, usage, now);
}

void SlotScheduler::recordChanges(const PeerUse& before, const PeerUse& after, MonotonicTime now)
{
    const auto record = [&](uint32_t key, const SlotUse& from, const SlotUse& to) {
        Endpoint* endpoint = from == to ? nullptr : findEndpointByKey(key);
        if (!endpoint)
            return;
        updateBatchAvailability(*endpoint, now);
        endpoint->changedAt = now;
        if (from.online != to.online)
            endpoint->onlineChangedAt = now;
    };
    for (const auto& [key, use] : before.use) {
        const auto it = after.use.find(key);
        record(key, use, it == after.use.end() ? SlotUse {} : it->second);
    }
    for (const auto& [key, use] : after.use) {
        if (!before.use.contains(key))
            record(key, {}, use);
    }
}

void SlotScheduler::removePeer(const std::string& node)
{
    if (const auto usage = m_peers.remove(node))
        addPeerUse(*usage, false);
}

void SlotScheduler::expirePeers(MonotonicTime now)
{
    for (const std::string& it : m_peers.silentPeers(now))
        removePeer(it);
}

void SlotScheduler::observe(const std::string& id, const ObservedLoad& load, MonotonicTime now)
{
    Endpoint* endpoint = findEndpoint(id);
    if (!endpoint)
        return;
    endpoint->unattributed = 0;
    const uint32_t known = endpoint->total();
    const uint64_t reported = uint64_t { load.running } + load.waiting;
    const uint64_t excess = reported > known ? reported - known : 0;
    endpoint->unattributed = static_cast<uint32_t>(std::min<uint64_t>(excess, maxUnattributed));
    endpoint->workTimePercent = load.workTimePercent;
    endpoint->observedAt = now;
}

void SlotScheduler::observeRate(const std::string& id, const RateStatement& statement, MonotonicTime now)
{
    Endpoint* endpoint = findEndpoint(id);
    if (!endpoint)
        return;
    const double before = endpoint->limiter.statement().perSecond;
    endpoint->limiter.update(statement, now);
    // The peers send requests there too.
    if (endpoint->limiter.statement().perSecond != before)
        ++m_useVersion;
}

void SlotScheduler::expireObservations(MonotonicTime now)
{
    for (auto& [id, it] : m_endpoints) {
        if (it.unattributed > 0 && now - it.observedAt > unattributedLifetime)
            it.unattributed = 0;
    }
}

void SlotScheduler::expire(MonotonicTime now)
{
    if (now - m_lastExpiryAt < expiryInterval)
        return;
    m_lastExpiryAt = now;
    expirePeers(now);
    expireObservations(now);
}

std::vector<SlotDecision> SlotScheduler::poll(MonotonicTime now)
{
    std::vector<SlotDecision> decisions;
    expire(now);
    updateLimits(now);
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
        Endpoint* endpoint = isHopeless ? nullptr : chooseForOnline(work, now);
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
        if (work.service.empty() || isVersionGone(work) || shouldRefuse(work, before, now)) {
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
    const double queueTime = queue * static_cast<double>(hold.count()) / m_capacity.usableSlots(service);
    return std::max(Milliseconds { std::lround(queueTime) }, m_capacity.nextRequestIn(service));
}

template <typename Work> bool SlotScheduler::isEligible(const Endpoint& endpoint, const Work& work, MonotonicTime now)
{
    if (endpoint.record.service != work.service)
        return false;
    if (work.softwareVersion && endpoint.record.softwareVersion != *work.softwareVersion)
        return false;
    return !isAvoided(endpoint, work.excluded, now);
}

template <typename Work> bool SlotScheduler::isVersionGone(const Work& work) const
{
    if (!work.softwareVersion)
        return false;
    // A scheduler that knows no endpoint of the service yet does not know its versions either.
    bool hasEndpoints = false;
    for (const auto& [id, it] : m_endpoints) {
        if (!it.isUsable || it.record.service != work.service)
            continue;
        hasEndpoints = true;
        if (it.record.softwareVersion == *work.softwareVersion)
            return false;
    }
    return hasEndpoints;
}

bool SlotScheduler::isAvoided(const Endpoint& endpoint, const std::vector<std::string>& excluded, MonotonicTime now)
{
    if (!endpoint.isUsable || std::ranges::find(excluded, endpoint.record.id) != excluded.end())
        return true;
    if (endpoint.failures == 0)
        return false;
    // After the avoidance time, one request or item at a time probes whether the endpoint has recovered.
    return now < endpoint.avoidedUntil || endpoint.own != SlotUse {};
}

bool SlotScheduler::isSpilloverAllowed(const Endpoint& endpoint, const OnlineWork& work, MonotonicTime now) const
{
    const PeerDistance distance = m_peers.distanceTo(endpoint.record.failureDomain);
    if (distance == PeerDistance::FailureDomain || m_capacity.domainSlots(work.service) == 0)
        return true;
    // At peak load, most slots that appear free in another failure domain are taken before the request arrives there,
    // and a local slot usually becomes free sooner than the report of that.
    if (endpoint.total() * 2 <= endpoint.record.slotCount)
        return true;
    return now - work.submittedAt >= m_peers.turnTime(distance);
}

bool SlotScheduler::isOnlineTurn(Endpoint& endpoint, uint32_t free, MonotonicTime now) const
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

bool SlotScheduler::isBatchTurn(Endpoint& endpoint, uint32_t free, MonotonicTime now) const
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
        since = std::max(since, endpoint.limiter.availableSince(1 + rateReserve, now));
    return now - since >= std::min(turn, std::max(maxBatchTurnTime, ownTurn * maxBatchTurns));
}

const PrecedingNodes& SlotScheduler::precedingNodes(Endpoint& endpoint) const
{
    if (endpoint.precedingNodesGeneration != m_peers.generation()) {
        endpoint.precedingNodes = m_peers.precedingNodes(endpoint.record.id, endpoint.record.failureDomain);
        endpoint.precedingNodesGeneration = m_peers.generation();
    }
    return endpoint.precedingNodes;
}

uint32_t SlotScheduler::freeForOnline(const Endpoint& endpoint, MonotonicTime now)
{
    const uint32_t capacity = endpoint.record.slotCount;
    return std::min(capacity - std::min(capacity, endpoint.online()), endpoint.limiter.available(now));
}

uint32_t SlotScheduler::freeForBatch(const Endpoint& endpoint, MonotonicTime now) const
{
    const uint32_t capacity = batchCapacity(endpoint);
    const uint32_t available = endpoint.limiter.available(now);
    return std::min(capacity - std::min(capacity, endpoint.total()), available - std::min(available, rateReserve));
}

double SlotScheduler::distanceCost(const Endpoint& endpoint) const
{
    const PeerDistance distance = m_peers.distanceTo(endpoint.record.failureDomain);
    if (distance == PeerDistance::FailureDomain)
        return 0;
    const double age = static_cast<double>(m_peers.reportAge(distance).count());
    const double ageCost = std::min(age / reportAgeCostScale, maxReportAgeCost);
    return ageCost + (distance == PeerDistance::Region ? otherDomainCost : otherRegionCost);
}

double SlotScheduler::slownessCost(const Endpoint& endpoint, MonotonicTime now) const
{
    if (endpoint.workTimePercent <= 100 || now - endpoint.observedAt > workTimeLifetime)
        return 0;
    return (endpoint.workTimePercent / 100.0 - 1) * slownessCostFactor;
}

SlotScheduler::Endpoint* SlotScheduler::chooseForOnline(const OnlineWork& work, MonotonicTime now)
{
    Endpoint* best = nullptr;
    double bestCost = std::numeric_limits<double>::max();
    for (auto& [id, it] : m_endpoints) {
        if (!isEligible(it, work, now))
            continue;
        const uint32_t capacity = it.record.slotCount;
        const uint32_t free = freeForOnline(it, now);
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
    std::vector<SlotDecision>& decisions, RunningWork work, Endpoint& endpoint, MonotonicTime now)
{
    const SlotView view = viewOf(endpoint, now);
    work.service = endpoint.record.service;
    work.endpoint = endpoint.record.id;
    work.startedAt = now;
    addOwnWork(work, endpoint, now);
    ++endpoint.starts;
    endpoint.limiter.recordStarts(1, now);
    decisions.push_back({ SlotDecision::Kind::Start, work.id, endpoint.record.id, {}, view });
}

void SlotScheduler::yieldOne(std::vector<SlotDecision>& decisions, Endpoint& endpoint, MonotonicTime now)
{
    // Items that will be late in any case yield first, then the one that is due last.
    const auto order = [&](const RunningWork& it) {
        return std::tuple(isTooLate(it.service, it.dueAt, it.slotTimeUsed, it.startedAt), it.dueAt, it.startedAt);
    };
    const std::pair<const uint64_t, RunningWork>* chosen = nullptr;
    for (const auto& it : m_running) {
        if (!it.second.isBatch || it.second.endpoint != endpoint.record.id)
            continue;
        if (!chosen || order(it.second) > order(chosen->second))
            chosen = &it;
    }
    if (!chosen)
        return;
    const uint64_t work = chosen->first;
    decisions.push_back({ SlotDecision::Kind::Yield, work, endpoint.record.id, {}, viewOf(endpoint, now) });
    m_running.erase(work);
    --endpoint.own.batch;
    endpoint.changedAt = now;
    --m_ownBatch;
    ++m_useVersion;
    updateBatchAvailability(endpoint, now);
}

uint32_t SlotScheduler::ownShareOfYields(const Endpoint& endpoint, uint32_t excess) const
{
    return std::min(m_peers.excessAfterPeers(endpoint.key, excess), endpoint.own.batch);
}

void SlotScheduler::decideYields(std::vector<SlotDecision>& decisions, MonotonicTime now)
{
    if (m_ownBatch == 0)
        return;
    for (auto& [id, endpoint] : m_endpoints) {
        if (endpoint.own.batch == 0 || endpoint.total() <= endpoint.record.slotCount)
            continue;
        for (uint32_t n = ownShareOfYields(endpoint, endpoint.total() - endpoint.record.slotCount); n > 0; --n)
            yieldOne(decisions, endpoint, now);
    }
}

SlotScheduler::Endpoint* SlotScheduler::chooseForBatch(const BatchWork& work, MonotonicTime now)
{
    Endpoint* best = nullptr;
    double bestCost = std::numeric_limits<double>::max();
    const bool isDomainFull = isSoleInDomain() && !hasSlotsAboveReserve(work.service, now);
    for (auto& [id, it] : m_endpoints) {
        if (!isEligible(it, work, now))
            continue;
        if (isDomainFull && hasPooledReserve(it))
            continue;
        updateBatchAvailability(it, now);
        const uint32_t free = freeForBatch(it, now);
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
        Endpoint* endpoint = fullServices.contains(work.service) ? nullptr : chooseForBatch(work, now);
        if (!endpoint && work.excluded.empty() && !work.softwareVersion)
            fullServices.insert(work.service);
        if (endpoint)
            startWork(decisions,
                { .id = work.id, .isBatch = true, .dueAt = work.dueAt, .slotTimeUsed = work.slotTimeUsed }, *endpoint,
                now);
        else if (work.service.empty() || isVersionGone(work))
            decisions.push_back({ SlotDecision::Kind::Refuse, work.id });
        else
            waiting.push_back(std::move(work));
    }
    m_batch = std::move(waiting);
}

std::unordered_map<uint32_t, SlotUse> SlotScheduler::ownUse() const
{
    std::unordered_map<uint32_t, SlotUse> use;
    for (const auto& [id, it] : m_endpoints) {
        if (it.own != SlotUse {})
            use[it.key] = it.own;
    }
    return use;
}

std::unordered_map<uint32_t, ReportedRate> SlotScheduler::ownRates(MonotonicTime now) const
{
    std::unordered_map<uint32_t, ReportedRate> rates;
    for (const auto& [id, it] : m_endpoints) {
        const RateStatement& statement = it.limiter.statement();
        const auto age = std::chrono::duration_cast<Milliseconds>(now - statement.at);
        if (it.limiter.isLimited() || (it.limiter.hasBeenLimited() && age < rateNewsAge))
            rates[it.key] = { statement.perSecond, age, it.starts };
    }
    return rates;
}

bool SlotScheduler::isRateLimited(const std::string& endpoint) const
{
    const auto it = m_endpoints.find(endpoint);
    return it != m_endpoints.end() && it->second.limiter.isLimited();
}

size_t SlotScheduler::limitedEndpoints() const
{
    return static_cast<size_t>(std::ranges::count_if(
        m_endpoints, [](const auto& it) { return it.second.isUsable && it.second.limiter.isLimited(); }));
}

}

#include <LibGateway/SlotScheduler.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>
#include <utility>

namespace Chicorydock {

namespace {

    /// Slots of an endpoint that batch work leaves free, so that an online request need not wait for a yield.
    constexpr uint32_t batchReserve = 1;

    /// Endpoints with fewer slots have no reserve, because batch work would not run there at all.
    constexpr uint32_t minSlotsForReserve = 4;

    /// Cost of another region or failure domain, in units of the load of an endpoint (1 is full). The link between
    /// regions is slow and billed by volume.
    constexpr double otherRegionCost = 0.9;
    constexpr double otherDomainCost = 0.02;

    /// Age of the reports from another failure domain that costs as much as a whole endpoint's load, and the most that
    /// old reports cost.
    constexpr double reportAgeCostScale = 400;
    constexpr double maxReportAgeCost = 0.6;

    /// Cost of an endpoint whose batch items have to yield first: own items yield at once, those of peers later.
    constexpr double ownYieldCost = 0.5;
    constexpr double peerYieldCost = 0.7;

    /// How long a statement about the speed of an endpoint counts. Slow spells last about this long.
    constexpr Milliseconds workTimeLifetime { 600 };
    constexpr double slownessCost = 0.25;

    /// Work that only the endpoint has told of becomes known from the node that started it within this time.
    constexpr Milliseconds unexplainedLifetime { 150 };

    /// First time for which an endpoint is avoided after it failed; it doubles with each further failure.
    constexpr Milliseconds firstAvoidance { 250 };
    constexpr uint32_t maxAvoidanceDoublings = 4;

    /// A new request waits only if the queue ahead of it is expected to take at most this share of the time it has. The
    /// expectation is rough, and a refusal is of most use to the caller at once.
    constexpr double maxExpectedShare = 0.5;

    /// Time in which the online use of a slot has become known to the peers that are first in its order.
    constexpr Milliseconds onlineTurnTime { 30 };

    /// However many nodes there are, a slot that stays free is open to all online requests after so many turns.
    constexpr uint32_t maxOnlineTurns = 4;

    /// Time that a report may be on its way and wait to be read, beyond the time between two reports.
    constexpr Milliseconds reportLatency { 10 };

    /// A slot that stays free so long is open to the items of all nodes. Items have seconds to spare.
    constexpr Milliseconds maxBatchTurnTime { 1'000 };

    /// It must also stay free for so many reports from there.
    constexpr int maxReportsBehind = 4;

    /// Peers and statements of endpoints that are too old are looked for this often.
    constexpr Milliseconds expiryInterval { 20 };

    /// Time after the end of its own work in which a node may use the slot again before its peers know that it is free.
    constexpr Milliseconds ownTurnTime { 10 };

    /// Assumed until requests of the service have ended.
    constexpr Milliseconds defaultHoldTime { 500 };
    constexpr double holdTimeWeight = 0.1;

    /// Choices between endpoints of about the same load are random within half a slot, so that nodes which see the same
    /// loads go to different endpoints.
    constexpr double randomSlots = 0.5;

    /// Nodes differ in the endpoints that they prefer by up to so many slots, for the same reason.
    constexpr double preferredSlots = 2;

    /// Callers that are refused come back after the expected wait, spread over as much time again and at least this.
    constexpr Milliseconds minRetrySpread { 300 };
    constexpr Milliseconds minRetryAfter { 150 };
    constexpr Milliseconds maxRetryAfter { 1'600 };

    uint32_t batchSlots(uint32_t slotCount)
    {
        return slotCount >= minSlotsForReserve ? slotCount - batchReserve : slotCount;
    }

    /// Returns the place of a node in the order for an endpoint, which is another one for each endpoint.
    uint32_t orderKey(const std::string& endpoint, const std::string& node)
    {
        // The finalizer of MurmurHash3: names that differ in the last character only get unrelated places.
        uint32_t hash = SlotScheduler::endpointKey(endpoint + '/' + node);
        hash = (hash ^ (hash >> 16)) * 0x85ebca6bU;
        hash = (hash ^ (hash >> 13)) * 0xc2b2ae35U;
        return hash ^ (hash >> 16);
    }

}

SlotScheduler::SlotScheduler(Location location, Random& random)
    : m_location(std::move(location))
    , m_random(random)
{
}

uint32_t SlotScheduler::endpointKey(const std::string& id)
{
    // FNV-1a: the same on every node, whatever its library.
    uint32_t hash = 2166136261U;
    for (const char c : id)
        hash = (hash ^ static_cast<uint8_t>(c)) * 16777619U;
    return hash;
}

void SlotScheduler::setEndpoints(const std::vector<EndpointRecord>& records)
{
    for (auto& [id, it] : m_endpoints)
        it.isUsable = false;
    for (const EndpointRecord& record : records) {
        const auto [it, isNew] = m_endpoints.try_emplace(record.id);
        Endpoint& endpoint = it->second;
        if (!isNew && endpoint.record.startedAt != record.startedAt)
            endpoint.failures = 0;
        endpoint.record = record;
        endpoint.isUsable = true;
        if (!isNew)
            continue;
        endpoint.key = endpointKey(record.id);
        m_endpointsByKey[endpoint.key] = &endpoint;
        endpoint.preference = orderKey(record.id, m_location.node) / 4294967296.0;
        for (const auto& [node, peer] : m_peers) {
            if (const auto use = peer.said.use.find(endpoint.key); use != peer.said.use.end()) {
                endpoint.peers.online += use->second.online;
                endpoint.peers.batch += use->second.batch;
            }
        }
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
    m_serviceSlots.clear();
    m_nearbyServices.clear();
    for (const auto& [id, it] : m_endpoints) {
        if (!it.isUsable)
            continue;
        m_serviceSlots[it.record.service] += it.record.slotCount;
        if (it.record.failureDomain == m_location.failureDomain)
            m_nearbyServices.insert(it.record.service);
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

SlotScheduler::Endpoint* SlotScheduler::endpoint(const std::string& id)
{
    const auto it = m_endpoints.find(id);
    return it == m_endpoints.end() ? nullptr : &it->second;
}

SlotScheduler::Endpoint* SlotScheduler::endpointOf(uint32_t key)
{
    const auto it = m_endpointsByKey.find(key);
    return it == m_endpointsByKey.end() ? nullptr : it->second;
}

SlotView SlotScheduler::viewOf(const Endpoint& place, MonotonicTime now)
{
    return { place.online(), place.own.batch + place.peers.batch, place.record.slotCount,
        std::chrono::duration_cast<Milliseconds>(now - place.changedAt), {} };
}

void SlotScheduler::noteBatchSlots(Endpoint& place, MonotonicTime now)
{
    const bool isFree = place.total() < batchSlots(place.record.slotCount);
    if (isFree && !place.isFreeForBatch)
        place.freeForBatchSince = now;
    place.isFreeForBatch = isFree;
}

void SlotScheduler::ended(uint64_t work, EndpointOutcome outcome, MonotonicTime now)
{
    const auto it = m_running.find(work);
    if (it == m_running.end())
        return;
    const Running running = it->second;
    m_running.erase(it);
    m_ownBatch -= running.isBatch ? 1 : 0;
    Endpoint* place = endpoint(running.endpoint);
    if (place) {
        --(running.isBatch ? place->own.batch : place->own.online);
        place->changedAt = now;
        if (!running.isBatch)
            place->ownEndedAt = place->onlineChangedAt = now;
        noteBatchSlots(*place, now);
    }
    if (place && outcome == EndpointOutcome::Failed) {
        const uint32_t doublings = std::min(place->failures++, maxAvoidanceDoublings);
        place->avoidedUntil = now + firstAvoidance * (1 << doublings);
    }
    if (outcome != EndpointOutcome::Answered)
        return;
    if (place)
        place->failures = 0;
    const auto held = std::chrono::duration_cast<Milliseconds>(now - running.startedAt);
    if (running.isBatch)
        learnHoldTime(m_itemTimes, running.service, held + running.slotTimeUsed);
    else
        learnHoldTime(m_holdTimes, running.service, held);
}

void SlotScheduler::learnHoldTime(
    std::map<std::string, Milliseconds>& means, const std::string& service, Milliseconds held)
{
    Milliseconds& mean = means.try_emplace(service, held).first->second;
    const double old = static_cast<double>(mean.count());
    mean = Milliseconds { std::lround(old + (static_cast<double>(held.count()) - old) * holdTimeWeight) };
}

bool SlotScheduler::isTooLate(
    const std::string& service, MonotonicTime dueAt, Milliseconds slotTimeUsed, MonotonicTime now) const
{
    const auto it = m_itemTimes.find(service);
    const Milliseconds whole = it == m_itemTimes.end() ? Milliseconds { 0 } : it->second;
    return now + std::max(whole - slotTimeUsed, Milliseconds { 0 }) > dueAt;
}

void SlotScheduler::addPeerUse(const PeerUse& said, bool isAdded)
{
    for (const auto& [key, use] : said.use) {
        Endpoint* place = endpointOf(key);
        if (!place)
            continue;
        place->peers.online += isAdded ? use.online : -use.online;
        place->peers.batch += isAdded ? use.batch : -use.batch;
    }
    m_peersWaiting += isAdded ? said.waiting : -said.waiting;
}

void SlotScheduler::setPeerUse(const std::string& node, const PeerUse& said, MonotonicTime now)
{
    const auto [it, isNew] = m_peers.try_emplace(node);
    Peer& peer = it->second;
    peer.heardAt = now;
    const bool isMoved = isNew || peer.said.failureDomain != said.failureDomain;
    if (peer.said != said) {
        const PeerUse before = std::exchange(peer.said, said);
        addPeerUse(before, false);
        addPeerUse(said, true);
        noteChanges(before, said, now);
    }
    if (isMoved)
        countPeers();
}

void SlotScheduler::noteChanges(const PeerUse& before, const PeerUse& after, MonotonicTime now)
{
    const auto note = [&](uint32_t key, const SlotUse& from, const SlotUse& to) {
        Endpoint* place = from == to ? nullptr : endpointOf(key);
        if (!place)
            return;
        noteBatchSlots(*place, now);
        place->changedAt = now;
        if (from.online != to.online)
            place->onlineChangedAt = now;
    };
    for (const auto& [key, use] : before.use) {
        const auto it = after.use.find(key);
        note(key, use, it == after.use.end() ? SlotUse {} : it->second);
    }
    for (const auto& [key, use] : after.use) {
        if (!before.use.contains(key))
            note(key, {}, use);
    }
}

PeerDistance SlotScheduler::distanceTo(const std::string& failureDomain) const
{
    return distanceBetween(m_location.failureDomain, failureDomain, m_location.regions);
}

void SlotScheduler::countPeers()
{
    ++m_peerGeneration;
    m_peerCounts = {};
    for (const auto& [node, peer] : m_peers)
        ++m_peerCounts.at(static_cast<size_t>(distanceTo(peer.said.failureDomain)));
}

void SlotScheduler::removePeer(const std::string& node)
{
    const auto it = m_peers.find(node);
    if (it == m_peers.end())
        return;
    addPeerUse(it->second.said, false);
    m_peers.erase(it);
    countPeers();
}

void SlotScheduler::expirePeers(MonotonicTime now)
{
    std::vector<std::string> expired;
    for (const auto& [node, peer] : m_peers) {
        if (now - peer.heardAt > peer.said.lifetime)
            expired.push_back(node);
    }
    for (const std::string& it : expired)
        removePeer(it);
}

void SlotScheduler::observe(const std::string& id, const ObservedLoad& load, MonotonicTime now)
{
    Endpoint* place = endpoint(id);
    if (!place)
        return;
    place->unexplained = 0;
    const uint32_t known = place->total();
    const uint32_t seen = load.running + load.waiting;
    place->unexplained = seen > known ? seen - known : 0;
    place->workTimePercent = load.workTimePercent;
    place->observedAt = now;
}

void SlotScheduler::expireObservations(MonotonicTime now)
{
    for (auto& [id, it] : m_endpoints) {
        if (it.unexplained > 0 && now - it.observedAt > unexplainedLifetime)
            it.unexplained = 0;
    }
}

void SlotScheduler::expire(MonotonicTime now)
{
    if (now - m_expiredAt < expiryInterval)
        return;
    m_expiredAt = now;
    expirePeers(now);
    expireObservations(now);
}

std::vector<SlotDecision> SlotScheduler::poll(MonotonicTime now)
{
    std::vector<SlotDecision> decisions;
    expire(now);
    decideOnline(decisions, now);
    decideYields(decisions, now);
    decideBatch(decisions, now);
    return decisions;
}

void SlotScheduler::decideOnline(std::vector<SlotDecision>& decisions, MonotonicTime now)
{
    if (m_online.empty())
        return;
    // Requests that can still be answered on time go first, the most urgent ones of the highest priority in front.
    // Late ones follow, because serving them first would make all others late too.
    std::ranges::stable_sort(m_online, {}, [&](const OnlineWork& it) {
        const bool isLate = now > it.startBy;
        return std::tuple(isLate, it.priority, isLate ? it.deadline : it.startBy);
    });
    std::map<std::string, size_t> ahead;
    std::set<std::string> fullServices;
    std::vector<OnlineWork> waiting;
    for (OnlineWork& work : m_online) {
        Endpoint* place = fullServices.contains(work.service) ? nullptr : chooseForOnline(work, now);
        if (!place && work.excluded.empty())
            fullServices.insert(work.service);
        if (place) {
            if (place->total() >= place->record.slotCount && place->own.batch > 0)
                yieldOne(decisions, *place, now);
            startWork(decisions, work.id, *place, false, now);
            continue;
        }
        size_t& before = ahead[work.service];
        if (isHopeless(work, before, now)) {
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

bool SlotScheduler::isHopeless(const OnlineWork& work, size_t ahead, MonotonicTime now) const
{
    const MonotonicTime start = now + expectedWait(work.service, ahead);
    if (start > work.deadline)
        return true;
    // A caller that may come back is better served by a later attempt that is on time than by a late answer.
    if (work.isLastAttempt)
        return false;
    if (work.isAccepted)
        return start > work.startBy;
    return toSeconds(start - now) > toSeconds(work.startBy - now) * maxExpectedShare;
}

Milliseconds SlotScheduler::expectedWait(const std::string& service, size_t ahead) const
{
    const auto it = m_holdTimes.find(service);
    const Milliseconds hold = it == m_holdTimes.end() ? defaultHoldTime : it->second;
    const auto slotCount = m_serviceSlots.find(service);
    const uint32_t n = slotCount == m_serviceSlots.end() ? 1 : std::max(1U, slotCount->second);
    // Peers compete for the same slots.
    const double queue = static_cast<double>(ahead + m_peersWaiting);
    return Milliseconds { std::lround(queue * static_cast<double>(hold.count()) / n) };
}

bool SlotScheduler::isAvoided(const Endpoint& place, const std::vector<std::string>& excluded, MonotonicTime now) const
{
    if (!place.isUsable || std::ranges::find(excluded, place.record.id) != excluded.end())
        return true;
    if (place.failures == 0)
        return false;
    // After the time of avoidance one piece of work at a time tries whether the endpoint is back.
    return now < place.avoidedUntil || place.own != SlotUse {};
}

bool SlotScheduler::isWithinReach(const Endpoint& place, const OnlineWork& work, MonotonicTime now) const
{
    const PeerDistance distance = distanceTo(place.record.failureDomain);
    if (distance == PeerDistance::FailureDomain || !m_nearbyServices.contains(work.service))
        return true;
    // In a crest most slots that seem free elsewhere are taken before the request arrives there. A slot nearby usually
    // becomes free sooner than it takes to hear that.
    if (place.total() * 2 <= place.record.slotCount)
        return true;
    return now - work.submittedAt >= turnTime(distance);
}

bool SlotScheduler::isOnlineTurn(Endpoint& place, uint32_t free, MonotonicTime now) const
{
    // All nodes order themselves in the same way for this endpoint. As many as there are free slots may take one at
    // once, and the next ones if the slots are still free when that would have become known.
    const NodesBefore& before = nodesBefore(place);
    const uint32_t turns = std::min((before.inDomain + before.elsewhere) / free, maxOnlineTurns);
    return now - place.onlineChangedAt >= onlineTurnTime * turns;
}

bool SlotScheduler::isBatchTurn(Endpoint& place, uint32_t free, MonotonicTime now) const
{
    const NodesBefore& before = nodesBefore(place);
    const PeerDistance distance = distanceTo(place.record.failureDomain);
    const Milliseconds domainTurn = turnTime(PeerDistance::FailureDomain);
    const Milliseconds ownTurn = turnTime(distance);
    Milliseconds turn = domainTurn * (before.inDomain / free) + ownTurn * (before.elsewhere / free);
    // A node elsewhere first waits until it would have heard that a node of the endpoint's domain took the slot.
    if (distance != PeerDistance::FailureDomain)
        turn += ownTurn;
    return now - place.freeForBatchSince >= std::min(turn, std::max(maxBatchTurnTime, ownTurn * maxReportsBehind));
}

Milliseconds SlotScheduler::reportAge(PeerDistance distance) const
{
    return reportInterval(distance, m_peerCounts.at(static_cast<size_t>(distance)));
}

Milliseconds SlotScheduler::turnTime(PeerDistance distance) const { return reportAge(distance) + reportLatency; }

const SlotScheduler::NodesBefore& SlotScheduler::nodesBefore(Endpoint& place) const
{
    if (place.nodesBeforeGeneration == m_peerGeneration)
        return place.nodesBefore;
    // The nodes of the endpoint's own failure domain come first: they hear of each other's work soonest.
    const bool isOwnDomain = place.record.failureDomain == m_location.failureDomain;
    const uint32_t own = orderKey(place.record.id, m_location.node);
    place.nodesBefore = {};
    for (const auto& [node, peer] : m_peers) {
        const bool isPeerOfDomain = peer.said.failureDomain == place.record.failureDomain;
        const bool isBefore = isPeerOfDomain == isOwnDomain ? orderKey(place.record.id, node) < own : isPeerOfDomain;
        if (isBefore)
            ++(isPeerOfDomain ? place.nodesBefore.inDomain : place.nodesBefore.elsewhere);
    }
    place.nodesBeforeGeneration = m_peerGeneration;
    return place.nodesBefore;
}

double SlotScheduler::distance(const Endpoint& place) const
{
    const PeerDistance distance = distanceTo(place.record.failureDomain);
    if (distance == PeerDistance::FailureDomain)
        return 0;
    const double age = static_cast<double>(reportAge(distance).count());
    const double ageCost = std::min(age / reportAgeCostScale, maxReportAgeCost);
    return ageCost + (distance == PeerDistance::Region ? otherDomainCost : otherRegionCost);
}

double SlotScheduler::slowness(const Endpoint& place, MonotonicTime now) const
{
    if (place.workTimePercent <= 100 || now - place.observedAt > workTimeLifetime)
        return 0;
    return (place.workTimePercent / 100.0 - 1) * slownessCost;
}

SlotScheduler::Endpoint* SlotScheduler::chooseForOnline(const OnlineWork& work, MonotonicTime now)
{
    Endpoint* best = nullptr;
    double bestCost = std::numeric_limits<double>::max();
    for (auto& [id, it] : m_endpoints) {
        if (it.record.service != work.service || isAvoided(it, work.excluded, now))
            continue;
        const uint32_t capacity = it.record.slotCount;
        if (it.online() >= capacity || !isWithinReach(it, work, now))
            continue;
        // The node whose work ended knows of the free slot before its peers do.
        const bool isFirstToKnow = now - it.ownEndedAt < ownTurnTime;
        if (!isFirstToKnow && !isOnlineTurn(it, capacity - it.online(), now))
            continue;
        // The random part spreads nodes that see the same load.
        double cost = static_cast<double>(it.total()) / capacity + distance(it) + slowness(it, now)
            + (m_random.unit() * randomSlots + it.preference * preferredSlots) / capacity;
        if (it.total() >= capacity)
            cost += it.own.batch > 0 ? ownYieldCost : peerYieldCost;
        if (cost < bestCost) {
            bestCost = cost;
            best = &it;
        }
    }
    return best;
}

void SlotScheduler::startWork(
    std::vector<SlotDecision>& decisions, uint64_t work, Endpoint& place, bool isBatch, MonotonicTime now)
{
    const SlotView view = viewOf(place, now);
    ++(isBatch ? place.own.batch : place.own.online);
    m_ownBatch += isBatch ? 1 : 0;
    place.changedAt = now;
    noteBatchSlots(place, now);
    m_running[work] = { place.record.id, isBatch, place.record.service, now, {}, {} };
    decisions.push_back({ SlotDecision::Kind::Start, work, place.record.id, {}, view });
}

void SlotScheduler::startItem(
    std::vector<SlotDecision>& decisions, const BatchWork& work, Endpoint& place, MonotonicTime now)
{
    startWork(decisions, work.id, place, true, now);
    Running& running = m_running.at(work.id);
    running.dueAt = work.dueAt;
    running.slotTimeUsed = work.slotTimeUsed;
}

void SlotScheduler::yieldOne(std::vector<SlotDecision>& decisions, Endpoint& place, MonotonicTime now)
{
    // An item that is late in any case yields first, then the one that is due last.
    const auto order = [&](const Running& it) {
        return std::tuple(isTooLate(it.service, it.dueAt, it.slotTimeUsed, it.startedAt), it.dueAt, it.startedAt);
    };
    const std::pair<const uint64_t, Running>* chosen = nullptr;
    for (const auto& it : m_running) {
        if (!it.second.isBatch || it.second.endpoint != place.record.id)
            continue;
        if (!chosen || order(it.second) > order(chosen->second))
            chosen = &it;
    }
    if (!chosen)
        return;
    const uint64_t work = chosen->first;
    decisions.push_back({ SlotDecision::Kind::Yield, work, place.record.id, {}, viewOf(place, now) });
    m_running.erase(work);
    --place.own.batch;
    place.changedAt = now;
    --m_ownBatch;
    noteBatchSlots(place, now);
}

uint32_t SlotScheduler::ownShareOfYields(const Endpoint& place, uint32_t excess) const
{
    // All nodes go through the nodes in the same order, so that together they stop as many items as needed.
    for (const auto& [node, peer] : m_peers) {
        if (node > m_location.node)
            break;
        if (const auto use = peer.said.use.find(place.key); use != peer.said.use.end())
            excess -= std::min(excess, use->second.batch);
    }
    return std::min(excess, place.own.batch);
}

void SlotScheduler::decideYields(std::vector<SlotDecision>& decisions, MonotonicTime now)
{
    if (m_ownBatch == 0)
        return;
    for (auto& [id, place] : m_endpoints) {
        if (place.own.batch == 0 || place.total() <= place.record.slotCount)
            continue;
        for (uint32_t n = ownShareOfYields(place, place.total() - place.record.slotCount); n > 0; --n)
            yieldOne(decisions, place, now);
    }
}

SlotScheduler::Endpoint* SlotScheduler::chooseForBatch(const BatchWork& work, MonotonicTime now)
{
    Endpoint* best = nullptr;
    double bestCost = std::numeric_limits<double>::max();
    for (auto& [id, it] : m_endpoints) {
        if (it.record.service != work.service || isAvoided(it, work.excluded, now))
            continue;
        noteBatchSlots(it, now);
        const uint32_t capacity = batchSlots(it.record.slotCount);
        if (it.total() >= capacity || !isBatchTurn(it, capacity - it.total(), now))
            continue;
        const double cost = static_cast<double>(it.total()) / it.record.slotCount + distance(it) + slowness(it, now)
            + m_random.unit() * randomSlots / it.record.slotCount;
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
    // Items that can still be on time go first, the most urgent in front. Running the others first would make all late
    // when there is more work than slots.
    std::ranges::stable_sort(m_batch, {}, [&](const BatchWork& it) {
        return std::tuple(isTooLate(it.service, it.dueAt, it.slotTimeUsed, now), it.dueAt);
    });
    std::set<std::string> fullServices;
    std::vector<BatchWork> waiting;
    for (BatchWork& work : m_batch) {
        Endpoint* place = fullServices.contains(work.service) ? nullptr : chooseForBatch(work, now);
        if (!place && work.excluded.empty())
            fullServices.insert(work.service);
        if (place)
            startItem(decisions, work, *place, now);
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

}

#include <LibRouting/LearnedScheduler.h>

#include <algorithm>
#include <cassert>
#include <cmath>

namespace Chicorydock {

namespace {

    constexpr uint32_t maxAttempts = 3;
    constexpr Milliseconds idlePollInterval { 1'000 };
    // Choosing among a few random endpoints is nearly as good as choosing among all, costs the same for any number of
    // endpoints, and prevents nodes with the same outdated state from all choosing the same endpoint.
    constexpr size_t candidateCount = 6;
    // How many entries at the head of a queue may be skipped, because no endpoint with room can run them, before the
    // queue waits.
    constexpr size_t maxSkipped = 8;
    // An endpoint that holds a prefix of the prompt is preferred up to this ratio of its load to the mean load of the
    // candidates.
    constexpr double maxAffinityLoadRatio = 1.25;
    // A cached prefix counts for this many times the time that it saves the request, because the other streams on the
    // endpoint benefit from the saved processing too.
    constexpr double affinityBonusFactor = 2;
    // Requests of the lowest worth are refused once the predicted wait exceeds this share of the maximum wait.
    constexpr double refusalStartShare = 0.25;
    constexpr double minRetryAfterSeconds = 0.5;
    constexpr double maxRetryAfterSeconds = 60;
    // A hedge starts when the first token is this many times later than predicted.
    constexpr double hedgeFactor = 3;
    constexpr double minHedgeSeconds = 0.15;
    constexpr Milliseconds hedgeRetryInterval { 100 };
    // Minimum time between two yield requests for an endpoint; a request takes about a millisecond to arrive.
    constexpr Milliseconds yieldRequestInterval { 20 };
    // How often an endpoint without online work is checked until it counts as idle.
    constexpr Milliseconds idleCheckInterval { 200 };
    // A yield request cancels one in this many batch attempts rather than a single one, because the requesting peer
    // does not know how many slots the other peers need.
    constexpr uint32_t yieldDivisor = 4;
    // At most this share of the endpoints that accept new work is suspect for slowness. If more of them are slow, that
    // is no evidence against a single one, and the others could not take its work.
    constexpr double maxSuspectShare = 0.34;

}

LearnedScheduler::LearnedScheduler(const SchedulerSettings& settings, Random& random)
    : m_settings(settings)
    , m_random(random)
    , m_retryBudget(settings.retryBudget, settings.budgetBurst)
    , m_hedgeBudget(settings.hedgeBudget, settings.budgetBurst)
    , m_failoverBudget(settings.failoverBudget, settings.failoverBudgetPerSecond)
    , m_regionByteBudget(settings.regionBytesPerSecond)
{
}

std::optional<uint32_t> LearnedScheduler::indexOf(const std::string& endpoint) const
{
    const auto it = m_endpointIndexes.find(endpoint);
    if (it == m_endpointIndexes.end())
        return {};
    return it->second;
}

uint32_t LearnedScheduler::intern(const SchedulerEndpoint& endpoint)
{
    const auto [it, isNew] = m_endpointIndexes.emplace(endpoint.id, static_cast<uint32_t>(m_endpoints.size()));
    if (isNew) {
        m_endpoints.push_back(std::make_unique<EndpointModel>(endpoint, m_settings));
        m_endpoints.back()->isPresent = false;
        m_endpointTimerAt.emplace_back();
    }
    return it->second;
}

Locality LearnedScheduler::localityOf(const SchedulerEndpoint& endpoint) const
{
    if (endpoint.isRemote)
        return Locality::OtherRegion;
    const bool isOwn = m_settings.failureDomain.empty() || endpoint.failureDomain == m_settings.failureDomain;
    return isOwn ? Locality::OwnDomain : Locality::OtherDomain;
}

bool LearnedScheduler::serves(const EndpointModel& endpoint, const std::string& model)
{
    const std::vector<std::string>& models = endpoint.info.models;
    return models.empty() || std::ranges::find(models, model) != models.end();
}

uint32_t LearnedScheduler::findOrAddPool(const std::string& model, MonotonicTime now)
{
    const auto [it, isNew] = m_poolIndexes.emplace(model, static_cast<uint32_t>(m_pools.size()));
    if (!isNew)
        return it->second;
    m_pools.push_back(std::make_unique<EndpointPool>());
    m_pools.back()->model = model;
    for (uint32_t n = 0; n < m_endpoints.size(); ++n) {
        updateMembership(it->second, n);
        refreshEndpoint(n, now);
    }
    return it->second;
}

void LearnedScheduler::updateMembership(uint32_t poolIndex, uint32_t index)
{
    EndpointPool& pool = *m_pools[poolIndex];
    EndpointModel& endpoint = *m_endpoints[index];
    const bool isServed = serves(endpoint, pool.model);
    const bool isMember = isServed && endpoint.acceptsNewWork();
    pool.members.set(index, isMember);
    pool.batchMembers.set(index, isMember && endpoint.info.ownsBatch && endpoint.locality != Locality::OtherRegion);
    const auto it = std::ranges::find(endpoint.pools, poolIndex);
    if (isServed && it == endpoint.pools.end())
        endpoint.pools.push_back(poolIndex);
    if (!isServed && it != endpoint.pools.end()) {
        endpoint.pools.erase(it);
        for (EndpointIndexSet& open : pool.open)
            open.erase(index);
        pool.openLong.erase(index);
        pool.openBatch.erase(index);
        pool.probes.erase(index);
    }
}

void LearnedScheduler::setEndpoints(const std::vector<SchedulerEndpoint>& endpoints, MonotonicTime now)
{
    for (const auto& endpoint : m_endpoints)
        endpoint->isPresent = false;
    for (const SchedulerEndpoint& it : endpoints) {
        EndpointModel& endpoint = *m_endpoints[intern(it)];
        endpoint.info = it;
        endpoint.isPresent = true;
        endpoint.locality = localityOf(it);
    }
    countUsableEndpoints();
    for (uint32_t n = 0; n < m_endpoints.size(); ++n) {
        for (uint32_t pool = 0; pool < m_pools.size(); ++pool)
            updateMembership(pool, n);
        refreshEndpoint(n, now);
    }

    // Refuse queued work that no remaining endpoint can run.
    std::vector<WorkId> unservable;
    for (const auto& pool : m_pools) {
        for (const bool isLong : { false, true }) {
            const OnlineQueue& queue = pool->queue(isLong);
            for (size_t n = 0; n < queue.size(); ++n) {
                if (!hasEligibleEndpoint(m_entries.at(queue.at(n).id)))
                    unservable.push_back(queue.at(n).id);
            }
        }
        if (pool->batchMembers.isEmpty()) {
            for (const BatchQueue::Key& key : pool->batchQueue)
                unservable.push_back(BatchQueue::idOf(key));
        }
    }
    for (const WorkId id : unservable) {
        WorkEntry& entry = m_entries.at(id);
        dequeue(entry);
        refuse(entry, ErrorKind::NoEndpoint, "no endpoint can run the work");
    }
    for (uint32_t pool = 0; pool < m_pools.size(); ++pool)
        markDirty(pool);
}

void LearnedScheduler::markDirty(uint32_t pool)
{
    if (m_pools[pool]->isDirty)
        return;
    m_pools[pool]->isDirty = true;
    m_dirtyPools.push_back(pool);
}

void LearnedScheduler::markBatchDirty()
{
    for (uint32_t pool = 0; pool < m_pools.size(); ++pool) {
        if (!m_pools[pool]->batchQueue.isEmpty())
            markDirty(pool);
    }
}

void LearnedScheduler::setEndpointTimer(uint32_t index, MonotonicTime time)
{
    std::optional<MonotonicTime>& at = m_endpointTimerAt[index];
    if (at && *at <= time)
        return;
    if (at)
        m_endpointTimers.erase({ *at, index });
    at = time;
    m_endpointTimers.emplace(time, index);
}

void LearnedScheduler::refreshEndpoint(uint32_t index, MonotonicTime now)
{
    EndpointModel& endpoint = *m_endpoints[index];
    endpoint.updateOnlineMean(now);
    const bool isOpen = endpoint.hasOnlineRoom();
    const bool isLocal = endpoint.locality == Locality::OwnDomain;
    const bool hasLongRoom = isOpen && isLocal && endpoint.hasLongRoom();
    const bool hasBatchRoom = endpoint.batchRoom(now) > 0;
    const bool isProbe = isLocal && endpoint.isProbeDue(now);
    for (const uint32_t it : endpoint.pools) {
        EndpointPool& pool = *m_pools[it];
        bool hasOpened = pool.open[static_cast<size_t>(endpoint.locality)].set(index, isOpen) && isOpen;
        hasOpened |= pool.openLong.set(index, hasLongRoom) && hasLongRoom;
        hasOpened |= pool.openBatch.set(index, hasBatchRoom) && hasBatchRoom;
        hasOpened |= pool.probes.set(index, isProbe) && isProbe;
        if (hasOpened && pool.hasQueued())
            markDirty(it);
    }
    if (endpoint.acceptsNewWork() && endpoint.isSuspect() && endpoint.probeAt() > now)
        setEndpointTimer(index, endpoint.probeAt());
    if (endpoint.batchHoldUntil > now)
        setEndpointTimer(index, endpoint.batchHoldUntil);
    else if (!hasBatchRoom && endpoint.isWaitingForIdle())
        setEndpointTimer(index, now + idleCheckInterval);
}

void LearnedScheduler::setTimer(WorkEntry& entry, std::optional<MonotonicTime> time)
{
    if (entry.timer)
        m_workTimers.erase({ *entry.timer, entry.work.id });
    entry.timer = time;
    if (time)
        m_workTimers.emplace(*time, entry.work.id);
}

void LearnedScheduler::submit(const Work& work, MonotonicTime now)
{
    const auto [it, isNew] = m_entries.try_emplace(work.id);
    assert(isNew);
    (void)isNew;
    WorkEntry& entry = it->second;
    entry.work = work;
    entry.submitted = now;
    entry.pool = findOrAddPool(work.model, now);
    for (const std::string& endpoint : work.excludedEndpoints)
        entry.excluded.push_back(intern({ endpoint, {}, false, false, false, {} }));
    const bool isPlain = work.model.empty();
    if (!isPlain) {
        entry.expectedTokens = m_lengthPredictor.expectedTokens(work);
        entry.isLong = entry.isOnline() && m_lengthPredictor.isLong(work);
    }
    m_arrivals.push_back(work.id);
}

void LearnedScheduler::withdraw(WorkId id, MonotonicTime)
{
    // Drop a refusal that has not been polled yet; otherwise the work would end twice.
    std::erase_if(m_decisions, [&](const Decision& it) { return it.kind == Decision::Kind::Refuse && it.work == id; });
    const auto it = m_entries.find(id);
    if (it == m_entries.end())
        return;
    WorkEntry& entry = it->second;
    entry.isWithdrawn = true;
    setTimer(entry, {});
    if (entry.state == WorkEntry::State::Arrived)
        std::erase(m_arrivals, id);
    if (entry.state == WorkEntry::State::Queued)
        dequeue(entry);
    if (entry.attempts.empty())
        m_entries.erase(it);
}

std::vector<Decision> LearnedScheduler::poll(MonotonicTime now)
{
    if (m_peerLoads.oldest() < now - m_settings.peerSummaryLifetime)
        applyPeerLoads(m_peerLoads.expire(now - m_settings.peerSummaryLifetime), false, now);
    runEndpointTimers(now);
    runWorkTimers(now);
    std::vector<WorkId> arrivals;
    arrivals.swap(m_arrivals);
    for (const WorkId id : arrivals)
        admit(m_entries.at(id), now);
    while (!m_dirtyPools.empty()) {
        std::vector<uint32_t> pools;
        pools.swap(m_dirtyPools);
        for (const uint32_t it : pools)
            m_pools[it]->isDirty = false;
        // Online work of all pools is dispatched first, because pools share endpoints.
        for (const uint32_t it : pools) {
            for (const bool isLong : { false, true })
                dispatchQueue(*m_pools[it], isLong, now);
        }
        for (const uint32_t it : pools)
            dispatchBatch(*m_pools[it], now);
    }
    return std::exchange(m_decisions, {});
}

MonotonicTime LearnedScheduler::nextPoll(MonotonicTime now) const
{
    if (!m_arrivals.empty() || !m_dirtyPools.empty() || !m_decisions.empty())
        return now;
    MonotonicTime next = now + idlePollInterval;
    if (!m_workTimers.empty())
        next = std::min(next, m_workTimers.begin()->first);
    if (!m_endpointTimers.empty())
        next = std::min(next, m_endpointTimers.begin()->first);
    return std::max(now, next);
}

void LearnedScheduler::runWorkTimers(MonotonicTime now)
{
    while (!m_workTimers.empty() && m_workTimers.begin()->first <= now) {
        WorkEntry& entry = m_entries.at(m_workTimers.begin()->second);
        setTimer(entry, {});
        if (entry.state == WorkEntry::State::InFlight) {
            hedge(entry, now);
            continue;
        }
        assert(entry.state == WorkEntry::State::Queued);
        dequeue(entry);
        const auto other
            = entry.isOnline() ? planSpill(entry, toSeconds(entry.work.deadline - now), now) : std::nullopt;
        if (other)
            start(entry, *other, now);
        else
            refuse(entry, ErrorKind::DeadlineUnattainable, "the deadline can no longer be met");
    }
}

void LearnedScheduler::runEndpointTimers(MonotonicTime now)
{
    while (!m_endpointTimers.empty() && m_endpointTimers.begin()->first <= now) {
        const uint32_t index = m_endpointTimers.begin()->second;
        m_endpointTimers.erase(m_endpointTimers.begin());
        m_endpointTimerAt[index].reset();
        refreshEndpoint(index, now);
    }
}

bool LearnedScheduler::hasEligibleEndpoint(const WorkEntry& entry) const
{
    const EndpointPool& pool = *m_pools[entry.pool];
    const EndpointIndexSet& members = entry.isOnline() ? pool.members : pool.batchMembers;
    if (entry.excluded.empty())
        return !members.isEmpty();
    return std::ranges::any_of(members, [&](uint32_t it) { return entry.mayRunOn(it); });
}

double LearnedScheduler::predictedWaitSeconds(const EndpointPool& pool, size_t ahead) const
{
    return static_cast<double>(ahead + 1) * pool.drainIntervalSeconds();
}

Milliseconds LearnedScheduler::retryAfter(const EndpointPool& pool)
{
    // The jitter prevents refused callers from retrying all at once.
    const double drain = predictedWaitSeconds(pool, pool.onlineQueued());
    const double seconds = std::clamp(drain, minRetryAfterSeconds, maxRetryAfterSeconds) * (1 + m_random.unit());
    return Milliseconds { static_cast<int64_t>(seconds * 1000) };
}

void LearnedScheduler::refuse(WorkEntry& entry, ErrorKind kind, const char* message)
{
    const WorkId id = entry.work.id;
    m_decisions.push_back(
        { Decision::Kind::Refuse, id, {}, Error { kind, message, retryAfter(*m_pools[entry.pool]) } });
    ++m_counters.refused;
    setTimer(entry, {});
    if (!entry.attempts.empty()) {
        entry.state = WorkEntry::State::Ended;
        return;
    }
    m_entries.erase(id);
}

void LearnedScheduler::admit(WorkEntry& entry, MonotonicTime now)
{
    if (!hasEligibleEndpoint(entry)) {
        refuse(entry, ErrorKind::NoEndpoint, "no endpoint can run the work");
        return;
    }
    EndpointPool& pool = *m_pools[entry.pool];
    if (entry.work.deadline <= now) {
        refuse(entry, ErrorKind::DeadlineUnattainable, "the deadline has passed");
        return;
    }
    if (!entry.isOnline()) {
        if (pool.batchQueue.size() >= m_settings.maxBatchQueued) {
            refuse(entry, ErrorKind::Overloaded, "the batch queue is full");
            return;
        }
        entry.state = WorkEntry::State::Queued;
        entry.batchKey = pool.batchQueue.push(entry.work, false);
        ++m_counters.batchQueued;
        setTimer(entry, entry.work.deadline);
        markDirty(entry.pool);
        return;
    }
    m_retryBudget.deposit();
    m_hedgeBudget.deposit();
    entry.worthRank = m_recentWorths.rankAndAdd(entry.work.worth / std::max(1.0, entry.expectedTokens), m_random);
    if (!pool.queue(entry.isLong).isEmpty()) {
        enqueueOnline(entry, now);
        return;
    }
    const Plan it = plan(entry, now);
    if (it.choice)
        start(entry, *it.choice, now);
    else if (it.isUnattainable)
        refuse(entry, ErrorKind::DeadlineUnattainable, "no endpoint is fast enough for the deadline");
    else
        enqueueOnline(entry, now);
}

LearnedScheduler::Plan LearnedScheduler::plan(const WorkEntry& entry, MonotonicTime now)
{
    EndpointPool& pool = *m_pools[entry.pool];
    if (entry.work.repeatable && !pool.probes.isEmpty() && m_hedgeBudget.canAcquire()) {
        const auto probe = choose(pool.probes, entry, {}, now);
        if (probe && m_hedgeBudget.tryAcquire())
            return { probe, false };
    }
    const Matches matches = m_affinity.find(entry.work.prefixes, now);
    const EndpointIndexSet& open = pool.localOpen(entry.isLong);
    const double remaining = toSeconds(entry.work.deadline - now);
    auto choice = choose(open, entry, matches, now);
    if (choice && choice->seconds > remaining)
        choice = chooseAmongAll(open, entry, now);
    if (choice && choice->seconds <= remaining)
        return { choice, false };
    if (choice) {
        if (const auto other = planSpill(entry, choice->seconds, now))
            return { other, false };
        // The estimates of an unproven endpoint are no reason to refuse work.
        if (!m_endpoints[choice->endpoint]->speed.isProven())
            return { choice, false };
        return { {}, true };
    }
    if (pool.open[0].isEmpty() && !pool.probes.isEmpty())
        return { choose(pool.probes, entry, {}, now), false };
    return {};
}

bool LearnedScheduler::acquireRegionBytes(const WorkEntry& entry, MonotonicTime now)
{
    const double bytes = entry.work.promptTokens * static_cast<double>(m_settings.bytesPerPromptToken)
        + entry.expectedTokens * m_settings.bytesPerGeneratedToken;
    return m_regionByteBudget.tryAcquire(bytes, now);
}

std::optional<LearnedScheduler::Choice> LearnedScheduler::planSpill(
    const WorkEntry& entry, double localSeconds, MonotonicTime now)
{
    const EndpointPool& pool = *m_pools[entry.pool];
    const double maxSeconds = std::min(localSeconds, toSeconds(entry.work.deadline - now));
    for (const Locality locality : { Locality::OtherDomain, Locality::OtherRegion }) {
        const auto choice = choose(pool.open[static_cast<size_t>(locality)], entry, {}, now);
        if (!choice || choice->seconds > maxSeconds)
            continue;
        if (locality == Locality::OtherRegion && !acquireRegionBytes(entry, now))
            continue;
        return choice;
    }
    return {};
}

void LearnedScheduler::enqueueOnline(WorkEntry& entry, MonotonicTime now)
{
    EndpointPool& pool = *m_pools[entry.pool];
    OnlineQueue& queue = pool.queue(entry.isLong);
    const MonotonicTime::duration interval = fromSeconds(pool.drainIntervalSeconds());
    const OnlineQueue::Key key = queue.keyFor(entry.work, interval, now);
    const double wait = predictedWaitSeconds(pool, queue.rank(key));
    const double maxWait = toSeconds(m_settings.maxQueueWait);
    const double service = pool.serviceSeconds(entry.expectedTokens);
    const double remaining = toSeconds(entry.work.deadline - now);

    const double fill = wait / maxWait;
    const double refusedShare = (fill - refusalStartShare) / (1 - refusalStartShare);
    const bool isOverloaded = entry.worthRank < refusedShare || pool.onlineQueued() >= m_settings.maxOnlineQueued;
    const bool isTooLate = wait + service > remaining;
    if (isOverloaded || isTooLate) {
        if (const auto other = planSpill(entry, remaining, now))
            start(entry, *other, now);
        else if (isTooLate)
            refuse(entry, ErrorKind::DeadlineUnattainable, "the deadline cannot be met");
        else
            refuse(entry, ErrorKind::Overloaded, "the queue is too long");
        return;
    }
    entry.state = WorkEntry::State::Queued;
    entry.onlineKey = key;
    queue.push(key, entry.work.workspace);
    ++m_counters.onlineQueued;
    setTimer(entry, std::min(entry.work.deadline - fromSeconds(service), now + m_settings.maxQueueWait));
}

void LearnedScheduler::dequeue(WorkEntry& entry)
{
    EndpointPool& pool = *m_pools[entry.pool];
    if (entry.isOnline()) {
        pool.queue(entry.isLong).erase(entry.onlineKey, entry.work.workspace);
        --m_counters.onlineQueued;
    } else {
        pool.batchQueue.erase(entry.batchKey);
        --m_counters.batchQueued;
    }
    entry.state = WorkEntry::State::Arrived;
    setTimer(entry, {});
    if (entry.isOnline() && pool.onlineQueued() == 0)
        markBatchDirty();
}

void LearnedScheduler::dispatchQueue(EndpointPool& pool, bool isLong, MonotonicTime now)
{
    OnlineQueue& queue = pool.queue(isLong);
    size_t skipped = 0;
    while (skipped < queue.size() && skipped < maxSkipped) {
        const bool mayProbe = pool.open[0].isEmpty() && !pool.probes.isEmpty();
        if (pool.localOpen(isLong).isEmpty() && !mayProbe)
            break;
        WorkEntry& entry = m_entries.at(queue.at(skipped).id);
        const Plan it = plan(entry, now);
        if (!it.choice && !it.isUnattainable) {
            ++skipped;
            continue;
        }
        dequeue(entry);
        if (it.choice)
            start(entry, *it.choice, now);
        else
            refuse(entry, ErrorKind::DeadlineUnattainable, "no endpoint is fast enough for the deadline");
    }
}

LearnedScheduler::Choice LearnedScheduler::evaluate(
    uint32_t index, const WorkEntry& entry, double cachedShare, MonotonicTime now) const
{
    const EndpointModel& endpoint = *m_endpoints[index];
    const double prompt = entry.work.promptTokens * (1 - cachedShare);
    return { index, endpoint.predictedSeconds(prompt, entry.expectedTokens, now), cachedShare };
}

std::optional<LearnedScheduler::Choice> LearnedScheduler::choose(
    const EndpointIndexSet& set, const WorkEntry& entry, const Matches& matches, MonotonicTime now)
{
    std::array<uint32_t, candidateCount> sampled {};
    const size_t count = std::min(candidateCount, set.size());
    double loads = 0;
    for (size_t n = 0; n < count; ++n) {
        sampled[n] = set.size() <= candidateCount ? set[n] : set[m_random.below(set.size())];
        loads += m_endpoints[sampled[n]]->allOnline();
    }
    if (count == 0)
        return {};

    std::optional<Choice> best;
    double bestCost = 0;
    const auto consider = [&](uint32_t index, double cachedShare) {
        if (!entry.mayRunOn(index))
            return;
        const Choice choice = evaluate(index, entry, cachedShare, now);
        const SpeedEstimator& speed = m_endpoints[index]->speed;
        // Every token of this stream slows down the other streams on the endpoint by the gap slope.
        const double slowdownCost = entry.expectedTokens * speed.gapSlopeSeconds() * m_endpoints[index]->concurrency();
        const double affinityBonus = (affinityBonusFactor - 1)
            * (speed.firstTokenSeconds(entry.work.promptTokens)
                - speed.firstTokenSeconds(entry.work.promptTokens * (1 - cachedShare)));
        const double cost = choice.seconds + slowdownCost - affinityBonus;
        if (!best || cost < bestCost) {
            best = choice;
            bestCost = cost;
        }
    };
    // An endpoint that holds the prefix but is loaded more than the other candidates gets no advantage from it.
    const double maxLoad = maxAffinityLoadRatio * loads / static_cast<double>(count) + 1;
    for (const PrefixAffinity::Match& match : matches) {
        if (set.contains(match.endpoint) && m_endpoints[match.endpoint]->allOnline() < maxLoad)
            consider(match.endpoint, match.share);
    }
    for (size_t n = 0; n < count; ++n)
        consider(sampled[n], 0);
    if (!best) {
        for (const uint32_t index : set)
            consider(index, 0);
    }
    return best;
}

std::optional<LearnedScheduler::Choice> LearnedScheduler::chooseAmongAll(
    const EndpointIndexSet& set, const WorkEntry& entry, MonotonicTime now) const
{
    std::optional<Choice> best;
    for (const uint32_t index : set) {
        const Choice choice = evaluate(index, entry, 0, now);
        if (entry.mayRunOn(index) && (!best || choice.seconds < best->seconds))
            best = choice;
    }
    return best;
}

void LearnedScheduler::start(WorkEntry& entry, const Choice& choice, MonotonicTime now)
{
    EndpointModel& endpoint = *m_endpoints[choice.endpoint];
    assert(endpoint.acceptsNewWork());
    assert(entry.work.repeatable || !entry.hasStarted);
    EndpointPool& pool = *m_pools[entry.pool];
    entry.state = WorkEntry::State::InFlight;
    entry.hasStarted = true;

    Attempt attempt;
    attempt.endpoint = choice.endpoint;
    attempt.started = now;
    attempt.lastTokens = now;
    attempt.promptTokens = entry.work.promptTokens * (1 - choice.cachedShare);
    attempt.isLong = entry.isLong;
    entry.attempts.push_back(attempt);

    if (endpoint.isSuspect())
        endpoint.recordProbeStart(now);
    endpoint.updateOnlineMean(now);
    if (entry.isOnline()) {
        ++endpoint.online;
        endpoint.longOnline += attempt.isLong ? 1 : 0;
        ++pool.onlineInFlight;
        ++m_counters.onlineInFlight;
        preemptBatch(choice.endpoint, now);
    } else {
        ++endpoint.batch;
        ++m_counters.batchInFlight;
        endpoint.batchWorkIds.push_back(entry.work.id);
    }
    m_affinity.recordSent(entry.work.prefixes, choice.endpoint, now);
    m_decisions.push_back({ Decision::Kind::Start, entry.work.id, endpoint.info.id, {} });
    if (entry.isOnline() && entry.work.repeatable && !entry.isHedged) {
        const double expected = endpoint.speed.firstTokenSeconds(attempt.promptTokens);
        setTimer(entry, now + fromSeconds(std::max(hedgeFactor * expected, expected + minHedgeSeconds)));
    } else {
        setTimer(entry, {});
    }
    refreshEndpoint(choice.endpoint, now);
}

void LearnedScheduler::hedge(WorkEntry& entry, MonotonicTime now)
{
    if (entry.isWithdrawn || entry.isHedged || entry.work.deadline <= now)
        return;
    const auto hasToken = [](const Attempt& attempt) { return attempt.tokens > 0; };
    if (std::ranges::any_of(entry.attempts, hasToken))
        return;
    EndpointPool& pool = *m_pools[entry.pool];
    // A hedge is also an extra attempt, so it counts against both budgets.
    const auto choice = m_hedgeBudget.canAcquire() && m_retryBudget.canAcquire()
        ? choose(pool.localOpen(entry.isLong), entry, {}, now)
        : std::nullopt;
    if (!choice) {
        setTimer(entry, now + hedgeRetryInterval);
        return;
    }
    m_hedgeBudget.tryAcquire();
    m_retryBudget.tryAcquire();
    entry.isHedged = true;
    ++m_counters.hedged;
    start(entry, *choice, now);
}

void LearnedScheduler::preemptBatch(uint32_t index, MonotonicTime now)
{
    EndpointModel& endpoint = *m_endpoints[index];
    const uint32_t limit = endpoint.limit.value();
    if (endpoint.total() <= limit || endpoint.batch + endpoint.peerBatch == 0)
        return;
    endpoint.batchHoldUntil = std::max(endpoint.batchHoldUntil, now + m_settings.yieldHold);
    cancelBatch(index, endpoint.total() - limit, now);
    if (endpoint.total() <= limit || endpoint.peerBatch == 0 || now - endpoint.yieldRequestedAt < yieldRequestInterval)
        return;
    endpoint.yieldRequestedAt = now;
    m_yieldRequests.push_back(endpoint.info.id);
}

uint32_t LearnedScheduler::cancelBatch(uint32_t index, uint32_t count, MonotonicTime now)
{
    EndpointModel& endpoint = *m_endpoints[index];
    std::vector<std::pair<uint32_t, WorkId>> byProgress;
    for (const WorkId id : endpoint.batchWorkIds) {
        const WorkEntry& entry = m_entries.at(id);
        // Unrepeatable work cannot be started again.
        if (entry.work.repeatable)
            byProgress.emplace_back(entry.attempts.front().tokens, id);
    }
    std::ranges::sort(byProgress);
    uint32_t cancelled = 0;
    for (const auto& [progress, id] : byProgress) {
        if (cancelled == count)
            break;
        WorkEntry& entry = m_entries.at(id);
        cancel(entry, entry.attempts.front(), now);
        ++m_counters.yielded;
        ++cancelled;
    }
    return cancelled;
}

void LearnedScheduler::release(WorkEntry& entry, Attempt& attempt, MonotonicTime now)
{
    EndpointModel& endpoint = *m_endpoints[attempt.endpoint];
    endpoint.updateOnlineMean(now);
    if (entry.isOnline()) {
        --endpoint.online;
        endpoint.longOnline -= attempt.isLong ? 1 : 0;
        --m_pools[entry.pool]->onlineInFlight;
        --m_counters.onlineInFlight;
    } else {
        --endpoint.batch;
        --m_counters.batchInFlight;
        std::erase(endpoint.batchWorkIds, entry.work.id);
    }
    endpoint.streaming -= attempt.tokens > 0 ? 1 : 0;
    refreshEndpoint(attempt.endpoint, now);
}

void LearnedScheduler::cancel(WorkEntry& entry, Attempt& attempt, MonotonicTime now)
{
    assert(!attempt.isCancelled);
    attempt.isCancelled = true;
    release(entry, attempt, now);
    m_decisions.push_back({ Decision::Kind::Cancel, entry.work.id, m_endpoints[attempt.endpoint]->info.id, {} });
}

void LearnedScheduler::cancelOthers(WorkEntry& entry, uint32_t winner, MonotonicTime now)
{
    for (Attempt& attempt : entry.attempts) {
        if (attempt.endpoint != winner && !attempt.isCancelled)
            cancel(entry, attempt, now);
    }
}

double LearnedScheduler::maxSuspectCount() const { return maxSuspectShare * m_usableCount; }

void LearnedScheduler::countUsableEndpoints()
{
    m_usableCount = 0;
    m_suspectCount = 0;
    for (const auto& endpoint : m_endpoints) {
        m_usableCount += endpoint->acceptsNewWork() ? 1 : 0;
        m_suspectCount += endpoint->acceptsNewWork() && endpoint->isSuspect() ? 1 : 0;
    }
    if (m_suspectCount <= maxSuspectCount())
        return;
    for (const auto& endpoint : m_endpoints) {
        const bool wasSuspect = endpoint->isSuspect();
        endpoint->dismissSlowness();
        updateSuspectCount(*endpoint, wasSuspect);
    }
}

void LearnedScheduler::updateSuspectCount(const EndpointModel& endpoint, bool wasSuspect)
{
    if (endpoint.acceptsNewWork())
        m_suspectCount += (endpoint.isSuspect() ? 1 : 0) - (wasSuspect ? 1 : 0);
}

void LearnedScheduler::applySample(uint32_t index, MonotonicTime now)
{
    EndpointModel& endpoint = *m_endpoints[index];
    const bool wasSuspect = endpoint.isSuspect();
    const bool maySuspect = m_suspectCount + 1 <= maxSuspectCount();
    endpoint.updateAfterSample(maySuspect, now);
    updateSuspectCount(endpoint, wasSuspect);
    refreshEndpoint(index, now);
}

void LearnedScheduler::recordTokens(WorkId id, const std::string& endpointId, uint32_t count, MonotonicTime now)
{
    const auto it = m_entries.find(id);
    const auto index = indexOf(endpointId);
    if (it == m_entries.end() || !index || count == 0)
        return;
    WorkEntry& entry = it->second;
    const auto found = std::ranges::find(entry.attempts, *index, &Attempt::endpoint);
    if (found == entry.attempts.end() || found->isCancelled)
        return;
    Attempt& attempt = *found;
    EndpointModel& endpoint = *m_endpoints[*index];
    if (endpoint.locality == Locality::OtherRegion && attempt.tokens + count > entry.expectedTokens)
        m_regionByteBudget.charge(static_cast<double>(count) * m_settings.bytesPerGeneratedToken, now);
    if (attempt.tokens == 0) {
        ++endpoint.streaming;
        const MonotonicTime::duration elapsed = now - attempt.started;
        endpoint.speed.addFirstToken(attempt.promptTokens, toSeconds(elapsed));
        if (entry.isOnline())
            endpoint.limit.recordFirstToken(elapsed <= m_settings.firstTokenTarget);
        setTimer(entry, {});
        cancelOthers(entry, *index, now);
        applySample(*index, now);
    } else {
        const double own = endpoint.online + endpoint.batch;
        const double others = endpoint.concurrency() - own;
        if (endpoint.speed.addTokens(count, now - attempt.lastTokens, own, others, now))
            applySample(*index, now);
    }
    attempt.tokens += count;
    attempt.lastTokens = now;
    if (entry.isOnline() && !attempt.isLong && m_lengthPredictor.isLongLength(attempt.tokens)) {
        attempt.isLong = true;
        ++endpoint.longOnline;
        refreshEndpoint(*index, now);
    }
}

void LearnedScheduler::learnFromCompletion(const WorkEntry& entry, const Attempt& attempt, MonotonicTime now)
{
    EndpointModel& endpoint = *m_endpoints[attempt.endpoint];
    const double seconds = toSeconds(now - attempt.started);
    if (attempt.tokens == 0)
        endpoint.speed.addFirstToken(attempt.promptTokens, seconds);
    else
        m_lengthPredictor.add(entry.work, attempt.tokens);
    if (entry.isOnline())
        m_pools[entry.pool]->recordCompletion(seconds, attempt.tokens > 0 ? attempt.tokens : entry.expectedTokens);
}

bool LearnedScheduler::tryRetry(
    WorkEntry& entry, uint32_t failedEndpoint, bool mayRetry, bool wasRefused, MonotonicTime now)
{
    if (!entry.isOnline() || entry.isWithdrawn || !mayRetry || !entry.work.repeatable)
        return false;
    entry.excluded.push_back(failedEndpoint);
    if (++entry.work.attempt >= maxAttempts || entry.work.deadline <= now || !hasEligibleEndpoint(entry))
        return false;
    if (!m_retryBudget.tryAcquire() && (wasRefused || !m_failoverBudget.tryAcquire(now)))
        return false;
    EndpointPool& pool = *m_pools[entry.pool];
    if (entry.onlineKey.id == 0)
        entry.onlineKey = { entry.submitted.time_since_epoch().count(), entry.work.id };
    entry.state = WorkEntry::State::Queued;
    pool.queue(entry.isLong).push(entry.onlineKey, entry.work.workspace);
    ++m_counters.onlineQueued;
    const double service = pool.serviceSeconds(entry.expectedTokens);
    setTimer(entry, std::min(entry.work.deadline - fromSeconds(service), now + m_settings.maxQueueWait));
    markDirty(entry.pool);
    return true;
}

bool LearnedScheduler::finishAttempt(
    WorkId id, const std::string& endpointId, AttemptOutcome outcome, bool mayRetry, MonotonicTime now)
{
    const auto it = m_entries.find(id);
    const auto index = indexOf(endpointId);
    if (it == m_entries.end() || !index)
        return false;
    WorkEntry& entry = it->second;
    const auto found = std::ranges::find(entry.attempts, *index, &Attempt::endpoint);
    if (found == entry.attempts.end())
        return false;
    const Attempt attempt = *found;
    if (!attempt.isCancelled)
        release(entry, *found, now);
    entry.attempts.erase(found);

    EndpointModel& endpoint = *m_endpoints[*index];
    const bool wasSuspect = endpoint.isSuspect();
    const bool hasFailed = outcome == AttemptOutcome::Failed || outcome == AttemptOutcome::Refused;
    if (outcome == AttemptOutcome::Completed) {
        learnFromCompletion(entry, attempt, now);
        endpoint.recordSuccess();
    } else if (hasFailed && !attempt.isCancelled) {
        endpoint.recordFailure(now);
    }
    updateSuspectCount(endpoint, wasSuspect);
    applySample(*index, now);

    if (outcome == AttemptOutcome::Completed && entry.state != WorkEntry::State::Ended) {
        // A cancelled attempt may complete while the work waits for its retry.
        if (entry.state == WorkEntry::State::Queued)
            dequeue(entry);
        cancelOthers(entry, *index, now);
        entry.state = WorkEntry::State::Ended;
        setTimer(entry, {});
    }
    if (entry.state == WorkEntry::State::Ended || entry.isWithdrawn) {
        if (entry.attempts.empty()) {
            setTimer(entry, {});
            m_entries.erase(it);
        }
        return false;
    }
    if (entry.state == WorkEntry::State::Queued)
        return true;
    if (entry.hasLiveAttempt())
        return false;
    if (!entry.isOnline() && attempt.isCancelled && entry.work.repeatable) {
        EndpointPool& pool = *m_pools[entry.pool];
        entry.state = WorkEntry::State::Queued;
        entry.batchKey = pool.batchQueue.push(entry.work, true);
        ++m_counters.batchQueued;
        setTimer(entry, entry.work.deadline);
        markDirty(entry.pool);
        return true;
    }
    setTimer(entry, {});
    if (hasFailed && tryRetry(entry, *index, mayRetry, outcome == AttemptOutcome::Refused, now))
        return true;
    if (entry.attempts.empty())
        m_entries.erase(it);
    else
        entry.state = WorkEntry::State::Ended;
    return false;
}

bool LearnedScheduler::isBlockedByOnline(const EndpointModel& endpoint) const
{
    return std::ranges::any_of(endpoint.pools, [&](uint32_t it) {
        const EndpointPool& pool = *m_pools[it];
        return !pool.shortQueue.isEmpty() || (!pool.longQueue.isEmpty() && endpoint.hasLongRoom());
    });
}

void LearnedScheduler::dispatchBatch(EndpointPool& pool, MonotonicTime now)
{
    // Every endpoint of the pool can run the queued online work, which has precedence.
    if (!pool.shortQueue.isEmpty())
        return;
    size_t skipped = 0;
    auto it = pool.batchQueue.begin();
    while (it != pool.batchQueue.end() && skipped < maxSkipped && !pool.openBatch.isEmpty()) {
        WorkEntry& entry = m_entries.at(BatchQueue::idOf(*it));
        ++it;
        std::optional<uint32_t> best;
        uint32_t bestRoom = 0;
        const auto consider = [&](uint32_t index) {
            const EndpointModel& endpoint = *m_endpoints[index];
            const uint32_t room = endpoint.batchRoom(now);
            if (room > bestRoom && entry.mayRunOn(index) && !isBlockedByOnline(endpoint)) {
                best = index;
                bestRoom = room;
            }
        };
        for (size_t n = 0; n < std::min(candidateCount, pool.openBatch.size()); ++n)
            consider(pool.openBatch[m_random.below(pool.openBatch.size())]);
        if (!best)
            std::ranges::for_each(pool.openBatch, consider);
        if (!best) {
            ++skipped;
            continue;
        }
        dequeue(entry);
        start(entry, { *best, 0, 0 }, now);
    }
}

void LearnedScheduler::recordLoadReport(
    const std::string& endpoint, uint32_t running, uint32_t waiting, Milliseconds, MonotonicTime)
{
    if (const auto index = indexOf(endpoint))
        m_endpoints[*index]->applyLoadReport(running + waiting);
}

void LearnedScheduler::recordCacheEvents(const std::string& endpoint, const std::vector<uint64_t>& stored,
    const std::vector<uint64_t>& evicted, bool gap, MonotonicTime now)
{
    const auto index = indexOf(endpoint);
    if (!index)
        return;
    if (gap)
        m_affinity.recordGap(*index, now);
    m_affinity.recordStored(stored, *index, now);
    m_affinity.recordEvicted(evicted, *index);
}

void LearnedScheduler::applyPeerLoads(const std::vector<PeerLoads::Load>& loads, bool isAdded, MonotonicTime now)
{
    for (const PeerLoads::Load& load : loads) {
        EndpointModel& endpoint = *m_endpoints[load.endpoint];
        endpoint.updateOnlineMean(now);
        if (isAdded) {
            endpoint.peerOnline += load.online;
            endpoint.peerBatch += load.batch;
            // The peers' use of the endpoint counts towards ramping up its limit.
            endpoint.limit.update(endpoint.speed, endpoint.concurrency(), now);
        } else {
            endpoint.peerOnline -= load.online;
            endpoint.peerBatch -= load.batch;
        }
        refreshEndpoint(load.endpoint, now);
    }
}

void LearnedScheduler::recordPeerSummary(
    const std::string& node, const std::vector<EndpointSummary>& summaries, MonotonicTime now)
{
    std::vector<PeerLoads::Load> loads;
    loads.reserve(summaries.size());
    for (const EndpointSummary& it : summaries) {
        const auto index = indexOf(it.endpoint);
        if (!index)
            continue;
        loads.push_back({ *index, it.onlineInFlight, it.batchInFlight });
        if (m_endpoints[*index]->speed.seed(it.firstTokenSeconds, it.gapBaseSeconds, it.gapSlopeSeconds))
            applySample(*index, now);
    }
    const std::vector<PeerLoads::Load> added = loads;
    // Add the new loads before removing the previous ones, so that the endpoint does not appear idle in between.
    applyPeerLoads(added, true, now);
    applyPeerLoads(m_peerLoads.replace(node, std::move(loads), now), false, now);
}

void LearnedScheduler::yieldBatch(const std::string& endpointId, MonotonicTime now)
{
    const auto index = indexOf(endpointId);
    if (!index)
        return;
    EndpointModel& endpoint = *m_endpoints[*index];
    endpoint.batchHoldUntil = std::max(endpoint.batchHoldUntil, now + m_settings.yieldHold);
    cancelBatch(*index, std::max(1U, endpoint.batch / yieldDivisor), now);
    refreshEndpoint(*index, now);
}

std::vector<std::string> LearnedScheduler::takeYieldRequests() { return std::exchange(m_yieldRequests, {}); }

uint32_t LearnedScheduler::batchRoom(MonotonicTime now) const
{
    uint32_t room = 0;
    for (const auto& endpoint : m_endpoints)
        room += endpoint->batchRoom(now);
    const auto queued = m_counters.batchQueued;
    return room > queued ? room - queued : 0;
}

std::vector<EndpointSummary> LearnedScheduler::summary(MonotonicTime) const
{
    std::vector<EndpointSummary> list;
    for (const auto& endpoint : m_endpoints) {
        if (!endpoint->isPresent)
            continue;
        EndpointSummary it { endpoint->info.id, endpoint->online, endpoint->batch, 0, 0, 0 };
        if (endpoint->speed.isProven()) {
            it.firstTokenSeconds = endpoint->speed.firstTokenSeconds(0);
            it.gapBaseSeconds = endpoint->speed.gapBaseSeconds();
            it.gapSlopeSeconds = endpoint->speed.gapSlopeSeconds();
        }
        list.push_back(std::move(it));
    }
    return list;
}

std::vector<EndpointView> LearnedScheduler::view(MonotonicTime now) const
{
    std::vector<EndpointView> list;
    for (EndpointSummary& it : summary(now)) {
        const EndpointModel& endpoint = *m_endpoints[m_endpointIndexes.at(it.endpoint)];
        list.push_back({ endpoint.info, std::move(it), endpoint.limit.value(), endpoint.health(now) });
    }
    return list;
}

SchedulerCounters LearnedScheduler::counters() const
{
    SchedulerCounters counters = m_counters;
    for (const WorkId id : m_arrivals) {
        const bool isOnline = m_entries.at(id).isOnline();
        ++(isOnline ? counters.onlineQueued : counters.batchQueued);
    }
    return counters;
}

}

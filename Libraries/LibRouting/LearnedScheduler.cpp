#include <LibRouting/LearnedScheduler.h>

#include <algorithm>
#include <cassert>
#include <cmath>

namespace Chicorydock {

namespace {

    constexpr uint32_t maxAttempts = 3;
    constexpr Milliseconds idlePoll { 1'000 };
    // Choosing among a few random endpoints is close to the best choice, costs the same with many endpoints, and keeps
    // nodes with the same late knowledge from all choosing the same endpoint.
    constexpr size_t candidates = 6;
    // Works at the head of a queue that are tried before the queue waits for another endpoint.
    constexpr size_t headsTried = 8;
    // A warm endpoint is preferred up to this load beside the other candidates.
    constexpr double maxAffinityLoad = 1.25;
    // A warm prefix saves the endpoint's time too, which every stream there gains from.
    constexpr double affinityFactor = 2;
    // Share of the longest wait from which on the least worthy requests are refused.
    constexpr double refusalStart = 0.25;
    constexpr double minRetryAfterSeconds = 0.5;
    constexpr double maxRetryAfterSeconds = 60;
    // A first token this many times later than predicted is worth a second attempt.
    constexpr double hedgeFactor = 3;
    constexpr double minHedgeSeconds = 0.15;
    constexpr Milliseconds hedgeRetry { 100 };
    // One request to yield per endpoint in this time is enough; it travels about a millisecond.
    constexpr Milliseconds yieldInterval { 20 };
    // How often an endpoint without work is looked at until it counts as free of online work.
    constexpr Milliseconds idleCheck { 200 };
    // A peer that asks for an endpoint needs more than one slot of it, because it does not know the others' needs.
    constexpr uint32_t yieldShare = 4;
    // When more endpoints than this share are suspect, slowness says nothing about a single one.
    constexpr double maxSuspectShare = 0.34;

}

LearnedScheduler::LearnedScheduler(const SchedulerSettings& settings, Random& random)
    : m_settings(settings)
    , m_random(random)
    , m_retries(settings.retryBudget, settings.budgetBurst)
    , m_hedges(settings.hedgeBudget, settings.budgetBurst)
    , m_lossReserve(settings.lossReserve, settings.lossReservePerSecond)
    , m_regionBytes(settings.regionBytesPerSecond)
{
}

std::optional<uint32_t> LearnedScheduler::indexOf(const std::string& endpoint) const
{
    const auto it = m_indexes.find(endpoint);
    if (it == m_indexes.end())
        return {};
    return it->second;
}

uint32_t LearnedScheduler::intern(const SchedulerEndpoint& endpoint)
{
    const auto [it, isNew] = m_indexes.emplace(endpoint.id, static_cast<uint32_t>(m_endpoints.size()));
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

uint32_t LearnedScheduler::laneOf(const std::string& model, MonotonicTime now)
{
    const auto [it, isNew] = m_laneIndexes.emplace(model, static_cast<uint32_t>(m_lanes.size()));
    if (!isNew)
        return it->second;
    m_lanes.push_back(std::make_unique<Lane>());
    m_lanes.back()->model = model;
    for (uint32_t n = 0; n < m_endpoints.size(); ++n) {
        updateMembership(it->second, n);
        touch(n, now);
    }
    return it->second;
}

void LearnedScheduler::updateMembership(uint32_t laneIndex, uint32_t index)
{
    Lane& lane = *m_lanes[laneIndex];
    EndpointModel& endpoint = *m_endpoints[index];
    const bool isServed = serves(endpoint, lane.model);
    const bool isMember = isServed && endpoint.takesNewWork();
    lane.members.set(index, isMember);
    lane.batchMembers.set(index, isMember && endpoint.info.ownsBatch && endpoint.locality != Locality::OtherRegion);
    const auto it = std::ranges::find(endpoint.lanes, laneIndex);
    if (isServed && it == endpoint.lanes.end())
        endpoint.lanes.push_back(laneIndex);
    if (!isServed && it != endpoint.lanes.end()) {
        endpoint.lanes.erase(it);
        for (EndpointIndexSet& open : lane.open)
            open.erase(index);
        lane.openLong.erase(index);
        lane.openBatch.erase(index);
        lane.probes.erase(index);
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
    m_presentCount = static_cast<uint32_t>(endpoints.size());
    for (uint32_t n = 0; n < m_endpoints.size(); ++n) {
        for (uint32_t lane = 0; lane < m_lanes.size(); ++lane)
            updateMembership(lane, n);
        touch(n, now);
    }

    // Queued work that no endpoint can run any more would wait for nothing.
    std::vector<WorkId> stranded;
    for (const auto& lane : m_lanes) {
        for (const bool isLong : { false, true }) {
            const OnlineQueue& queue = lane->queue(isLong);
            for (size_t n = 0; n < queue.size(); ++n) {
                if (!canRunSomewhere(m_entries.at(queue.at(n).id)))
                    stranded.push_back(queue.at(n).id);
            }
        }
        if (lane->batchMembers.isEmpty()) {
            for (const BatchQueue::Place& place : lane->batchQueue)
                stranded.push_back(BatchQueue::idOf(place));
        }
    }
    for (const WorkId id : stranded) {
        WorkEntry& entry = m_entries.at(id);
        dequeue(entry);
        refuse(entry, ErrorKind::NoEndpoint, "no endpoint can run the work");
    }
    for (uint32_t lane = 0; lane < m_lanes.size(); ++lane)
        markDirty(lane);
}

void LearnedScheduler::markDirty(uint32_t lane)
{
    if (m_lanes[lane]->isDirty)
        return;
    m_lanes[lane]->isDirty = true;
    m_dirtyLanes.push_back(lane);
}

void LearnedScheduler::markBatchDirty()
{
    for (uint32_t lane = 0; lane < m_lanes.size(); ++lane) {
        if (!m_lanes[lane]->batchQueue.isEmpty())
            markDirty(lane);
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

void LearnedScheduler::touch(uint32_t index, MonotonicTime now)
{
    EndpointModel& endpoint = *m_endpoints[index];
    endpoint.updateOnlineMean(now);
    const bool isOpen = endpoint.hasOnlineRoom();
    const bool isLocal = endpoint.locality == Locality::OwnDomain;
    const bool hasLongRoom = isOpen && isLocal && endpoint.hasLongRoom();
    const bool hasBatchRoom = endpoint.batchRoom(now) > 0;
    const bool isProbe = isLocal && endpoint.isProbeDue(now);
    for (const uint32_t it : endpoint.lanes) {
        Lane& lane = *m_lanes[it];
        bool hasOpened = lane.open[static_cast<size_t>(endpoint.locality)].set(index, isOpen) && isOpen;
        hasOpened |= lane.openLong.set(index, hasLongRoom) && hasLongRoom;
        hasOpened |= lane.openBatch.set(index, hasBatchRoom) && hasBatchRoom;
        hasOpened |= lane.probes.set(index, isProbe) && isProbe;
        if (hasOpened && lane.hasQueued())
            markDirty(it);
    }
    if (endpoint.takesNewWork() && endpoint.isSuspect() && endpoint.probeAt() > now)
        setEndpointTimer(index, endpoint.probeAt());
    if (endpoint.batchHoldUntil > now)
        setEndpointTimer(index, endpoint.batchHoldUntil);
    else if (!hasBatchRoom && endpoint.isWaitingForIdle())
        setEndpointTimer(index, now + idleCheck);
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
    entry.lane = laneOf(work.model, now);
    for (const std::string& endpoint : work.excludedEndpoints)
        entry.excluded.push_back(intern({ endpoint, {}, false, false, false, {} }));
    const bool isPlain = work.model.empty();
    if (!isPlain) {
        entry.expectedTokens = m_lengths.expectedTokens(work);
        entry.isLong = entry.isOnline() && m_lengths.isLong(work);
    }
    m_arrivals.push_back(work.id);
}

void LearnedScheduler::withdraw(WorkId id, MonotonicTime)
{
    // A refusal that was not polled yet would end the work twice.
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
    if (m_peers.oldest() < now - m_settings.peerSummaryLife)
        applyPeerLoads(m_peers.expire(now - m_settings.peerSummaryLife), false, now);
    runEndpointTimers(now);
    runWorkTimers(now);
    std::vector<WorkId> arrivals;
    arrivals.swap(m_arrivals);
    for (const WorkId id : arrivals)
        admit(m_entries.at(id), now);
    while (!m_dirtyLanes.empty()) {
        std::vector<uint32_t> lanes;
        lanes.swap(m_dirtyLanes);
        for (const uint32_t it : lanes)
            m_lanes[it]->isDirty = false;
        // Online work of all lanes goes first, because lanes share endpoints.
        for (const uint32_t it : lanes) {
            for (const bool isLong : { false, true })
                dispatchQueue(*m_lanes[it], isLong, now);
        }
        for (const uint32_t it : lanes)
            dispatchBatch(*m_lanes[it], now);
    }
    return std::exchange(m_decisions, {});
}

MonotonicTime LearnedScheduler::nextPoll(MonotonicTime now) const
{
    if (!m_arrivals.empty() || !m_dirtyLanes.empty() || !m_decisions.empty())
        return now;
    MonotonicTime next = now + idlePoll;
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
        touch(index, now);
    }
}

bool LearnedScheduler::canRunSomewhere(const WorkEntry& entry) const
{
    const Lane& lane = *m_lanes[entry.lane];
    const EndpointIndexSet& members = entry.isOnline() ? lane.members : lane.batchMembers;
    if (entry.excluded.empty())
        return !members.isEmpty();
    return std::ranges::any_of(members, [&](uint32_t it) { return entry.mayRunOn(it); });
}

double LearnedScheduler::predictedWaitSeconds(const Lane& lane, size_t ahead) const
{
    return static_cast<double>(ahead + 1) * lane.drainSeconds();
}

Milliseconds LearnedScheduler::retryAfter(const Lane& lane)
{
    // The jitter keeps refused callers from coming back all at once.
    const double drain = predictedWaitSeconds(lane, lane.onlineQueued());
    const double seconds = std::clamp(drain, minRetryAfterSeconds, maxRetryAfterSeconds) * (1 + m_random.unit());
    return Milliseconds { static_cast<int64_t>(seconds * 1000) };
}

void LearnedScheduler::refuse(WorkEntry& entry, ErrorKind kind, const char* message)
{
    const WorkId id = entry.work.id;
    m_decisions.push_back(
        { Decision::Kind::Refuse, id, {}, Error { kind, message, retryAfter(*m_lanes[entry.lane]) } });
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
    if (!canRunSomewhere(entry)) {
        refuse(entry, ErrorKind::NoEndpoint, "no endpoint can run the work");
        return;
    }
    Lane& lane = *m_lanes[entry.lane];
    if (entry.work.deadline <= now) {
        refuse(entry, ErrorKind::DeadlineUnattainable, "the deadline has passed");
        return;
    }
    if (!entry.isOnline()) {
        if (lane.batchQueue.size() >= m_settings.maxBatchQueued) {
            refuse(entry, ErrorKind::Overloaded, "the batch queue is full");
            return;
        }
        entry.state = WorkEntry::State::Queued;
        entry.batchPlace = lane.batchQueue.push(entry.work, false);
        ++m_counters.batchQueued;
        setTimer(entry, entry.work.deadline);
        markDirty(entry.lane);
        return;
    }
    m_retries.earn();
    m_hedges.earn();
    entry.worthRank = m_worths.rankAndAdd(entry.work.worth / std::max(1.0, entry.expectedTokens), m_random);
    if (!lane.queue(entry.isLong).isEmpty()) {
        enqueueOnline(entry, now);
        return;
    }
    const Plan it = plan(entry, now);
    if (it.choice)
        start(entry, *it.choice, now);
    else if (it.isHopeless)
        refuse(entry, ErrorKind::DeadlineUnattainable, "no endpoint is fast enough for the deadline");
    else
        enqueueOnline(entry, now);
}

LearnedScheduler::Plan LearnedScheduler::plan(const WorkEntry& entry, MonotonicTime now)
{
    Lane& lane = *m_lanes[entry.lane];
    if (entry.work.repeatable && !lane.probes.isEmpty() && m_hedges.canTake()) {
        const auto probe = choose(lane.probes, entry, {}, now);
        if (probe && m_hedges.take())
            return { probe, false };
    }
    const Matches matches = m_affinity.find(entry.work.prefixes, now);
    const EndpointIndexSet& open = lane.localOpen(entry.isLong);
    const double remaining = toSeconds(entry.work.deadline - now);
    auto choice = choose(open, entry, matches, now);
    if (choice && choice->seconds > remaining)
        choice = chooseAmongAll(open, entry, now);
    if (choice && choice->seconds <= remaining)
        return { choice, false };
    if (choice) {
        if (const auto other = planSpill(entry, choice->seconds, now))
            return { other, false };
        // Nothing is known yet of an unproven endpoint that would justify a refusal.
        if (!m_endpoints[choice->endpoint]->speed.isProven())
            return { choice, false };
        return { {}, true };
    }
    if (lane.open[0].isEmpty() && !lane.probes.isEmpty())
        return { choose(lane.probes, entry, {}, now), false };
    return {};
}

bool LearnedScheduler::takeRegionBytes(const WorkEntry& entry, MonotonicTime now)
{
    const double bytes = entry.work.promptTokens * static_cast<double>(m_settings.bytesPerPromptToken)
        + entry.expectedTokens * m_settings.bytesPerGeneratedToken;
    return m_regionBytes.take(bytes, now);
}

std::optional<LearnedScheduler::Choice> LearnedScheduler::planSpill(
    const WorkEntry& entry, double localSeconds, MonotonicTime now)
{
    const Lane& lane = *m_lanes[entry.lane];
    const double most = std::min(localSeconds, toSeconds(entry.work.deadline - now));
    for (const Locality locality : { Locality::OtherDomain, Locality::OtherRegion }) {
        const auto choice = choose(lane.open[static_cast<size_t>(locality)], entry, {}, now);
        if (!choice || choice->seconds > most)
            continue;
        if (locality == Locality::OtherRegion && !takeRegionBytes(entry, now))
            continue;
        return choice;
    }
    return {};
}

void LearnedScheduler::enqueueOnline(WorkEntry& entry, MonotonicTime now)
{
    Lane& lane = *m_lanes[entry.lane];
    OnlineQueue& queue = lane.queue(entry.isLong);
    const MonotonicTime::duration interval = fromSeconds(lane.drainSeconds());
    const OnlineQueue::Place place = queue.placeOf(entry.work, interval, now);
    const double wait = predictedWaitSeconds(lane, queue.rank(place));
    const double maxWait = toSeconds(m_settings.maxQueueWait);
    const double service = lane.serviceSeconds(entry.expectedTokens);
    const double remaining = toSeconds(entry.work.deadline - now);

    const double fill = wait / maxWait;
    const double refusedShare = (fill - refusalStart) / (1 - refusalStart);
    const bool isCrowdedOut = entry.worthRank < refusedShare || lane.onlineQueued() >= m_settings.maxOnlineQueued;
    const bool isTooLate = wait + service > remaining;
    if (isCrowdedOut || isTooLate) {
        if (const auto other = planSpill(entry, remaining, now))
            start(entry, *other, now);
        else if (isTooLate)
            refuse(entry, ErrorKind::DeadlineUnattainable, "the deadline cannot be met");
        else
            refuse(entry, ErrorKind::Overloaded, "the queue is too long");
        return;
    }
    entry.state = WorkEntry::State::Queued;
    entry.onlinePlace = place;
    queue.push(place, entry.work.workspace);
    ++m_counters.onlineQueued;
    setTimer(entry, std::min(entry.work.deadline - fromSeconds(service), now + m_settings.maxQueueWait));
}

void LearnedScheduler::dequeue(WorkEntry& entry)
{
    Lane& lane = *m_lanes[entry.lane];
    if (entry.isOnline()) {
        lane.queue(entry.isLong).erase(entry.onlinePlace, entry.work.workspace);
        --m_counters.onlineQueued;
    } else {
        lane.batchQueue.erase(entry.batchPlace);
        --m_counters.batchQueued;
    }
    entry.state = WorkEntry::State::Arrived;
    setTimer(entry, {});
    if (entry.isOnline() && lane.onlineQueued() == 0)
        markBatchDirty();
}

void LearnedScheduler::dispatchQueue(Lane& lane, bool isLong, MonotonicTime now)
{
    OnlineQueue& queue = lane.queue(isLong);
    size_t skipped = 0;
    while (skipped < queue.size() && skipped < headsTried) {
        const bool mayProbe = lane.open[0].isEmpty() && !lane.probes.isEmpty();
        if (lane.localOpen(isLong).isEmpty() && !mayProbe)
            break;
        WorkEntry& entry = m_entries.at(queue.at(skipped).id);
        const Plan it = plan(entry, now);
        if (!it.choice && !it.isHopeless) {
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

LearnedScheduler::Choice LearnedScheduler::rate(
    uint32_t index, const WorkEntry& entry, double warmShare, MonotonicTime now) const
{
    const EndpointModel& endpoint = *m_endpoints[index];
    const double prompt = entry.work.promptTokens * (1 - warmShare);
    return { index, endpoint.predictedSeconds(prompt, entry.expectedTokens, now), warmShare };
}

std::optional<LearnedScheduler::Choice> LearnedScheduler::choose(
    const EndpointIndexSet& set, const WorkEntry& entry, const Matches& matches, MonotonicTime now)
{
    std::array<uint32_t, candidates> sampled {};
    const size_t count = std::min(candidates, set.size());
    double loads = 0;
    for (size_t n = 0; n < count; ++n) {
        sampled[n] = set.size() <= candidates ? set[n] : set[m_random.below(set.size())];
        loads += m_endpoints[sampled[n]]->allOnline();
    }
    if (count == 0)
        return {};

    std::optional<Choice> best;
    double bestCost = 0;
    const auto consider = [&](uint32_t index, double warmShare) {
        if (!entry.mayRunOn(index))
            return;
        const Choice choice = rate(index, entry, warmShare, now);
        const SpeedEstimator& speed = m_endpoints[index]->speed;
        // The other streams there become slower by the slope for every token of this one.
        const double burden = entry.expectedTokens * speed.gapSlopeSeconds() * m_endpoints[index]->concurrency();
        const double bonus = (affinityFactor - 1)
            * (speed.firstTokenSeconds(entry.work.promptTokens)
                - speed.firstTokenSeconds(entry.work.promptTokens * (1 - warmShare)));
        const double cost = choice.seconds + burden - bonus;
        if (!best || cost < bestCost) {
            best = choice;
            bestCost = cost;
        }
    };
    // Endpoints that hold the prefix compete without it once they are loaded more than the others.
    const double maxLoad = maxAffinityLoad * loads / static_cast<double>(count) + 1;
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
        const Choice choice = rate(index, entry, 0, now);
        if (entry.mayRunOn(index) && (!best || choice.seconds < best->seconds))
            best = choice;
    }
    return best;
}

void LearnedScheduler::start(WorkEntry& entry, const Choice& choice, MonotonicTime now)
{
    EndpointModel& endpoint = *m_endpoints[choice.endpoint];
    assert(endpoint.takesNewWork());
    assert(entry.work.repeatable || !entry.hasStarted);
    Lane& lane = *m_lanes[entry.lane];
    entry.state = WorkEntry::State::InFlight;
    entry.hasStarted = true;

    Attempt attempt;
    attempt.endpoint = choice.endpoint;
    attempt.started = now;
    attempt.lastTokens = now;
    attempt.promptTokens = entry.work.promptTokens * (1 - choice.warmShare);
    attempt.isLong = entry.isLong;
    entry.attempts.push_back(attempt);

    if (endpoint.isSuspect())
        endpoint.noteProbeStarted(now);
    endpoint.updateOnlineMean(now);
    if (entry.isOnline()) {
        ++endpoint.online;
        endpoint.longOnline += attempt.isLong ? 1 : 0;
        ++lane.onlineInFlight;
        ++m_counters.onlineInFlight;
        makeRoom(choice.endpoint, now);
    } else {
        ++endpoint.batch;
        ++m_counters.batchInFlight;
        endpoint.batchWorks.push_back(entry.work.id);
    }
    m_affinity.noteSent(entry.work.prefixes, choice.endpoint, now);
    m_decisions.push_back({ Decision::Kind::Start, entry.work.id, endpoint.info.id, {} });
    if (entry.isOnline() && entry.work.repeatable && !entry.isHedged) {
        const double expected = endpoint.speed.firstTokenSeconds(attempt.promptTokens);
        setTimer(entry, now + fromSeconds(std::max(hedgeFactor * expected, expected + minHedgeSeconds)));
    } else {
        setTimer(entry, {});
    }
    touch(choice.endpoint, now);
}

void LearnedScheduler::hedge(WorkEntry& entry, MonotonicTime now)
{
    if (entry.isWithdrawn || entry.isHedged || entry.work.deadline <= now)
        return;
    const auto hasToken = [](const Attempt& attempt) { return attempt.tokens > 0; };
    if (std::ranges::any_of(entry.attempts, hasToken))
        return;
    Lane& lane = *m_lanes[entry.lane];
    // A hedge is an extra attempt too, so that it counts against both budgets.
    const auto choice = m_hedges.canTake() && m_retries.canTake() ? choose(lane.localOpen(entry.isLong), entry, {}, now)
                                                                  : std::nullopt;
    if (!choice) {
        setTimer(entry, now + hedgeRetry);
        return;
    }
    m_hedges.take();
    m_retries.take();
    entry.isHedged = true;
    ++m_counters.hedged;
    start(entry, *choice, now);
}

void LearnedScheduler::makeRoom(uint32_t index, MonotonicTime now)
{
    EndpointModel& endpoint = *m_endpoints[index];
    const uint32_t limit = endpoint.limit.value();
    if (endpoint.total() <= limit || endpoint.batch + endpoint.peerBatch == 0)
        return;
    endpoint.batchHoldUntil = std::max(endpoint.batchHoldUntil, now + m_settings.yieldHold);
    cancelBatch(index, endpoint.total() - limit, now);
    if (endpoint.total() <= limit || endpoint.peerBatch == 0 || now - endpoint.yieldAskedAt < yieldInterval)
        return;
    endpoint.yieldAskedAt = now;
    m_yieldRequests.push_back(endpoint.info.id);
}

uint32_t LearnedScheduler::cancelBatch(uint32_t index, uint32_t count, MonotonicTime now)
{
    EndpointModel& endpoint = *m_endpoints[index];
    std::vector<std::pair<uint32_t, WorkId>> byProgress;
    for (const WorkId id : endpoint.batchWorks) {
        const WorkEntry& entry = m_entries.at(id);
        // Unrepeatable work cannot start again.
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
        --m_lanes[entry.lane]->onlineInFlight;
        --m_counters.onlineInFlight;
    } else {
        --endpoint.batch;
        --m_counters.batchInFlight;
        std::erase(endpoint.batchWorks, entry.work.id);
    }
    endpoint.streaming -= attempt.tokens > 0 ? 1 : 0;
    touch(attempt.endpoint, now);
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

void LearnedScheduler::noteSample(uint32_t index, MonotonicTime now)
{
    EndpointModel& endpoint = *m_endpoints[index];
    const bool wasSuspect = endpoint.isSuspect();
    const bool maySuspect = m_suspectCount < maxSuspectShare * m_presentCount;
    endpoint.updateAfterSample(maySuspect, now);
    if (endpoint.isSuspect() && !wasSuspect)
        ++m_suspectCount;
    if (!endpoint.isSuspect() && wasSuspect)
        --m_suspectCount;
    touch(index, now);
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
        m_regionBytes.charge(static_cast<double>(count) * m_settings.bytesPerGeneratedToken, now);
    if (attempt.tokens == 0) {
        ++endpoint.streaming;
        const MonotonicTime::duration elapsed = now - attempt.started;
        endpoint.speed.addFirstToken(attempt.promptTokens, toSeconds(elapsed));
        if (entry.isOnline())
            endpoint.limit.noteFirstToken(elapsed <= m_settings.firstTokenTarget);
        setTimer(entry, {});
        cancelOthers(entry, *index, now);
        noteSample(*index, now);
    } else {
        const double own = endpoint.online + endpoint.batch;
        const double others = endpoint.concurrency() - own;
        if (endpoint.speed.addTokens(count, now - attempt.lastTokens, own, others, now))
            noteSample(*index, now);
    }
    attempt.tokens += count;
    attempt.lastTokens = now;
    if (entry.isOnline() && !attempt.isLong && m_lengths.isLongLength(attempt.tokens)) {
        attempt.isLong = true;
        ++endpoint.longOnline;
        touch(*index, now);
    }
}

void LearnedScheduler::learnFromCompletion(const WorkEntry& entry, const Attempt& attempt, MonotonicTime now)
{
    EndpointModel& endpoint = *m_endpoints[attempt.endpoint];
    const double seconds = toSeconds(now - attempt.started);
    if (attempt.tokens == 0)
        endpoint.speed.addFirstToken(attempt.promptTokens, seconds);
    else
        m_lengths.add(entry.work, attempt.tokens);
    if (entry.isOnline())
        m_lanes[entry.lane]->noteCompleted(seconds, attempt.tokens > 0 ? attempt.tokens : entry.expectedTokens);
}

bool LearnedScheduler::tryRetry(
    WorkEntry& entry, uint32_t failedEndpoint, bool mayRetry, bool hasRefused, MonotonicTime now)
{
    if (!entry.isOnline() || entry.isWithdrawn || !mayRetry || !entry.work.repeatable)
        return false;
    entry.excluded.push_back(failedEndpoint);
    if (++entry.work.attempt >= maxAttempts || entry.work.deadline <= now || !canRunSomewhere(entry))
        return false;
    if (!m_retries.take() && (hasRefused || !m_lossReserve.take(now)))
        return false;
    Lane& lane = *m_lanes[entry.lane];
    if (entry.onlinePlace.id == 0)
        entry.onlinePlace = { entry.submitted.time_since_epoch().count(), entry.work.id };
    entry.state = WorkEntry::State::Queued;
    lane.queue(entry.isLong).push(entry.onlinePlace, entry.work.workspace);
    ++m_counters.onlineQueued;
    const double service = lane.serviceSeconds(entry.expectedTokens);
    setTimer(entry, std::min(entry.work.deadline - fromSeconds(service), now + m_settings.maxQueueWait));
    markDirty(entry.lane);
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
        endpoint.noteSuccess();
    } else if (hasFailed && !attempt.isCancelled) {
        endpoint.noteFailure(now);
    }
    m_suspectCount += (endpoint.isSuspect() ? 1 : 0) - (wasSuspect ? 1 : 0);
    noteSample(*index, now);

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
        Lane& lane = *m_lanes[entry.lane];
        entry.state = WorkEntry::State::Queued;
        entry.batchPlace = lane.batchQueue.push(entry.work, true);
        ++m_counters.batchQueued;
        setTimer(entry, entry.work.deadline);
        markDirty(entry.lane);
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
    return std::ranges::any_of(endpoint.lanes, [&](uint32_t it) {
        const Lane& lane = *m_lanes[it];
        return !lane.shortQueue.isEmpty() || (!lane.longQueue.isEmpty() && endpoint.hasLongRoom());
    });
}

void LearnedScheduler::dispatchBatch(Lane& lane, MonotonicTime now)
{
    // Every endpoint of the lane could run the online work.
    if (!lane.shortQueue.isEmpty())
        return;
    size_t skipped = 0;
    auto it = lane.batchQueue.begin();
    while (it != lane.batchQueue.end() && skipped < headsTried && !lane.openBatch.isEmpty()) {
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
        for (size_t n = 0; n < std::min(candidates, lane.openBatch.size()); ++n)
            consider(lane.openBatch[m_random.below(lane.openBatch.size())]);
        if (!best)
            std::ranges::for_each(lane.openBatch, consider);
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
        m_endpoints[*index]->noteLoadReport(running + waiting);
}

void LearnedScheduler::recordCacheEvents(const std::string& endpoint, const std::vector<uint64_t>& stored,
    const std::vector<uint64_t>& evicted, bool gap, MonotonicTime now)
{
    const auto index = indexOf(endpoint);
    if (!index)
        return;
    if (gap)
        m_affinity.noteGap(*index, now);
    m_affinity.noteStored(stored, *index, now);
    m_affinity.noteEvicted(evicted, *index);
}

void LearnedScheduler::applyPeerLoads(const std::vector<PeerLoads::Load>& loads, bool isAdded, MonotonicTime now)
{
    for (const PeerLoads::Load& load : loads) {
        EndpointModel& endpoint = *m_endpoints[load.endpoint];
        endpoint.updateOnlineMean(now);
        if (isAdded) {
            endpoint.peerOnline += load.online;
            endpoint.peerBatch += load.batch;
            // The limit may ramp up with the peers' use of it.
            endpoint.limit.update(endpoint.speed, endpoint.concurrency(), now);
        } else {
            endpoint.peerOnline -= load.online;
            endpoint.peerBatch -= load.batch;
        }
        touch(load.endpoint, now);
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
            noteSample(*index, now);
    }
    const std::vector<PeerLoads::Load> added = loads;
    // The new loads come first, so that an endpoint does not look free in between.
    applyPeerLoads(added, true, now);
    applyPeerLoads(m_peers.replace(node, std::move(loads), now), false, now);
}

void LearnedScheduler::yieldBatch(const std::string& endpointId, MonotonicTime now)
{
    const auto index = indexOf(endpointId);
    if (!index)
        return;
    EndpointModel& endpoint = *m_endpoints[*index];
    endpoint.batchHoldUntil = std::max(endpoint.batchHoldUntil, now + m_settings.yieldHold);
    cancelBatch(*index, std::max(1U, endpoint.batch / yieldShare), now);
    touch(*index, now);
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
        const EndpointModel& endpoint = *m_endpoints[m_indexes.at(it.endpoint)];
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

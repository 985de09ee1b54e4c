#include <LibDispatch/Dispatcher.h>

#include <algorithm>

namespace Chicorydock {

Dispatcher::Dispatcher(const Clock& clock, SchedulerFactory factory, std::function<void()> wake, YieldCallback yield)
    : m_clock(clock)
    , m_factory(std::move(factory))
    , m_wake(std::move(wake))
    , m_yield(std::move(yield))
{
}

Dispatcher::~Dispatcher() = default;

void Dispatcher::setEndpoints(
    const EndpointSet& endpoints, const std::map<std::string, std::vector<SchedulerEndpoint>>& byService)
{
    m_endpoints.publish(std::make_shared<const EndpointSet>(endpoints));
    Lanes lanes = *m_lanes.read();
    for (const auto& [service, list] : byService) {
        auto& lane = lanes[service];
        if (!lane) {
            lane = std::make_shared<Lane>();
            lane->service = service;
            lane->scheduler = m_factory(service);
            lane->nextPoll = m_clock.now();
        }
    }
    m_lanes.publish(std::make_shared<const Lanes>(lanes));
    for (const auto& [service, lane] : lanes) {
        const std::lock_guard guard(lane->mutex);
        const auto it = byService.find(service);
        lane->scheduler->setEndpoints(
            it == byService.end() ? std::vector<SchedulerEndpoint> {} : it->second, m_clock.now());
        pollLane(*lane);
    }
}

WorkId Dispatcher::submit(const std::string& service, Work work, std::weak_ptr<DispatchListener> listener, Post post)
{
    const auto it = lane(service);
    if (!it)
        throw Error { ErrorKind::NoEndpoint, "service '" + service + "' has no endpoint" };
    work.id = ++m_lastId;
    const std::lock_guard guard(it->mutex);
    it->entries.emplace(work.id, Entry { std::move(listener), std::move(post) });
    it->scheduler->submit(work, m_clock.now());
    pollLane(*it);
    return work.id;
}

void Dispatcher::withdraw(const std::string& service, WorkId id)
{
    const auto it = lane(service);
    if (!it)
        return;
    const std::lock_guard guard(it->mutex);
    const auto entry = it->entries.find(id);
    if (entry == it->entries.end())
        return;
    it->scheduler->withdraw(id, m_clock.now());
    entry->second.isEnded = true;
    forgetIfDone(*it, entry);
    pollLane(*it);
}

void Dispatcher::tokens(const std::string& service, WorkId id, const std::string& endpoint, uint32_t count)
{
    const auto it = lane(service);
    if (!it)
        return;
    const std::lock_guard guard(it->mutex);
    it->scheduler->recordTokens(id, endpoint, count, m_clock.now());
    pollLane(*it);
}

bool Dispatcher::finished(
    const std::string& service, WorkId id, const std::string& endpoint, AttemptOutcome outcome, bool mayRetry)
{
    const auto it = lane(service);
    if (!it)
        return false;
    const std::lock_guard guard(it->mutex);
    const bool isQueuedAgain = it->scheduler->finishAttempt(id, endpoint, outcome, mayRetry, m_clock.now());
    const auto entry = it->entries.find(id);
    if (entry != it->entries.end()) {
        if (entry->second.attempts > 0)
            --entry->second.attempts;
        // Batch work that was cancelled to make room is queued again inside the scheduler.
        const bool hasFailed = outcome == AttemptOutcome::Failed || outcome == AttemptOutcome::Refused;
        if (outcome == AttemptOutcome::Completed || (hasFailed && !isQueuedAgain && entry->second.attempts == 0))
            entry->second.isEnded = true;
        forgetIfDone(*it, entry);
    }
    pollLane(*it);
    return isQueuedAgain;
}

void Dispatcher::loadReport(
    const std::string& service, const std::string& endpoint, uint32_t running, uint32_t waiting, Milliseconds age)
{
    if (const auto it = lane(service)) {
        const std::lock_guard guard(it->mutex);
        it->scheduler->recordLoadReport(endpoint, running, waiting, age, m_clock.now());
        pollLane(*it);
    }
}

void Dispatcher::cacheEvents(const std::string& service, const std::string& endpoint,
    const std::vector<uint64_t>& stored, const std::vector<uint64_t>& evicted, bool gap)
{
    if (const auto it = lane(service)) {
        const std::lock_guard guard(it->mutex);
        it->scheduler->recordCacheEvents(endpoint, stored, evicted, gap, m_clock.now());
    }
}

void Dispatcher::peerSummary(
    const std::string& service, const std::string& node, const std::vector<EndpointSummary>& summary)
{
    if (const auto it = lane(service)) {
        const std::lock_guard guard(it->mutex);
        it->scheduler->recordPeerSummary(node, summary, m_clock.now());
        pollLane(*it);
    }
}

void Dispatcher::yieldBatch(const std::string& service, const std::string& endpoint)
{
    if (const auto it = lane(service)) {
        const std::lock_guard guard(it->mutex);
        it->scheduler->yieldBatch(endpoint, m_clock.now());
        pollLane(*it);
    }
}

uint32_t Dispatcher::batchRoom(const std::string& service) const
{
    const auto it = lane(service);
    if (!it)
        return 0;
    const std::lock_guard guard(it->mutex);
    return it->scheduler->batchRoom(m_clock.now());
}

std::map<std::string, std::vector<EndpointSummary>> Dispatcher::summaries() const
{
    std::map<std::string, std::vector<EndpointSummary>> result;
    const auto lanes = m_lanes.read();
    for (const auto& [service, lane] : *lanes) {
        const std::lock_guard guard(lane->mutex);
        result.emplace(service, lane->scheduler->summary(m_clock.now()));
    }
    return result;
}

std::map<std::string, std::vector<EndpointView>> Dispatcher::views() const
{
    std::map<std::string, std::vector<EndpointView>> result;
    const auto lanes = m_lanes.read();
    for (const auto& [service, lane] : *lanes) {
        const std::lock_guard guard(lane->mutex);
        result.emplace(service, lane->scheduler->view(m_clock.now()));
    }
    return result;
}

std::vector<EndpointView> Dispatcher::view(const std::string& service) const
{
    const auto it = lane(service);
    if (!it)
        return {};
    const std::lock_guard guard(it->mutex);
    return it->scheduler->view(m_clock.now());
}

std::map<std::string, SchedulerCounters> Dispatcher::counters() const
{
    std::map<std::string, SchedulerCounters> result;
    const auto lanes = m_lanes.read();
    for (const auto& [service, lane] : *lanes) {
        const std::lock_guard guard(lane->mutex);
        result.emplace(service, lane->scheduler->counters());
    }
    return result;
}

bool Dispatcher::hasService(const std::string& service) const { return lane(service) != nullptr; }

void Dispatcher::poll()
{
    const auto lanes = m_lanes.read();
    for (const auto& [service, lane] : *lanes) {
        const std::lock_guard guard(lane->mutex);
        if (lane->nextPoll <= m_clock.now())
            pollLane(*lane);
    }
}

MonotonicTime Dispatcher::nextPoll() const
{
    // Without any work, time changes nothing for a while.
    constexpr std::chrono::seconds idlePoll { 1 };
    MonotonicTime next = m_clock.now() + idlePoll;
    const auto lanes = m_lanes.read();
    for (const auto& [service, lane] : *lanes) {
        const std::lock_guard guard(lane->mutex);
        next = std::min(next, lane->nextPoll);
    }
    return next;
}

std::shared_ptr<Dispatcher::Lane> Dispatcher::lane(const std::string& service) const
{
    const auto lanes = m_lanes.read();
    const auto it = lanes->find(service);
    return it == lanes->end() ? nullptr : it->second;
}

void Dispatcher::pollLane(Lane& lane)
{
    for (const Decision& decision : lane.scheduler->poll(m_clock.now()))
        deliver(lane, decision);
    for (const std::string& endpoint : lane.scheduler->takeYieldRequests())
        m_yield(lane.service, endpoint);
    const MonotonicTime next = lane.scheduler->nextPoll(m_clock.now());
    const bool isEarlier = next < lane.nextPoll;
    lane.nextPoll = next;
    if (isEarlier)
        m_wake();
}

void Dispatcher::deliver(Lane& lane, const Decision& decision)
{
    const auto it = lane.entries.find(decision.work);
    if (it == lane.entries.end())
        return;
    Entry& entry = it->second;
    switch (decision.kind) {
    case Decision::Kind::Start: {
        ++entry.attempts;
        const auto endpoints = m_endpoints.read();
        const KnownEndpoint* endpoint = endpoints->find(decision.endpoint);
        // An endpoint that is gone since the decision gets an empty address, so that the attempt fails as not sent.
        KnownEndpoint target = endpoint ? *endpoint : KnownEndpoint { decision.endpoint, {}, {}, {}, {}, true };
        entry.post(
            [this, service = lane.service, id = decision.work, listener = entry.listener, target = std::move(target)] {
                if (const auto strong = listener.lock())
                    strong->onStart(target);
                else
                    finished(service, id, target.id, AttemptOutcome::Cancelled, false);
            });
        return;
    }
    case Decision::Kind::Cancel:
        entry.post([listener = entry.listener, endpoint = decision.endpoint] {
            if (const auto strong = listener.lock())
                strong->onCancel(endpoint);
        });
        return;
    case Decision::Kind::Refuse:
        entry.post(
            [listener = entry.listener, error = decision.error.value_or(Error { ErrorKind::Overloaded, "refused" })] {
                if (const auto strong = listener.lock())
                    strong->onRefuse(error);
            });
        entry.isEnded = true;
        forgetIfDone(lane, it);
        return;
    }
}

void Dispatcher::forgetIfDone(Lane& lane, std::unordered_map<WorkId, Entry>::iterator entry)
{
    if (entry->second.isEnded && entry->second.attempts == 0)
        lane.entries.erase(entry);
}

}

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
    Services services = *m_services.read();
    for (const auto& [service, list] : byService) {
        auto& state = services[service];
        if (!state) {
            state = std::make_shared<ServiceState>();
            state->service = service;
            state->scheduler = m_factory(service);
            state->nextPoll = m_clock.now();
        }
    }
    m_services.publish(std::make_shared<const Services>(services));
    for (const auto& [service, state] : services) {
        const std::lock_guard guard(state->mutex);
        const auto it = byService.find(service);
        state->scheduler->setEndpoints(
            it == byService.end() ? std::vector<SchedulerEndpoint> {} : it->second, m_clock.now());
        pollService(*state);
    }
}

WorkId Dispatcher::submit(const std::string& service, Work work, std::weak_ptr<DispatchListener> listener, Post post)
{
    const auto state = findService(service);
    if (!state)
        throw Error { ErrorKind::NoEndpoint, "service '" + service + "' has no endpoint" };
    work.id = ++m_lastId;
    const std::lock_guard guard(state->mutex);
    state->entries.emplace(work.id, Entry { std::move(listener), std::move(post) });
    state->scheduler->submit(work, m_clock.now());
    pollService(*state);
    return work.id;
}

void Dispatcher::withdraw(const std::string& service, WorkId id)
{
    const auto state = findService(service);
    if (!state)
        return;
    const std::lock_guard guard(state->mutex);
    const auto entry = state->entries.find(id);
    if (entry == state->entries.end())
        return;
    state->scheduler->withdraw(id, m_clock.now());
    entry->second.isEnded = true;
    eraseIfDone(*state, entry);
    pollService(*state);
}

void Dispatcher::recordTokens(const std::string& service, WorkId id, const std::string& endpoint, uint32_t count)
{
    const auto state = findService(service);
    if (!state)
        return;
    const std::lock_guard guard(state->mutex);
    state->scheduler->recordTokens(id, endpoint, count, m_clock.now());
    pollService(*state);
}

bool Dispatcher::finishAttempt(
    const std::string& service, WorkId id, const std::string& endpoint, AttemptOutcome outcome, bool mayRetry)
{
    const auto state = findService(service);
    if (!state)
        return false;
    const std::lock_guard guard(state->mutex);
    const bool isQueuedAgain = state->scheduler->finishAttempt(id, endpoint, outcome, mayRetry, m_clock.now());
    const auto entry = state->entries.find(id);
    if (entry != state->entries.end()) {
        if (entry->second.attemptsInFlight > 0)
            --entry->second.attemptsInFlight;
        // Batch work that was cancelled in favour of online work is queued again inside the scheduler.
        const bool hasFailed = outcome == AttemptOutcome::Failed || outcome == AttemptOutcome::Refused;
        if (outcome == AttemptOutcome::Completed
            || (hasFailed && !isQueuedAgain && entry->second.attemptsInFlight == 0))
            entry->second.isEnded = true;
        eraseIfDone(*state, entry);
    }
    pollService(*state);
    return isQueuedAgain;
}

void Dispatcher::recordLoadReport(
    const std::string& service, const std::string& endpoint, uint32_t running, uint32_t waiting, Milliseconds age)
{
    if (const auto state = findService(service)) {
        const std::lock_guard guard(state->mutex);
        state->scheduler->recordLoadReport(endpoint, running, waiting, age, m_clock.now());
        pollService(*state);
    }
}

void Dispatcher::recordCacheEvents(const std::string& service, const std::string& endpoint,
    const std::vector<uint64_t>& stored, const std::vector<uint64_t>& evicted, bool gap)
{
    if (const auto state = findService(service)) {
        const std::lock_guard guard(state->mutex);
        state->scheduler->recordCacheEvents(endpoint, stored, evicted, gap, m_clock.now());
    }
}

void Dispatcher::recordPeerSummary(
    const std::string& service, const std::string& node, const std::vector<EndpointSummary>& summary)
{
    if (const auto state = findService(service)) {
        const std::lock_guard guard(state->mutex);
        state->scheduler->recordPeerSummary(node, summary, m_clock.now());
        pollService(*state);
    }
}

void Dispatcher::yieldBatch(const std::string& service, const std::string& endpoint)
{
    if (const auto state = findService(service)) {
        const std::lock_guard guard(state->mutex);
        state->scheduler->yieldBatch(endpoint, m_clock.now());
        pollService(*state);
    }
}

uint32_t Dispatcher::batchRoom(const std::string& service) const
{
    const auto state = findService(service);
    if (!state)
        return 0;
    const std::lock_guard guard(state->mutex);
    return state->scheduler->batchRoom(m_clock.now());
}

std::map<std::string, std::vector<EndpointSummary>> Dispatcher::summaries() const
{
    std::map<std::string, std::vector<EndpointSummary>> result;
    const auto services = m_services.read();
    for (const auto& [service, state] : *services) {
        const std::lock_guard guard(state->mutex);
        result.emplace(service, state->scheduler->summary(m_clock.now()));
    }
    return result;
}

std::map<std::string, std::vector<EndpointView>> Dispatcher::views() const
{
    std::map<std::string, std::vector<EndpointView>> result;
    const auto services = m_services.read();
    for (const auto& [service, state] : *services) {
        const std::lock_guard guard(state->mutex);
        result.emplace(service, state->scheduler->view(m_clock.now()));
    }
    return result;
}

std::vector<EndpointView> Dispatcher::view(const std::string& service) const
{
    const auto state = findService(service);
    if (!state)
        return {};
    const std::lock_guard guard(state->mutex);
    return state->scheduler->view(m_clock.now());
}

std::map<std::string, SchedulerCounters> Dispatcher::counters() const
{
    std::map<std::string, SchedulerCounters> result;
    const auto services = m_services.read();
    for (const auto& [service, state] : *services) {
        const std::lock_guard guard(state->mutex);
        result.emplace(service, state->scheduler->counters());
    }
    return result;
}

bool Dispatcher::hasService(const std::string& service) const { return findService(service) != nullptr; }

void Dispatcher::poll()
{
    const auto services = m_services.read();
    for (const auto& [service, state] : *services) {
        const std::lock_guard guard(state->mutex);
        if (state->nextPoll <= m_clock.now())
            pollService(*state);
    }
}

MonotonicTime Dispatcher::nextPoll() const
{
    // A scheduler without work does not depend on the time, so it is polled rarely.
    constexpr std::chrono::seconds idlePollInterval { 1 };
    MonotonicTime next = m_clock.now() + idlePollInterval;
    const auto services = m_services.read();
    for (const auto& [service, state] : *services) {
        const std::lock_guard guard(state->mutex);
        next = std::min(next, state->nextPoll);
    }
    return next;
}

std::shared_ptr<Dispatcher::ServiceState> Dispatcher::findService(const std::string& service) const
{
    const auto services = m_services.read();
    const auto it = services->find(service);
    return it == services->end() ? nullptr : it->second;
}

void Dispatcher::pollService(ServiceState& state)
{
    for (const Decision& decision : state.scheduler->poll(m_clock.now()))
        deliver(state, decision);
    for (const std::string& endpoint : state.scheduler->takeYieldRequests())
        m_yield(state.service, endpoint);
    const MonotonicTime next = state.scheduler->nextPoll(m_clock.now());
    const bool isEarlier = next < state.nextPoll;
    state.nextPoll = next;
    if (isEarlier)
        m_wake();
}

void Dispatcher::deliver(ServiceState& state, const Decision& decision)
{
    const auto it = state.entries.find(decision.work);
    if (it == state.entries.end())
        return;
    Entry& entry = it->second;
    switch (decision.kind) {
    case Decision::Kind::Start: {
        ++entry.attemptsInFlight;
        const auto endpoints = m_endpoints.read();
        const KnownEndpoint* endpoint = endpoints->find(decision.endpoint);
        // An endpoint removed since the decision gets an empty address, so that the attempt fails as not sent.
        KnownEndpoint target = endpoint ? *endpoint : KnownEndpoint { decision.endpoint, {}, {}, {}, {}, true };
        entry.post(
            [this, service = state.service, id = decision.work, listener = entry.listener, target = std::move(target)] {
                if (const auto strong = listener.lock())
                    strong->onStart(target);
                else
                    finishAttempt(service, id, target.id, AttemptOutcome::Cancelled, false);
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
        eraseIfDone(state, it);
        return;
    }
}

void Dispatcher::eraseIfDone(ServiceState& state, std::unordered_map<WorkId, Entry>::iterator entry)
{
    if (entry->second.isEnded && entry->second.attemptsInFlight == 0)
        state.entries.erase(entry);
}

}

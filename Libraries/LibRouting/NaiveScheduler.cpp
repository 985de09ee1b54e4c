#include <LibRouting/NaiveScheduler.h>

#include <algorithm>
#include <cassert>

namespace Chicorydock {

namespace {

    constexpr uint32_t maxAttempts = 3;
    constexpr Milliseconds retryAfter { 1'000 };
    constexpr Milliseconds idlePollInterval { 1'000 };

}

NaiveScheduler::NaiveScheduler(const SchedulerSettings& settings)
    : m_settings(settings)
{
}

void NaiveScheduler::setEndpoints(const std::vector<SchedulerEndpoint>& endpoints, MonotonicTime)
{
    for (auto& [id, endpoint] : m_endpoints)
        endpoint.isPresent = false;
    for (const SchedulerEndpoint& endpoint : endpoints) {
        Endpoint& known = m_endpoints[endpoint.id];
        known.endpoint = endpoint;
        known.isPresent = true;
    }
    std::erase_if(m_endpoints,
        [](const auto& it) { return !it.second.isPresent && it.second.online == 0 && it.second.batch == 0; });
}

void NaiveScheduler::submit(const Work& work, MonotonicTime)
{
    const bool isNew = m_entries.emplace(work.id, Entry { work, {}, false, false }).second;
    assert(isNew);
    (void)isNew;
    push(work);
}

void NaiveScheduler::withdraw(WorkId id, MonotonicTime)
{
    const auto it = m_entries.find(id);
    if (it == m_entries.end())
        return;
    it->second.isWithdrawn = true;
    if (it->second.isInFlight)
        return;
    --queued(it->second.work);
    m_entries.erase(it);
    std::erase(m_queue, id);
}

uint32_t& NaiveScheduler::queued(const Work& work)
{
    return work.workClass == WorkClass::Online ? m_counters.onlineQueued : m_counters.batchQueued;
}

void NaiveScheduler::push(const Work& work)
{
    m_queue.push_back(work.id);
    ++queued(work);
}

void NaiveScheduler::pop()
{
    --queued(m_entries.at(m_queue.front()).work);
    m_queue.pop_front();
}

bool NaiveScheduler::mayRun(const Endpoint& endpoint, const Work& work) const
{
    if (!endpoint.isPresent || endpoint.endpoint.isLeaving)
        return false;
    if (work.workClass == WorkClass::Batch && !endpoint.endpoint.ownsBatch)
        return false;
    const std::vector<std::string>& models = endpoint.endpoint.models;
    if (!models.empty() && std::ranges::find(models, work.model) == models.end())
        return false;
    return std::ranges::find(work.excludedEndpoints, endpoint.endpoint.id) == work.excludedEndpoints.end();
}

bool NaiveScheduler::hasCandidate(const Work& work) const
{
    return std::ranges::any_of(m_endpoints, [&](const auto& it) { return mayRun(it.second, work); });
}

NaiveScheduler::Endpoint* NaiveScheduler::nextEndpoint(const Work& work)
{
    auto it = m_endpoints.upper_bound(m_lastEndpoint);
    for (size_t n = 0; n < m_endpoints.size(); ++n, ++it) {
        if (it == m_endpoints.end())
            it = m_endpoints.begin();
        Endpoint& endpoint = it->second;
        if (endpoint.online + endpoint.batch < m_settings.fixedConcurrency && mayRun(endpoint, work)) {
            m_lastEndpoint = it->first;
            return &endpoint;
        }
    }
    return nullptr;
}

uint32_t& NaiveScheduler::inFlight(Endpoint& endpoint, const Work& work)
{
    return work.workClass == WorkClass::Online ? endpoint.online : endpoint.batch;
}

void NaiveScheduler::start(Entry& entry, Endpoint& endpoint)
{
    entry.isInFlight = true;
    entry.endpoint = endpoint.endpoint.id;
    ++inFlight(endpoint, entry.work);
}

void NaiveScheduler::refuse(WorkId id, ErrorKind kind, const char* message, std::vector<Decision>& decisions)
{
    decisions.push_back({ Decision::Kind::Refuse, id, {}, Error { kind, message, retryAfter } });
    m_entries.erase(id);
    ++m_counters.refused;
}

std::vector<Decision> NaiveScheduler::poll(MonotonicTime now)
{
    std::vector<Decision> decisions;
    while (!m_queue.empty()) {
        const WorkId id = m_queue.front();
        Entry& entry = m_entries.at(id);
        if (entry.work.deadline <= now) {
            pop();
            refuse(id, ErrorKind::DeadlineUnattainable, "the deadline passed in the queue", decisions);
            continue;
        }
        Endpoint* endpoint = nextEndpoint(entry.work);
        if (endpoint) {
            pop();
            start(entry, *endpoint);
            decisions.push_back({ Decision::Kind::Start, id, endpoint->endpoint.id, {} });
            continue;
        }
        if (hasCandidate(entry.work))
            break;
        pop();
        refuse(id, ErrorKind::NoEndpoint, "no endpoint can run the work", decisions);
    }
    return decisions;
}

MonotonicTime NaiveScheduler::nextPoll(MonotonicTime now) const
{
    if (m_queue.empty())
        return now + idlePollInterval;
    return std::max(now, std::min(now + idlePollInterval, m_entries.at(m_queue.front()).work.deadline));
}

void NaiveScheduler::recordTokens(WorkId, const std::string&, uint32_t, MonotonicTime) { }

bool NaiveScheduler::finishAttempt(
    WorkId id, const std::string& endpointId, AttemptOutcome outcome, bool mayRetry, MonotonicTime)
{
    const auto it = m_entries.find(id);
    if (it == m_entries.end() || !it->second.isInFlight || it->second.endpoint != endpointId)
        return false;
    Entry& entry = it->second;
    entry.isInFlight = false;
    const auto endpoint = m_endpoints.find(endpointId);
    assert(endpoint != m_endpoints.end());
    --inFlight(endpoint->second, entry.work);
    if (!endpoint->second.isPresent && endpoint->second.online == 0 && endpoint->second.batch == 0)
        m_endpoints.erase(endpoint);

    const bool hasFailed = outcome == AttemptOutcome::Failed || outcome == AttemptOutcome::Refused;
    if (!hasFailed || entry.isWithdrawn || !mayRetry || !entry.work.repeatable || ++entry.work.attempt >= maxAttempts) {
        m_entries.erase(it);
        return false;
    }
    entry.work.excludedEndpoints.push_back(endpointId);
    push(entry.work);
    return true;
}

void NaiveScheduler::recordLoadReport(const std::string&, uint32_t, uint32_t, Milliseconds, MonotonicTime) { }

void NaiveScheduler::recordCacheEvents(
    const std::string&, const std::vector<uint64_t>&, const std::vector<uint64_t>&, bool, MonotonicTime)
{
}

void NaiveScheduler::recordPeerSummary(const std::string&, const std::vector<EndpointSummary>&, MonotonicTime) { }

void NaiveScheduler::yieldBatch(const std::string&, MonotonicTime) { }

std::vector<std::string> NaiveScheduler::takeYieldRequests() { return {}; }

uint32_t NaiveScheduler::batchRoom(MonotonicTime) const
{
    uint32_t room = 0;
    for (const auto& [id, endpoint] : m_endpoints) {
        const uint32_t used = endpoint.online + endpoint.batch;
        if (endpoint.isPresent && !endpoint.endpoint.isLeaving && endpoint.endpoint.ownsBatch
            && used < m_settings.fixedConcurrency)
            room += m_settings.fixedConcurrency - used;
    }
    const auto queued = static_cast<uint32_t>(m_queue.size());
    return room > queued ? room - queued : 0;
}

std::vector<EndpointSummary> NaiveScheduler::summary(MonotonicTime) const
{
    std::vector<EndpointSummary> list;
    for (const auto& [id, endpoint] : m_endpoints)
        list.push_back({ id, endpoint.online, endpoint.batch, 0, 0, 0 });
    return list;
}

std::vector<EndpointView> NaiveScheduler::view(MonotonicTime now) const
{
    std::vector<EndpointView> list;
    for (const EndpointSummary& it : summary(now))
        list.push_back({ m_endpoints.at(it.endpoint).endpoint, it, m_settings.fixedConcurrency, 1 });
    return list;
}

SchedulerCounters NaiveScheduler::counters() const
{
    SchedulerCounters counters = m_counters;
    for (const auto& [id, endpoint] : m_endpoints) {
        counters.onlineInFlight += endpoint.online;
        counters.batchInFlight += endpoint.batch;
    }
    return counters;
}

}

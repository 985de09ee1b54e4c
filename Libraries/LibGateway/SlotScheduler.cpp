#include <LibGateway/SlotScheduler.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <utility>

namespace Chicorydock {

namespace {

    /// A new request is queued only if its expected wait is at most this share of the time until its latest start. The
    /// estimate is rough, and an early refusal is of more use to the caller than a late one.
    constexpr double maxExpectedWaitShare = 0.5;

    /// Interval between two checks for expired peers and outdated load reports of endpoints.
    constexpr Milliseconds expiryInterval { 20 };

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
    , m_chooser(m_endpoints, m_peers, m_reserve, random)
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
        SlotEndpoint* endpoint = isHopeless ? nullptr : m_chooser.chooseForOnline(work, now);
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
        SlotEndpoint* endpoint = fullServices.contains(work.service) ? nullptr : m_chooser.chooseForBatch(work, now);
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

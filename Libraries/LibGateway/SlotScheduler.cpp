#include <LibGateway/SlotScheduler.h>

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace Chicorydock {

namespace {

    /// Interval between two checks for expired peers and outdated load reports of endpoints.
    constexpr Milliseconds expiryInterval { 20 };

    /// Returns the endpoint of lowest cost without an obstacle, empty if there is none. Precondition: it comes first.
    std::string bestEndpoint(const std::vector<EndpointEvaluation>& evaluations)
    {
        const bool isAny = !evaluations.empty() && evaluations.front().obstacle == EndpointObstacle::None;
        return isAny ? evaluations.front().endpoint : std::string();
    }

}

SlotScheduler::SlotScheduler(Location location, Random& random)
    : m_peers(std::move(location))
    , m_endpoints(m_peers)
    , m_reserve(m_endpoints, m_peers)
    , m_usage(m_endpoints, m_peers, m_reserve)
    , m_chooser(m_endpoints, m_peers, m_reserve, random)
    , m_queue(m_slotTimes)
    , m_admission(m_endpoints.capacity(), m_peers, m_slotTimes, random)
    , m_preemption(m_usage, m_peers, m_slotTimes)
    , m_quota(random)
{
}

void SlotScheduler::setWorkspaces(const std::vector<WorkspaceLimits>& workspaces)
{
    m_queue.setWorkspaces(workspaces);
    m_quota.setWorkspaces(workspaces);
}

void SlotScheduler::submit(const OnlineWork& work, MonotonicTime now)
{
    const auto retryAfter
        = work.isCharged ? std::nullopt : m_quota.charge(work.id, work.profile.workspace, work.isTakenOver, now);
    if (retryAfter)
        m_overQuota.push_back({ .kind = SlotDecision::Kind::Refuse,
            .work = work.id,
            .retryAfter = *retryAfter,
            .reason = RefusalReason::Quota });
    else
        m_queue.add(work, now);
}

void SlotScheduler::withdraw(uint64_t work)
{
    m_queue.remove(work);
    m_quota.refund(work);
    std::erase_if(m_overQuota, [&](const SlotDecision& it) { return it.work == work; });
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
    if (endpoint && !finished->isBatch)
        endpoint->recordDuration(*finished, relativeSize(*finished), now);
    if (finished->isBatch)
        m_slotTimes.addItem(finished->service, finished->profile, held + finished->slotTimeUsed);
    else
        m_slotTimes.addRequest(finished->service, finished->profile, held);
}

double SlotScheduler::relativeSize(const RunningWork& work) const
{
    return toSeconds(m_slotTimes.requestTime(work.service, work.profile))
        / toSeconds(m_slotTimes.requestTime(work.service));
}

void SlotScheduler::observeRate(const std::string& endpoint, const RateStatement& statement, MonotonicTime now)
{
    if (m_endpoints.observeRate(endpoint, statement, now))
        m_usage.recordRateChange();
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
    std::vector<SlotDecision> decisions = std::exchange(m_overQuota, {});
    expire(now);
    m_quota.update(now);
    m_endpoints.updateLimits(m_slotTimes, now);
    decideOnline(decisions, now);
    decideYields(decisions, now);
    decideBatch(decisions, now);
    return decisions;
}

void SlotScheduler::decideOnline(std::vector<SlotDecision>& decisions, MonotonicTime now)
{
    std::map<std::string, WaitingLine> lines;
    // Earliest arrival, by service, of the requests that found no slot. Only a request that has waited longer may use
    // more endpoints, so the others need not look.
    std::map<std::string, MonotonicTime> earliestWaiting;
    std::vector<OnlineWork> waiting;
    std::vector<OnlineWork> queued = m_queue.takeOnline(now);
    for (const OnlineWork& it : queued)
        ++lines.try_emplace(it.service, WaitingLine { .rest = 0 }).first->second.rest;
    for (OnlineWork& work : queued) {
        WaitingLine& line = lines.at(work.service);
        if (!work.isAccepted)
            m_admission.recordArrival(work, now);
        const auto found = earliestWaiting.find(work.service);
        const bool isHopeless = found != earliestWaiting.end() && work.submittedAt >= found->second;
        SlotEndpoint* endpoint = isHopeless ? nullptr : m_chooser.chooseForOnline(work, now);
        if (!endpoint && work.excluded.empty() && !work.softwareVersion)
            earliestWaiting.insert_or_assign(work.service,
                found == earliestWaiting.end() ? work.submittedAt : std::min(found->second, work.submittedAt));
        if (endpoint) {
            if (endpoint->total() >= endpoint->slotLimit && endpoint->own.batch > 0)
                yieldOne(decisions, *endpoint, now);
            --line.rest;
            m_queue.recordStart(work);
            startWork(decisions, { .id = work.id, .profile = std::move(work.profile) }, *endpoint, now);
            continue;
        }
        if (work.service.empty() || m_endpoints.isVersionGone(work) || m_admission.shouldRefuse(work, line, now)) {
            m_quota.refund(work.id);
            const SlotView view { .expectedWait = m_admission.expectedWait(work, line) };
            decisions.push_back(
                { SlotDecision::Kind::Refuse, work.id, {}, m_admission.retryAfter(work, line, now), view });
            --line.rest;
            continue;
        }
        --line.rest;
        ++line.ahead;
        line.timeAhead += work.slotTime;
        work.isAccepted = true;
        waiting.push_back(std::move(work));
    }
    m_queue.putBack(std::move(waiting));
}

WaitingLine SlotScheduler::lineFor(const OnlineWork& work, MonotonicTime now) const
{
    SlotQueue queue = m_queue;
    queue.add(work, now);
    WaitingLine line { .rest = 0 };
    bool isAhead = true;
    for (const OnlineWork& it : queue.takeOnline(now)) {
        isAhead = isAhead && it.id != work.id;
        if (it.service != work.service)
            continue;
        if (isAhead) {
            ++line.ahead;
            line.timeAhead += it.slotTime;
        } else {
            ++line.rest;
        }
    }
    return line;
}

SlotExplanation SlotScheduler::explain(const OnlineWork& work, MonotonicTime now)
{
    OnlineWork arriving = work;
    arriving.submittedAt = now;
    const WaitingLine line = lineFor(arriving, now);
    SlotExplanation explanation { .service = work.service,
        .ahead = static_cast<uint32_t>(line.ahead),
        .expectedWait = m_admission.expectedWait(arriving, line),
        .expectedSlotTime = m_slotTimes.requestTime(work.service, work.profile),
        .quota = m_quota.view(work.profile.workspace, now),
        .endpoints = m_chooser.evaluate(arriving, now) };
    if (explanation.quota && explanation.quota->retryAfter) {
        explanation.refusal = RefusalReason::Quota;
        explanation.retryAfter = *explanation.quota->retryAfter;
        return explanation;
    }
    // Requests that wait have found no endpoint, so a later one finds none either.
    if (line.ahead == 0)
        explanation.endpoint = bestEndpoint(explanation.endpoints);
    if (explanation.endpoint.empty()
        && (work.service.empty() || m_endpoints.isVersionGone(work) || m_admission.shouldRefuse(arriving, line, now))) {
        explanation.refusal = RefusalReason::Load;
        explanation.retryAfter = m_admission.earliestRetryAfter(arriving, line);
    }
    return explanation;
}

SlotExplanation SlotScheduler::explain(const BatchWork& work, MonotonicTime now)
{
    SlotExplanation explanation { .service = work.service,
        .ahead = m_queue.waitingBatch(work.service),
        .expectedSlotTime
        = std::max(m_slotTimes.itemTime(work.service, work.profile) - work.slotTimeUsed, Milliseconds { 0 }),
        .endpoints = m_chooser.evaluate(work, now) };
    if (explanation.ahead == 0)
        explanation.endpoint = bestEndpoint(explanation.endpoints);
    return explanation;
}

void SlotScheduler::startWork(
    std::vector<SlotDecision>& decisions, RunningWork work, SlotEndpoint& endpoint, MonotonicTime now)
{
    work.service = endpoint.record.service;
    work.endpoint = endpoint.record.id;
    SlotView view = endpoint.view(now);
    view.expectedSlotTime = expectedSlotTime(work);
    work.startedAt = now;
    work.startLoad = endpoint.total() + 1;
    m_chooser.recordStart(work.profile, endpoint, now);
    m_usage.add(work, endpoint, now);
    ++endpoint.starts;
    endpoint.limiter.recordStarts(1, now);
    m_quota.recordStart(work.id);
    decisions.push_back({ SlotDecision::Kind::Start, work.id, endpoint.record.id, {}, view });
}

Milliseconds SlotScheduler::expectedSlotTime(const RunningWork& work) const
{
    if (!work.isBatch)
        return m_slotTimes.requestTime(work.service, work.profile);
    return std::max(m_slotTimes.itemTime(work.service, work.profile) - work.slotTimeUsed, Milliseconds { 0 });
}

double SlotScheduler::largestWorkspaceShare() const
{
    std::unordered_map<std::string, uint32_t> slots;
    uint32_t all = 0;
    uint32_t most = 0;
    for (const auto& [id, it] : m_usage.running()) {
        if (it.isBatch)
            continue;
        ++all;
        if (!it.profile.workspace.empty())
            most = std::max(most, ++slots[it.profile.workspace]);
    }
    return all > 0 ? static_cast<double>(most) / all : 0;
}

void SlotScheduler::yieldOne(std::vector<SlotDecision>& decisions, SlotEndpoint& endpoint, MonotonicTime now)
{
    const std::optional<uint64_t> item = m_preemption.chooseItem(endpoint);
    if (!item)
        return;
    decisions.push_back({ SlotDecision::Kind::Yield, *item, endpoint.record.id, {}, endpoint.view(now) });
    m_usage.remove(*item, now);
}

void SlotScheduler::decideYields(std::vector<SlotDecision>& decisions, MonotonicTime now)
{
    if (m_usage.ownBatch() == 0)
        return;
    for (auto& [id, endpoint] : m_endpoints) {
        for (uint32_t n = m_preemption.ownShareOfYields(endpoint); n > 0; --n)
            yieldOne(decisions, endpoint, now);
    }
}

void SlotScheduler::decideBatch(std::vector<SlotDecision>& decisions, MonotonicTime now)
{
    std::set<std::string> fullServices;
    std::vector<BatchWork> waiting;
    std::vector<BatchWork> queued = m_queue.takeBatch(now);
    for (BatchWork& work : queued) {
        SlotEndpoint* endpoint = fullServices.contains(work.service) ? nullptr : m_chooser.chooseForBatch(work, now);
        if (!endpoint && work.excluded.empty() && !work.softwareVersion)
            fullServices.insert(work.service);
        if (endpoint)
            startWork(decisions,
                { .id = work.id,
                    .isBatch = true,
                    .dueAt = work.dueAt,
                    .slotTimeUsed = work.slotTimeUsed,
                    .profile = std::move(work.profile) },
                *endpoint, now);
        else if (work.service.empty() || m_endpoints.isVersionGone(work))
            decisions.push_back({ SlotDecision::Kind::Refuse, work.id });
        else
            waiting.push_back(std::move(work));
    }
    m_queue.putBack(std::move(waiting));
}

}

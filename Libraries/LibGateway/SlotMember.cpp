#include <LibGateway/SlotMember.h>

#include <algorithm>
#include <utility>

namespace Chicorydock {

namespace {

    /// Changes within this time are sent in one report.
    constexpr Milliseconds minReportInterval { 4 };

    /// Time after which work that the coordinator has not acknowledged is sent again; several times a round trip within
    /// a failure domain.
    constexpr Milliseconds reportRetryInterval { 40 };

    /// Interval of reports while nothing changes. They keep the slots of this node and show whether the coordinator is
    /// alive.
    constexpr Milliseconds memberHeartbeat { 300 };

    /// Time without a reply after which the coordinator is replaced. A busy coordinator may pause for a tenth of a
    /// second. Without queued requests there is no hurry.
    constexpr Milliseconds urgentReplyTimeout { 200 };
    constexpr Milliseconds idleReplyTimeout { 900 };

    /// Time between two checks of the coordinator above which this node itself has paused.
    constexpr Milliseconds maxCheckInterval { 450 };

    /// Time for which a coordinator that did not reply is not used. The time doubles if it does not reply again soon
    /// after that, up to the maximum, because each trial delays the queued requests.
    constexpr Milliseconds firstSuspicionTime { 3'000 };
    constexpr Milliseconds maxSuspicionTime { 24'000 };
    constexpr Milliseconds suspicionMemory { 10'000 };

    /// Maximum number of queued items in a report that wait for the same slots. The others wait until some of these
    /// have started. Items that wait for other slots have places of their own, because these may never start.
    constexpr size_t maxReportedItemsOfGroup = 24;

    /// Age up to which the load of an endpoint is reported. The coordinator's own counts are newer than older loads.
    constexpr Milliseconds maxLoadAge { 30 };

    /// Time for which a statement of an endpoint is repeated in each report, in case one is lost.
    constexpr Milliseconds rateRepetitionTime { 1'000 };

    /// Time for which a limit is remembered, so that its end is noticed.
    constexpr std::chrono::minutes maxRateAge { 1 };

    Milliseconds milliseconds(MonotonicTime::duration duration)
    {
        return std::chrono::duration_cast<Milliseconds>(duration);
    }

}

SlotMember::SlotMember(std::string node, SlotCoordinator& local)
    : m_node(std::move(node))
    , m_local(local)
    , m_candidates { m_node }
    , m_coordinator(m_node)
{
}

void SlotMember::setCandidates(const std::vector<std::string>& candidates, MonotonicTime now)
{
    m_candidates = candidates;
    std::erase(m_candidates, m_node);
    // A node that prefers itself needs no others.
    if (!candidates.empty() && candidates.front() == m_node)
        m_candidates.clear();
    m_candidates.push_back(m_node);
    chooseCoordinator(now);
}

bool SlotMember::isSuspect(const std::string& node, MonotonicTime now) const
{
    const auto it = m_suspicions.find(node);
    return it != m_suspicions.end() && now < it->second.until;
}

void SlotMember::suspect(const std::string& node, MonotonicTime now)
{
    const auto it = m_suspicions.find(node);
    MonotonicTime::duration time = firstSuspicionTime;
    if (it != m_suspicions.end())
        time = std::min<MonotonicTime::duration>(2 * (it->second.until - it->second.since), maxSuspicionTime);
    m_suspicions[node] = { now, now + time };
}

void SlotMember::chooseCoordinator(MonotonicTime now)
{
    std::erase_if(m_suspicions, [&](const auto& it) { return it.second.until + suspicionMemory <= now; });
    const auto chosen = std::ranges::find_if(m_candidates, [&](const auto& it) { return !isSuspect(it, now); });
    const std::string& node = chosen == m_candidates.end() ? m_node : *chosen;
    if (node != m_coordinator)
        changeCoordinator(node, now);
}

void SlotMember::changeCoordinator(const std::string& node, MonotonicTime now)
{
    if (isIndependent())
        m_local.removeMember(m_node, now);
    else
        m_formerCoordinator = m_coordinator;
    m_coordinator = node;
    m_lastReply = 0;
    m_unansweredSince.reset();
    m_hasChange = true;
    m_finished.clear();
    for (auto& [id, work] : m_work)
        resend(work);
}

void SlotMember::resend(Work& work)
{
    work.sentIn = 0;
    work.isAcknowledged = false;
}

void SlotMember::checkCoordinator(MonotonicTime now)
{
    // After a pause of this node, the replies that arrived meanwhile have not been processed yet.
    if (now - std::exchange(m_checkedAt, now) > maxCheckInterval && m_unansweredSince)
        m_unansweredSince = now;
    if (m_unansweredSince && now - *m_unansweredSince > replyTimeout())
        suspect(m_coordinator, now);
    chooseCoordinator(now);
}

Milliseconds SlotMember::replyTimeout() const { return waitingOnline() > 0 ? urgentReplyTimeout : idleReplyTimeout; }

uint32_t SlotMember::waitingOnline() const
{
    return static_cast<uint32_t>(
        std::ranges::count_if(m_work, [](const auto& it) { return it.second.request.has_value(); }));
}

void SlotMember::setWorkspaces(const std::vector<WorkspaceLimits>& workspaces) { m_local.setWorkspaces(workspaces); }

void SlotMember::setEndpoints(const std::vector<EndpointRecord>& endpoints) { m_local.setEndpoints(endpoints); }

void SlotMember::submit(const OnlineWork& work, MonotonicTime)
{
    m_work[work.id].request = work;
    m_hasChange = true;
}

void SlotMember::submit(const BatchWork& work)
{
    m_work[work.id].item = work;
    m_hasChange = true;
}

void SlotMember::withdraw(uint64_t work)
{
    const auto it = m_work.find(work);
    if (it == m_work.end() || it->second.slot)
        return;
    m_work.erase(it);
    m_hasChange = true;
}

void SlotMember::finish(uint64_t work, EndpointOutcome outcome, MonotonicTime)
{
    if (m_work.erase(work) == 0)
        return;
    m_finished.push_back({ { work, outcome }, 0 });
    m_hasChange = true;
}

void SlotMember::observe(const std::string& endpoint, const ObservedLoad& load, MonotonicTime now)
{
    m_loads[endpoint] = { load, now };
}

void SlotMember::observeRate(const std::string& endpoint, const RateStatement& statement, MonotonicTime now)
{
    const auto known = m_rates.find(endpoint);
    // Most endpoints have no limit and say so in each response.
    const bool wasUnlimited = known == m_rates.end() || known->second.statement.perSecond == unlimitedRate;
    if (statement.perSecond == unlimitedRate && wasUnlimited && !m_local.isRateLimited(endpoint))
        return;
    if (known != m_rates.end() && statement.at < known->second.statement.at)
        return;
    const bool isNew = known == m_rates.end() || known->second.statement.perSecond != statement.perSecond;
    m_hasChange = m_hasChange || isNew;
    m_rates[endpoint] = { statement, now };
}

std::vector<SlotDecision> SlotMember::poll(MonotonicTime now)
{
    if (isIndependent())
        exchangeLocally(now);
    return std::exchange(m_decisions, {});
}

void SlotMember::exchangeLocally(MonotonicTime now)
{
    m_local.receive(m_node, makeReport(now), now);
    m_local.poll(now);
    receive(m_node, m_local.takeReply(m_node, now), now);
}

bool SlotMember::needsPolling() const
{
    return isIndependent() && std::ranges::any_of(m_work, [](const auto& it) { return !it.second.slot.has_value(); });
}

bool SlotMember::hasUnacknowledgedWork() const
{
    return std::ranges::any_of(
        m_work, [](const auto& it) { return it.second.sentIn > 0 && !it.second.isAcknowledged; });
}

Milliseconds SlotMember::nextReportIn(MonotonicTime now) const
{
    Milliseconds interval = memberHeartbeat;
    if (m_hasChange)
        interval = minReportInterval;
    else if (hasUnacknowledgedWork() || now - m_repliedAt >= memberHeartbeat)
        interval = reportRetryInterval;
    return std::max(Milliseconds { 0 }, std::chrono::ceil<Milliseconds>(m_reportedAt + interval - now));
}

std::vector<SlotMember::OutgoingReport> SlotMember::takeReports(MonotonicTime now)
{
    std::vector<OutgoingReport> reports;
    if (const auto left = std::exchange(m_formerCoordinator, {}); left && left != m_coordinator) {
        SlotReport report;
        report.sequence = ++m_lastReport;
        report.isLeaving = true;
        reports.push_back({ *left, report });
    }
    if (isIndependent()) {
        if (now - m_reportedAt >= memberHeartbeat)
            exchangeLocally(now);
    } else if (nextReportIn(now).count() == 0) {
        reports.push_back({ m_coordinator, makeReport(now) });
        if (reports.back().report.expectsReply && !m_unansweredSince)
            m_unansweredSince = now;
    }
    return reports;
}

SlotReport SlotMember::makeReport(MonotonicTime now)
{
    SlotReport report;
    report.expectsReply = now - m_repliedAt >= memberHeartbeat;
    report.sequence = ++m_lastReport;
    report.acknowledged = m_lastReply;
    m_hasChange = false;
    m_reportedAt = now;
    std::map<ItemGroup, size_t> reportedItems = acknowledgedItems();
    for (auto& [id, work] : m_work)
        addWork(report, id, work, reportedItems, now);
    for (Finished& it : m_finished) {
        it.sentIn = it.sentIn == 0 ? report.sequence : it.sentIn;
        report.finished.push_back(it.work);
    }
    addLoads(report, now);
    addRates(report, now);
    report.expectsReply
        = report.expectsReply || !report.requests.empty() || !report.items.empty() || !report.held.empty();
    return report;
}

std::map<SlotMember::ItemGroup, size_t> SlotMember::acknowledgedItems() const
{
    std::map<ItemGroup, size_t> items;
    for (const auto& [id, work] : m_work) {
        if (work.item && work.isAcknowledged)
            ++items[{ work.item->service, work.item->softwareVersion }];
    }
    return items;
}

void SlotMember::addWork(
    SlotReport& report, uint64_t id, Work& work, std::map<ItemGroup, size_t>& reportedItems, MonotonicTime now) const
{
    if (work.isAcknowledged) {
        (work.slot ? report.running : report.queued).push_back(id);
        return;
    }
    if (work.item) {
        size_t& reported = reportedItems[{ work.item->service, work.item->softwareVersion }];
        if (reported >= maxReportedItemsOfGroup)
            return;
        ++reported;
    }
    work.sentIn = work.sentIn == 0 ? report.sequence : work.sentIn;
    if (work.slot) {
        const RunningWork& it = *work.slot;
        report.held.push_back({ id, it.service, it.endpoint, it.isBatch, milliseconds(now - it.startedAt),
            milliseconds(it.dueAt - now), it.slotTimeUsed, it.profile });
    } else if (work.request) {
        const OnlineWork& it = *work.request;
        report.requests.push_back({ id, it.service, it.priority, milliseconds(it.startBy - now),
            milliseconds(it.deadline - now), it.isLastAttempt, it.excluded, it.softwareVersion, it.profile,
            it.isCharged, it.isTakenOver || work.wasAcknowledged });
    } else if (work.item) {
        const BatchWork& it = *work.item;
        report.items.push_back({ id, it.service, milliseconds(it.dueAt - now), it.slotTimeUsed, it.excluded,
            it.softwareVersion, it.profile });
    }
}

void SlotMember::addLoads(SlotReport& report, MonotonicTime now)
{
    for (const auto& [endpoint, observed] : m_loads) {
        if (now - observed.second <= maxLoadAge)
            report.loads.push_back({ endpoint, observed.first });
    }
    m_loads.clear();
}

void SlotMember::addRates(SlotReport& report, MonotonicTime now)
{
    std::erase_if(m_rates, [&](const auto& it) { return now - it.second.heardAt > maxRateAge; });
    for (const auto& [endpoint, rate] : m_rates) {
        if (now - rate.heardAt <= rateRepetitionTime)
            report.rates.push_back({ endpoint, rate.statement.perSecond, milliseconds(now - rate.statement.at) });
    }
}

void SlotMember::receive(const std::string& node, const SlotReply& reply, MonotonicTime now)
{
    if (node != m_coordinator || reply.sequence <= m_lastReply)
        return;
    m_lastReply = reply.sequence;
    m_repliedAt = now;
    m_unansweredSince.reset();
    for (auto& [id, work] : m_work) {
        work.isAcknowledged = work.isAcknowledged || (work.sentIn > 0 && work.sentIn <= reply.acknowledged);
        work.wasAcknowledged = work.wasAcknowledged || work.isAcknowledged;
    }
    std::erase_if(m_finished, [&](const Finished& it) { return it.sentIn > 0 && it.sentIn <= reply.acknowledged; });
    if (reply.needsAllWork) {
        for (auto& [id, work] : m_work)
            resend(work);
    }
    m_hasChange = m_hasChange || reply.needsAllWork || !reply.decisions.empty();
    for (const SlotDecision& it : reply.decisions)
        apply(it, now);
}

void SlotMember::apply(const SlotDecision& decision, MonotonicTime now)
{
    const auto it = m_work.find(decision.work);
    // The work has been withdrawn or has finished meanwhile; the next report says so.
    if (it == m_work.end())
        return;
    Work& work = it->second;
    switch (decision.kind) {
    case SlotDecision::Kind::Start:
        if (!work.slot)
            start(work, decision, now);
        return;
    case SlotDecision::Kind::Refuse:
        if (work.slot)
            return;
        break;
    case SlotDecision::Kind::Yield:
        // The reply with the start was lost, so the item is still queued here, but no longer at the coordinator.
        if (!work.slot) {
            resend(work);
            return;
        }
        break;
    }
    m_work.erase(it);
    m_decisions.push_back(decision);
}

void SlotMember::start(Work& work, const SlotDecision& decision, MonotonicTime now)
{
    RunningWork slot { .id = decision.work, .endpoint = decision.endpoint, .isBatch = !work.request, .startedAt = now };
    if (work.request) {
        slot.service = work.request->service;
        slot.profile = work.request->profile;
    } else {
        slot.service = work.item->service;
        slot.profile = work.item->profile;
        slot.dueAt = work.item->dueAt;
        slot.slotTimeUsed = work.item->slotTimeUsed;
    }
    work = { .slot = slot, .sentIn = work.sentIn, .isAcknowledged = true };
    m_decisions.push_back(decision);
}

}

#include <LibGateway/SlotCoordinator.h>

#include <algorithm>
#include <utility>

namespace Chicorydock {

namespace {

    /// Time without a report after which a member's slots count as free. Several times the interval between two reports
    /// of a member, and longer than a pause of a busy node.
    constexpr Milliseconds memberTimeout { 1'500 };

    /// Time for which a response of an endpoint shows that failures of one member are not those of the endpoint.
    constexpr Milliseconds endpointResponseMemory { 2'000 };

    /// Time after which decisions that the member has not acknowledged are sent again; several times a round trip
    /// within a failure domain.
    constexpr Milliseconds replyRetryInterval { 40 };

}

SlotCoordinator::SlotCoordinator(SlotScheduler& scheduler)
    : m_scheduler(scheduler)
{
}

void SlotCoordinator::setWorkspaces(const std::vector<WorkspaceLimits>& workspaces)
{
    m_scheduler.setWorkspaces(workspaces);
}

void SlotCoordinator::setEndpoints(const std::vector<EndpointRecord>& endpoints)
{
    m_scheduler.setEndpoints(endpoints);
}

void SlotCoordinator::receive(const std::string& node, const SlotReport& report, MonotonicTime now)
{
    if (report.isLeaving) {
        removeMember(node, now);
        return;
    }
    Member& member = m_members[node];
    if (report.sequence <= member.lastReport)
        return;
    member.lastReport = report.sequence;
    member.reportedAt = now;
    member.isReplyDue = member.isReplyDue || report.expectsReply;
    settleDecisions(member, report.acknowledged);
    finishWork(member, report.finished, now);
    // Gives charges back before the requests that replace the withdrawn ones are charged.
    removeMissingWork(member, report, now);
    addRequests(node, member, report.requests, now);
    addItems(node, member, report.items, now);
    addSlots(node, member, report.held, now);
    for (const EndpointLoad& it : report.loads)
        m_scheduler.observe(it.endpoint, it.load, now);
    for (const EndpointRate& it : report.rates)
        m_scheduler.observeRate(it.endpoint, { it.perSecond, now - it.age }, now);
}

void SlotCoordinator::settleDecisions(Member& member, uint64_t acknowledged)
{
    if (member.unacknowledged == 0)
        return;
    for (auto it = member.work.begin(); it != member.work.end();) {
        Work& work = it->second;
        const bool isSettled = work.state == State::Decided && work.decidedIn <= acknowledged;
        member.unacknowledged -= isSettled ? 1 : 0;
        work.state = isSettled ? State::Running : work.state;
        if (!isSettled || work.decision.kind == SlotDecision::Kind::Start) {
            ++it;
            continue;
        }
        m_owners.erase(work.id);
        it = member.work.erase(it);
    }
}

void SlotCoordinator::finishWork(Member& member, const std::vector<FinishedWork>& finished, MonotonicTime now)
{
    for (const FinishedWork& it : finished) {
        const auto found = member.work.find(it.work);
        if (found == member.work.end() || found->second.state != State::Running)
            continue;
        const uint64_t id = found->second.id;
        const RunningWork* running = m_scheduler.findRunning(id);
        m_scheduler.finish(id, running ? judge(member, *running, it.outcome, now) : it.outcome, now);
        m_owners.erase(id);
        member.work.erase(found);
    }
}

EndpointOutcome SlotCoordinator::judge(
    Member& member, const RunningWork& running, EndpointOutcome outcome, MonotonicTime now) const
{
    if (outcome == EndpointOutcome::Answered)
        member.links.recordResponse(running.endpoint, running.startedAt, now);
    if (outcome != EndpointOutcome::Failed)
        return outcome;
    member.links.recordFailure(running.endpoint, running.startedAt, now);
    const bool hasResponded = now - m_scheduler.lastResponse(running.endpoint) <= endpointResponseMemory;
    return hasResponded && member.links.areLost(now) ? EndpointOutcome::Cancelled : outcome;
}

SlotCoordinator::Work& SlotCoordinator::addWork(const std::string& node, Member& member, uint64_t work)
{
    Work& added = member.work[work];
    added.id = ++m_lastWork;
    m_owners[added.id] = { node, work };
    return added;
}

void SlotCoordinator::addRequests(
    const std::string& node, Member& member, const std::vector<QueuedRequest>& requests, MonotonicTime now)
{
    for (const QueuedRequest& it : requests) {
        if (member.work.contains(it.work))
            continue;
        OnlineWork work;
        work.id = addWork(node, member, it.work).id;
        work.service = it.service;
        work.priority = it.priority;
        work.startBy = now + it.startIn;
        work.deadline = now + it.deadlineIn;
        work.isLastAttempt = it.isLastAttempt;
        work.excluded = it.excluded;
        work.softwareVersion = it.softwareVersion;
        work.profile = it.profile;
        work.isCharged = it.isCharged;
        work.isTakenOver = it.isTakenOver;
        m_scheduler.submit(work, now);
    }
}

void SlotCoordinator::addItems(
    const std::string& node, Member& member, const std::vector<QueuedItem>& items, MonotonicTime now)
{
    for (const QueuedItem& it : items) {
        if (member.work.contains(it.work))
            continue;
        const uint64_t id = addWork(node, member, it.work).id;
        m_scheduler.submit(
            BatchWork { id, it.service, now + it.dueIn, it.excluded, it.slotTimeUsed, it.softwareVersion, it.profile });
    }
}

void SlotCoordinator::addSlots(
    const std::string& node, Member& member, const std::vector<HeldSlot>& held, MonotonicTime now)
{
    for (const HeldSlot& it : held) {
        const auto known = member.work.find(it.work);
        if (known != member.work.end() && known->second.state != State::Queued)
            continue;
        if (known != member.work.end())
            m_scheduler.withdraw(known->second.id);
        Work& work = known == member.work.end() ? addWork(node, member, it.work) : known->second;
        work.state = State::Running;
        m_scheduler.adopt({ work.id, it.service, it.endpoint, it.isBatch, now - it.heldFor, now + it.dueIn,
                              it.slotTimeUsed, it.profile },
            now);
    }
}

void SlotCoordinator::removeMissingWork(Member& member, const SlotReport& report, MonotonicTime now)
{
    std::unordered_set<uint64_t> reported(report.queued.begin(), report.queued.end());
    reported.insert(report.running.begin(), report.running.end());
    member.needsAllWork = std::ranges::any_of(reported, [&](uint64_t it) { return !member.work.contains(it); });
    for (const QueuedRequest& it : report.requests)
        reported.insert(it.work);
    for (const QueuedItem& it : report.items)
        reported.insert(it.work);
    for (const HeldSlot& it : report.held)
        reported.insert(it.work);
    std::erase_if(member.work, [&](const auto& it) {
        // The member has not seen a decision in transit, so the report says nothing about it.
        if (it.second.state == State::Decided || reported.contains(it.first))
            return false;
        releaseWork(it.second, now);
        return true;
    });
    member.isReplyDue = member.isReplyDue || member.needsAllWork;
}

void SlotCoordinator::releaseWork(const Work& work, MonotonicTime now)
{
    if (work.state == State::Queued)
        m_scheduler.withdraw(work.id);
    else
        m_scheduler.finish(work.id, EndpointOutcome::Cancelled, now);
    m_owners.erase(work.id);
}

void SlotCoordinator::removeMember(const std::string& node, MonotonicTime now)
{
    const auto it = m_members.find(node);
    if (it == m_members.end())
        return;
    for (const auto& [id, work] : it->second.work)
        releaseWork(work, now);
    m_members.erase(it);
}

void SlotCoordinator::removeSilentMembers(MonotonicTime now)
{
    std::vector<std::string> silent;
    for (const auto& [node, member] : m_members) {
        if (now - member.reportedAt > memberTimeout)
            silent.push_back(node);
    }
    for (const std::string& it : silent)
        removeMember(it, now);
}

void SlotCoordinator::poll(MonotonicTime now)
{
    removeSilentMembers(now);
    m_scheduler.setServedNodes(static_cast<uint32_t>(m_members.size()));
    for (const SlotDecision& it : m_scheduler.poll(now))
        recordDecision(it, now);
}

void SlotCoordinator::recordDecision(const SlotDecision& decision, MonotonicTime now)
{
    const auto owner = m_owners.find(decision.work);
    if (owner == m_owners.end()) {
        m_scheduler.finish(decision.work, EndpointOutcome::Cancelled, now);
        return;
    }
    Member& member = m_members.at(owner->second.node);
    Work& work = member.work.at(owner->second.work);
    // An item may have to yield before the member has acknowledged its start; the later decision replaces the earlier
    // one.
    member.unacknowledged += work.state == State::Decided ? 0 : 1;
    work.state = State::Decided;
    work.decision = decision;
    work.decision.work = owner->second.work;
    work.decidedIn = m_lastReply + 1;
    member.isReplyDue = true;
}

std::vector<std::pair<std::string, SlotReply>> SlotCoordinator::takeReplies(MonotonicTime now)
{
    std::vector<std::pair<std::string, SlotReply>> replies;
    for (const auto& [node, member] : m_members) {
        const bool isRetryDue = member.unacknowledged > 0 && now - member.repliedAt >= replyRetryInterval;
        if (member.isReplyDue || isRetryDue)
            replies.emplace_back(node, SlotReply {});
    }
    for (auto& [node, reply] : replies)
        reply = takeReply(node, now);
    return replies;
}

SlotReply SlotCoordinator::takeReply(const std::string& node, MonotonicTime now)
{
    Member& member = m_members.at(node);
    member.isReplyDue = false;
    member.repliedAt = now;
    SlotReply reply { ++m_lastReply, member.lastReport, member.needsAllWork, {} };
    if (member.unacknowledged == 0)
        return reply;
    for (const auto& [id, work] : member.work) {
        if (work.state == State::Decided)
            reply.decisions.push_back(work.decision);
    }
    return reply;
}

bool SlotCoordinator::needsPolling() const
{
    return m_scheduler.needsPolling()
        || std::ranges::any_of(m_members, [](const auto& it) { return it.second.unacknowledged > 0; });
}

std::vector<std::string> SlotCoordinator::members() const
{
    std::vector<std::string> nodes;
    for (const auto& [node, member] : m_members)
        nodes.push_back(node);
    return nodes;
}

}

#include <LibGateway/SlotBroker.h>

namespace Chicorydock {

namespace {

    /// Poll interval while work is queued and nothing else triggers a poll.
    constexpr Milliseconds queuePollInterval { 25 };

}

SlotBroker::SlotBroker(
    SlotAllocator& allocator, const Clock& clock, std::function<void()> onWorkChanged, uint64_t lastWork)
    : m_allocator(allocator)
    , m_clock(clock)
    , m_onWorkChanged(std::move(onWorkChanged))
    , m_lastWork(lastWork)
{
    m_queuePollTimer.setSingleShot(true);
    connect(&m_queuePollTimer, &QTimer::timeout, this, &SlotBroker::poll);
}

uint64_t SlotBroker::submit(OnlineWork work, SlotClient& client)
{
    work.id = ++m_lastWork;
    m_clients[work.id] = &client;
    m_allocator.submit(work, m_clock.now());
    m_onWorkChanged();
    schedulePoll();
    return work.id;
}

uint64_t SlotBroker::submit(BatchWork work, SlotClient& client)
{
    work.id = ++m_lastWork;
    m_clients[work.id] = &client;
    m_allocator.submit(work);
    m_onWorkChanged();
    schedulePoll();
    return work.id;
}

void SlotBroker::withdraw(uint64_t work)
{
    m_clients.erase(work);
    m_allocator.withdraw(work);
    m_onWorkChanged();
}

void SlotBroker::finish(uint64_t work, EndpointOutcome outcome)
{
    m_clients.erase(work);
    m_allocator.finish(work, outcome, m_clock.now());
    m_onWorkChanged();
    schedulePoll();
}

void SlotBroker::observe(const std::string& endpoint, const ObservedLoad& load)
{
    m_allocator.observe(endpoint, load, m_clock.now());
}

void SlotBroker::observeRate(const std::string& endpoint, const RateStatement& statement)
{
    m_allocator.observeRate(endpoint, statement, m_clock.now());
}

void SlotBroker::setWorkspaces(const std::vector<WorkspaceLimits>& workspaces)
{
    m_allocator.setWorkspaces(workspaces);
    schedulePoll();
}

void SlotBroker::setEndpoints(const std::vector<EndpointRecord>& endpoints)
{
    m_allocator.setEndpoints(endpoints);
    schedulePoll();
}

void SlotBroker::schedulePoll()
{
    if (m_isPollScheduled)
        return;
    m_isPollScheduled = true;
    QMetaObject::invokeMethod(this, &SlotBroker::poll, Qt::QueuedConnection);
}

void SlotBroker::poll()
{
    m_isPollScheduled = false;
    const std::vector<SlotDecision> decisions = m_allocator.poll(m_clock.now());
    for (const SlotDecision& it : decisions)
        deliver(it);
    if (!decisions.empty())
        m_onWorkChanged();
    if (m_allocator.needsPolling())
        m_queuePollTimer.start(queuePollInterval);
}

void SlotBroker::deliver(const SlotDecision& decision)
{
    const auto it = m_clients.find(decision.work);
    if (it == m_clients.end()) {
        // The client has withdrawn the work since the decision was made.
        m_allocator.finish(decision.work, EndpointOutcome::Cancelled, m_clock.now());
        return;
    }
    SlotClient& client = *it->second;
    switch (decision.kind) {
    case SlotDecision::Kind::Start:
        client.onSlotGranted(decision.endpoint, decision.view);
        return;
    case SlotDecision::Kind::Refuse:
        m_clients.erase(it);
        client.onRefused(decision.reason, decision.retryAfter, decision.view);
        return;
    case SlotDecision::Kind::Yield:
        m_clients.erase(it);
        client.onYield(decision.view);
        return;
    }
}

}

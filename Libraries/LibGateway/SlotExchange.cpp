#include <LibGateway/SlotExchange.h>

#include <algorithm>
#include <utility>

namespace Chicorydock {

namespace {

    /// Interval while work of any member is queued or decisions are not acknowledged.
    constexpr Milliseconds coordinatorPollInterval { 25 };

    /// Interval of checks while nothing happens.
    constexpr Milliseconds idleInterval { 300 };

}

SlotExchange::SlotExchange(
    std::string node, SlotMember& member, SlotCoordinator& coordinator, const Clock& clock, Handlers handlers)
    : m_node(std::move(node))
    , m_member(member)
    , m_coordinator(coordinator)
    , m_clock(clock)
    , m_handlers(std::move(handlers))
{
    m_timer.setSingleShot(true);
    m_timer.setTimerType(Qt::PreciseTimer);
    connect(&m_timer, &QTimer::timeout, this, &SlotExchange::run);
    m_timer.start(idleInterval);
}

void SlotExchange::receive(const std::string& node, const SlotReport& report)
{
    m_coordinator.receive(node, report, m_clock.now());
    schedule();
}

void SlotExchange::receive(const std::string& node, const SlotReply& reply)
{
    m_member.receive(node, reply, m_clock.now());
    if (m_member.hasDecisions())
        m_handlers.onDecisions();
    schedule();
}

void SlotExchange::schedule()
{
    if (std::exchange(m_isScheduled, true))
        return;
    QMetaObject::invokeMethod(this, &SlotExchange::run, Qt::QueuedConnection);
}

void SlotExchange::run()
{
    m_isScheduled = false;
    const MonotonicTime now = m_clock.now();
    m_member.checkCoordinator(now);
    if (m_coordinator.isActive()) {
        m_coordinator.poll(now);
        m_handlers.onUseChanged();
    }
    for (const auto& [node, reply] : m_coordinator.takeReplies(now)) {
        if (node == m_node)
            m_member.receive(node, reply, now);
        else
            m_handlers.sendReply(node, reply);
    }
    for (const SlotMember::OutgoingReport& it : m_member.takeReports(now))
        m_handlers.sendReport(it.coordinator, it.report);
    if (m_member.hasDecisions())
        m_handlers.onDecisions();
    startTimer(now);
}

void SlotExchange::startTimer(MonotonicTime now)
{
    Milliseconds interval = idleInterval;
    if (!m_member.isIndependent())
        interval = std::min(interval, m_member.nextReportIn(now));
    if (m_coordinator.needsPolling())
        interval = std::min(interval, coordinatorPollInterval);
    m_timer.start(interval);
}

}

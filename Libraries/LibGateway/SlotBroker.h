#pragma once

#include <LibCore/Clock.h>
#include <LibGateway/SlotScheduler.h>

#include <QObject>
#include <QTimer>

#include <functional>
#include <string>
#include <unordered_map>

namespace Chicorydock {

/// Hears what becomes of the work that it submitted. A method may submit other work or withdraw its own.
class SlotClient {
public:
    virtual ~SlotClient() = default;

    /// The work starts now; the client calls `SlotBroker::ended()` when it has ended.
    virtual void onSlotGranted(const std::string& endpoint, const SlotView&) = 0;
    virtual void onRefused(Milliseconds retryAfter, const SlotView&) = 0;
    /// The running work must stop now. It has left its slot.
    virtual void onYield(const SlotView&) = 0;
};

/// Runs a `SlotScheduler` on the event loop and tells each client what was decided for it.
///
/// Thread safety: used on the thread that created it.
class SlotBroker final : public QObject {
public:
    /// `onUseChanged` is called after the use of slots changed.
    SlotBroker(SlotScheduler&, const Clock&, std::function<void()> onUseChanged);

    /// Queues the work and returns its number; the identifier in the work is replaced by it. The client outlives the
    /// work.
    uint64_t submit(OnlineWork, SlotClient&);
    uint64_t submit(BatchWork, SlotClient&);

    /// Takes back work that waits.
    void withdraw(uint64_t work);

    void ended(uint64_t work, EndpointOutcome);

    /// Decides soon, because something changed.
    void schedulePoll();

    SlotScheduler& scheduler() { return m_scheduler; }

private:
    void poll();
    void deliver(const SlotDecision&);

    SlotScheduler& m_scheduler;
    const Clock& m_clock;
    const std::function<void()> m_onUseChanged;
    std::unordered_map<uint64_t, SlotClient*> m_clients;
    uint64_t m_lastWork { 0 };
    bool m_isPollScheduled { false };
    QTimer m_waitTimer;
};

}

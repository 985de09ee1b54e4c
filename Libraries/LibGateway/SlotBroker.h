#pragma once

#include <LibCore/Clock.h>
#include <LibGateway/SlotAllocator.h>

#include <QObject>
#include <QTimer>

#include <functional>
#include <string>
#include <unordered_map>

namespace Chicorydock {

/// Receives the decisions about the work that it submitted. A method may submit other work or withdraw its own.
class SlotClient {
public:
    virtual ~SlotClient() = default;

    /// The work has a slot of the endpoint and starts now. The client calls `SlotBroker::finish()` when it has ended.
    virtual void onSlotGranted(const std::string& endpoint, const SlotView&) = 0;
    virtual void onRefused(RefusalReason, Milliseconds retryAfter, const SlotView&) = 0;
    /// The running work must stop now. Its slot has already been freed.
    virtual void onYield(const SlotView&) = 0;
};

/// Runs a `SlotAllocator` on the event loop and delivers its decisions to the clients.
///
/// Thread safety: used on the thread that created it.
class SlotBroker final : public QObject {
public:
    /// `onWorkChanged` is called after work of this node was queued, started, finished or withdrawn. Work is numbered
    /// from `lastWork` + 1 on; each process should begin at another number, because coordinators of earlier versions do
    /// not say which process their messages are for.
    SlotBroker(SlotAllocator&, const Clock&, std::function<void()> onWorkChanged, uint64_t lastWork = 0);

    /// Queues the work and returns its identifier, which replaces the one in the work. The client must outlive the
    /// work.
    uint64_t submit(OnlineWork, SlotClient&);
    uint64_t submit(BatchWork, SlotClient&);

    /// Removes queued work.
    void withdraw(uint64_t work);

    /// Frees the slot of started work.
    void finish(uint64_t work, EndpointOutcome);

    /// Records the load that an endpoint reported.
    void observe(const std::string& endpoint, const ObservedLoad&);

    /// Records the rate limit that an endpoint stated.
    void observeRate(const std::string& endpoint, const RateStatement&);

    /// Polls the allocator from the event loop, because something that it depends on has changed.
    void schedulePoll();

    /// Replaces what the operator grants to the workspaces.
    void setWorkspaces(const std::vector<WorkspaceLimits>&);

    /// Replaces the set of usable endpoints.
    void setEndpoints(const std::vector<EndpointRecord>&);

private:
    void poll();
    void deliver(const SlotDecision&);

    SlotAllocator& m_allocator;
    const Clock& m_clock;
    const std::function<void()> m_onWorkChanged;
    std::unordered_map<uint64_t, SlotClient*> m_clients;
    uint64_t m_lastWork;
    bool m_isPollScheduled { false };
    QTimer m_queuePollTimer;
};

}

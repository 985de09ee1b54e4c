#pragma once

#include <LibGateway/SlotBroker.h>

#include <utility>

namespace Chicorydock {

/// Owns the queue entry of a request or item at a `SlotBroker` and, once the work has started, its slot. Releases them
/// when destroyed.
///
/// Thread safety: used on the thread of the broker.
class SlotHandle final {
public:
    explicit SlotHandle(SlotBroker& broker)
        : m_broker(broker)
    {
    }
    ~SlotHandle() { release(EndpointOutcome::Cancelled); }

    SlotHandle(const SlotHandle&) = delete;
    SlotHandle& operator=(const SlotHandle&) = delete;

    /// Queues the work. Precondition: the handle owns no queue entry and no slot.
    template <typename Work> void request(Work work, SlotClient& client)
    {
        m_work = m_broker.submit(std::move(work), client);
    }

    /// Records that the broker has granted the slot.
    void markStarted() { m_isStarted = true; }

    /// Records that the broker has already removed the queue entry or freed the slot.
    void markReleased()
    {
        m_work = 0;
        m_isStarted = false;
    }

    /// Returns whether the work is queued for a slot.
    bool isQueued() const { return m_work != 0 && !m_isStarted; }

    /// Returns whether the work has a slot.
    bool isStarted() const { return m_isStarted; }

    /// Removes the queue entry or frees the slot, if there is one.
    void release(EndpointOutcome outcome)
    {
        const uint64_t work = std::exchange(m_work, 0);
        const bool isStarted = std::exchange(m_isStarted, false);
        if (work == 0)
            return;
        if (isStarted)
            m_broker.finish(work, outcome);
        else
            m_broker.withdraw(work);
    }

private:
    SlotBroker& m_broker;
    /// Identifier of the work at the broker, 0 if the handle owns nothing.
    uint64_t m_work { 0 };
    bool m_isStarted { false };
};

}

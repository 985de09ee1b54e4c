#pragma once

#include <LibGateway/SlotBroker.h>

#include <utility>

namespace Chicorydock {

/// The place of a piece of work in the queue of a `SlotBroker`, and then its slot. Gives either back when destroyed.
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

    /// Queues the work. Precondition: nothing is held.
    template <typename Work> void request(Work work, SlotClient& client)
    {
        m_work = m_broker.submit(std::move(work), client);
    }

    /// The work has got its slot.
    void markStarted() { m_isStarted = true; }

    /// The broker has taken the place or the slot back.
    void markReleased()
    {
        m_work = 0;
        m_isStarted = false;
    }

    /// Returns whether the work has its slot.
    bool isStarted() const { return m_isStarted; }

    /// Gives the place or the slot back, if there is one.
    void release(EndpointOutcome outcome)
    {
        const uint64_t work = std::exchange(m_work, 0);
        const bool isStarted = std::exchange(m_isStarted, false);
        if (work == 0)
            return;
        if (isStarted)
            m_broker.ended(work, outcome);
        else
            m_broker.withdraw(work);
    }

private:
    SlotBroker& m_broker;
    uint64_t m_work { 0 };
    bool m_isStarted { false };
};

}

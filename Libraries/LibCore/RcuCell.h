#pragma once

// The "bulletproof" flavour registers reader threads automatically, so that threads created by libraries may read.
#include <urcu-bp.h>

#include <atomic>
#include <memory>
#include <mutex>
#include <utility>

namespace Chicorydock {

/// Holds a shared pointer to an immutable value. Readers copy the pointer without a lock; writers replace the value.
///
/// Thread safety: all methods may be called from any thread; writers wait for each other and for readers.
template <typename T> class RcuCell {
public:
    explicit RcuCell(std::shared_ptr<const T> value = std::make_shared<const T>())
        : m_value(new std::shared_ptr<const T>(std::move(value)))
    {
    }

    RcuCell(const RcuCell&) = delete;
    RcuCell& operator=(const RcuCell&) = delete;

    ~RcuCell() { delete m_value.load(); }

    /// Returns the current value. Never blocks. Keep the pointer in a variable: `for (it : *cell.read())` destroys the
    /// temporary pointer before the loop starts, and a writer may free the value during the loop.
    std::shared_ptr<const T> read() const
    {
        urcu_bp_read_lock();
        std::shared_ptr<const T> value = *m_value.load(std::memory_order_acquire);
        urcu_bp_read_unlock();
        return value;
    }

    /// Replaces the value and waits until no reader uses the old pointer. Precondition: not called inside an RCU
    /// read-side critical section, which would deadlock.
    void publish(std::shared_ptr<const T> value)
    {
        const std::lock_guard guard(m_writerMutex);
        const auto* old = m_value.exchange(new std::shared_ptr<const T>(std::move(value)), std::memory_order_acq_rel);
        // Readers may still be copying the old shared pointer.
        urcu_bp_synchronize_rcu();
        delete old;
    }

private:
    std::mutex m_writerMutex;
    std::atomic<const std::shared_ptr<const T>*> m_value;
};

}

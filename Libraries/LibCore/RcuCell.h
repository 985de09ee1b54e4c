#pragma once

// The "bulletproof" flavour registers reader threads by itself, so that threads created by libraries may read.
#include <urcu-bp.h>

#include <atomic>
#include <memory>
#include <mutex>
#include <utility>

namespace Chicorydock {

/// Holds an immutable value that readers copy a reference to without a lock and writers replace as a whole.
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

    /// Returns the current value. Never blocks. Keep the pointer in a variable: `for (it : *cell.read())` would go on
    /// reading a value that a writer may have freed.
    std::shared_ptr<const T> read() const
    {
        urcu_bp_read_lock();
        std::shared_ptr<const T> value = *m_value.load(std::memory_order_acquire);
        urcu_bp_read_unlock();
        return value;
    }

    /// Replaces the value. Precondition: not called between a reader's lock and unlock.
    void publish(std::shared_ptr<const T> value)
    {
        const std::lock_guard guard(m_writerMutex);
        const auto* old = m_value.exchange(new std::shared_ptr<const T>(std::move(value)), std::memory_order_acq_rel);
        // Readers may still be copying from the old pointer.
        urcu_bp_synchronize_rcu();
        delete old;
    }

private:
    std::mutex m_writerMutex;
    std::atomic<const std::shared_ptr<const T>*> m_value;
};

}

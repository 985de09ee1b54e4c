#pragma once

#include <atomic>
#include <cstdint>

namespace Chicorydock {

/// A monotonically increasing number of occurrences. By convention, its name ends in `_total`.
///
/// Thread safety: all methods may be called from any thread; they do not lock.
class Counter {
public:
    void add(uint64_t n = 1) { m_value.fetch_add(n, std::memory_order_relaxed); }
    uint64_t value() const { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<uint64_t> m_value { 0 };
};

}

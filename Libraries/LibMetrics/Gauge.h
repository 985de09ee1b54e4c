#pragma once

#include <atomic>

namespace Chicorydock {

/// A value that can increase and decrease.
///
/// Thread safety: all methods may be called from any thread; they do not lock.
class Gauge {
public:
    void set(double value) { m_value.store(value, std::memory_order_relaxed); }
    void add(double difference) { m_value.fetch_add(difference, std::memory_order_relaxed); }
    double value() const { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<double> m_value { 0 };
};

}

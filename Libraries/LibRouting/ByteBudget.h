#pragma once

#include <LibCore/Clock.h>

#include <algorithm>
#include <cstdint>

namespace Chicorydock {

/// Token bucket that limits the byte rate of the link to other regions. It holds the bytes of one second at most.
///
/// Thread safety: none.
class ByteBudget {
public:
    explicit ByteBudget(uint64_t bytesPerSecond)
        : m_rate(static_cast<double>(bytesPerSecond))
        , m_balance(m_rate)
    {
    }

    /// Acquires the bytes if the budget covers them, and returns whether it does.
    bool tryAcquire(double bytes, MonotonicTime now)
    {
        refill(now);
        if (m_balance < bytes)
            return false;
        m_balance -= bytes;
        return true;
    }

    /// Charges bytes that were used in addition to those acquired before; the balance may become negative. A negative
    /// number returns unused bytes.
    void charge(double bytes, MonotonicTime now)
    {
        refill(now);
        m_balance = std::min(m_rate, m_balance - bytes);
    }

private:
    void refill(MonotonicTime now)
    {
        if (m_lastRefill != MonotonicTime {})
            m_balance = std::min(m_rate, m_balance + m_rate * toSeconds(now - m_lastRefill));
        m_lastRefill = now;
    }

    double m_rate;
    double m_balance;
    MonotonicTime m_lastRefill;
};

}

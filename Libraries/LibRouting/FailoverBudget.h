#pragma once

#include <LibCore/Clock.h>

#include <algorithm>

namespace Chicorydock {

/// Token bucket for retries of work that was in flight on endpoints that failed. It starts full and refills over time,
/// so that a node that has served few requests can still resume all streams of a lost endpoint.
///
/// Thread safety: none.
class FailoverBudget {
public:
    FailoverBudget(double capacity, double refillPerSecond)
        : m_capacity(capacity)
        , m_refillPerSecond(refillPerSecond)
        , m_balance(capacity)
    {
    }

    /// Acquires one attempt if the budget has one, and returns whether it does.
    bool tryAcquire(MonotonicTime now)
    {
        if (m_lastRefill != MonotonicTime {})
            m_balance = std::min(m_capacity, m_balance + toSeconds(now - m_lastRefill) * m_refillPerSecond);
        m_lastRefill = now;
        if (m_balance < 1)
            return false;
        m_balance -= 1;
        return true;
    }

private:
    double m_capacity;
    double m_refillPerSecond;
    double m_balance;
    MonotonicTime m_lastRefill;
};

}

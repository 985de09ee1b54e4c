#pragma once

#include <LibCore/Clock.h>

#include <algorithm>

namespace Chicorydock {

/// Token bucket for the work that was in flight on endpoints that failed. It starts full and fills with time, so that a
/// node that has served few requests can still resume all streams of a lost endpoint.
///
/// Thread safety: none.
class LossReserve {
public:
    LossReserve(double capacity, double perSecond)
        : m_capacity(capacity)
        , m_perSecond(perSecond)
        , m_balance(capacity)
    {
    }

    /// Takes one attempt if the reserve has one.
    bool take(MonotonicTime now)
    {
        if (m_lastTaken != MonotonicTime {})
            m_balance = std::min(m_capacity, m_balance + toSeconds(now - m_lastTaken) * m_perSecond);
        m_lastTaken = now;
        if (m_balance < 1)
            return false;
        m_balance -= 1;
        return true;
    }

private:
    double m_capacity;
    double m_perSecond;
    double m_balance;
    MonotonicTime m_lastTaken;
};

}

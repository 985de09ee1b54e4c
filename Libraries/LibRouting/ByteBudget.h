#pragma once

#include <LibCore/Clock.h>

#include <algorithm>
#include <cstdint>

namespace Chicorydock {

/// Token bucket of bytes a second for the link to other regions. It holds one second's worth at most.
///
/// Thread safety: none.
class ByteBudget {
public:
    explicit ByteBudget(uint64_t bytesPerSecond)
        : m_rate(static_cast<double>(bytesPerSecond))
        , m_balance(m_rate)
    {
    }

    /// Takes the bytes if they are there.
    bool take(double bytes, MonotonicTime now)
    {
        refill(now);
        if (m_balance < bytes)
            return false;
        m_balance -= bytes;
        return true;
    }

    /// Takes bytes that were used beyond what was taken before; the balance may become negative. A negative number
    /// gives unused bytes back.
    void charge(double bytes, MonotonicTime now)
    {
        refill(now);
        m_balance = std::min(m_rate, m_balance - bytes);
    }

private:
    void refill(MonotonicTime now)
    {
        if (m_last != MonotonicTime {})
            m_balance = std::min(m_rate, m_balance + m_rate * toSeconds(now - m_last));
        m_last = now;
    }

    double m_rate;
    double m_balance;
    MonotonicTime m_last;
};

}

#pragma once

namespace Chicorydock {

/// Token bucket that limits extra attempts to a share of the first attempts. It starts empty, so that the share holds
/// from the first request on.
///
/// Thread safety: none.
class RetryBudget {
public:
    /// Each first attempt adds `share` of an extra attempt to the budget, which holds up to `burst` of them.
    RetryBudget(double share, double burst)
        : m_share(share)
        , m_burst(burst)
    {
    }

    void deposit() { m_balance = m_balance + m_share < m_burst ? m_balance + m_share : m_burst; }

    bool canAcquire() const { return m_balance >= 1 - roundingTolerance; }

    /// Acquires one extra attempt if the budget has one, and returns whether it does.
    bool tryAcquire()
    {
        if (!canAcquire())
            return false;
        m_balance -= 1;
        return true;
    }

private:
    /// Ten times 0.1 is slightly less than 1 in binary floating point.
    static constexpr double roundingTolerance = 1e-9;

    double m_share;
    double m_burst;
    double m_balance { 0 };
};

}

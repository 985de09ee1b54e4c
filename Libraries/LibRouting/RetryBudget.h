#pragma once

namespace Chicorydock {

/// Token bucket that limits extra attempts to a share of the first attempts. It starts empty, so that the share holds
/// from the first request on.
///
/// Thread safety: none.
class RetryBudget {
public:
    /// `share` of an extra attempt is earned per first attempt, up to `burst` of them.
    RetryBudget(double share, double burst)
        : m_share(share)
        , m_burst(burst)
    {
    }

    void earn() { m_balance = m_balance + m_share < m_burst ? m_balance + m_share : m_burst; }

    bool canTake() const { return m_balance >= 1 - rounding; }

    /// Takes one attempt if the budget has one.
    bool take()
    {
        if (!canTake())
            return false;
        m_balance -= 1;
        return true;
    }

private:
    /// Ten times 0.1 is slightly less than 1 in binary floating point.
    static constexpr double rounding = 1e-9;

    double m_share;
    double m_burst;
    double m_balance { 0 };
};

}

#pragma once

namespace Chicorydock {

/// Token bucket that limits extra attempts to a share of the first attempts.
///
/// Thread safety: none.
class RetryBudget {
public:
    /// `share` of an extra attempt is earned per first attempt, up to `burst` of them. `initial` attempts are there
    /// from the start.
    RetryBudget(double share, double burst, double initial)
        : m_share(share)
        , m_burst(burst)
        , m_balance(initial)
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
    double m_balance;
};

}

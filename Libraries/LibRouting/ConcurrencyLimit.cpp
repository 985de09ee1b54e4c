#include <LibRouting/ConcurrencyLimit.h>

#include <algorithm>
#include <cmath>

namespace Chicorydock {

namespace {

    constexpr Milliseconds rampInterval { 500 };
    constexpr double rampFactor = 1.5;
    // The limit ramps up only while at least this share of it is in use; an unused limit does not show that the
    // endpoint sustains it.
    constexpr double minUsedShare = 0.6;
    // 19 first tokens in time compensate for a late one, which keeps the target for 95% of them.
    constexpr double lateFactor = 0.9;
    constexpr double inTimeStep = 0.1 / 19;
    constexpr double minFirstTokenShare = 0.25;

}

ConcurrencyLimit::ConcurrencyLimit(const SchedulerSettings& settings)
    : m_targetGapSeconds(toSeconds(settings.tokenGapTarget))
    , m_initial(settings.initialConcurrency)
    , m_max(settings.maxConcurrency)
{
}

double ConcurrencyLimit::targetConcurrency(const SpeedEstimator& speed) const
{
    const double headroomSeconds = m_targetGapSeconds - speed.gapBaseSeconds();
    if (headroomSeconds <= 0)
        return 1;
    if (speed.gapSlopeSeconds() * m_max <= headroomSeconds)
        return m_max;
    return std::max(1.0, headroomSeconds / speed.gapSlopeSeconds());
}

void ConcurrencyLimit::update(const SpeedEstimator& speed, double concurrency, MonotonicTime now)
{
    if (!m_isProven && speed.isProven()) {
        m_isProven = true;
        m_ramp = m_initial;
        m_lastRamp = now;
    }
    const double target = std::min(m_max, targetConcurrency(speed) * m_firstTokenShare);
    if (m_isProven && now - m_lastRamp >= rampInterval && concurrency >= minUsedShare * m_ramp && m_ramp < target) {
        m_ramp *= rampFactor;
        m_lastRamp = now;
    }
    // After a decrease the limit ramps up again from the decreased value.
    if (m_isProven)
        m_ramp = std::clamp(m_ramp, 1.0, std::max(m_initial, target * rampFactor));
    m_value = static_cast<uint32_t>(std::max(1.0, std::floor(std::min(m_ramp, target))));
}

void ConcurrencyLimit::recordFirstToken(bool isInTime)
{
    const double share = isInTime ? m_firstTokenShare + inTimeStep : m_firstTokenShare * lateFactor;
    m_firstTokenShare = std::clamp(share, minFirstTokenShare, 1.0);
}

}

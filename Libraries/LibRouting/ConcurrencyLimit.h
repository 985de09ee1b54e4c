#pragma once

#include <LibCore/Clock.h>
#include <LibRouting/SchedulerSettings.h>
#include <LibRouting/SpeedEstimator.h>

namespace Chicorydock {

/// The concurrency limit of one endpoint: the largest at which the learned token gap and the observed times to the
/// first token meet their targets. A new endpoint starts with one stream, continues with a low limit once it has proven
/// itself, and ramps up while its limit is used.
///
/// Thread safety: none.
class ConcurrencyLimit {
public:
    explicit ConcurrencyLimit(const SchedulerSettings&);

    /// Updates the limit from new estimates. `concurrency` is the current concurrency of the endpoint.
    void update(const SpeedEstimator&, double concurrency, MonotonicTime now);

    /// Records whether a first token met its target.
    void recordFirstToken(bool isInTime);

    uint32_t value() const { return m_value; }

private:
    double targetConcurrency(const SpeedEstimator&) const;

    double m_targetGapSeconds;
    double m_initial;
    double m_max;
    double m_ramp { 1 };
    /// Factor by which late first tokens reduce the limit that follows from the token gap.
    double m_firstTokenShare { 1 };
    uint32_t m_value { 1 };
    bool m_isProven { false };
    MonotonicTime m_lastRamp;
};

}

#pragma once

#include <cstdint>

namespace Chicorydock {

/// Learns `y = base + slope * x` by recursive least squares with forgetting. Both coefficients stay non-negative.
///
/// Thread safety: none.
class LinearEstimator {
public:
    /// Starts from a prior. `forgetting`, in (0, 1], is the factor by which the weight of a sample decreases when the
    /// next one arrives.
    LinearEstimator(double base, double slope, double forgetting);

    void add(double x, double y);

    /// Replaces the coefficients and resets the confidence in them, so that new samples soon outweigh them.
    void seed(double base, double slope);

    double base() const { return m_base; }
    double slope() const { return m_slope; }
    double at(double x) const { return m_base + m_slope * x; }
    uint64_t samples() const { return m_samples; }

private:
    void resetCovariance();

    double m_forgetting;
    double m_base;
    double m_slope;
    /// Covariance of the coefficients in units of their priors.
    double m_p00 { 0 };
    double m_p01 { 0 };
    double m_p11 { 0 };
    /// Typical value of y and x, which scale the regression so that its conditioning does not depend on the units.
    double m_scaleY;
    double m_scaleX { 1 };
    uint64_t m_samples { 0 };
};

}

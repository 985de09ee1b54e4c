#include <LibRouting/LinearEstimator.h>

#include <algorithm>
#include <cassert>

namespace Chicorydock {

namespace {

    // Prior variance relative to the noise of a sample; large, so that a few samples outweigh the prior.
    constexpr double priorVariance = 10;
    // Without an upper bound, the covariance grows indefinitely while x does not vary, and the next change of x makes
    // the coefficients jump.
    constexpr double maxVariance = 50;

}

LinearEstimator::LinearEstimator(double base, double slope, double forgetting)
    : m_forgetting(forgetting)
    , m_base(base)
    , m_slope(slope)
    , m_scaleY(base)
{
    assert(base > 0);
    assert(forgetting > 0 && forgetting <= 1);
    // At x = base / slope both terms of the prior are equally large.
    if (slope > 0)
        m_scaleX = base / slope;
    resetCovariance();
}

void LinearEstimator::resetCovariance()
{
    m_p00 = priorVariance;
    m_p01 = 0;
    m_p11 = priorVariance;
}

void LinearEstimator::seed(double base, double slope)
{
    m_base = base;
    m_slope = slope;
    resetCovariance();
}

void LinearEstimator::add(double x, double y)
{
    ++m_samples;
    const double u = x / m_scaleX;
    const double error = (y - at(x)) / m_scaleY;
    const double v0 = m_p00 + m_p01 * u;
    const double v1 = m_p01 + m_p11 * u;
    const double denominator = m_forgetting + v0 + v1 * u;
    const double k0 = v0 / denominator;
    const double k1 = v1 / denominator;
    m_base = std::max(0.0, m_base + k0 * error * m_scaleY);
    m_slope = std::max(0.0, m_slope + k1 * error * m_scaleY / m_scaleX);
    m_p00 = (m_p00 - k0 * v0) / m_forgetting;
    m_p01 = (m_p01 - k0 * v1) / m_forgetting;
    m_p11 = (m_p11 - k1 * v1) / m_forgetting;
    const double largest = std::max(m_p00, m_p11);
    if (largest > maxVariance) {
        const double factor = maxVariance / largest;
        m_p00 *= factor;
        m_p01 *= factor;
        m_p11 *= factor;
    }
}

}

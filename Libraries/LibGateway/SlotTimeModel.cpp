#include <LibGateway/SlotTimeModel.h>

#include <algorithm>
#include <cmath>

namespace Chicorydock {

namespace {

    /// Weight of a new sample in the moving average of the times.
    constexpr double meanWeight = 0.1;

    /// Weight of a new sample in the moments of the regression. What work of a shape needs changes more slowly than how
    /// busy the endpoints are, and the regression needs many samples.
    constexpr double momentWeight = 0.004;

    /// Samples before the regression is used.
    constexpr size_t minSamples = 20;

    /// Added to the variance of each feature. Features that hardly vary say nothing about the time.
    constexpr double ridge = 0.02;

    /// The time per token is constant, so the time grows no faster than the number of tokens.
    constexpr double maxSlope = 1;

    /// Limits of a time relative to the typical one. Work outside them is rare, and an error there is costly.
    constexpr double minRelativeTime = 0.2;
    constexpr double maxRelativeTime = 5;

    double clampedSlope(double slope) { return std::clamp(slope, 0.0, maxSlope); }

}

void SlotTimeModel::add(const WorkProfile& profile, Milliseconds held)
{
    const double old = static_cast<double>(m_mean.value_or(held).count());
    m_mean = Milliseconds { std::lround(old + (static_cast<double>(held.count()) - old) * meanWeight) };
    const Features features = featuresOf(profile);
    if (!features[0] && !features[1])
        return;
    addToRegression(features, std::log(static_cast<double>(std::max<int64_t>(held.count(), 1))));
    updateSlopes();
    const double weight = std::max(momentWeight, 1.0 / static_cast<double>(m_samples));
    m_meanRelativeTime += (relativeTime(features) - m_meanRelativeTime) * weight;
}

std::optional<Milliseconds> SlotTimeModel::expected(const WorkProfile& profile) const
{
    const Features features = featuresOf(profile);
    if (!m_mean || m_samples < minSamples || (!features[0] && !features[1]))
        return m_mean;
    const double factor = relativeTime(features) / m_meanRelativeTime;
    return Milliseconds { std::lround(static_cast<double>(m_mean->count()) * factor) };
}

SlotTimeModel::Features SlotTimeModel::featuresOf(const WorkProfile& profile)
{
    const auto logarithm = [](uint32_t tokens) { return tokens > 0 ? std::optional(std::log(tokens)) : std::nullopt; };
    const bool hasHint = profile.outputTokensHint > 0;
    return { logarithm(hasHint ? profile.outputTokensHint : profile.maxOutputTokens), logarithm(profile.promptTokens) };
}

double SlotTimeModel::relativeTime(const Features& features) const
{
    double sum = 0;
    for (size_t n = 0; n < featureCount; ++n)
        sum += m_slopes[n] * (features[n].value_or(m_means[n]) - m_means[n]);
    return std::clamp(std::exp(sum), minRelativeTime, maxRelativeTime);
}

void SlotTimeModel::addToRegression(const Features& features, double logTime)
{
    ++m_samples;
    const double weight = std::max(momentWeight, 1.0 / static_cast<double>(m_samples));
    const double timeChange = logTime - m_meanLogTime;
    m_meanLogTime += timeChange * weight;
    std::array<double, featureCount> changes {};
    for (size_t n = 0; n < featureCount; ++n) {
        // The first value of a feature sets its mean, because an unknown one has no effect.
        if (features[n] && m_means[n] == 0)
            m_means[n] = *features[n];
        changes[n] = features[n].value_or(m_means[n]) - m_means[n];
        m_means[n] += changes[n] * weight;
        m_variances[n] = (1 - weight) * (m_variances[n] + weight * changes[n] * changes[n]);
        m_timeCovariances[n] = (1 - weight) * (m_timeCovariances[n] + weight * changes[n] * timeChange);
    }
    m_covariance = (1 - weight) * (m_covariance + weight * changes[0] * changes[1]);
}

void SlotTimeModel::updateSlopes()
{
    const double first = m_variances[0] + ridge;
    const double second = m_variances[1] + ridge;
    const double determinant = first * second - m_covariance * m_covariance;
    m_slopes = { (m_timeCovariances[0] * second - m_timeCovariances[1] * m_covariance) / determinant,
        (m_timeCovariances[1] * first - m_timeCovariances[0] * m_covariance) / determinant };
    // More tokens never take less time. A feature that seems to shorten the time is left out.
    if (m_slopes[0] < 0)
        m_slopes = { 0, m_timeCovariances[1] / second };
    else if (m_slopes[1] < 0)
        m_slopes = { m_timeCovariances[0] / first, 0 };
    m_slopes = { clampedSlope(m_slopes[0]), clampedSlope(m_slopes[1]) };
}

}

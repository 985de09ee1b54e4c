#pragma once

#include <LibCore/Clock.h>
#include <LibGateway/WorkProfile.h>

#include <array>
#include <cstddef>
#include <optional>

namespace Chicorydock {

/// Learns how long one kind of work holds a slot, and how this depends on what is known about the work before it runs.
///
/// The mean follows the latest work, so that it shows within a few samples how busy the endpoints are. How the time of
/// one request differs from the mean is a regression of the logarithm of the time on the logarithms of the expected
/// output and of the prompt length. Callers' hints are often wrong by a factor; the regression weakens them as much as
/// they have turned out to be wrong, and logarithms keep a few extreme samples from dominating it.
///
/// Thread safety: none.
class SlotTimeModel {
public:
    void add(const WorkProfile&, Milliseconds held);

    /// Returns the mean, or nothing before the first sample.
    std::optional<Milliseconds> mean() const { return m_mean; }

    /// Returns the expected time of work with this profile, or nothing before the first sample. It is the mean if the
    /// profile states nothing or too little of such work has ended.
    std::optional<Milliseconds> expected(const WorkProfile&) const;

private:
    static constexpr size_t featureCount = 2;

    /// Logarithms of the expected output tokens and of the prompt tokens. Those that are unknown are not set.
    using Features = std::array<std::optional<double>, featureCount>;

    static Features featuresOf(const WorkProfile&);
    /// Returns the time of such work relative to the mean, up to a constant factor.
    double relativeTime(const Features&) const;
    void addToRegression(const Features&, double logTime);
    /// Computes the slopes from the moments.
    void updateSlopes();

    std::optional<Milliseconds> m_mean;
    size_t m_samples { 0 };
    double m_meanLogTime { 0 };
    std::array<double, featureCount> m_means {};
    std::array<double, featureCount> m_variances {};
    /// Covariances of the features with the logarithm of the time, and of the features with each other.
    std::array<double, featureCount> m_timeCovariances {};
    double m_covariance { 0 };
    std::array<double, featureCount> m_slopes {};
    /// Mean of `relativeTime()` over the samples.
    double m_meanRelativeTime { 1 };
};

}

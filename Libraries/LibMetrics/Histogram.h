#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <vector>

namespace Chicorydock {

/// Counts observations in buckets with inclusive upper bounds, as Prometheus defines them.
///
/// Thread safety: all methods may be called from any thread; they do not lock.
class Histogram {
public:
    /// Counts at one moment.
    struct Snapshot {
        /// Number of observations in each bucket, the last one for values above all bounds. Not cumulative.
        std::vector<uint64_t> buckets;
        uint64_t count { 0 };
        double sum { 0 };
    };

    /// Precondition: the bounds are finite, increasing and at least two.
    explicit Histogram(std::vector<double> upperBounds);
    ~Histogram();

    /// Counts one observation. NaN is ignored, because it has no bucket.
    void observe(double value);

    /// Counts a duration in seconds.
    template <typename Duration> void observeDuration(Duration duration)
    {
        observe(std::chrono::duration<double>(duration).count());
    }

    const std::vector<double>& upperBounds() const { return m_upperBounds; }

    /// Returns the counts. A concurrent observation may be included in the count but not yet in the sum.
    Snapshot snapshot() const;

    /// Bounds for latencies in seconds, from 1 ms to 2 min; they include the targets for the gap between tokens (27 ms)
    /// and for the time to the first token (1.5 s), so that the share within a target can be read off exactly.
    static std::vector<double> latencyBounds();

private:
    // Keeps Boost's headers, which are slow to compile, out of this header.
    struct Buckets;

    const std::vector<double> m_upperBounds;
    const std::unique_ptr<Buckets> m_buckets;
    std::atomic<double> m_sum { 0 };
};

}

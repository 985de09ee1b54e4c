#pragma once

#include <LibCore/Clock.h>

#include <array>
#include <cstddef>
#include <cstdint>

namespace Chicorydock {

/// Learns from finished work how long work takes at one endpoint, by its load, relative to the other endpoints of its
/// service, and how much load the endpoint takes well.
///
/// Samples lose weight with their age and are averaged with the assumption that the endpoint is like the others. An
/// endpoint that gets no work for a while therefore counts as normal again, so a wrong estimate never excludes it.
///
/// Load: endpoints of one service that differ in speed, some of which slow down long before they are full.
///
/// Thread safety: none.
class EndpointLoadProfile {
public:
    /// Records work that has ended. `duration` is the time for which it held its slot, divided by its size relative to
    /// other work of the service. The loads are the numbers of slots in use at its start and at its end, itself
    /// included. Work during which the load has changed much says little and is ignored, as are values that are not
    /// positive.
    void record(std::chrono::duration<double> duration, uint32_t startLoad, uint32_t endLoad, uint32_t slotCount,
        MonotonicTime now);

    /// Returns the expected duration of work at that load, as a multiple of the `normal` duration at the service.
    double slowdown(uint32_t load, uint32_t slotCount, std::chrono::duration<double> normal, MonotonicTime now) const;

    /// Returns the largest load that the endpoint takes well: above it, each further slot in use slows down the others
    /// by more than it adds. At least 1 and at most `slotCount`, which it is without clear evidence of less. An
    /// endpoint that is so slow that less load might do more is tried at less load for a moment.
    uint32_t limit(uint32_t slotCount, std::chrono::duration<double> normal, MonotonicTime now) const;

    /// Returns the mean duration of work at any load, 0 if nothing has been recorded lately.
    std::chrono::duration<double> meanDuration(MonotonicTime now) const;

    /// Forgets everything, because the endpoint has been started anew.
    void reset() { m_bands = {}; }

private:
    /// Work that ran at a similar load.
    struct Band {
        /// Sum of the weights of the samples at `updatedAt`, and the weighted means of the duration in seconds, its
        /// square, and the load.
        double weight { 0 };
        double mean { 0 };
        double meanSquare { 0 };
        double meanLoad { 0 };
        MonotonicTime updatedAt;

        double weightAt(MonotonicTime) const;
        /// Returns whether there are enough samples to judge by.
        bool isObserved(MonotonicTime) const;
        /// Returns the relative variance of the mean.
        double uncertainty(MonotonicTime) const;
    };

    static constexpr size_t bandCount = 4;

    static size_t bandOf(uint32_t load, uint32_t slotCount);
    /// Returns the largest load of the band.
    static uint32_t topLoad(size_t band, uint32_t slotCount);
    /// Returns the load of the best throughput among the bands that have been observed. `throughput` receives it, in
    /// work per second, 0 if none has been observed.
    uint32_t observedLimit(uint32_t slotCount, MonotonicTime now, double& throughput) const;

    std::array<Band, bandCount> m_bands {};
};

}

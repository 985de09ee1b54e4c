#include <LibGateway/EndpointLoadProfile.h>

#include <algorithm>
#include <cmath>

namespace Chicorydock {

namespace {

    /// Time constant of the exponential decay of samples. An endpoint is tried above its limit when the evidence
    /// has become weak, which makes work late there, so it must not happen often.
    constexpr std::chrono::duration<double> sampleLifetime { 45 };

    /// Upper limit of the weight of earlier samples: the latest ones count for more, so that a change of speed is
    /// followed within that many samples.
    constexpr double maxWeight = 20;

    /// Weight, in samples, of the assumption that the endpoint is like the others.
    constexpr double priorWeight = 4;

    /// A band says something about the limit only with that many samples.
    constexpr double minWeightForLimit = 6;

    /// Relative variance of one sample that is assumed at least, so that a few equal samples prove nothing.
    constexpr double minSampleVariance = 0.01;

    /// A limit needs throughput that falls with the load by more than this many standard deviations, and by more than
    /// this share. Less is not worth the slots that stay unused.
    constexpr double requiredDeviations = 3;
    constexpr double requiredLoss = 0.1;

    /// An endpoint is tried at less load if it would do more by this share if it were as fast as the others there.
    constexpr double requiredProspect = 0.15;

}

double EndpointLoadProfile::Band::weightAt(MonotonicTime now) const
{
    const std::chrono::duration<double> age = now - updatedAt;
    return weight * std::exp(-std::max(0.0, age / sampleLifetime));
}

bool EndpointLoadProfile::Band::isObserved(MonotonicTime now) const { return weightAt(now) >= minWeightForLimit; }

double EndpointLoadProfile::Band::uncertainty(MonotonicTime now) const
{
    const double variance = std::max(minSampleVariance, meanSquare / (mean * mean) - 1);
    return variance / std::max(1.0, weightAt(now));
}

size_t EndpointLoadProfile::bandOf(uint32_t load, uint32_t slotCount)
{
    const uint32_t capacity = std::max(1U, slotCount);
    const uint32_t usable = std::clamp(load, 1U, capacity);
    return static_cast<size_t>(usable - 1) * bandCount / capacity;
}

uint32_t EndpointLoadProfile::topLoad(size_t band, uint32_t slotCount)
{
    return static_cast<uint32_t>(((band + 1) * slotCount + bandCount - 1) / bandCount);
}

void EndpointLoadProfile::record(
    std::chrono::duration<double> duration, uint32_t startLoad, uint32_t endLoad, uint32_t slotCount, MonotonicTime now)
{
    const double sample = duration.count();
    const size_t index = bandOf(endLoad, slotCount);
    if (!(sample > 0) || startLoad == 0 || endLoad == 0 || bandOf(startLoad, slotCount) != index)
        return;
    Band& band = m_bands.at(index);
    const double before = band.weightAt(now);
    const double share = 1 / (before + 1);
    band.mean += (sample - band.mean) * share;
    band.meanSquare += (sample * sample - band.meanSquare) * share;
    band.meanLoad += ((startLoad + endLoad) / 2.0 - band.meanLoad) * share;
    band.weight = std::min(before + 1, maxWeight);
    band.updatedAt = now;
}

std::chrono::duration<double> EndpointLoadProfile::meanDuration(MonotonicTime now) const
{
    double weight = 0;
    double sum = 0;
    for (const Band& it : m_bands) {
        weight += it.weightAt(now);
        sum += it.weightAt(now) * it.mean;
    }
    return std::chrono::duration<double> { weight < 1 ? 0 : sum / weight };
}

double EndpointLoadProfile::slowdown(
    uint32_t load, uint32_t slotCount, std::chrono::duration<double> normal, MonotonicTime now) const
{
    if (!(normal.count() > 0))
        return 1;
    // Work at another load says less about this one, the more so the further away it is.
    const size_t wanted = bandOf(load, slotCount);
    double weight = priorWeight;
    double sum = priorWeight;
    for (size_t n = 0; n < bandCount; ++n) {
        const size_t distance = n > wanted ? n - wanted : wanted - n;
        const double relevant = m_bands.at(n).weightAt(now) / static_cast<double>(1U << (2 * distance));
        weight += relevant;
        sum += relevant * m_bands.at(n).mean / normal.count();
    }
    return sum / weight;
}

uint32_t EndpointLoadProfile::observedLimit(uint32_t slotCount, MonotonicTime now, double& throughput) const
{
    double variance = 0;
    uint32_t load = slotCount;
    bool isLimited = false;
    for (const Band& band : m_bands) {
        if (!band.isObserved(now))
            continue;
        const double next = band.meanLoad / band.mean;
        const double nextVariance = band.uncertainty(now) * next * next;
        if (next > throughput) {
            throughput = next;
            variance = nextVariance;
            load = static_cast<uint32_t>(std::lround(band.meanLoad));
            isLimited = false;
            continue;
        }
        const double loss = throughput - next;
        isLimited = isLimited
            || (loss > throughput * requiredLoss && loss > requiredDeviations * std::sqrt(variance + nextVariance));
    }
    return isLimited ? std::clamp(load, 1U, slotCount) : slotCount;
}

uint32_t EndpointLoadProfile::limit(uint32_t slotCount, std::chrono::duration<double> normal, MonotonicTime now) const
{
    double throughput = 0;
    const uint32_t observed = observedLimit(slotCount, now, throughput);
    if (throughput == 0 || !(normal.count() > 0))
        return slotCount;
    bool isObservedAbove = false;
    for (size_t n = bandCount; n-- > 0;) {
        if (m_bands.at(n).isObserved(now)) {
            isObservedAbove = true;
            continue;
        }
        const uint32_t load = topLoad(n, slotCount);
        if (isObservedAbove && load < observed && load > throughput * normal.count() * (1 + requiredProspect))
            return load;
    }
    return observed;
}

}

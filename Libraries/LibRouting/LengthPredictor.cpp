#include <LibRouting/LengthPredictor.h>

#include <LibCore/Digest.h>

#include <algorithm>
#include <bit>

namespace Chicorydock {

namespace {

    // Sized for 560 active workspaces with a few models and limits each; 16 bytes per slot.
    constexpr size_t slotCount = 8'192;
    constexpr double meanWeight = 0.1;
    constexpr uint32_t minSamples = 3;
    constexpr double longFactor = 8;
    // Without history, callers are assumed to use a quarter of their limit.
    constexpr double defaultShareOfLimit = 0.25;
    constexpr double defaultTokens = 128;
    // The median moves by at most this share per sample.
    constexpr double medianStep = 0.02;
    constexpr uint64_t medianWarmUpSamples = 10;

    // Limits and prompts within a factor of two share their history.
    uint64_t shapeOf(const Work& work)
    {
        return (static_cast<uint64_t>(std::bit_width(work.maxTokens)) << 8) | std::bit_width(work.promptTokens);
    }

    uint64_t workspaceKey(const Work& work)
    {
        return stableHash(work.workspace, stableHash(work.model, shapeOf(work) + 1));
    }

    uint64_t modelKey(const Work& work)
    {
        return stableHash(work.model, static_cast<uint64_t>(std::bit_width(work.maxTokens)) << 32);
    }

}

LengthPredictor::LengthPredictor()
    : m_slots(slotCount)
{
}

const LengthPredictor::Slot* LengthPredictor::find(uint64_t key) const
{
    const Slot& slot = m_slots[key % slotCount];
    return slot.key == key && slot.samples >= minSamples ? &slot : nullptr;
}

void LengthPredictor::addTo(uint64_t key, uint32_t tokens)
{
    Slot& slot = m_slots[key % slotCount];
    if (slot.key != key)
        slot = { key, static_cast<float>(tokens), 0 };
    ++slot.samples;
    const double weight = std::max(meanWeight, 1.0 / slot.samples);
    slot.mean += static_cast<float>(weight * (tokens - slot.mean));
}

void LengthPredictor::add(const Work& work, uint32_t tokens)
{
    addTo(workspaceKey(work), tokens);
    addTo(modelKey(work), tokens);
    ++m_samples;
    if (m_samples <= medianWarmUpSamples) {
        m_typicalTokens += (tokens - m_typicalTokens) / static_cast<double>(m_samples);
        return;
    }
    const double step = std::max(1.0, m_typicalTokens * medianStep);
    m_typicalTokens = std::max(1.0, m_typicalTokens + (tokens > m_typicalTokens ? step : -step));
}

double LengthPredictor::expectedTokens(const Work& work) const
{
    double tokens = work.maxTokens > 0 ? defaultShareOfLimit * work.maxTokens : defaultTokens;
    if (const Slot* slot = find(modelKey(work)))
        tokens = slot->mean;
    if (const Slot* slot = find(workspaceKey(work)))
        tokens = slot->mean;
    if (work.maxTokens > 0)
        tokens = std::min(tokens, static_cast<double>(work.maxTokens));
    return tokens;
}

bool LengthPredictor::isLongLength(double tokens) const
{
    return m_samples > medianWarmUpSamples && tokens > longFactor * m_typicalTokens;
}

}

#include <LibRouting/SpeedEstimator.h>

#include <algorithm>

namespace Chicorydock {

namespace {

    // Priors of an endpoint of which nothing is known; samples replace them within a second of streaming.
    constexpr double priorFirstTokenSeconds = 0.1;
    constexpr double priorSecondsPerPromptToken = 0.0002;
    constexpr double priorGapSeconds = 0.012;
    constexpr double priorGapSlopeSeconds = 0.0005;

    // One sample per window, so that the memory of the regression is a time and not a number of tokens:
    // 1 / (1 - 0.995) samples of 50 ms are 10 s of streaming.
    constexpr Milliseconds window { 50 };
    constexpr uint32_t minWindowTokens = 4;
    constexpr double gapForgetting = 0.995;
    constexpr double firstTokenForgetting = 0.99;

    // Three windows move the fast average by 1 - 0.6^3 = 78% of a change.
    constexpr double fastWeight = 0.4;
    // One first token says less than a window of tokens, because prompts vary.
    constexpr double firstTokenWeight = 0.15;
    // Beyond this ratio a sample belongs to a disturbance and not to the reference, unless it lasts.
    constexpr double disturbedRatio = 1.6;
    // After 30 s of slow streaming the slowness is taken as the endpoint's speed.
    constexpr uint32_t maxSlowWindows = 600;
    // Early samples are always learned from, because the prior says nothing about the endpoint.
    constexpr uint64_t learningSamples = 20;
    // A gap this many times the expected one counts as slowness before the token comes.
    constexpr double silentGaps = 3;
    constexpr double worstHealth = 0.02;

}

SpeedEstimator::SpeedEstimator()
    : m_firstToken(priorFirstTokenSeconds, priorSecondsPerPromptToken, firstTokenForgetting)
    , m_gap(priorGapSeconds, priorGapSlopeSeconds, gapForgetting)
{
}

void SpeedEstimator::addRatio(double ratio, double weight)
{
    m_fastRatio += weight * (std::min(ratio, 1 / worstHealth) - m_fastRatio);
}

void SpeedEstimator::addFirstToken(double promptTokens, double seconds)
{
    ++m_plainSamples;
    const double ratio = seconds / std::max(1e-6, m_firstToken.at(promptTokens));
    if (m_firstToken.samples() >= learningSamples) {
        addRatio(ratio, firstTokenWeight);
        if (ratio > disturbedRatio * 2 && m_slowWindows < maxSlowWindows)
            return;
    }
    m_firstToken.add(promptTokens, seconds);
}

bool SpeedEstimator::addTokens(uint32_t count, MonotonicTime::duration elapsed, double concurrency, MonotonicTime now)
{
    m_lastTokens = now;
    if (m_windowTokens == 0)
        m_windowStart = now;
    m_windowTokens += count;
    m_windowSeconds += toSeconds(elapsed);
    m_windowConcurrency += concurrency * count;
    if (now - m_windowStart < window || m_windowTokens < minWindowTokens)
        return false;

    const double gap = m_windowSeconds / m_windowTokens;
    const double meanConcurrency = m_windowConcurrency / m_windowTokens;
    m_windowTokens = 0;
    m_windowSeconds = 0;
    m_windowConcurrency = 0;

    if (m_gap.samples() < learningSamples) {
        m_gap.add(meanConcurrency, gap);
        return true;
    }
    const double ratio = gap / std::max(1e-6, m_gap.at(meanConcurrency));
    addRatio(ratio, fastWeight);
    const bool isDisturbed = ratio > disturbedRatio;
    m_slowWindows = isDisturbed ? m_slowWindows + 1 : 0;
    if (!isDisturbed || m_slowWindows > maxSlowWindows)
        m_gap.add(meanConcurrency, gap);
    return true;
}

bool SpeedEstimator::seed(double firstTokenSeconds, double gapBaseSeconds, double gapSlopeSeconds)
{
    if (m_gap.samples() >= learningSamples || m_isSeeded || gapBaseSeconds <= 0)
        return false;
    m_isSeeded = true;
    m_gap.seed(gapBaseSeconds, gapSlopeSeconds);
    if (firstTokenSeconds > 0)
        m_firstToken.seed(firstTokenSeconds, m_firstToken.slope());
    return true;
}

double SpeedEstimator::health() const { return std::clamp(1 / m_fastRatio, worstHealth, 1.0); }

double SpeedEstimator::healthWhileStreaming(MonotonicTime now) const
{
    const double silence = toSeconds(now - m_lastTokens);
    const double expected = silentGaps * m_gap.at(1);
    if (silence <= expected || m_lastTokens == MonotonicTime {})
        return health();
    return std::clamp(std::min(health(), expected / silence), worstHealth, 1.0);
}

}

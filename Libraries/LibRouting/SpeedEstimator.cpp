#include <LibRouting/SpeedEstimator.h>

#include <algorithm>
#include <utility>

namespace Chicorydock {

namespace {

    // Priors of an unknown endpoint; samples outweigh them within a second of streaming.
    constexpr double priorFirstTokenSeconds = 0.1;
    constexpr double priorSecondsPerPromptToken = 0.0002;
    constexpr double priorGapSeconds = 0.012;
    constexpr double priorGapSlopeSeconds = 0.0005;

    // Short windows determine the health.
    constexpr Milliseconds shortWindow { 50 };
    constexpr uint32_t minWindowTokens = 4;
    // Long windows feed the regression. They are as long as the interval of the peers' summaries, because the peers'
    // counts lag by up to that time. With short windows, the resulting error of the concurrency reduced the learned
    // slope to a third of its true value.
    constexpr Milliseconds longWindow { 1'000 };
    // 1 / (1 - 0.985) samples of 1 s are about a minute of streaming.
    constexpr double gapForgetting = 0.985;
    constexpr double firstTokenForgetting = 0.99;

    // Three windows move the fast average by 1 - 0.6^3 = 78% of a change.
    constexpr double fastWeight = 0.4;
    // A single first token has less weight than a window of tokens, because prompts vary.
    constexpr double firstTokenWeight = 0.15;
    // Samples beyond this ratio of observed to expected time count as a disturbance and are not learned, unless they
    // persist.
    constexpr double disturbedRatio = 1.6;
    // After 30 s of slow streaming the slowness is learned as the endpoint's speed.
    constexpr uint32_t maxSlowWindows = 600;
    // Early samples are always learned, because the prior is not specific to the endpoint.
    constexpr uint64_t learningSamples = 20;
    // A stream that is silent for this many expected gaps counts as slow before its next token arrives.
    constexpr double silenceGapFactor = 3;
    constexpr double minHealth = 0.02;

}

SpeedEstimator::SpeedEstimator()
    : m_firstToken(priorFirstTokenSeconds, priorSecondsPerPromptToken, firstTokenForgetting)
    , m_gap(priorGapSeconds, priorGapSlopeSeconds, gapForgetting)
{
}

void SpeedEstimator::addRatio(double ratio, double weight)
{
    m_fastRatio += weight * (std::min(ratio, 1 / minHealth) - m_fastRatio);
}

void SpeedEstimator::addFirstToken(double promptTokens, double seconds)
{
    ++m_firstTokenSamples;
    const double ratio = seconds / std::max(1e-6, m_firstToken.at(promptTokens));
    if (m_firstToken.samples() >= learningSamples) {
        addRatio(ratio, firstTokenWeight);
        if (ratio > disturbedRatio * 2 && m_slowWindows < maxSlowWindows)
            return;
    }
    m_firstToken.add(promptTokens, seconds);
}

void SpeedEstimator::Window::add(
    uint32_t count, double elapsed, double ownStreams, double otherStreams, MonotonicTime now)
{
    if (tokens == 0)
        begin = now;
    tokens += count;
    seconds += elapsed;
    own += ownStreams * count;
    others += otherStreams * count;
}

bool SpeedEstimator::addTokens(
    uint32_t count, MonotonicTime::duration elapsed, double own, double others, MonotonicTime now)
{
    m_lastTokens = now;
    m_short.add(count, toSeconds(elapsed), own, others, now);
    m_long.add(count, toSeconds(elapsed), own, others, now);
    bool hasChanged = false;
    if (now - m_short.begin >= shortWindow && m_short.tokens >= minWindowTokens)
        hasChanged = closeShortWindow();
    if (now - m_long.begin >= longWindow)
        closeLongWindow();
    return hasChanged;
}

bool SpeedEstimator::closeShortWindow()
{
    const Window window = std::exchange(m_short, {});
    const double concurrency = window.meanOwn() + window.meanOthers();
    if (m_gap.samples() < learningSamples) {
        m_gap.add(concurrency, window.gap());
        return true;
    }
    const double ratio = window.gap() / std::max(1e-6, m_gap.at(concurrency));
    addRatio(ratio, fastWeight);
    m_slowWindows = ratio > disturbedRatio ? m_slowWindows + 1 : 0;
    return true;
}

void SpeedEstimator::closeLongWindow()
{
    const Window current = std::exchange(m_long, {});
    const Window window = std::exchange(m_previousLong, current);
    // The peers' counts lag by half a summary interval on average, so half of the next window's counts apply to this
    // one. After a pause the two windows are unrelated.
    if (window.tokens == 0 || current.begin - window.begin > 2 * longWindow || m_gap.samples() < learningSamples)
        return;
    const double others = (window.meanOthers() + current.meanOthers()) / 2;
    const double concurrency = window.meanOwn() + others;
    const double ratio = window.gap() / std::max(1e-6, m_gap.at(concurrency));
    if (ratio <= disturbedRatio || m_slowWindows > maxSlowWindows)
        m_gap.add(concurrency, window.gap());
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

double SpeedEstimator::health() const { return std::clamp(1 / m_fastRatio, minHealth, 1.0); }

double SpeedEstimator::healthWhileStreaming(MonotonicTime now) const
{
    const double silence = toSeconds(now - m_lastTokens);
    const double expected = silenceGapFactor * m_gap.at(1);
    if (silence <= expected || m_lastTokens == MonotonicTime {})
        return health();
    return std::clamp(std::min(health(), expected / silence), minHealth, 1.0);
}

}

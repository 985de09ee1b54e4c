#pragma once

#include <LibCore/Clock.h>
#include <LibRouting/LinearEstimator.h>

namespace Chicorydock {

/// Learns the speed of one endpoint from this node's own streams: the time to the first token against prompt tokens,
/// and the gap between tokens against concurrency. The regressions are the slow reference; a fast moving average of the
/// ratio between observed and expected times gives the health.
///
/// Thread safety: none.
class SpeedEstimator {
public:
    SpeedEstimator();

    /// A first token came after `seconds`. `promptTokens` excludes those that a warm prefix saved.
    void addFirstToken(double promptTokens, double seconds);

    /// `count` tokens arrived on one stream, `elapsed` after its tokens before. The endpoint ran `own` streams of this
    /// node and, as far as known, `others` of its peers. Returns whether the estimates changed; samples are gathered
    /// for a short time before they count.
    bool addTokens(uint32_t count, MonotonicTime::duration elapsed, double own, double others, MonotonicTime now);

    /// Takes over a peer's estimates while this node has hardly any own samples. Zero values are ignored. Returns
    /// whether the estimates changed.
    bool seed(double firstTokenSeconds, double gapBaseSeconds, double gapSlopeSeconds);

    double firstTokenSeconds(double promptTokens) const { return m_firstToken.at(promptTokens); }
    double gapSeconds(double concurrency) const { return m_gap.at(concurrency); }
    double gapBaseSeconds() const { return m_gap.base(); }
    double gapSlopeSeconds() const { return m_gap.slope(); }

    /// Returns the recent speed relative to the learned one, in (0, 1].
    double health() const;
    /// Returns the health, reduced by the silence since the last tokens. Precondition: streams are generating there.
    double healthWhileStreaming(MonotonicTime now) const;

    /// Whether enough own samples or a peer's estimates exist to rely on them.
    bool isProven() const { return m_isSeeded || m_gap.samples() >= provenSamples || m_plainSamples >= provenSamples; }
    uint64_t gapSamples() const { return m_gap.samples(); }

private:
    static constexpr uint64_t provenSamples = 2;

    /// Sums over the tokens of some time.
    struct Window {
        MonotonicTime begin;
        double seconds { 0 };
        double own { 0 };
        double others { 0 };
        uint32_t tokens { 0 };

        void add(uint32_t count, double elapsed, double ownStreams, double otherStreams, MonotonicTime now);
        double gap() const { return seconds / tokens; }
        double meanOwn() const { return own / tokens; }
        double meanOthers() const { return others / tokens; }
    };

    void addRatio(double ratio, double weight);
    bool closeShortWindow();
    void closeLongWindow();

    LinearEstimator m_firstToken;
    LinearEstimator m_gap;
    double m_fastRatio { 1 };
    bool m_isSeeded { false };
    uint64_t m_plainSamples { 0 };

    MonotonicTime m_lastTokens;
    Window m_short;
    Window m_long;
    Window m_previousLong;
    uint32_t m_slowWindows { 0 };
};

}

#pragma once

#include <LibCore/Clock.h>
#include <LibRouting/LinearEstimator.h>

namespace Chicorydock {

/// Learns the speed of one endpoint from this node's own streams: the time to the first token as a function of the
/// prompt tokens, and the gap between tokens as a function of the concurrency. The regressions adapt slowly and are the
/// reference; a fast moving average of the ratio of observed to expected times gives the health.
///
/// Thread safety: none.
class SpeedEstimator {
public:
    SpeedEstimator();

    /// Records a first token that arrived after `seconds`. `promptTokens` excludes those of a cached prefix.
    void addFirstToken(double promptTokens, double seconds);

    /// Records `count` tokens that arrived on one stream, `elapsed` after its previous tokens. The endpoint ran `own`
    /// streams of this node and, as far as known, `others` of its peers. Returns whether the estimates changed; samples
    /// are aggregated over a short time before they count.
    bool addTokens(uint32_t count, MonotonicTime::duration elapsed, double own, double others, MonotonicTime now);

    /// Adopts a peer's estimates while this node has hardly any samples of its own. Zero values are ignored. Returns
    /// whether the estimates changed.
    bool seed(double firstTokenSeconds, double gapBaseSeconds, double gapSlopeSeconds);

    double firstTokenSeconds(double promptTokens) const { return m_firstToken.at(promptTokens); }
    double gapSeconds(double concurrency) const { return m_gap.at(concurrency); }
    double gapBaseSeconds() const { return m_gap.base(); }
    double gapSlopeSeconds() const { return m_gap.slope(); }

    /// Returns the recent speed relative to the learned one, in (0, 1].
    double health() const;
    /// Returns the health, reduced by the time since the last tokens. Precondition: streams are generating tokens.
    double healthWhileStreaming(MonotonicTime now) const;

    /// Whether the estimates are reliable, from enough own samples or from a peer.
    bool isProven() const
    {
        return m_isSeeded || m_gap.samples() >= provenSamples || m_firstTokenSamples >= provenSamples;
    }
    uint64_t gapSamples() const { return m_gap.samples(); }

private:
    static constexpr uint64_t provenSamples = 2;

    /// Sums over the tokens of one time window.
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
    uint64_t m_firstTokenSamples { 0 };

    MonotonicTime m_lastTokens;
    Window m_short;
    Window m_long;
    Window m_previousLong;
    uint32_t m_slowWindows { 0 };
};

}

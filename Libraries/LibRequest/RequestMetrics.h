#pragma once

#include <LibCore/Clock.h>
#include <LibMetrics/MetricsRegistry.h>

#include <array>

namespace Chicorydock {

/// The metrics of the request path, which are looked up in the registry only once.
///
/// Thread safety: all methods may be called from any thread; they do not lock.
class RequestMetrics {
public:
    explicit RequestMetrics(MetricsRegistry&);

    /// Records the end of a request: its status (0 if the caller disconnected before the response) and its duration.
    void recordEnd(int status, MonotonicTime::duration);

    /// Records the time from the receipt of a request to its first token.
    void recordFirstToken(MonotonicTime::duration duration) { m_firstToken.observeDuration(duration); }

    /// Records the time between two tokens of one generation.
    void recordTokenGap(MonotonicTime::duration duration) { m_tokenGap.observeDuration(duration); }

private:
    static constexpr size_t statusClassCount = 6;

    std::array<Counter*, statusClassCount> m_ended {};
    Histogram& m_duration;
    Histogram& m_firstToken;
    Histogram& m_tokenGap;
};

}

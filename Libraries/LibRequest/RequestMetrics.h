#pragma once

#include <LibCore/Clock.h>
#include <LibMetrics/MetricsRegistry.h>

#include <array>

namespace Chicorydock {

/// The metrics of the request path, looked up once.
///
/// Thread safety: all methods may be called from any thread; they do not lock.
class RequestMetrics {
public:
    explicit RequestMetrics(MetricsRegistry&);

    /// Counts a request that ended: its status (0 if the caller left before there was an answer) and its duration.
    void countEnd(int status, MonotonicTime::duration);

    /// Counts the time from the receipt of a request to its first token.
    void countFirstToken(MonotonicTime::duration duration) { m_firstToken.observeDuration(duration); }

    /// Counts the time between two tokens of one answer.
    void countTokenGap(MonotonicTime::duration duration) { m_tokenGap.observeDuration(duration); }

private:
    static constexpr size_t statusClasses = 6;

    std::array<Counter*, statusClasses> m_ended {};
    Histogram& m_duration;
    Histogram& m_firstToken;
    Histogram& m_tokenGap;
};

}

#include <LibRequest/RequestMetrics.h>

#include <algorithm>

namespace Chicorydock {

RequestMetrics::RequestMetrics(MetricsRegistry& registry)
    : m_duration(registry.histogram("chicorydock_request_seconds", "Time from the receipt of a request to its end."))
    , m_firstToken(registry.histogram(
          "chicorydock_first_token_seconds", "Time from the receipt of an online generation to its first token."))
    , m_tokenGap(
          registry.histogram("chicorydock_token_gap_seconds", "Time between two tokens of an online generation."))
{
    static constexpr std::array names { "caller_left", "1xx", "2xx", "3xx", "4xx", "5xx" };
    static_assert(names.size() == statusClassCount);
    for (size_t n = 0; n < statusClassCount; ++n) {
        m_ended[n] = &registry.counter(
            "chicorydock_requests_total", "Requests that ended, by class of status.", { { "status", names[n] } });
    }
}

void RequestMetrics::recordEnd(int status, MonotonicTime::duration duration)
{
    const size_t n = std::min(static_cast<size_t>(std::max(status, 0)) / 100, statusClassCount - 1);
    m_ended[n]->add();
    m_duration.observeDuration(duration);
}

}

#pragma once

#include <LibCore/Clock.h>
#include <LibHTTP/PooledHttpClient.h>
#include <LibLog/EventLog.h>
#include <LibLog/LineLimiter.h>
#include <LibMetrics/MetricsRegistry.h>

#include <string>

namespace Chicorydock {

/// Counts the responses that an HTTP client refuses, and logs a limited number of them.
///
/// Thread safety: used on the thread of the client. The client outlives it, and so do the other arguments.
class RefusedResponseLog {
public:
    /// `client` names the client in the log and in the metric.
    RefusedResponseLog(PooledHttpClient&, std::string client, EventLog&, MetricsRegistry&, const Clock&);
    ~RefusedResponseLog();

    RefusedResponseLog(const RefusedResponseLog&) = delete;
    RefusedResponseLog& operator=(const RefusedResponseLog&) = delete;

private:
    /// A faulty server may cause as many refusals as there are requests.
    static constexpr uint32_t linesPerSecond = 10;

    void record(const RefusedResponse&);

    PooledHttpClient& m_httpClient;
    const std::string m_client;
    EventLog& m_log;
    const Clock& m_clock;
    Counter& m_counter;
    LineLimiter m_lines { linesPerSecond };
};

}

#include <LibGateway/RefusedResponseLog.h>

#include <utility>

namespace Chicorydock {

RefusedResponseLog::RefusedResponseLog(
    PooledHttpClient& httpClient, std::string client, EventLog& log, MetricsRegistry& metrics, const Clock& clock)
    : m_httpClient(httpClient)
    , m_client(std::move(client))
    , m_log(log)
    , m_clock(clock)
    , m_counter(metrics.counter("chicorydock_refused_responses_total",
          "Responses that were refused as broken, by the client that received them.", { { "client", m_client } }))
{
    m_httpClient.setRefusalHandler([this](const RefusedResponse& response) { record(response); });
}

RefusedResponseLog::~RefusedResponseLog() { m_httpClient.setRefusalHandler({}); }

void RefusedResponseLog::record(const RefusedResponse& response)
{
    m_counter.add();
    const auto omitted = m_lines.admit(m_clock.now());
    if (!omitted)
        return;
    QJsonObject details { { "client", QString::fromStdString(m_client) },
        { "reason", QString::fromStdString(response.problem) } };
    if (*omitted > 0)
        details["omitted_lines"] = static_cast<qint64>(*omitted);
    m_log.record("response", "refused", response.address, {}, details);
}

}

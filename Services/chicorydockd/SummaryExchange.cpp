#include "SummaryExchange.h"

#include <LibDispatch/SummaryCodec.h>

namespace Chicorydock {

namespace {

    constexpr std::string_view keyPrefix = "summary/";

    // Control traffic may cost a node 3 KB/s. The summaries of all nodes in its failure domain may use about half
    // of that, so the publication interval grows with the number of nodes and endpoints.
    constexpr double bytesPerSecond = 1500;
    constexpr std::chrono::seconds minInterval { 1 };

}

SummaryExchange::SummaryExchange(const Clock& clock, Dispatcher& dispatcher, std::string nodeId, Publish publish)
    : m_clock(clock)
    , m_dispatcher(dispatcher)
    , m_nodeId(std::move(nodeId))
    , m_publish(std::move(publish))
{
}

void SummaryExchange::tick(size_t localMembers)
{
    if (m_clock.now() < m_nextPublication)
        return;
    size_t bytes = 0;
    for (const auto& [service, summaries] : m_dispatcher.summaries()) {
        const std::string value = packSummaries(summaries);
        bytes += value.size();
        std::string& last = m_lastPublished[service];
        if (value == last)
            continue;
        last = value;
        const auto version = static_cast<uint64_t>(toUnixMilliseconds(m_clock.wallNow()));
        m_publish({ std::string(keyPrefix) + m_nodeId + '/' + service, version, value });
    }
    const double seconds = static_cast<double>(bytes * localMembers) / bytesPerSecond;
    m_nextPublication = m_clock.now() + std::max<MonotonicTime::duration>(minInterval, fromSeconds(seconds));
}

void SummaryExchange::applyRecord(const GossipRecord& record)
{
    if (!record.key.starts_with(keyPrefix))
        return;
    const size_t nodeEnd = record.key.find('/', keyPrefix.size());
    if (nodeEnd == std::string::npos)
        return;
    const std::string node = record.key.substr(keyPrefix.size(), nodeEnd - keyPrefix.size());
    const std::string service = record.key.substr(nodeEnd + 1);
    if (node == m_nodeId)
        return;
    std::vector<std::string> ids;
    for (const EndpointView& view : m_dispatcher.view(service))
        ids.push_back(view.endpoint.id);
    m_dispatcher.recordPeerSummary(service, node, unpackSummaries(record.value, ids));
}

void SummaryExchange::forgetNode(const std::string& nodeId)
{
    for (const auto& [service, counters] : m_dispatcher.counters())
        m_dispatcher.recordPeerSummary(service, nodeId, {});
}

}

#include <LibDispatch/EndpointMonitor.h>

#include <algorithm>
#include <set>

namespace Chicorydock {

namespace {

    // Reports lag by seconds, so more frequent reads would return nothing new.
    constexpr std::chrono::seconds minReadInterval { 2 };

    // The three reports of an endpoint, with their requests, are about 1.5 KB. A node with many endpoints reads them
    // less often to bound its traffic, which is acceptable because it learns the speeds from its own streams.
    constexpr double bytesPerRead = 1500;
    constexpr double maxBytesPerSecond = 1000;

}

EndpointMonitor::EndpointMonitor(
    const Clock& clock, EndpointClient& client, Dispatcher& dispatcher, ModelsCallback onModels)
    : m_clock(clock)
    , m_client(client)
    , m_dispatcher(dispatcher)
    , m_onModels(std::move(onModels))
{
}

void EndpointMonitor::setEndpoints(const std::vector<KnownEndpoint>& endpoints)
{
    std::set<std::string> ids;
    for (const KnownEndpoint& endpoint : endpoints) {
        ids.insert(endpoint.id);
        PolledEndpoint& polled = m_polledEndpoints[endpoint.id];
        polled.endpoint = endpoint;
    }
    std::erase_if(m_polledEndpoints, [&](const auto& entry) { return !ids.contains(entry.first); });
}

void EndpointMonitor::tick()
{
    const double seconds = static_cast<double>(m_polledEndpoints.size()) * bytesPerRead / maxBytesPerSecond;
    const auto interval = std::max<MonotonicTime::duration>(minReadInterval, fromSeconds(seconds));
    for (auto& [id, polled] : m_polledEndpoints) {
        if (polled.nextRead > m_clock.now())
            continue;
        polled.nextRead = m_clock.now() + interval;
        read(polled);
    }
}

void EndpointMonitor::read(PolledEndpoint& polled)
{
    if (polled.isReading)
        return;
    polled.isReading = true;
    // Reading the three reports in sequence needs one connection to the endpoint instead of three.
    polled.call = m_client.readLoad(polled.endpoint.address,
        [this, id = polled.endpoint.id](const std::optional<LoadReport>& report) { handleLoad(id, report); });
}

void EndpointMonitor::handleState(const std::string& id, const std::optional<EndpointState>& state)
{
    const auto it = m_polledEndpoints.find(id);
    if (it == m_polledEndpoints.end())
        return;
    PolledEndpoint& polled = it->second;
    polled.finishedCall = std::move(polled.call);
    polled.call = m_client.readCacheEvents(polled.endpoint.address, polled.lastSequence,
        [this, id](const std::optional<CacheEvents>& events) { handleCacheEvents(id, events); });
    if (!state)
        return;
    std::vector<std::string> models;
    for (const LoadedModel& model : state->models)
        models.push_back(model.model);
    m_onModels(id, models);
}

void EndpointMonitor::handleLoad(const std::string& id, const std::optional<LoadReport>& report)
{
    const auto it = m_polledEndpoints.find(id);
    if (it == m_polledEndpoints.end())
        return;
    PolledEndpoint& polled = it->second;
    polled.finishedCall = std::move(polled.call);
    polled.call = m_client.readState(
        polled.endpoint.address, [this, id](const std::optional<EndpointState>& state) { handleState(id, state); });
    if (!report)
        return;
    // The endpoint's clock may differ from this node's, so a report from the future counts as fresh.
    const auto age = std::chrono::duration_cast<Milliseconds>(m_clock.wallNow() - report->measuredAt);
    m_dispatcher.recordLoadReport(
        it->second.endpoint.service, id, report->running, report->waiting, std::max(age, Milliseconds { 0 }));
}

void EndpointMonitor::handleCacheEvents(const std::string& id, const std::optional<CacheEvents>& events)
{
    const auto it = m_polledEndpoints.find(id);
    if (it == m_polledEndpoints.end())
        return;
    PolledEndpoint& polled = it->second;
    polled.isReading = false;
    if (!events || events->events.empty())
        return;
    std::vector<uint64_t> stored;
    std::vector<uint64_t> evicted;
    bool hasGap = false;
    for (const CacheEvent& event : events->events) {
        // A lower sequence number means that the endpoint has restarted with an empty cache.
        hasGap = hasGap || event.sequence != polled.lastSequence + 1;
        polled.lastSequence = event.sequence;
        (event.stored ? stored : evicted).push_back(event.prefix);
    }
    m_dispatcher.recordCacheEvents(polled.endpoint.service, id, stored, evicted, hasGap);
}

}

#include <LibDispatch/EndpointMonitor.h>

#include <algorithm>
#include <set>

namespace Chicorydock {

namespace {

    // Reports are late by seconds, so reading them more often would bring nothing new.
    constexpr std::chrono::seconds minReadInterval { 2 };

    // The three reports of an endpoint, with their requests, are about 1.5 KB. The speeds come from this node's own
    // streams, so the reports may become rarer when a node reads many endpoints.
    constexpr double bytesPerReading = 1500;
    constexpr double bytesPerSecond = 1000;

}

EndpointMonitor::EndpointMonitor(
    const Clock& clock, EndpointClient& client, Dispatcher& dispatcher, ModelsCallback takeModels)
    : m_clock(clock)
    , m_client(client)
    , m_dispatcher(dispatcher)
    , m_takeModels(std::move(takeModels))
{
}

void EndpointMonitor::setEndpoints(const std::vector<KnownEndpoint>& endpoints)
{
    std::set<std::string> ids;
    for (const KnownEndpoint& endpoint : endpoints) {
        ids.insert(endpoint.id);
        Watch& watch = m_watches[endpoint.id];
        watch.endpoint = endpoint;
    }
    std::erase_if(m_watches, [&](const auto& entry) { return !ids.contains(entry.first); });
}

void EndpointMonitor::tick()
{
    const double seconds = static_cast<double>(m_watches.size()) * bytesPerReading / bytesPerSecond;
    const auto interval = std::max<MonotonicTime::duration>(minReadInterval, fromSeconds(seconds));
    for (auto& [id, watch] : m_watches) {
        if (watch.nextRead > m_clock.now())
            continue;
        watch.nextRead = m_clock.now() + interval;
        read(watch);
    }
}

void EndpointMonitor::read(Watch& watch)
{
    if (watch.isReading)
        return;
    watch.isReading = true;
    // One report after the other needs one connection to the endpoint instead of three.
    watch.call = m_client.readLoad(watch.endpoint.address,
        [this, id = watch.endpoint.id](const std::optional<LoadReport>& report) { takeLoad(id, report); });
}

void EndpointMonitor::takeState(const std::string& id, const std::optional<EndpointState>& state)
{
    const auto it = m_watches.find(id);
    if (it == m_watches.end())
        return;
    Watch& watch = it->second;
    watch.lastCall = std::move(watch.call);
    watch.call = m_client.readCacheEvents(watch.endpoint.address, watch.lastSequence,
        [this, id](const std::optional<CacheEvents>& events) { takeEvents(id, events); });
    if (!state)
        return;
    std::vector<std::string> models;
    for (const LoadedModel& model : state->models)
        models.push_back(model.model);
    m_takeModels(id, models);
}

void EndpointMonitor::takeLoad(const std::string& id, const std::optional<LoadReport>& report)
{
    const auto it = m_watches.find(id);
    if (it == m_watches.end())
        return;
    Watch& watch = it->second;
    watch.lastCall = std::move(watch.call);
    watch.call = m_client.readState(
        watch.endpoint.address, [this, id](const std::optional<EndpointState>& state) { takeState(id, state); });
    if (!report)
        return;
    // The endpoint's clock may differ from ours, so a report from the future counts as fresh.
    const auto age = std::chrono::duration_cast<Milliseconds>(m_clock.wallNow() - report->measuredAt);
    m_dispatcher.loadReport(
        it->second.endpoint.service, id, report->running, report->waiting, std::max(age, Milliseconds { 0 }));
}

void EndpointMonitor::takeEvents(const std::string& id, const std::optional<CacheEvents>& events)
{
    const auto it = m_watches.find(id);
    if (it == m_watches.end())
        return;
    Watch& watch = it->second;
    watch.isReading = false;
    if (!events || events->events.empty())
        return;
    std::vector<uint64_t> stored;
    std::vector<uint64_t> evicted;
    bool hasGap = false;
    for (const CacheEvent& event : events->events) {
        // A lower number means that the endpoint has restarted with an empty cache.
        hasGap = hasGap || event.sequence != watch.lastSequence + 1;
        watch.lastSequence = event.sequence;
        (event.stored ? stored : evicted).push_back(event.prefix);
    }
    m_dispatcher.cacheEvents(watch.endpoint.service, id, stored, evicted, hasGap);
}

}

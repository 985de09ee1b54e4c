#pragma once

#include <LibDispatch/Dispatcher.h>
#include <LibEndpoint/EndpointClient.h>

#include <map>
#include <string>

namespace Chicorydock {

/// Polls endpoints for their load reports, which lag, their cache events and their loaded models.
///
/// Thread safety: none; lives on the thread of its client.
class EndpointMonitor {
public:
    using ModelsCallback = std::function<void(const std::string& endpoint, const std::vector<std::string>& models)>;

    /// `onModels` gets the names of the models that an endpoint has loaded, after each read of its state.
    EndpointMonitor(const Clock&, EndpointClient&, Dispatcher&, ModelsCallback onModels);

    /// Replaces the set of polled endpoints.
    void setEndpoints(const std::vector<KnownEndpoint>&);

    /// Starts the reads that are due. Endpoints whose previous read has not ended are skipped.
    void tick();

private:
    struct PolledEndpoint {
        KnownEndpoint endpoint;
        MonotonicTime nextRead;
        uint64_t lastSequence { 0 };
        std::unique_ptr<HttpCall> call;
        // Keeps the previous call alive, since a call must not be destroyed in its own callback.
        std::unique_ptr<HttpCall> finishedCall;
        bool isReading { false };
    };

    void read(PolledEndpoint&);
    void handleLoad(const std::string& id, const std::optional<LoadReport>&);
    void handleCacheEvents(const std::string& id, const std::optional<CacheEvents>&);
    void handleState(const std::string& id, const std::optional<EndpointState>&);

    const Clock& m_clock;
    EndpointClient& m_client;
    Dispatcher& m_dispatcher;
    ModelsCallback m_onModels;
    std::map<std::string, PolledEndpoint> m_polledEndpoints;
};

}

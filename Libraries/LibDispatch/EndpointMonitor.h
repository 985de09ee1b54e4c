#pragma once

#include <LibDispatch/Dispatcher.h>
#include <LibEndpoint/EndpointClient.h>

#include <map>
#include <string>

namespace Chicorydock {

/// Reads the late load reports, the cache events and the loaded models of endpoints.
///
/// Thread safety: none; lives on the thread of its client.
class EndpointMonitor {
public:
    using ModelsCallback = std::function<void(const std::string& endpoint, const std::vector<std::string>& models)>;

    /// `takeModels` gets the names of the models that an endpoint has loaded, after each reading.
    EndpointMonitor(const Clock&, EndpointClient&, Dispatcher&, ModelsCallback takeModels);

    /// Replaces the endpoints to read.
    void setEndpoints(const std::vector<KnownEndpoint>&);

    /// Starts the reads that are due. An endpoint that has not answered yet is not asked again.
    void tick();

private:
    struct Watch {
        KnownEndpoint endpoint;
        MonotonicTime nextRead;
        uint64_t lastSequence { 0 };
        std::unique_ptr<HttpCall> call;
        // A call must not be destroyed in its own callback.
        std::unique_ptr<HttpCall> lastCall;
        bool isReading { false };
    };

    void read(Watch&);
    void takeLoad(const std::string& id, const std::optional<LoadReport>&);
    void takeEvents(const std::string& id, const std::optional<CacheEvents>&);
    void takeState(const std::string& id, const std::optional<EndpointState>&);

    const Clock& m_clock;
    EndpointClient& m_client;
    Dispatcher& m_dispatcher;
    ModelsCallback m_takeModels;
    std::map<std::string, Watch> m_watches;
};

}

#pragma once

#include <LibDispatch/Dispatcher.h>
#include <LibEndpoint/EndpointClient.h>

#include <map>
#include <string>

namespace Chicorydock {

/// Reads the late load reports and cache events of endpoints and hands them to the schedulers.
///
/// Thread safety: none; lives on the thread of its client.
class EndpointMonitor {
public:
    EndpointMonitor(const Clock&, EndpointClient&, Dispatcher&);

    /// Replaces the endpoints to read.
    void setEndpoints(const std::vector<KnownEndpoint>&);

    /// Starts the reads that are due. An endpoint that has not answered yet is not asked again.
    void tick();

private:
    struct Watch {
        KnownEndpoint endpoint;
        MonotonicTime nextRead;
        uint64_t lastSequence { 0 };
        std::unique_ptr<HttpCall> loadCall;
        std::unique_ptr<HttpCall> eventsCall;
        bool isReadingLoad { false };
        bool isReadingEvents { false };
    };

    void read(Watch&);
    void takeLoad(const std::string& id, const std::optional<LoadReport>&);
    void takeEvents(const std::string& id, const std::optional<CacheEvents>&);

    const Clock& m_clock;
    EndpointClient& m_client;
    Dispatcher& m_dispatcher;
    std::map<std::string, Watch> m_watches;
};

}

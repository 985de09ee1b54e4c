#pragma once

#include "RunnerThread.h"

#include <LibHTTP/HttpServer.h>
#include <LibRequest/RequestPipeline.h>

namespace Chicorydock {

/// A thread that serves callers. It runs an HTTP server, the filter chain and the runners of its requests.
///
/// Thread safety: all methods are called on the main thread, except `activeExchanges()`.
class IoThread {
public:
    IoThread(const Clock&, Dispatcher&, EventLog&, MetricsRegistry&, const PipelineDependencies&,
        const HttpServerLimits&, const std::string& name);
    ~IoThread();

    /// Returns the bound port. Throws Error(Internal) if the address cannot be bound.
    uint16_t listen(const std::string& address);

    /// Adds `Connection: close` to all further responses.
    void drain();
    /// Stops accepting connections and closes idle ones.
    void stopListening();
    /// See `HttpServer::isExpectingRequests()`.
    bool isExpectingRequests();
    int activeExchanges() const { return m_server->activeExchanges(); }

private:
    RunnerThread m_thread;
    std::unique_ptr<FilterChain> m_chain;
    std::unique_ptr<HttpServer> m_server;
};

}

#pragma once

#include <LibHTTP/ClientConnection.h>
#include <LibHTTP/HttpClient.h>
#include <LibHTTP/RefusedResponse.h>

#include <memory>
#include <unordered_map>
#include <vector>

namespace Chicorydock {

/// `HttpClient` that keeps open connections for further calls. A connection is reused only if the last response was
/// complete, no bytes followed it and the peer keeps the connection open, and only for requests that the connection can
/// carry (`ClientConnection::canCarry()`). A request is written once, to one connection: bytes that arrive on an idle
/// connection before that replace it by a new one.
///
/// A response without a length is complete if its connection ends in an orderly way. A response that is refused fails
/// its call like a connection that broke, and the connection is closed.
///
/// Thread safety: used on the thread that created it, which runs a Qt event loop.
/// Precondition: all handles are destroyed before the client.
class PooledHttpClient final : public HttpClient {
public:
    PooledHttpClient();
    ~PooledHttpClient() override;

    std::unique_ptr<HttpCall> start(const HttpCallRequest&, HttpCallObserver&) override;

    /// Limits the number of connections, 0 for any number. At the limit, the idle connection that could be used for the
    /// shortest time is closed before a new one is opened; calls in progress are not limited.
    void setMaxConnections(size_t connections) { m_maxConnections = connections; }

    /// Sets what is called for each response that is refused, before the observer of its call is. It must not use the
    /// client.
    void setRefusalHandler(RefusedResponseHandler handler) { m_onRefused = std::move(handler); }

    /// Returns the number of connections opened so far.
    uint64_t openedConnections() const { return m_openedConnections; }

private:
    using Connections = std::vector<ClientConnection*>;

    ClientConnection& acquire(const HttpCallRequest&);
    ClientConnection& open(const std::string& address);
    void handleStateChange(ClientConnection&);
    void closeIdle(const std::string& address);
    void closeFirstIdle();
    void sweep();

    /// Idle connections by address, the most recently used one last.
    std::unordered_map<std::string, Connections> m_idle;
    std::vector<ClientConnection*> m_connections;
    uint64_t m_openedConnections { 0 };
    size_t m_maxConnections { 0 };
    RefusedResponseHandler m_onRefused;
    QTimer m_sweepTimer;
};

}

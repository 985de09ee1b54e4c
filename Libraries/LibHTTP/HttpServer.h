#pragma once

#include <LibHTTP/ErrorResponse.h>
#include <LibHTTP/HttpConnection.h>
#include <LibHTTP/HttpExchange.h>
#include <LibHTTP/HttpServerLimits.h>

#include <QAbstractHttpServer>
#include <QTimer>

#include <cstdint>
#include <string>
#include <unordered_map>

namespace Chicorydock {

class ConnectionAcceptor;

/// An HTTP/1.1 server for one I/O thread. Several servers, each on its own thread, can listen on one port.
///
/// Bad input is answered with the error that the error table names for it. Requests of one connection are handled one
/// at a time and answered in their order.
///
/// Thread safety: used on the thread that created it, which runs a Qt event loop, except `activeExchanges()`.
class HttpServer final : public QAbstractHttpServer {
public:
    using ErrorResponseBuilder = std::function<HttpResponse(const Error&)>;

    /// `handler` outlives the server. `protocolErrorResponse` builds the answers to requests that the server refuses.
    explicit HttpServer(
        HttpHandler& handler, const HttpServerLimits& = {},
        ErrorResponseBuilder protocolErrorResponse = [](const Error& error) { return errorResponse(error); });
    ~HttpServer() override;

    /// Listens on `HOST:PORT`, with the host as an IP number and port 0 for any free port. Returns the bound port.
    /// Throws `Error` (Internal) if the address cannot be bound. Precondition: the server does not listen.
    uint16_t listen(const std::string& address);

    /// Stops accepting connections; the open ones go on. Connections that the kernel has already accepted are taken
    /// over first, because closing the socket would reset them.
    void stopListening();

    /// Replaces the limits, for requests that arrive from now on.
    void setLimits(const HttpServerLimits&);

    /// While draining, answers carry `Connection: close`.
    void setDraining(bool);

    /// Closes the connections that served a request and wait for the next one. A request that is on its way on one of
    /// them is cut, so the callers must have had the time to go elsewhere.
    void closeIdleConnections();

    /// Returns the number of connections accepted so far, which is the number of the last one.
    uint64_t acceptedConnections() const { return m_context.acceptedConnections; }

    /// Returns the number of requests whose answer has not wholly left the process. May be called from any thread.
    int activeExchanges() const { return m_context.activeExchanges; }

protected:
    bool handleRequest(const QHttpServerRequest&, QTcpSocket*) override;
    void missingHandler(const QHttpServerRequest&, QTcpSocket*) override;

private:
    QTcpSocket* addConnection(qintptr descriptor);
    void sweep();

    HttpConnectionContext m_context;
    ConnectionAcceptor* m_acceptor { nullptr };
    std::unordered_map<const QTcpSocket*, HttpConnection*> m_connections;
    QTimer m_sweepTimer;
};

}

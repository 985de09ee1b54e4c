#pragma once

#include <LibHTTP/ErrorResponse.h>
#include <LibHTTP/HttpConnection.h>
#include <LibHTTP/HttpExchange.h>
#include <LibHTTP/HttpServerLimits.h>

#include <QAbstractHttpServer>
#include <QTimer>

#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Chicorydock {

class ConnectionAcceptor;

/// An HTTP/1.1 server for one I/O thread. Several servers, each on its own thread, can listen on one port.
///
/// Invalid input is answered with the error that the error table defines for it. Requests of one connection are handled
/// one at a time and answered in order.
///
/// Thread safety: used on the thread that created it, which runs a Qt event loop, except `activeExchanges()`.
class HttpServer final : public QAbstractHttpServer {
public:
    using ErrorResponseBuilder = std::function<HttpResponse(const Error&)>;

    /// `handler` outlives the server. `protocolErrorResponse` builds the responses to requests that the server refuses.
    explicit HttpServer(
        HttpHandler& handler, const HttpServerLimits& = {},
        ErrorResponseBuilder protocolErrorResponse = [](const Error& error) { return errorResponse(error); });
    ~HttpServer() override;

    /// Limits what all connections together hold of requests, and of responses that callers have not taken yet. A
    /// request that does not fit is refused as not run, and a connection whose caller does not take its response is
    /// reset. Must be called before `listen()`; the budgets outlive the server and are used on its thread.
    void setMemory(MemoryBudget& requests, MemoryBudget& responses);

    /// Limits the number of open connections, 0 for any number. Must be called before `listen()`. At the limit, one
    /// that has sent no request gives way to a new one, then one that waits for its next request, then one whose
    /// request arrives slowly or whose caller does not take its response. A new connection is reset if all others have
    /// requests in progress.
    void setMaxConnections(size_t connections) { m_maxConnections = connections; }

    /// Returns the callers that a limit was applied to since the start.
    const LimitedCallers& limitedCallers(CallerLimit limit) const
    {
        return m_context.limited[static_cast<size_t>(limit)];
    }

    /// Returns the number of open connections.
    size_t connections() const { return m_connections.size(); }

    /// Listens on `HOST:PORT`, with the host as an IP address and port 0 for any free port. Returns the bound port.
    /// Throws `Error` (Internal) if the address cannot be bound. Precondition: the server does not listen.
    uint16_t listen(const std::string& address);

    /// Stops accepting connections; open ones stay open. Connections that wait in the backlog of the kernel are
    /// accepted first, because closing the socket would reset them.
    void stopListening();

    /// Replaces the limits, for requests that arrive from now on.
    void setLimits(const HttpServerLimits&);

    /// While draining, responses carry `Connection: close`.
    void setDraining(bool);

    /// Closes the connections that have served a request and wait for the next one. A request in transit on one of them
    /// is lost, so the callers must have had time to switch to other servers.
    void closeIdleConnections();

    /// Returns the number of connections accepted so far, which is the number of the last one.
    uint64_t acceptedConnections() const { return m_context.acceptedConnections; }

    /// Returns the number of requests whose response has not left the process completely. May be called from any
    /// thread.
    int activeExchanges() const { return m_context.activeExchanges; }

    /// Returns whether an open connection is about to deliver a request: part of it has arrived, or the connection has
    /// just been accepted. A server that stops waits for these, because their callers count on a response.
    bool isExpectingRequests() const { return expectingConnections() > 0; }
    int expectingConnections() const;

    /// Returns the number of connections whose last response was sent and which the callers have not closed.
    int closingConnections() const;

    /// Returns the bytes of responses that the callers have not taken yet.
    qint64 unsentBytes() const;

    /// A response that has ended, but not left the process completely.
    struct UnsentResponse {
        /// The name that the function of `setRequestNames()` returned.
        std::string request;
        qint64 bytes { 0 };
    };
    std::vector<UnsentResponse> unsentResponses() const;

    /// Sets the function that returns the name of a request in the log. It is called for requests whose response does
    /// not leave the process at once.
    void setRequestNames(std::function<std::string(const HttpRequest&)> names)
    {
        m_context.requestName = std::move(names);
    }

protected:
    bool handleRequest(const QHttpServerRequest&, QTcpSocket*) override;
    void missingHandler(const QHttpServerRequest&, QTcpSocket*) override;

private:
    /// Returns null if the connection was refused.
    QTcpSocket* addConnection(qintptr descriptor);
    /// Makes a connection give way. Returns whether there was one that can.
    bool makeRoom();
    void refuseConnection(qintptr descriptor);
    void sweep();

    HttpConnectionContext m_context;
    ConnectionAcceptor* m_acceptor { nullptr };
    std::unordered_map<const QTcpSocket*, HttpConnection*> m_connections;
    QTimer m_sweepTimer;
    size_t m_maxConnections { 0 };
};

}

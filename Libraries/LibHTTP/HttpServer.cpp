#include <LibHTTP/HttpServer.h>

#include <LibHTTP/ConnectionAcceptor.h>
#include <LibHTTP/ListeningSocket.h>
#include <LibHTTP/SocketOptions.h>

#include <QHostAddress>
#include <QTcpSocket>

#include <algorithm>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace Chicorydock {

namespace {

    /// Timeouts are checked for all connections together, because a timer per connection and request costs more.
    std::chrono::milliseconds sweepInterval(const HttpServerLimits& limits)
    {
        return std::clamp(limits.requestTimeout / 8, Milliseconds { 10 }, Milliseconds { 1000 });
    }

    std::string peerAddress(qintptr descriptor)
    {
        sockaddr_storage storage {};
        socklen_t size = sizeof(storage);
        if (::getpeername(static_cast<int>(descriptor), reinterpret_cast<sockaddr*>(&storage), &size) != 0)
            return {};
        return QHostAddress(reinterpret_cast<const sockaddr*>(&storage)).toString().toStdString();
    }

}

HttpServer::HttpServer(HttpHandler& handler, const HttpServerLimits& limits, ErrorResponseBuilder protocolErrorResponse)
    : m_context { .limits = limits, .protocolErrorResponse = std::move(protocolErrorResponse), .handler = handler }
{
    connect(&m_sweepTimer, &QTimer::timeout, this, &HttpServer::sweep);
    m_sweepTimer.start(sweepInterval(limits));
}

HttpServer::~HttpServer()
{
    const std::unordered_map<const QTcpSocket*, HttpConnection*> connections = std::move(m_connections);
    m_connections.clear();
    for (const auto& [feed, connection] : connections)
        delete connection;
}

void HttpServer::setMemory(MemoryBudget& requests, MemoryBudget& responses)
{
    Q_ASSERT(!m_acceptor);
    m_context.requestMemory = &requests;
    m_context.responseMemory = &responses;
}

uint16_t HttpServer::listen(const std::string& address)
{
    Q_ASSERT(!m_acceptor);
    const int descriptor = openListeningSocket(address);
    m_acceptor = new ConnectionAcceptor([this](qintptr accepted) { return addConnection(accepted); }, m_maxConnections);
    m_acceptor->setSocketDescriptor(descriptor);
    bind(m_acceptor);
    return m_acceptor->serverPort();
}

void HttpServer::stopListening()
{
    if (!m_acceptor)
        return;
    m_acceptor->acceptPending();
    m_acceptor->close();
    m_acceptor->deleteLater();
    m_acceptor = nullptr;
}

void HttpServer::setLimits(const HttpServerLimits& limits)
{
    m_context.limits = limits;
    m_sweepTimer.start(sweepInterval(limits));
}

void HttpServer::setDraining(bool isDraining) { m_context.isDraining = isDraining; }

void HttpServer::closeIdleConnections()
{
    for (const auto& [feed, connection] : m_connections)
        connection->closeIfIdle();
}

int HttpServer::expectingConnections() const
{
    const MonotonicTime now = std::chrono::steady_clock::now();
    return static_cast<int>(
        std::ranges::count_if(m_connections, [&](const auto& it) { return it.second->isExpectingRequest(now); }));
}

int HttpServer::closingConnections() const
{
    return static_cast<int>(
        std::ranges::count_if(m_connections, [](const auto& it) { return it.second->isClosing(); }));
}

qint64 HttpServer::unsentBytes() const
{
    qint64 sum = 0;
    for (const auto& [feed, connection] : m_connections)
        sum += connection->unsentBytes();
    return sum;
}

std::vector<HttpServer::UnsentResponse> HttpServer::unsentResponses() const
{
    std::vector<UnsentResponse> responses;
    for (const auto& [feed, connection] : m_connections) {
        if (!connection->unsentRequest().empty() && connection->unsentBytes() > 0)
            responses.push_back({ connection->unsentRequest(), connection->unsentBytes() });
    }
    return responses;
}

QTcpSocket* HttpServer::addConnection(qintptr descriptor)
{
    if (m_maxConnections > 0 && m_connections.size() >= m_maxConnections && !makeRoom()) {
        refuseConnection(descriptor);
        return nullptr;
    }
    auto* connection = new HttpConnection(m_context, descriptor, this);
    const QTcpSocket* feed = &connection->feed();
    m_connections.emplace(feed, connection);
    connection->setClosedHandler([this, feed] { m_connections.erase(feed); });
    return &connection->feed();
}

bool HttpServer::makeRoom()
{
    const MonotonicTime now = std::chrono::steady_clock::now();
    HttpConnection* first = nullptr;
    std::optional<HttpConnection::GiveWayRank> firstRank;
    for (const auto& [feed, connection] : m_connections) {
        const auto rank = connection->giveWayRank(now);
        if (rank && (!firstRank || *rank < *firstRank)) {
            first = connection;
            firstRank = rank;
        }
    }
    if (first)
        first->giveWay();
    return first;
}

void HttpServer::refuseConnection(qintptr descriptor)
{
    LimitedCallers& limited = m_context.limited[static_cast<size_t>(CallerLimit::Connections)];
    ++limited.count;
    limited.lastAddress = peerAddress(descriptor);
    setResetOnClose(static_cast<int>(descriptor));
    ::close(static_cast<int>(descriptor));
}

void HttpServer::sweep()
{
    const MonotonicTime now = std::chrono::steady_clock::now();
    for (const auto& [feed, connection] : m_connections)
        connection->checkDeadline(now);
}

bool HttpServer::handleRequest(const QHttpServerRequest& request, QTcpSocket* feed)
{
    const auto it = m_connections.find(feed);
    if (it != m_connections.end())
        it->second->handleParsedRequest(request);
    return true;
}

void HttpServer::missingHandler(const QHttpServerRequest&, QTcpSocket*) { }

}

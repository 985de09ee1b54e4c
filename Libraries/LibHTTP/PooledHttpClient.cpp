#include <LibHTTP/PooledHttpClient.h>

#include <QPointer>

#include <algorithm>
#include <utility>

namespace Chicorydock {

namespace {

    constexpr Milliseconds sweepInterval { 500 };

    class PooledCall final : public HttpCall {
    public:
        PooledCall(ClientConnection& connection, uint64_t number)
            : m_connection(&connection)
            , m_number(number)
        {
        }

        ~PooledCall() override
        {
            if (m_connection)
                m_connection->cancel(m_number);
        }

        void setPaused(bool isPaused) override
        {
            if (m_connection)
                m_connection->setPaused(m_number, isPaused);
        }

    private:
        QPointer<ClientConnection> m_connection;
        uint64_t m_number;
    };

}

PooledHttpClient::PooledHttpClient()
{
    QObject::connect(&m_sweepTimer, &QTimer::timeout, &m_sweepTimer, [this] { sweep(); });
    m_sweepTimer.start(sweepInterval);
}

PooledHttpClient::~PooledHttpClient()
{
    m_idle.clear();
    for (ClientConnection* it : std::exchange(m_connections, {}))
        delete it;
}

std::unique_ptr<HttpCall> PooledHttpClient::start(const HttpCallRequest& request, HttpCallObserver& observer)
{
    ClientConnection& connection = acquire(request);
    return std::make_unique<PooledCall>(connection, connection.send(request, observer));
}

ClientConnection& PooledHttpClient::acquire(const HttpCallRequest& request)
{
    // The other connections to a server that one is suspected of being dead for are suspect too.
    if (request.freshConnection)
        closeIdle(request.address);
    const auto it = m_idle.find(request.address);
    if (it == m_idle.end())
        return open(request.address);
    const MonotonicTime now = std::chrono::steady_clock::now();
    Connections& idle = it->second;
    const auto found = std::find_if(idle.rbegin(), idle.rend(), [&](const ClientConnection* connection) {
        return now < connection->usableUntil() && connection->canCarry(request);
    });
    if (found == idle.rend())
        return open(request.address);
    ClientConnection& connection = **found;
    std::erase(idle, &connection);
    return connection;
}

ClientConnection& PooledHttpClient::open(const std::string& address)
{
    if (m_maxConnections > 0 && m_connections.size() >= m_maxConnections)
        closeFirstIdle();
    ++m_openedConnections;
    auto* connection = new ClientConnection(address, [this](ClientConnection& changed) { handleStateChange(changed); });
    m_connections.push_back(connection);
    return *connection;
}

void PooledHttpClient::handleStateChange(ClientConnection& connection)
{
    if (connection.state() == ClientConnection::State::Connecting) {
        ++m_openedConnections;
        return;
    }
    if (connection.state() == ClientConnection::State::Idle) {
        m_idle[connection.address()].push_back(&connection);
        return;
    }
    if (const auto it = m_idle.find(connection.address()); it != m_idle.end())
        std::erase(it->second, &connection);
    std::erase(m_connections, &connection);
    connection.deleteLater();
    if (m_onRefused && !connection.refusal().empty())
        m_onRefused({ connection.address(), connection.refusal() });
    // After one connection timed out, the other ones to the same address may be dead too.
    if (connection.hasTimedOut())
        closeIdle(connection.address());
}

void PooledHttpClient::closeIdle(const std::string& address)
{
    const auto it = m_idle.find(address);
    if (it == m_idle.end())
        return;
    for (ClientConnection* connection : std::exchange(it->second, {}))
        connection->close();
}

void PooledHttpClient::closeFirstIdle()
{
    ClientConnection* first = nullptr;
    for (const auto& [address, connections] : m_idle) {
        for (ClientConnection* it : connections) {
            if (!first || it->usableUntil() < first->usableUntil())
                first = it;
        }
    }
    if (first)
        first->close();
}

void PooledHttpClient::sweep()
{
    const MonotonicTime now = std::chrono::steady_clock::now();
    std::vector<ClientConnection*> expired;
    for (const auto& [address, connections] : m_idle) {
        for (ClientConnection* it : connections) {
            if (now >= it->usableUntil())
                expired.push_back(it);
        }
    }
    for (ClientConnection* it : expired)
        it->close();
    std::erase_if(m_idle, [](const auto& it) { return it.second.empty(); });
}

}

#include <LibHTTP/ConnectionAcceptor.h>

#include <QTimer>

#include <algorithm>
#include <chrono>
#include <sys/socket.h>

namespace Chicorydock {

namespace {

    /// Upper limit of the connections that are accepted before other events have their turn. Connections that are
    /// closed meanwhile are destroyed only then, and open ones wait, so callers that connect without end must not delay
    /// it.
    constexpr size_t maxAcceptedAtOnce = 64;

    /// Share of the open connections that may be replaced before the requests on them are read, as a divisor.
    constexpr size_t unreadParts = 4;

    /// Upper limit of the connections that wait in the backlog of the kernel.
    constexpr int maxPending = 1024;

    /// Time until a connection is accepted again after that failed, because no descriptor was free.
    constexpr std::chrono::milliseconds retryTime { 100 };

}

ConnectionAcceptor::ConnectionAcceptor(AddConnection addConnection, size_t maxConnections)
    : m_addConnection(std::move(addConnection))
    , m_maxAcceptedAtOnce(static_cast<int>(maxConnections == 0
              ? maxAcceptedAtOnce
              : std::clamp<size_t>(maxConnections / unreadParts, 1, maxAcceptedAtOnce)))
{
    // QTcpServer stops accepting when that fails.
    connect(this, &QTcpServer::acceptError, this,
        [this] { QTimer::singleShot(retryTime, this, &ConnectionAcceptor::acceptFurther); });
}

void ConnectionAcceptor::acceptPending()
{
    const auto listener = static_cast<int>(socketDescriptor());
    for (int n = 0; n < maxPending; ++n) {
        const int descriptor = ::accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (descriptor < 0)
            return;
        incomingConnection(descriptor);
    }
}

void ConnectionAcceptor::incomingConnection(qintptr descriptor)
{
    if (QTcpSocket* socket = m_addConnection(descriptor))
        addPendingConnection(socket);
    if (++m_acceptedAtOnce < m_maxAcceptedAtOnce)
        return;
    // QAbstractHttpServer removes pending connections at once, so only a limit of none ends the loop of QTcpServer.
    setMaxPendingConnections(0);
    QMetaObject::invokeMethod(this, &ConnectionAcceptor::acceptFurther, Qt::QueuedConnection);
}

void ConnectionAcceptor::acceptFurther()
{
    m_acceptedAtOnce = 0;
    setMaxPendingConnections(m_maxAcceptedAtOnce);
    if (isListening())
        resumeAccepting();
}

}

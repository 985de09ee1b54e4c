#pragma once

#include <QTcpServer>

#include <functional>

namespace Chicorydock {

/// Accepts connections and passes their descriptors to a function, which returns the socket that QAbstractHttpServer
/// reads requests from.
///
/// Thread safety: used on the thread that created it.
class ConnectionAcceptor final : public QTcpServer {
public:
    /// Takes ownership of the descriptor. Returns null if it has closed the connection.
    using AddConnection = std::function<QTcpSocket*(qintptr descriptor)>;

    /// `maxConnections` is the limit on open connections, 0 for none.
    ConnectionAcceptor(AddConnection, size_t maxConnections);

    /// Accepts the connections that wait in the backlog of the kernel. Closing the listening socket without this would
    /// reset them.
    void acceptPending();

protected:
    void incomingConnection(qintptr descriptor) override;

private:
    void acceptFurther();

    AddConnection m_addConnection;
    /// Connections that are accepted before other events have their turn.
    const int m_maxAcceptedAtOnce;
    int m_acceptedAtOnce { 0 };
};

}

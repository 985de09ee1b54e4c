#pragma once

#include <QTcpServer>

#include <functional>

namespace Chicorydock {

/// Accepts connections and passes their descriptors on. The function returns the socket that QAbstractHttpServer reads
/// requests from.
///
/// Thread safety: used on the thread that created it.
class ConnectionAcceptor final : public QTcpServer {
public:
    using AddConnection = std::function<QTcpSocket*(qintptr descriptor)>;

    explicit ConnectionAcceptor(AddConnection);

    /// Takes over the connections that the kernel has accepted already. Closing the listening socket without this
    /// would reset them.
    void acceptWaiting();

protected:
    void incomingConnection(qintptr descriptor) override;

private:
    AddConnection m_addConnection;
};

}

#pragma once

#include <QTcpServer>
#include <QTcpSocket>

#include <functional>
#include <vector>

namespace Chicorydock {

/// A server that records the data received on its connections and calls a function of the test to respond to it.
class ScriptedServer final {
public:
    using Script = std::function<void(QTcpSocket&, const QByteArray& received)>;

    /// `script` is called for every piece of received data.
    explicit ScriptedServer(Script script)
        : m_script(std::move(script))
    {
        QObject::connect(&m_server, &QTcpServer::newConnection, &m_server, [this] { accept(); });
        m_server.listen(QHostAddress::LocalHost);
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(m_server.serverPort()); }
    int connections() const { return m_connections; }
    /// Returns how often `requestLine` was received on all connections.
    qsizetype arrivals(const QByteArray& requestLine) const { return m_received.count(requestLine); }
    const QByteArray& received() const { return m_received; }

private:
    void accept()
    {
        while (QTcpSocket* socket = m_server.nextPendingConnection()) {
            ++m_connections;
            QObject::connect(socket, &QTcpSocket::readyRead, socket, [this, socket] {
                const QByteArray data = socket->readAll();
                m_received += data;
                m_script(*socket, data);
            });
        }
    }

    Script m_script;
    int m_connections { 0 };
    QByteArray m_received;
    QTcpServer m_server;
};

}

#pragma once

#include <QTcpSocket>

namespace Chicorydock {

/// A caller that sends arbitrary bytes and stores all bytes that it receives.
class RawCaller final {
public:
    explicit RawCaller(uint16_t port)
    {
        QObject::connect(&m_socket, &QTcpSocket::readyRead, &m_socket, [this] { m_received += m_socket.readAll(); });
        m_socket.connectToHost("127.0.0.1", port);
        m_socket.waitForConnected();
    }

    QTcpSocket& socket() { return m_socket; }
    void send(const QByteArray& bytes)
    {
        m_socket.write(bytes);
        m_socket.flush();
    }
    const QByteArray& received() const { return m_received; }
    bool isClosed() const { return m_socket.state() == QAbstractSocket::UnconnectedState; }

private:
    QByteArray m_received;
    QTcpSocket m_socket;
};

}

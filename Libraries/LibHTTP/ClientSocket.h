#pragma once

#include <LibCore/Clock.h>

#include <QByteArray>
#include <QObject>
#include <QSocketNotifier>

#include <memory>
#include <string>

namespace Chicorydock {

/// Why a connection ended.
enum class SocketEnd : uint8_t {
    /// The peer closed it in order.
    EndOfStream,
    /// It was reset, or an error of the network ended it.
    Reset,
    /// It could not be opened.
    Refused,
};

/// Hears of a `ClientSocket`. A method may destroy the socket.
class ClientSocketListener {
public:
    virtual ~ClientSocketListener() = default;

    virtual void onConnected() = 0;
    virtual void onInput(QByteArrayView) = 0;
    /// Nothing more comes after this.
    virtual void onEnded(SocketEnd) = 0;
};

/// A TCP connection to another server on the Qt event loop. QTcpSocket reports a reset like an orderly end, and an
/// answer without a length is whole only after an orderly end, so the descriptor is read here.
///
/// Thread safety: used on the thread that created it, which runs a Qt event loop.
class ClientSocket final : public QObject {
public:
    /// Starts to connect to `HOST:PORT`, with the host as an IP number. No method of the listener is called before
    /// this returns; the listener outlives the socket.
    ClientSocket(const std::string& address, ClientSocketListener&);
    ~ClientSocket() override;

    /// Sends the bytes, after the connection is open.
    void write(const QByteArray&);

    bool isConnected() const { return m_isConnected; }
    bool hasUnsentBytes() const { return !m_output.isEmpty(); }

private:
    void open(const std::string& address);
    void finishConnecting();
    void sendOutput();
    void readInput();
    void end(SocketEnd);
    void close();

    ClientSocketListener& m_listener;
    int m_descriptor { -1 };
    bool m_isConnected { false };
    QByteArray m_output;
    std::unique_ptr<QSocketNotifier> m_readNotifier;
    std::unique_ptr<QSocketNotifier> m_writeNotifier;
};

}

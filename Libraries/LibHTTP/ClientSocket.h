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
    /// The peer closed it in an orderly way, so that all it sent has been read.
    EndOfStream,
    /// It was reset, or a network error ended it.
    Reset,
    /// It could not be opened.
    Refused,
};

/// Receives the events of a `ClientSocket`. A method may destroy the socket.
class ClientSocketListener {
public:
    virtual ~ClientSocketListener() = default;

    virtual void onConnected() = 0;
    virtual void onInput(QByteArrayView) = 0;
    /// The last event of a socket.
    virtual void onEnded(SocketEnd) = 0;
};

/// A TCP connection to another server on the Qt event loop. It reads the descriptor itself, because QTcpSocket reports
/// a reset like an orderly close, and a response without a length is complete only after an orderly close.
///
/// Thread safety: used on the thread that created it, which runs a Qt event loop.
class ClientSocket final : public QObject {
public:
    /// Starts to connect to `HOST:PORT`, with the host as an IP address. No method of the listener is called before
    /// this returns; the listener outlives the socket.
    ClientSocket(const std::string& address, ClientSocketListener&);
    ~ClientSocket() override;

    /// Sends the bytes as soon as the connection is open.
    void write(const QByteArray&);

    /// Stops reading, or goes on. The end of the connection is not noticed meanwhile, and a peer that goes on sending
    /// is held up by the window of the connection.
    void setPaused(bool);

    bool isConnected() const { return m_isConnected; }
    bool hasUnsentBytes() const { return !m_output.isEmpty(); }
    /// Returns whether bytes, or the end of the connection, have arrived and have not been reported yet.
    bool hasUnreadInput() const;

private:
    void open(const std::string& address);
    void finishConnecting();
    void sendOutput();
    void handleWriteError(int ec);
    void readInput();
    void end(SocketEnd);
    void close();

    ClientSocketListener& m_listener;
    int m_descriptor { -1 };
    bool m_isConnected { false };
    bool m_isPaused { false };
    /// Whether a write has failed. Nothing is written after that, and what has arrived is still read.
    bool m_hasWriteError { false };
    /// Whether a failed write has shown that the peer reset the connection.
    bool m_wasReset { false };
    QByteArray m_output;
    std::unique_ptr<QSocketNotifier> m_readNotifier;
    std::unique_ptr<QSocketNotifier> m_writeNotifier;
};

}

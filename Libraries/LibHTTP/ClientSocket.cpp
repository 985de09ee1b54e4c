#include <LibHTTP/ClientSocket.h>

#include <LibCore/SocketAddress.h>

#include <QPointer>

#include <array>
#include <cerrno>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Chicorydock {

namespace {

    constexpr size_t readBufferBytes = 16 * 1024;

    void disableDelay(int descriptor)
    {
        const int on = 1;
        ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    }

}

ClientSocket::ClientSocket(const std::string& address, ClientSocketListener& listener)
    : m_listener(listener)
{
    open(address);
}

ClientSocket::~ClientSocket() { close(); }

void ClientSocket::open(const std::string& text)
{
    if (const auto address = SocketAddress::parse(text)) {
        m_descriptor = ::socket(address->storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        if (m_descriptor >= 0) {
            disableDelay(m_descriptor);
            const int ec
                = ::connect(m_descriptor, reinterpret_cast<const sockaddr*>(&address->storage), address->length);
            if (ec != 0 && errno != EINPROGRESS)
                close();
        }
    }
    if (m_descriptor < 0) {
        QMetaObject::invokeMethod(
            this, [this] { end(SocketEnd::Refused); }, Qt::QueuedConnection);
        return;
    }
    m_writeNotifier = std::make_unique<QSocketNotifier>(m_descriptor, QSocketNotifier::Write);
    connect(m_writeNotifier.get(), &QSocketNotifier::activated, this,
        [this] { m_isConnected ? sendOutput() : finishConnecting(); });
}

void ClientSocket::finishConnecting()
{
    int ec = 0;
    socklen_t size = sizeof(ec);
    ::getsockopt(m_descriptor, SOL_SOCKET, SO_ERROR, &ec, &size);
    if (ec != 0) {
        end(SocketEnd::Refused);
        return;
    }
    m_isConnected = true;
    m_writeNotifier->setEnabled(false);
    m_readNotifier = std::make_unique<QSocketNotifier>(m_descriptor, QSocketNotifier::Read);
    m_readNotifier->setEnabled(!m_isPaused);
    connect(m_readNotifier.get(), &QSocketNotifier::activated, this, [this] { readInput(); });
    m_listener.onConnected();
}

void ClientSocket::setPaused(bool isPaused)
{
    m_isPaused = isPaused;
    if (m_readNotifier)
        m_readNotifier->setEnabled(!isPaused);
}

void ClientSocket::write(const QByteArray& bytes)
{
    m_output += bytes;
    if (m_isConnected)
        sendOutput();
}

void ClientSocket::sendOutput()
{
    while (!m_output.isEmpty() && !m_hasWriteError) {
        const ssize_t n
            = ::send(m_descriptor, m_output.constData(), static_cast<size_t>(m_output.size()), MSG_NOSIGNAL);
        if (n >= 0) {
            m_output.remove(0, n);
            continue;
        }
        if (errno == EAGAIN || errno == EWOULDBLOCK)
            break;
        if (errno != EINTR)
            handleWriteError(errno);
    }
    m_writeNotifier->setEnabled(!m_output.isEmpty() && !m_hasWriteError);
}

// The end of the connection is reported by a read event, behind what the peer sent before it. `send()` takes the
// pending error of the socket with it, so that event would look like an orderly end after a reset.
void ClientSocket::handleWriteError(int ec)
{
    m_hasWriteError = true;
    // Linux reports a reset as EPIPE if the peer had ended its direction in order before, and all that it sent has
    // arrived then.
    m_wasReset = ec != EPIPE;
}

bool ClientSocket::hasUnreadInput() const
{
    char byte = 0;
    const ssize_t n = ::recv(m_descriptor, &byte, sizeof(byte), MSG_PEEK);
    return n >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

void ClientSocket::readInput()
{
    std::array<char, readBufferBytes> buf;
    const QPointer<ClientSocket> self(this);
    for (;;) {
        const ssize_t n = ::recv(m_descriptor, buf.data(), buf.size(), 0);
        if (n < 0 && errno == EINTR)
            continue;
        if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
            return;
        if (n <= 0) {
            end(n == 0 && !m_wasReset ? SocketEnd::EndOfStream : SocketEnd::Reset);
            return;
        }
        m_listener.onInput(QByteArrayView(buf.data(), n));
        if (!self || m_descriptor < 0 || m_isPaused || static_cast<size_t>(n) < buf.size())
            return;
    }
}

void ClientSocket::end(SocketEnd reason)
{
    close();
    m_listener.onEnded(reason);
}

void ClientSocket::close()
{
    m_isConnected = false;
    // A notifier may be the sender of the signal that is being handled.
    for (auto* notifier : { &m_readNotifier, &m_writeNotifier }) {
        if (*notifier) {
            (*notifier)->setEnabled(false);
            notifier->release()->deleteLater();
        }
    }
    if (m_descriptor >= 0)
        ::close(m_descriptor);
    m_descriptor = -1;
}

}

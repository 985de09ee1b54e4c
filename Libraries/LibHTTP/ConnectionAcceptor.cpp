#include <LibHTTP/ConnectionAcceptor.h>

#include <sys/socket.h>

namespace Chicorydock {

ConnectionAcceptor::ConnectionAcceptor(AddConnection addConnection)
    : m_addConnection(std::move(addConnection))
{
    // QAbstractHttpServer removes pending connections at once, so this only limits how many are accepted in one
    // iteration of the event loop.
    setMaxPendingConnections(1024);
}

void ConnectionAcceptor::acceptPending()
{
    const auto listener = static_cast<int>(socketDescriptor());
    int descriptor = 0;
    while ((descriptor = ::accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0)
        incomingConnection(descriptor);
}

void ConnectionAcceptor::incomingConnection(qintptr descriptor) { addPendingConnection(m_addConnection(descriptor)); }

}

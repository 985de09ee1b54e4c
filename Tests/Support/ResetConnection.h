#pragma once

#include <QTcpSocket>

#include <sys/socket.h>

namespace Chicorydock {

/// Ends the connection with a reset instead of an orderly close. What was flushed before may still reach the peer.
inline void resetConnection(QTcpSocket& socket)
{
    const linger option { .l_onoff = 1, .l_linger = 0 };
    ::setsockopt(static_cast<int>(socket.socketDescriptor()), SOL_SOCKET, SO_LINGER, &option, sizeof(option));
    socket.abort();
}

}

#pragma once

#include <sys/socket.h>

namespace Chicorydock {

/// Makes the next close of the socket reset the connection and discard what has not been sent. May be called from any
/// thread.
inline void setResetOnClose(int descriptor)
{
    const linger option { .l_onoff = 1, .l_linger = 0 };
    ::setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
}

}

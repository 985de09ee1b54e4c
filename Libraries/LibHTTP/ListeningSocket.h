#pragma once

#include <cstdint>
#include <string>

namespace Chicorydock {

/// Opens a non-blocking TCP socket that listens on `HOST:PORT` with `SO_REUSEPORT`, which QTcpServer does not offer,
/// so that several threads can listen on one port. Returns its descriptor, which the caller owns. Throws `Error`
/// (Internal) if the address is malformed or cannot be bound. May be called from any thread.
int openListeningSocket(const std::string& address);

}

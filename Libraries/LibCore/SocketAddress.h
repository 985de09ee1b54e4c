#pragma once

#include <sys/socket.h>

#include <optional>
#include <string>

namespace Chicorydock {

/// The address of a socket, as the calls of the system take it.
struct SocketAddress {
    sockaddr_storage storage {};
    socklen_t length { 0 };

    /// Parses `HOST:PORT` with the host as an IP number (IPv6 in brackets), or returns nothing. Names are refused,
    /// because their lookup would block. May be called from any thread.
    static std::optional<SocketAddress> parse(const std::string& text);
};

}

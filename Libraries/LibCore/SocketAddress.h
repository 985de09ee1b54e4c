#pragma once

#include <sys/socket.h>

#include <cstdint>
#include <optional>
#include <string>

namespace Chicorydock {

/// A socket address in the form that the system calls take.
struct SocketAddress {
    sockaddr_storage storage {};
    socklen_t length { 0 };

    /// Parses `HOST:PORT` with a numeric IP address as host (IPv6 in brackets); returns nothing if that fails. Host
    /// names are rejected, because resolving them would block. May be called from any thread.
    static std::optional<SocketAddress> parse(const std::string& text);

    /// Returns the port in host byte order. Precondition: the address was parsed.
    uint16_t port() const;
};

}

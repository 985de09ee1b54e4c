#pragma once

#include <sys/socket.h>

#include <optional>
#include <string>

namespace Chicorydock {

/// A socket address of a node's RPC port.
struct RpcAddress {
    sockaddr_storage storage {};
    socklen_t length { 0 };

    /// Parses `HOST:PORT` with the host as an IP number (IPv6 in brackets), or returns nothing. Names are refused,
    /// because their lookup would block. May be called from any thread.
    static std::optional<RpcAddress> parse(const std::string& text);
};

}

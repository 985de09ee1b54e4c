#include <LibCore/SocketAddress.h>

#include <arpa/inet.h>
#include <netinet/in.h>

#include <charconv>
#include <cstring>

namespace Chicorydock {

namespace {

    std::optional<uint16_t> parsePort(std::string_view text)
    {
        uint16_t port = 0;
        const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), port);
        if (ec != std::errc {} || end != text.data() + text.size())
            return {};
        return port;
    }

    template <typename Native> SocketAddress toSocketAddress(const Native& native)
    {
        SocketAddress address;
        std::memcpy(&address.storage, &native, sizeof(native));
        address.length = sizeof(native);
        return address;
    }

}

std::optional<SocketAddress> SocketAddress::parse(const std::string& text)
{
    const size_t colon = text.rfind(':');
    // The host would end at a zero byte.
    if (colon == std::string::npos || text.find('\0') != std::string::npos)
        return {};
    const auto port = parsePort(std::string_view(text).substr(colon + 1));
    if (!port)
        return {};
    const std::string host = text.substr(0, colon);
    if (host.starts_with('[') && host.ends_with(']')) {
        sockaddr_in6 address {};
        address.sin6_family = AF_INET6;
        address.sin6_port = htons(*port);
        if (inet_pton(AF_INET6, host.substr(1, host.size() - 2).c_str(), &address.sin6_addr) != 1)
            return {};
        return toSocketAddress(address);
    }
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(*port);
    if (inet_pton(AF_INET, host.c_str(), &address.sin_addr) != 1)
        return {};
    return toSocketAddress(address);
}

uint16_t SocketAddress::port() const
{
    if (storage.ss_family == AF_INET6) {
        sockaddr_in6 address {};
        std::memcpy(&address, &storage, sizeof(address));
        return ntohs(address.sin6_port);
    }
    sockaddr_in address {};
    std::memcpy(&address, &storage, sizeof(address));
    return ntohs(address.sin_port);
}

}

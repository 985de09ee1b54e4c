#include <LibHTTP/ListeningSocket.h>

#include <LibCore/Error.h>

#include <arpa/inet.h>
#include <charconv>
#include <cstring>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Chicorydock {

namespace {

    /// Connections that may wait to be accepted; many callers can reconnect at the same time.
    constexpr int backlog = 1024;

    [[noreturn]] void fail(const std::string& address, const std::string& reason)
    {
        throw Error(ErrorKind::Internal, "cannot listen on " + address + ": " + reason);
    }

    struct BindAddress {
        sockaddr_storage storage {};
        socklen_t size { 0 };
    };

    BindAddress parseAddress(const std::string& address)
    {
        const size_t colon = address.rfind(':');
        if (colon == std::string::npos)
            fail(address, "the port is missing");
        uint16_t port = 0;
        const char* end = address.data() + address.size();
        const auto parsed = std::from_chars(address.data() + colon + 1, end, port);
        if (parsed.ec != std::errc() || parsed.ptr != end)
            fail(address, "the port is not a number");
        std::string host = address.substr(0, colon);
        if (host.size() > 2 && host.front() == '[' && host.back() == ']')
            host = host.substr(1, host.size() - 2);

        BindAddress result;
        auto* ipv4 = reinterpret_cast<sockaddr_in*>(&result.storage);
        auto* ipv6 = reinterpret_cast<sockaddr_in6*>(&result.storage);
        if (::inet_pton(AF_INET, host.c_str(), &ipv4->sin_addr) == 1) {
            ipv4->sin_family = AF_INET;
            ipv4->sin_port = htons(port);
            result.size = sizeof(sockaddr_in);
        } else if (::inet_pton(AF_INET6, host.c_str(), &ipv6->sin6_addr) == 1) {
            ipv6->sin6_family = AF_INET6;
            ipv6->sin6_port = htons(port);
            result.size = sizeof(sockaddr_in6);
        } else {
            fail(address, "the host is not an IP address");
        }
        return result;
    }

}

int openListeningSocket(const std::string& address)
{
    const BindAddress target = parseAddress(address);
    const int descriptor = ::socket(target.storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0)
        fail(address, std::strerror(errno));
    const int on = 1;
    const bool isListening = ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on)) == 0
        && ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEPORT, &on, sizeof(on)) == 0
        && ::bind(descriptor, reinterpret_cast<const sockaddr*>(&target.storage), target.size) == 0
        && ::listen(descriptor, backlog) == 0;
    if (!isListening) {
        const std::string reason = std::strerror(errno);
        ::close(descriptor);
        fail(address, reason);
    }
    return descriptor;
}

}

#include "LoadCaller.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace Chicorydock {

LoadCaller::LoadCaller(uint16_t port, const std::string& path)
    : m_descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    , m_request("POST " + path + " HTTP/1.1\r\nHost: bench\r\nContent-Length: 10\r\n\r\n0123456789")
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const int on = 1;
    ::setsockopt(m_descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    if (::connect(m_descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0)
        throw std::runtime_error("cannot connect");
}

LoadCaller::~LoadCaller() { ::close(m_descriptor); }

std::vector<double> LoadCaller::run(std::chrono::steady_clock::time_point end)
{
    std::vector<double> latencies;
    for (auto begin = std::chrono::steady_clock::now(); begin < end;) {
        if (::send(m_descriptor, m_request.data(), m_request.size(), MSG_NOSIGNAL) < 0)
            throw std::runtime_error("cannot send");
        readResponse();
        const auto now = std::chrono::steady_clock::now();
        latencies.push_back(std::chrono::duration<double, std::micro>(now - begin).count());
        begin = now;
    }
    return latencies;
}

void LoadCaller::readResponse()
{
    m_received.clear();
    // Every response of this benchmark ends with one of these strings, and neither occurs earlier in it.
    const auto isComplete
        = [&] { return m_received.ends_with("{\"ok\":true}") || m_received.ends_with("\r\n0\r\n\r\n"); };
    while (!isComplete()) {
        char buffer[65536];
        const ssize_t n = ::recv(m_descriptor, buffer, sizeof(buffer), 0);
        if (n <= 0)
            throw std::runtime_error("incomplete response");
        m_received.append(buffer, static_cast<size_t>(n));
    }
}

}

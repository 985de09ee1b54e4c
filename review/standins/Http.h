#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <cstring>
#include <functional>
#include <map>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <set>
#include <string>
#include <strings.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace Review {

/// Milliseconds since the start of the program, by the steady clock.
inline double now()
{
    static const auto start = std::chrono::steady_clock::now();
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start).count();
}

inline void sleepMs(double ms) { std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms)); }

/// Opens a listening socket on a free loopback port. Returns the descriptor and the port.
inline std::pair<int, uint16_t> listenOnLoopback(uint16_t port = 0)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    if (::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 || ::listen(fd, 512) != 0) {
        ::close(fd);
        return { -1, 0 };
    }
    socklen_t size = sizeof(address);
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    return { fd, ntohs(address.sin_port) };
}

inline uint16_t portOf(const std::string& address)
{
    return static_cast<uint16_t>(std::stoi(address.substr(address.rfind(':') + 1)));
}

/// Connects to a loopback address within the time limit. Returns -1 if that fails.
inline int connectTo(const std::string& address, int timeoutMs = 1000)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const timeval limit { timeoutMs / 1000, (timeoutMs % 1000) * 1000 };
    ::setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
    sockaddr_in target {};
    target.sin_family = AF_INET;
    target.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    target.sin_port = htons(portOf(address));
    if (::connect(fd, reinterpret_cast<sockaddr*>(&target), sizeof(target)) != 0) {
        ::close(fd);
        return -1;
    }
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return fd;
}

inline bool sendAll(int fd, const std::string& bytes)
{
    for (size_t sent = 0; sent < bytes.size();) {
        const ssize_t n = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        sent += static_cast<size_t>(n);
    }
    return true;
}

struct CaseInsensitive {
    bool operator()(const std::string& a, const std::string& b) const { return ::strcasecmp(a.c_str(), b.c_str()) < 0; }
};

using Headers = std::map<std::string, std::string, CaseInsensitive>;

inline std::string find(const Headers& headers, const std::string& name)
{
    const auto it = headers.find(name);
    return it == headers.end() ? std::string() : it->second;
}

/// Reads from a socket through a buffer, up to a point in time.
class Reader {
public:
    Reader(int fd, double until)
        : m_fd(fd)
        , m_until(until)
    {
    }

    void setUntil(double until) { m_until = until; }
    bool hasEnded() const { return m_hasEnded; }

    bool readLine(std::string& line)
    {
        size_t end = 0;
        while ((end = m_buffer.find("\r\n")) == std::string::npos) {
            if (!fill())
                return false;
        }
        line = m_buffer.substr(0, end);
        m_buffer.erase(0, end + 2);
        return true;
    }

    bool readBytes(size_t count, std::string& out)
    {
        while (m_buffer.size() < count) {
            if (!fill())
                return false;
        }
        out += m_buffer.substr(0, count);
        m_buffer.erase(0, count);
        return true;
    }

    void readToEnd(std::string& out)
    {
        while (fill()) { }
        out += m_buffer;
        m_buffer.clear();
    }

    bool readHeaders(Headers& headers)
    {
        std::string line;
        while (readLine(line)) {
            if (line.empty())
                return true;
            const size_t colon = line.find(':');
            if (colon == std::string::npos)
                return false;
            size_t begin = colon + 1;
            while (begin < line.size() && line[begin] == ' ')
                ++begin;
            headers[line.substr(0, colon)] = line.substr(begin);
        }
        return false;
    }

    /// Reads a body with a length or in chunks. Returns whether it is complete.
    bool readBody(const Headers& headers, std::string& body)
    {
        if (find(headers, "Transfer-Encoding") == "chunked") {
            for (;;) {
                std::string line;
                if (!readLine(line))
                    return false;
                const size_t size = std::stoul(line, nullptr, 16);
                if (!readBytes(size, body) || !readLine(line))
                    return false;
                if (size == 0)
                    return true;
            }
        }
        const std::string length = find(headers, "Content-Length");
        return length.empty() || readBytes(std::stoul(length), body);
    }

private:
    bool fill()
    {
        pollfd poll { m_fd, POLLIN, 0 };
        const double left = m_until - now();
        if (left <= 0 || ::poll(&poll, 1, static_cast<int>(left) + 1) <= 0)
            return false;
        char buf[16384];
        const ssize_t n = ::recv(m_fd, buf, sizeof(buf), 0);
        m_hasEnded = n <= 0;
        if (n <= 0)
            return false;
        m_buffer.append(buf, static_cast<size_t>(n));
        return true;
    }

    int m_fd;
    double m_until;
    std::string m_buffer;
    bool m_hasEnded { false };
};

struct Request {
    std::string method;
    std::string target;
    Headers headers;
    std::string body;

    std::string path() const { return target.substr(0, target.find('?')); }

    std::string parameter(const std::string& name) const
    {
        const size_t query = target.find('?');
        if (query == std::string::npos)
            return {};
        std::string text = "&" + target.substr(query + 1) + "&";
        const size_t at = text.find("&" + name + "=");
        if (at == std::string::npos)
            return {};
        const size_t begin = at + name.size() + 2;
        return decoded(text.substr(begin, text.find('&', begin) - begin));
    }

private:
    static std::string decoded(const std::string& text)
    {
        std::string out;
        for (size_t n = 0; n < text.size(); ++n) {
            if (text[n] == '%' && n + 2 < text.size()) {
                out += static_cast<char>(std::stoi(text.substr(n + 1, 2), nullptr, 16));
                n += 2;
            } else {
                out += text[n];
            }
        }
        return out;
    }
};

/// A connection of a stand-in server.
class Connection {
public:
    explicit Connection(int fd)
        : m_fd(fd)
    {
    }

    int descriptor() const { return m_fd; }
    bool send(const std::string& bytes) const { return sendAll(m_fd, bytes); }

    void answer(int status, const Headers& headers, const std::string& body) const
    {
        std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
        for (const auto& [name, value] : headers)
            text += name + ": " + value + "\r\n";
        send(text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    }

    /// Returns whether the peer has closed or reset the connection.
    bool isClosed() const
    {
        char byte = 0;
        const ssize_t n = ::recv(m_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
    }

    /// Ends the connection after the current answer.
    void close() { m_keepsOpen = false; }
    bool keepsOpen() const { return m_keepsOpen; }

private:
    int m_fd;
    bool m_keepsOpen { true };
};

/// HTTP/1.1 server on a loopback port with a thread a connection.
class Server {
public:
    using Handler = std::function<void(const Request&, Connection&)>;

    explicit Server(Handler handler, uint16_t port = 0)
        : m_handler(std::move(handler))
    {
        std::tie(m_fd, m_port) = listenOnLoopback(port);
        if (m_fd >= 0)
            m_acceptor = std::thread([this] { accept(); });
    }

    ~Server() { stop(); }

    bool isListening() const { return m_fd >= 0; }
    std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }

    /// Stops listening and closes all connections, as the end of a process does.
    void stop()
    {
        if (m_isStopped.exchange(true) || m_fd < 0)
            return;
        ::shutdown(m_fd, SHUT_RDWR);
        m_acceptor.join();
        ::close(m_fd);
        const std::lock_guard lock(m_mutex);
        for (const int it : m_open)
            ::shutdown(it, SHUT_RDWR);
    }

private:
    void accept()
    {
        for (;;) {
            const int fd = ::accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                return;
            const int on = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
            {
                const std::lock_guard lock(m_mutex);
                m_open.insert(fd);
            }
            std::thread([this, fd] { serve(fd); }).detach();
        }
    }

    void serve(int fd)
    {
        Reader reader(fd, 1e12);
        Connection connection(fd);
        while (!m_isStopped && connection.keepsOpen()) {
            Request request;
            std::string line;
            if (!reader.readLine(line))
                break;
            const size_t first = line.find(' ');
            const size_t second = line.find(' ', first + 1);
            if (first == std::string::npos || second == std::string::npos)
                break;
            request.method = line.substr(0, first);
            request.target = line.substr(first + 1, second - first - 1);
            if (!reader.readHeaders(request.headers) || !reader.readBody(request.headers, request.body))
                break;
            m_handler(request, connection);
        }
        const std::lock_guard lock(m_mutex);
        m_open.erase(fd);
        ::close(fd);
    }

    Handler m_handler;
    int m_fd { -1 };
    uint16_t m_port { 0 };
    std::thread m_acceptor;
    std::mutex m_mutex;
    std::set<int> m_open;
    std::atomic<bool> m_isStopped { false };
};

/// What a client saw. `status` is 0 if no answer came; `isComplete` says whether the whole body did.
struct Answer {
    int status { 0 };
    Headers headers;
    std::string body;
    bool isComplete { false };
};

/// Sends a request on a new connection and reads the answer.
inline Answer call(const std::string& address, const std::string& method, const std::string& target, Headers headers,
    const std::string& body = {}, double timeoutMs = 4000)
{
    Answer answer;
    const double until = now() + timeoutMs;
    const int fd = connectTo(address);
    if (fd < 0)
        return answer;
    std::string text = method + ' ' + target + " HTTP/1.1\r\n";
    headers["Connection"] = "close";
    if (!body.empty())
        headers["Content-Length"] = std::to_string(body.size());
    for (const auto& [name, value] : headers)
        text += name + ": " + value + "\r\n";
    std::string line;
    Reader reader(fd, until);
    if (sendAll(fd, text + "\r\n" + body) && reader.readLine(line) && line.size() > 12) {
        const int status = std::stoi(line.substr(9, 3));
        if (reader.readHeaders(answer.headers)) {
            answer.status = status;
            const bool isFramed = answer.headers.count("Content-Length") || answer.headers.count("Transfer-Encoding");
            answer.isComplete = isFramed && reader.readBody(answer.headers, answer.body);
        }
    }
    ::close(fd);
    return answer;
}

}

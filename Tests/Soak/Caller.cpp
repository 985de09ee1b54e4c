#include "Caller.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

namespace Chicorydock {

using Review::now;
using Review::sleepMs;

namespace {

    /// A caller waits so much longer than its deadline.
    constexpr double patienceMs = 1'500;
    constexpr double retryMs = 20;
    /// A caller has little time left after a refusal, and retries sooner than `Retry-After` says if that is later.
    constexpr double longestRetryMs = 250;

}

/// A connection to a node, which tells a reset from an end.
class Caller::Connection {
public:
    Connection(const std::string& address, bool isSlow)
        : m_isSlow(isSlow)
        , m_fd(Review::connectTo(address))
    {
        const int size = 4'096;
        if (isSlow)
            ::setsockopt(m_fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
    }

    ~Connection()
    {
        if (m_fd >= 0)
            ::close(m_fd);
    }

    bool isOpen() const { return m_fd >= 0; }
    bool send(const std::string& bytes) const { return Review::sendAll(m_fd, bytes); }

    /// Reads a response. Sets its head, its end and the part of the body that has come.
    void read(Exchange& exchange, Review::Headers& headers, std::string& body, double until)
    {
        exchange.end = readWhole(exchange, headers, body, until) ? ExchangeEnd::Whole : m_end;
        exchange.endedAt = now();
    }

private:
    bool readWhole(Exchange& exchange, Review::Headers& headers, std::string& body, double until)
    {
        std::string line;
        if (!readLine(line, until) || line.size() < 12)
            return false;
        exchange.status = std::atoi(line.substr(9, 3).c_str());
        while (readLine(line, until) && !line.empty()) {
            const size_t colon = std::min(line.find(": "), line.size());
            headers[line.substr(0, colon)] = line.substr(std::min(colon + 2, line.size()));
        }
        if (!line.empty())
            return false;
        if (find(headers, "Transfer-Encoding") == "chunked")
            return readChunks(body, until);
        if (headers.contains("Content-Length"))
            return readBytes(std::stoul(find(headers, "Content-Length")), body, until);
        while (fill(until))
            body += std::exchange(m_buffer, {});
        return m_end == ExchangeEnd::Closed;
    }

    bool readChunks(std::string& body, double until)
    {
        for (std::string line; readLine(line, until);) {
            const size_t size = std::stoul("0" + line, nullptr, 16);
            if (!readBytes(size, body, until) || !readLine(line, until))
                return false;
            if (size == 0)
                return true;
        }
        return false;
    }

    bool readLine(std::string& line, double until)
    {
        size_t end = 0;
        while ((end = m_buffer.find("\r\n")) == std::string::npos) {
            if (!fill(until))
                return false;
        }
        line = m_buffer.substr(0, end);
        m_buffer.erase(0, end + 2);
        return true;
    }

    bool readBytes(size_t size, std::string& out, double until)
    {
        const size_t wanted = out.size() + size;
        for (;;) {
            const size_t n = std::min(wanted - out.size(), m_buffer.size());
            out += m_buffer.substr(0, n);
            m_buffer.erase(0, n);
            if (out.size() == wanted)
                return true;
            if (!fill(until))
                return false;
        }
    }

    bool fill(double until)
    {
        if (m_isSlow)
            sleepMs(15);
        pollfd poll { m_fd, POLLIN, 0 };
        const double left = until - now();
        m_end = ExchangeEnd::Abandoned;
        if (left <= 0 || ::poll(&poll, 1, static_cast<int>(left) + 1) <= 0)
            return false;
        char buf[8'192];
        const ssize_t n = ::recv(m_fd, buf, sizeof(buf), 0);
        if (n > 0)
            m_buffer.append(buf, static_cast<size_t>(n));
        m_end = n == 0 ? ExchangeEnd::Closed : ExchangeEnd::Reset;
        return n > 0;
    }

    const bool m_isSlow;
    const int m_fd;
    std::string m_buffer;
    ExchangeEnd m_end { ExchangeEnd::Abandoned };
};

Caller::Caller(const Nodes& nodes, Ledger<Exchange>& exchanges, const std::atomic<bool>& isOver, size_t zone,
    Habit habit, unsigned streamLimitMs, uint64_t seed)
    : m_nodes(nodes)
    , m_exchanges(exchanges)
    , m_isOver(isOver)
    , m_zone(zone)
    , m_habit(habit)
    , m_streamLimitMs(streamLimitMs)
    , m_random(seed)
{
}

SoakRequest Caller::draw()
{
    SoakRequest request;
    char id[20];
    std::snprintf(id, sizeof(id), "%016llx", static_cast<unsigned long long>(m_random()));
    request.id = id;
    request.kind = std::array { RequestKind::Stream, RequestKind::ResumableStream, RequestKind::Repeatable,
        RequestKind::Unrepeatable }[number(0, 3)];
    request.framing = std::array { Framing::Length, Framing::Chunks, Framing::Connection }[number(0, 2)];
    if (request.isStream()) {
        const bool isLong = number(0, 9) < 4;
        request.size = isLong ? number(27, 43) * m_streamLimitMs / 5'000 : number(3, 25);
        request.delayMs = isLong ? number(95, 109) : number(20, 90);
        request.deadlineMs = m_streamLimitMs;
    } else if (request.kind == RequestKind::Repeatable) {
        request.size = number(1, 6'000);
        request.delayMs = number(5, 500);
        request.deadlineMs = 1'200;
    } else {
        request.size = m_habit == Habit::SlowReader ? number(20'000, 120'000) : number(1, 6'000);
        request.delayMs = number(5, 900);
        request.deadlineMs = 4'000;
    }
    return request;
}

/// Connects to a node of the own zone, or to any if none there takes connections.
bool Caller::connect()
{
    std::vector<size_t> own;
    std::vector<size_t> all;
    for (size_t n = 0; n < m_nodes.size(); ++n) {
        if (!m_nodes[n]->takesConnections)
            continue;
        all.push_back(n);
        if (n % zoneCount == m_zone)
            own.push_back(n);
    }
    const std::vector<size_t>& choice = own.empty() ? all : own;
    if (!choice.empty()) {
        m_node = choice[number(0, static_cast<unsigned>(choice.size()) - 1)];
        m_connection = std::make_shared<Connection>(m_nodes[m_node]->front(), m_habit == Habit::SlowReader);
    }
    if (m_connection && m_connection->isOpen())
        return true;
    sleepMs(retryMs);
    return false;
}

void Caller::run()
{
    while (!m_isOver) {
        if (connect())
            useConnection();
    }
}

void Caller::useConnection()
{
    SoakRequest request = draw();
    bool isUsable = m_connection->send(request.bytes());
    bool isPipelined = false;
    double sentAt = now();
    m_lastEnd = ExchangeEnd::Reset;
    while (isUsable && !m_isOver) {
        const SoakRequest next = draw();
        const std::string bytes = next.bytes();
        const size_t ahead = bytesAhead(next);
        m_connection->send(bytes.substr(0, ahead));
        const double aheadSentAt = now();
        isUsable = exchange(request, sentAt, isPipelined);
        isPipelined = ahead == bytes.size();
        if (isUsable && !isPipelined)
            isUsable = m_connection->send(bytes.substr(ahead));
        sentAt = isPipelined ? aheadSentAt : now();
        request = next;
    }
    // The last request may have reached the node, but its response was not waited for.
    const bool isLeft = m_isOver || m_lastEnd == ExchangeEnd::Abandoned;
    m_exchanges.add({ .request = request,
        .node = m_node,
        .sentAt = sentAt,
        .endedAt = now(),
        .end = isLeft ? ExchangeEnd::Abandoned : ExchangeEnd::Reset,
        .isPipelined = true });
}

size_t Caller::bytesAhead(const SoakRequest& next) const
{
    const size_t size = next.bytes().size();
    if (m_habit == Habit::Pipelining)
        return size;
    return m_habit == Habit::HalfAhead ? size - next.body().size() / 2 : 0;
}

bool Caller::exchange(const SoakRequest& request, double sentAt, bool isPipelined)
{
    Exchange exchange { .request = request, .node = m_node, .sentAt = sentAt, .isPipelined = isPipelined };
    Review::Headers headers;
    std::string body;
    m_connection->read(exchange, headers, body, now() + request.deadlineMs + patienceMs);
    exchange.hasRetryAfter = headers.contains("Retry-After");
    exchange.bearsOtherId = headers.contains("Request-Id") && find(headers, "Request-Id") != request.id;
    exchange.receivedBytes = body.size();
    if (exchange.status == 200) {
        const std::string expected = expectedBody(request.isStream(), request.id, request.size);
        const bool isWhole = exchange.end == ExchangeEnd::Whole;
        exchange.hasWrongBody = (isWhole ? body != expected : !expected.starts_with(body))
            || !find(headers, "Server-Signature").ends_with('.' + request.id);
    }
    m_lastEnd = exchange.end;
    if (exchange.status != 200)
        sleepMs(std::clamp(std::atof(find(headers, "Retry-After").c_str()) * 1'000, retryMs, longestRetryMs));
    m_exchanges.add(std::move(exchange));
    return m_lastEnd == ExchangeEnd::Whole && ::strcasecmp(find(headers, "Connection").c_str(), "close") != 0
        && (headers.contains("Content-Length") || headers.contains("Transfer-Encoding"));
}

}

#include "Crowd.h"

#include <standins/Http.h>
#include <standins/World.h>

#include <fcntl.h>

namespace Chicorydock {

namespace {

    constexpr size_t bytesPerSend = 64 * 1024;
    constexpr size_t largestBody = 4'194'304;
    /// Bytes of fields that fit in the largest head.
    constexpr size_t fieldBytes = 16'000;

    /// Fields that callers inside the limits send.
    const std::string usualFields
        = "Host: " + std::string(Review::World::host) + "\r\nRequest-Id: crowd\r\nDeadline-Ms: 4000\r\n";

    std::string keyField(const std::string& key) { return "Authorization: Bearer " + key + "\r\n"; }

    /// A valid job of one item.
    std::string jobSubmission()
    {
        const std::string body
            = R"({"items":[{"id":"crowd-1","path":"/lots/crowd-1/9","headers":{},"body":"eA==","token_count":9}]})";
        return "POST /lots/ HTTP/1.1\r\n" + usualFields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n"
            + body;
    }

    std::string request(const std::string& target, const std::string& fields)
    {
        return "POST " + target + " HTTP/1.1\r\n" + fields + "\r\n";
    }

    /// Returns as many fields as fit, with a name of its own each.
    std::string smallFields()
    {
        std::string out;
        for (size_t n = 0; out.size() < fieldBytes; ++n)
            out += std::to_string(n) + ":b\r\n";
        return out;
    }

    std::string repeat(const std::string& text)
    {
        std::string out;
        while (!text.empty() && out.size() < bytesPerSend)
            out += text;
        return out;
    }

    /// Returns whether the other side has closed or reset the connection. Bytes that it sent are not read.
    bool isClosed(short events) { return (events & (POLLHUP | POLLERR | POLLRDHUP)) != 0; }

}

const std::vector<CrowdKind>& crowdKinds()
{
    const std::string largeBody = usualFields + "Content-Length: " + std::to_string(largestBody) + "\r\n";
    const std::string chunked = usualFields + "Transfer-Encoding: chunked\r\n";
    static const std::vector<CrowdKind> kinds {
        { .name = "no usual headers",
            .connections = 16,
            .repeated = request("/stream/crowd/1", "Content-Length: 0\r\n") },
        { .name = "four of no route", .connections = 4, .repeated = request("/nowhere", usualFields) },
        { .name = "usual headers", .connections = 16, .repeated = request("/stream/crowd/1", usualFields) },
        { .name = "no route", .connections = 64, .repeated = request("/nowhere", usualFields) },
        { .name = "endless heads",
            .connections = 64,
            .opening = "POST /stream/crowd/1 HTTP/1.1\r\n",
            .repeated = "X-Fill: crowd\r\n" },
        { .name = "stopped bodies",
            .connections = 48,
            .opening = request("/stream/crowd/1", largeBody) + std::string(largestBody - 1, 'x') },
        { .name = "small chunks",
            .connections = 48,
            .opening = request("/stream/crowd/1", chunked),
            .repeated = "1\r\nx\r\n" },
        { .name = "endless trailers",
            .connections = 64,
            .opening = request("/stream/crowd/1", chunked) + "0\r\n",
            .repeated = "X-Fill: crowd\r\n" },
        { .name = "unread streams", .connections = 200, .opening = request("/stream/crowd/1000000", usualFields) },
        { .name = "silent connections", .connections = 500 },
        { .name = "reset connections",
            .connections = 32,
            .opening = request("/stream/crowd/9", usualFields),
            .isReset = true },
        { .name = "status port",
            .connections = 16,
            .repeated = "GET /metrics HTTP/1.1\r\n\r\n",
            .port = CrowdKind::Port::Status },
        { .name = "silent status port", .connections = 500, .port = CrowdKind::Port::Status },
        { .name = "peer port",
            .connections = 16,
            .repeated = request("/nowhere", usualFields),
            .port = CrowdKind::Port::Peers },
        { .name = "small fields",
            .connections = 120,
            .opening = request("/stream/crowd/1000000", usualFields + smallFields()) },
        { .name = "whole bodies",
            .connections = 48,
            .opening = request("/stream/crowd/1000000", largeBody) + std::string(largestBody, 'x'),
            .repeated = request("/nowhere", largeBody) + std::string(largestBody, 'x') },
        { .name = "bodies to the status port",
            .connections = 48,
            .repeated = request("/metrics", largeBody) + std::string(largestBody, 'x'),
            .port = CrowdKind::Port::Status },
        { .name = "no keys",
            .connections = 16,
            .repeated = request("/stream/crowd/1", usualFields),
            .deployment = CrowdKind::Deployment::Workspaces },
        { .name = "unknown keys",
            .connections = 16,
            .repeated = request("/stream/crowd/1", usualFields + keyField("unknown")),
            .deployment = CrowdKind::Deployment::Workspaces },
        { .name = "over a rate limit",
            .connections = 16,
            .repeated = request("/stream/crowd/1", usualFields + keyField(crowdKey)),
            .deployment = CrowdKind::Deployment::Workspaces },
        { .name = "silent endpoint",
            .connections = 64,
            .repeated = request("/silent/crowd/1", usualFields),
            .deployment = CrowdKind::Deployment::SilentEndpoint },
        { .name = "bodies to a silent endpoint",
            .connections = 48,
            .opening = request("/silent/crowd/1", largeBody) + std::string(largestBody, 'x'),
            .repeated = request("/silent/crowd/1", largeBody) + std::string(largestBody, 'x'),
            .deployment = CrowdKind::Deployment::SilentEndpoint },
        { .name = "batch jobs",
            .connections = 16,
            .repeated = jobSubmission(),
            .deployment = CrowdKind::Deployment::Batch },
        { .name = "unread job results",
            .connections = 64,
            .opening = jobSubmission(),
            .repeated = "GET /api/lots/crowd?after=0 HTTP/1.1\r\n" + usualFields + "\r\n",
            .deployment = CrowdKind::Deployment::Batch },
    };
    return kinds;
}

Crowd::Crowd(const CrowdKind& kind, std::string address)
    : m_kind(kind)
    , m_address(std::move(address))
    , m_repeated(repeat(kind.repeated))
    , m_callers(kind.connections)
{
}

Crowd::~Crowd()
{
    for (Caller& it : m_callers)
        close(it);
}

void Crowd::play(double ms)
{
    for (const double until = Review::now() + ms; Review::now() < until;) {
        std::vector<pollfd> polled;
        for (Caller& it : m_callers) {
            if (it.descriptor < 0)
                open(it);
            const bool hasMore = !m_repeated.empty() || !it.hasOpened;
            polled.push_back({ it.descriptor, static_cast<short>(POLLRDHUP | (hasMore ? POLLOUT : 0)), 0 });
        }
        constexpr int pollMs = 50;
        ::poll(polled.data(), polled.size(), pollMs);
        for (size_t n = 0; n < polled.size(); ++n) {
            if (isClosed(polled[n].revents))
                close(m_callers[n]);
            else if ((polled[n].revents & POLLOUT) != 0)
                send(m_callers[n]);
        }
    }
}

void Crowd::open(Caller& caller)
{
    caller = { .descriptor = Review::connectTo(m_address, 100) };
    if (caller.descriptor < 0)
        return;
    ++m_opened;
    caller.hasOpened = m_kind.opening.empty();
    ::fcntl(caller.descriptor, F_SETFL, O_NONBLOCK);
}

void Crowd::close(Caller& caller)
{
    if (caller.descriptor >= 0)
        ::close(caller.descriptor);
    caller = {};
}

void Crowd::send(Caller& caller)
{
    const std::string& bytes = caller.hasOpened ? m_repeated : m_kind.opening;
    const ssize_t n = ::send(caller.descriptor, bytes.data() + caller.sent, bytes.size() - caller.sent, MSG_NOSIGNAL);
    if (n < 0)
        return;
    caller.sent += static_cast<size_t>(n);
    if (caller.sent < bytes.size())
        return;
    caller.sent = 0;
    caller.hasOpened = true;
    if (!m_kind.isReset)
        return;
    const linger option { .l_onoff = 1, .l_linger = 0 };
    ::setsockopt(caller.descriptor, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
    close(caller);
}

}

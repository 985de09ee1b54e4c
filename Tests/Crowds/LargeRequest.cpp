#include "LargeRequest.h"

#include <standins/World.h>

namespace Chicorydock {

namespace {

    /// The limits that `Review::World` configures.
    constexpr size_t maxHeadBytes = 16'384;
    constexpr size_t maxBodyBytes = 4'194'304;
    constexpr double headTimeMs = 3'000;
    constexpr double idleTimeMs = 15'000;

    constexpr double answerTimeoutMs = 20'000;

    /// Sends the text in pieces that are spread over the time.
    bool sendSlowly(int fd, const std::string& text, double ms)
    {
        constexpr size_t pieces = 20;
        const size_t size = text.size() / pieces + 1;
        for (size_t at = 0; at < text.size(); at += size) {
            if (!Review::sendAll(fd, text.substr(at, size)))
                return false;
            Review::sleepMs(ms / pieces);
        }
        return true;
    }

    std::string head(size_t bytes, size_t bodyBytes)
    {
        std::string text = "POST /stream/limit/3 HTTP/1.1\r\nHost: " + std::string(Review::World::host)
            + "\r\nRequest-Id: limit\r\nDeadline-Ms: 5000\r\nContent-Length: " + std::to_string(bodyBytes)
            + "\r\nX-Fill: ";
        const std::string end = "\r\n\r\n";
        if (text.size() + end.size() < bytes)
            text.append(bytes - text.size() - end.size(), 'x');
        return text + end;
    }

    bool isAnswered(int fd)
    {
        Review::Reader reader(fd, Review::now() + answerTimeoutMs);
        std::string line;
        Review::Headers headers;
        std::string body;
        return reader.readLine(line) && line.starts_with("HTTP/1.1 200") && reader.readHeaders(headers)
            && reader.readBody(headers, body) && body.find("id: 3\n") != std::string::npos;
    }

    /// Sends head and body. Part of the time that is allowed is left to the machine, which may be busy.
    bool send(const std::string& name, int fd)
    {
        constexpr double slowShare = 0.6;
        const std::string body(maxBodyBytes, 'x');
        if (name == "largest request")
            return Review::sendAll(fd, head(maxHeadBytes, maxBodyBytes) + body);
        if (name == "slowest head")
            return sendSlowly(fd, head(maxHeadBytes, 2), headTimeMs * slowShare) && Review::sendAll(fd, "hi");
        if (name == "slow body")
            return Review::sendAll(fd, head(0, maxHeadBytes))
                && sendSlowly(fd, body.substr(0, maxHeadBytes), headTimeMs * slowShare);
        // Clients reuse connections that were idle for four fifths of the limit.
        constexpr double reusedShare = 0.8;
        if (!Review::sendAll(fd, head(0, 2) + "hi") || !isAnswered(fd))
            return false;
        Review::sleepMs(idleTimeMs * reusedShare);
        return Review::sendAll(fd, head(0, 2) + "hi");
    }

}

const std::vector<std::string>& limitRequests()
{
    static const std::vector<std::string> names { "largest request", "slowest head", "slow body", "idle connection" };
    return names;
}

bool isServedAtLimit(const std::string& name, const std::string& address)
{
    const int fd = Review::connectTo(address);
    const bool isServed = fd >= 0 && send(name, fd) && isAnswered(fd);
    ::close(fd);
    return isServed;
}

}

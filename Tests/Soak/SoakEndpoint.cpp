#include "SoakEndpoint.h"

#include <algorithm>
#include <sstream>

namespace Chicorydock {

using Review::now;
using Review::sleepMs;

namespace {

    constexpr double heartbeatMs = 1'200;
    constexpr unsigned maxWaiting = 24;
    /// Time between looks at the connection.
    constexpr double stepMs = 5;

    /// The work that the target `/PREFIX/ID/SIZE/DELAY/FRAMING` asks for.
    struct Work {
        bool isStream { false };
        size_t size { 0 };
        double delayMs { 0 };
        Framing framing { Framing::Length };

        explicit Work(const std::string& path)
        {
            std::istringstream in(path);
            std::string prefix;
            std::string id;
            std::string word;
            std::getline(in, word, '/');
            std::getline(in, prefix, '/');
            std::getline(in, id, '/');
            std::getline(in, word, '/');
            size = std::stoul("0" + word);
            std::getline(in, word, '/');
            delayMs = std::stod("0" + word);
            std::getline(in, word, '/');
            isStream = prefix.starts_with('s');
            if (!word.empty())
                framing = static_cast<Framing>(word[0]);
        }
    };

    std::string chunk(const std::string& bytes)
    {
        std::ostringstream out;
        out << std::hex << bytes.size() << "\r\n" << bytes << "\r\n";
        return out.str();
    }

    std::string head(Review::Headers headers, const Work& work, Framing framing)
    {
        if (framing == Framing::Length)
            headers["Content-Length"] = std::to_string(work.size);
        else if (framing == Framing::Chunks)
            headers["Transfer-Encoding"] = "chunked";
        else
            headers["Connection"] = "close";
        headers["Content-Type"] = work.isStream ? "text/event-stream" : "text/plain";
        std::string text = "HTTP/1.1 200 OK\r\n";
        for (const auto& [name, value] : headers)
            text += name + ": " + value + "\r\n";
        return text + "\r\n";
    }

}

SoakEndpoint::SoakEndpoint(
    Review::Store& store, Ledger<Run>& runs, std::string id, std::string service, std::string zone, unsigned slots)
    : m_store(store)
    , m_runs(runs)
    , m_id(std::move(id))
    , m_service(std::move(service))
    , m_zone(std::move(zone))
    , m_slots(slots)
    , m_server([this](const Review::Request& request, Review::Connection& connection) { handle(request, connection); })
{
    m_heartbeat = std::thread([this] { beat(); });
}

void SoakEndpoint::beat()
{
    for (long sequence = 1;; ++sequence) {
        m_store.put("servers", m_id,
            Review::Json::object({ { "service", m_service }, { "address", m_server.address() }, { "zone", m_zone },
                                     { "version", "v1" }, { "slots", static_cast<long>(m_slots) }, { "state", "ready" },
                                     { "cold_remaining_ms", 0 }, { "sequence", sequence }, { "born", 1 } })
                .dump());
        sleepMs(heartbeatMs);
    }
}

Review::Headers SoakEndpoint::headers(const std::string& requestId) const
{
    return { { "Request-Id", requestId }, { "Instance-Id", m_id }, { "Weight-Versions", "1" },
        { "Server-Load",
            std::to_string(m_running) + ',' + std::to_string(m_waiting) + ',' + std::to_string(m_slots) + ",100" } };
}

void SoakEndpoint::handle(const Review::Request& request, Review::Connection& connection)
{
    const std::string id = find(request.headers, "Request-Id");
    const std::string expected = find(request.headers, "Expect-Instance");
    if (request.path() == "/health") {
        connection.answer(200, headers(id), {});
    } else if (!expected.empty() && expected != m_id) {
        connection.answer(421, headers(id), {});
    } else if (!takeSlot(connection)) {
        Review::Headers refusal = headers(id);
        refusal["Not-Executed"] = "1";
        connection.answer(503, refusal, {});
    } else {
        run(request, connection);
        --m_running;
    }
}

bool SoakEndpoint::takeSlot(const Review::Connection& connection)
{
    if (m_waiting >= maxWaiting)
        return false;
    ++m_waiting;
    bool hasSlot = false;
    for (unsigned n = m_running; !hasSlot && !connection.isClosed(); n = m_running) {
        hasSlot = n < m_slots && m_running.compare_exchange_strong(n, n + 1);
        if (!hasSlot)
            sleepMs(stepMs);
    }
    --m_waiting;
    return hasSlot;
}

Run::End SoakEndpoint::wait(double ms, unsigned resets, const Review::Connection& connection) const
{
    const double until = now() + ms;
    for (;;) {
        if (m_resets != resets)
            return Run::End::BrokenOff;
        if (connection.isClosed())
            return Run::End::CallerClosed;
        const double left = until - now();
        if (left <= 0)
            return Run::End::Running;
        sleepMs(std::min(left, stepMs));
    }
}

void SoakEndpoint::run(const Review::Request& request, Review::Connection& connection)
{
    const std::string id = find(request.headers, "Request-Id");
    const Work work(request.path());
    const size_t after = std::stoul("0" + find(request.headers, "Last-Event-Id"));
    const unsigned resets = m_resets;
    const size_t number = m_runs.add({ .endpoint = m_id,
        .id = id,
        .path = request.target,
        .afterEvent = after,
        .beganAt = now(),
        .isAltered = request.body != "body of " + request.target });
    // The length of a stream is not known before its end.
    const Framing framing = work.isStream && work.framing == Framing::Length ? Framing::Chunks : work.framing;
    Review::Headers fields = headers(id);
    fields["Server-Signature"] = "s." + m_id + '.' + id;
    const std::string body = work.isStream ? std::string() : expectedBody(false, id, work.size);
    const size_t pieces = work.isStream ? work.size - std::min(after, work.size) : 4;
    Run::End end = work.isStream ? Run::End::Running : wait(work.delayMs, resets, connection);
    bool isOpen = end == Run::End::Running && connection.send(head(fields, work, framing));
    for (size_t n = 0; isOpen && end == Run::End::Running && n < pieces; ++n) {
        if (work.isStream)
            end = wait(work.delayMs, resets, connection);
        const size_t at = n * work.size / pieces;
        const std::string piece
            = work.isStream ? eventText(id, after + n + 1) : body.substr(at, (n + 1) * work.size / pieces - at);
        if (end == Run::End::Running && !piece.empty())
            isOpen = connection.send(framing == Framing::Chunks ? chunk(piece) : piece);
    }
    if (isOpen && end == Run::End::Running && framing == Framing::Chunks)
        isOpen = connection.send("0\r\n\r\n");
    if (end == Run::End::Running)
        end = isOpen ? Run::End::Whole : Run::End::CallerClosed;
    if (end == Run::End::BrokenOff) {
        const linger reset { 1, 0 };
        ::setsockopt(connection.descriptor(), SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    }
    if (end != Run::End::Whole || framing == Framing::Connection)
        connection.close();
    m_runs.update(number, [&](Run& run) {
        run.end = end;
        run.endedAt = now();
    });
}

}

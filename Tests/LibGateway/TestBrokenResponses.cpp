#include "ConnectedFixture.h"

#include <LibGateway/FeedCall.h>
#include <LibGateway/ItemRun.h>
#include <Tests/Support/ScriptedServer.h>
#include <catch2/catch.hpp>

#include <algorithm>
#include <optional>

using namespace Chicorydock;

namespace {

const QByteArray signedFields = "Request-Id: ID\r\nServer-Signature: s\r\n";
const QByteArray streamFields = signedFields + "Content-Type: text/event-stream\r\n";
const QByteArray ok = "HTTP/1.1 200 OK\r\n";
const QByteArray length = "Content-Length: 5\r\n\r\n";

QByteArray event(int id) { return ForwardingFixture::event(id); }

/// Two endpoints. The first requests, whichever endpoint gets them, are answered with broken responses and all others
/// with a sound one; `ID` stands for the identifier of the request.
class EndpointPair final {
public:
    EndpointPair(QByteArray broken, QByteArray sound, int brokenResponses)
        : m_broken(std::move(broken))
        , m_sound(std::move(sound))
        , m_brokenLeft(brokenResponses)
    {
    }

    std::vector<std::string> addresses() const { return { m_first.address(), m_second.address() }; }
    qsizetype arrivals(const QByteArray& text) const { return m_first.arrivals(text) + m_second.arrivals(text); }
    qsizetype requests() const { return arrivals("POST "); }
    int connections() const { return m_first.connections() + m_second.connections(); }

private:
    void respond(QTcpSocket& socket, const QByteArray& request)
    {
        const qsizetype at = request.indexOf("Request-Id: ") + 12;
        const QByteArray id = request.mid(at, request.indexOf('\r', at) - at);
        const bool isBroken = m_brokenLeft > 0;
        socket.write(QByteArray(isBroken ? m_broken : m_sound).replace("ID", id));
        m_brokenLeft -= isBroken ? 1 : 0;
        if (endsWithConnection(isBroken ? m_broken : m_sound))
            socket.disconnectFromHost();
    }

    static bool endsWithConnection(const QByteArray& response)
    {
        return !response.contains("Content-Length: 5") && !response.contains("chunked");
    }

    const QByteArray m_broken;
    const QByteArray m_sound;
    int m_brokenLeft;
    ScriptedServer m_first { [this](QTcpSocket& socket, const QByteArray& it) { respond(socket, it); } };
    ScriptedServer m_second { [this](QTcpSocket& socket, const QByteArray& it) { respond(socket, it); } };
};

QByteArray soundResponse() { return ok + signedFields + length + "sound"; }

/// Responses that are valid but for one thing. The last ones state that the request did not run.
const std::vector<QByteArray> brokenResponses {
    "HTTP/1.1 000 OK\r\n" + signedFields + length + "spoil",
    "HTTP/1.1 999 OK\r\n" + signedFields + length + "spoil",
    "HTTP/2.0 200 OK\r\n" + signedFields + length + "spoil",
    ok + signedFields + "X Name: value\r\n" + length + "spoil",
    ok + signedFields + "X\x01Name: value\r\n" + length + "spoil",
    ok + signedFields + "no field\r\n" + length + "spoil",
    ok + signedFields + "Content Length: 5\r\n\r\nspoiled",
    ok + signedFields + " Content-Length: 5\r\n\r\nspoiled",
    ok + signedFields + "Content-Length : 5\r\n\r\nspoiled",
    ok + signedFields + "Content-Length: five\r\n\r\nspoiled",
    ok + signedFields + "Transfer-Encoding: chunke\r\n\r\n5\r\nspoil\r\n0\r\n\r\n",
    ok + signedFields + "Transfer-Encoding: chunked\r\n\r\n5 x\r\nspoil\r\n0\r\n\r\n",
    ok + signedFields + "Transfer-Encoding: chunked\r\n\r\n5\r\nspoil\r\n0\r\nX Y: z\r\n\r\n",
    ok + signedFields + "Content-Encoding: gzip\r\n" + length + "spoil",
    "HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nX Name: value\r\n" + signedFields + length + "spoil",
    "HTTP/1.1 000 Busy\r\nNot-Executed: 1\r\n" + signedFields + length + "spoil",
    "HTTP/1.1 421 Misdirected\r\nContent Length: 5\r\n" + signedFields + "\r\nspoil",
};

bool hasLoggedRefusal(const MemoryEventLog& log)
{
    return std::ranges::any_of(log.events, [](const Event& it) {
        const QString reason = it.details["reason"].toString();
        return reason.contains("not valid HTTP") || reason.contains("content coding");
    });
}

}

// Guards against broken answers that reach callers (MIXED), and against a caller that is refused although another
// endpoint serves it in time.
TEST_CASE("an idempotent request whose endpoint sends a broken response is served by another one")
{
    const QByteArray response = GENERATE(from_range(brokenResponses));
    CAPTURE(response.toStdString());
    const EndpointPair endpoints(response, soundResponse(), 1);
    ConnectedFixture node(endpoints.addresses());
    CHECK(node.run("/i/1", "q1") == 200);
    CHECK(node.exchange->response->body == "sound");
    CHECK(endpoints.requests() == 2);
    CHECK(endpoints.connections() == 2);
    CHECK(hasLoggedRefusal(node.log));
}

// Guards against a caller that repeats a request which may have run (TWICE), because it is told that it did not, and
// against a connection that is used again although its bytes belong to no request.
TEST_CASE("a request that may not be repeated fails after a broken response, and is not said not to have run")
{
    const QByteArray response = GENERATE(from_range(brokenResponses));
    CAPTURE(response.toStdString());
    constexpr int requests = 4;
    const EndpointPair endpoints(response, soundResponse(), requests);
    ConnectedFixture node(endpoints.addresses());
    for (int n = 0; n < requests; ++n) {
        // An endpoint that has failed rests.
        node.clock.advance(std::chrono::seconds { 30 });
        CHECK(node.run("/u/1", "q" + QByteArray::number(n)) == 502);
        CHECK_FALSE(node.exchange->response->headers.find("Server-Signature"));
        CHECK_FALSE(node.exchange->response->body.contains("spoil"));
    }
    CHECK(endpoints.requests() == requests);
    CHECK(endpoints.connections() == requests);
}

// Guards against streams that look whole after a part of them.
TEST_CASE("a stream with a spoilt chunk or trailer is resumed at another endpoint, or cut off")
{
    const QByteArray size = QByteArray::number(event(1).size(), 16);
    const QByteArray firstEvent = size + "\r\n" + event(1) + "\r\n";
    const QByteArray rest = GENERATE_COPY(as<QByteArray> {}, "0 x\r\n\r\n", "0\r\nX Y: z\r\n\r\n",
        "0\r\nContent-Length: 5\r\n\r\n", size + ",\r\n" + event(2) + "\r\n0\r\n\r\n", "x\r\n", "\r\n");
    const QByteArray broken = ok + streamFields + "Transfer-Encoding: chunked\r\n\r\n" + firstEvent + rest;
    const QByteArray sound = ok + streamFields + "\r\n" + event(2) + event(3);
    CAPTURE(rest.toStdString());
    const EndpointPair endpoints(broken, sound, 1);
    ConnectedFixture node(endpoints.addresses());
    SECTION("resumable")
    {
        CHECK(node.run("/s/1", "q1") == 200);
        CHECK(node.exchange->isFinished);
        CHECK(node.exchange->response->body == event(1) + event(2) + event(3));
        CHECK(endpoints.arrivals("Last-Event-Id: 1") == 1);
    }
    SECTION("not resumable")
    {
        CHECK(node.run("/u/1", "q1") == 200);
        CHECK(node.exchange->isAborted);
        CHECK_FALSE(node.exchange->isFinished);
        CHECK(node.exchange->response->body == event(1));
        CHECK(endpoints.requests() == 1);
    }
}

// Guards against the same through a peer, which may be an earlier build that passes broken responses on.
TEST_CASE("a relayed request whose peer sends a broken response fails, and is not said not to have run")
{
    const QByteArray response = GENERATE(from_range(brokenResponses));
    const int broken = GENERATE(0, 1);
    CAPTURE(response.toStdString(), broken);
    const EndpointPair peers(response, ok + streamFields + "\r\n" + event(1), broken);
    const std::vector<std::string> unreachable { "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3" };
    ConnectedFixture node(unreachable);
    node.relayPeers.peers = { { "n2", peers.addresses().front(), PeerDistance::FailureDomain, 3 } };
    for (const std::string& it : unreachable)
        node.links.recordFailure("e" + it, node.clock.now());
    REQUIRE(node.links.areLost());
    CHECK(node.run("/u/1", "q1") == (broken ? 502 : 200));
    CHECK(peers.requests() == 1);
}

// Guards against a completed result that is not the output of the item.
TEST_CASE("an item whose endpoint sends a broken response is run again")
{
    const QByteArray output = event(1) + event(2);
    const QByteArray chunk = QByteArray::number(output.size(), 16) + "\r\n" + output + "\r\n";
    const QByteArray response = GENERATE_COPY("HTTP/1.1 000 OK\r\n" + streamFields + "\r\n" + output,
        ok + streamFields + "X Name: value\r\n\r\n" + output, ok + streamFields + "Content Length: 3\r\n\r\n" + output,
        ok + streamFields + "Transfer-Encoding: chunke\r\n\r\n" + chunk + "0\r\n\r\n",
        ok + streamFields + "Content-Encoding: gzip\r\n\r\n" + output,
        "HTTP/1.1 422 Bad\r\nX Name: value\r\n" + signedFields + length + "spoil",
        "HTTP/1.1 500 Bad\r\nX Name: value\r\n" + signedFields + length + "spoil");
    CAPTURE(response.toStdString());
    const EndpointPair endpoints(response, ok + streamFields + "\r\n" + event(1) + event(2) + event(3), 2);
    ConnectedFixture node(endpoints.addresses());
    const ItemRun::Job job { "j", "b", "h.example", node.clock.now() + std::chrono::seconds { 18 },
        node.clock.now() + std::chrono::seconds { 60 } };
    std::optional<JobResult> result;
    ItemRun run(node.environment, job, { "q1", "/b/1", {}, "body", 10 }, [&](JobResult it) { result = it; });
    run.start();
    REQUIRE(waitFor([&] {
        // An endpoint that has failed rests.
        node.clock.advance(Milliseconds { 50 });
        return result.has_value();
    }));
    CHECK(result->isCompleted);
    CHECK(result->output == "d1\nd2\nd3");
    CHECK(endpoints.requests() == 3);
}

// Guards against a table that another node did not send.
TEST_CASE("a feed whose source sends a broken response has failed")
{
    const QByteArray page = R"({"ver":7,"rows":[]})";
    const QByteArray sized = "Content-Length: " + QByteArray::number(page.size()) + "\r\n\r\n" + page;
    const auto [response, status] = GENERATE_COPY(table<QByteArray, int>({
        { ok + "View-Age-Ms: 5\r\n" + sized, 200 },
        { "HTTP/1.1 000 OK\r\nView-Age-Ms: 5\r\n" + sized, 0 },
        { ok + "View-Age-Ms: 5\r\nX Name: value\r\n" + sized, 0 },
        { ok + "View-Age-Ms: 5\r\n Content-Length: 2\r\n\r\n" + page, 0 },
        { ok + "View-Age-Ms: 5\r\nTransfer-Encoding: chunke\r\n\r\n" + page, 0 },
        { ok + "View-Age-Ms: 5\r\nContent-Encoding: gzip\r\n" + sized, 0 },
    }));
    CAPTURE(response.toStdString());
    const ScriptedServer source([response = response](QTcpSocket& socket, const QByteArray&) {
        socket.write(response);
        socket.disconnectFromHost();
    });
    PooledHttpClient client;
    std::optional<FeedCall::Result> result;
    const FeedCall call(client, { .node = "n2", .address = source.address() }, { .table = "t" },
        std::chrono::seconds { 10 }, [&](const FeedCall::Result& it) { result = it; });
    REQUIRE(waitFor([&] { return result.has_value(); }));
    CHECK(result->status == status);
}

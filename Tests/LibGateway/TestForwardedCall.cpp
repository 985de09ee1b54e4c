#include <LibGateway/ForwardedCall.h>

#include "ConnectedFixture.h"

#include <LibGateway/ItemRun.h>
#include <Tests/Support/ScriptedServer.h>
#include <Tests/Support/SimulatedEventLoop.h>
#include <Tests/Support/WaitFor.h>
#include <catch2/catch.hpp>

using namespace Chicorydock;
using Phase = HttpFailure::Phase;

namespace {

/// A request that is being forwarded.
struct CallFixture : ForwardingFixture {
    explicit CallFixture(const QByteArray& target, HttpHeaders extra = {}, size_t endpoints = 3,
        Milliseconds gapTarget = Milliseconds { 0 })
        : ForwardingFixture(endpoints, gapTarget)
    {
        forward(makeRequest(target, "q1", std::move(extra)));
        REQUIRE(http.count() == std::min<size_t>(endpoints, 1));
    }

    bool impliesNotExecuted() const { return status() == 503 || status() == 429 || status() == 408 || status() == 421; }
};

QByteArray event(int id) { return ForwardingFixture::event(id); }

const HttpHeaders streamHeaders { { "Content-Type", "text/event-stream" }, { "Server-Signature", "s" } };

}

// Guards against a request that an endpoint cannot identify, or that it processes for longer than the caller waits.
TEST_CASE("a request reaches the endpoint unchanged, with its identifier and the remaining time")
{
    CallFixture fixture("/i/7?x=%20y", { { "Model", "m" }, { "Connection", "close" } });
    const HttpCallRequest& sent = fixture.http.last().request;
    CHECK(sent.method == "POST");
    CHECK(sent.target == "/i/7?x=%20y");
    CHECK(sent.body == "body");
    CHECK(sent.headers.find("Host") == "h.example");
    CHECK(sent.headers.find("Request-Id") == "q1");
    CHECK(sent.headers.find("Model") == "m");
    CHECK_FALSE(sent.headers.find("Connection"));
    CHECK(sent.headers.find("Expect-Instance")->startsWith("e"));
    CHECK(sent.headers.find("Deadline-Ms")->toInt() <= 4000);
    CHECK(sent.echoedField == "Request-Id");
}

// Guards against streams that are cut before their time limit (LOST), by a part of a millisecond or by an early timer.
TEST_CASE("a request is not ended before its time limit")
{
    runOnSimulatedTime([](SimulatedEventLoop& loop) {
        CallFixture fixture("/u/1");
        fixture.http.handOver();
        fixture.http.headers(200, streamHeaders);
        fixture.http.data(event(1));
        const auto advance = [&](Milliseconds clock, Milliseconds timers) {
            fixture.clock.advance(clock);
            loop.advance(timers);
        };
        fixture.clock.advance(std::chrono::microseconds { 300 });
        fixture.call->endBy(fixture.clock.now() - std::chrono::microseconds { 300 } + Milliseconds { 3'000 });
        advance(Milliseconds { 2'999 }, Milliseconds { 2'999 });
        CHECK_FALSE(fixture.exchange->isAborted);
        advance(Milliseconds { 1 }, Milliseconds { 1 });
        CHECK(fixture.exchange->isAborted);
    });
    runOnSimulatedTime([](SimulatedEventLoop& loop) {
        CallFixture fixture("/u/1");
        fixture.http.handOver();
        fixture.http.headers(200, streamHeaders);
        fixture.http.data(event(1));
        fixture.clock.advance(Milliseconds { 3'800 });
        loop.advance(Milliseconds { 4'000 });
        CHECK_FALSE(fixture.exchange->isAborted);
        fixture.clock.advance(Milliseconds { 200 });
        loop.advance(Milliseconds { 200 });
        CHECK(fixture.exchange->isAborted);
    });
}

// Guards against a response that loses its signature, status or body.
TEST_CASE("a complete response is passed on unchanged")
{
    CallFixture fixture("/i/7");
    fixture.http.handOver();
    fixture.http.headers(200, { { "Server-Signature", "s" } });
    fixture.http.data("by");
    CHECK_FALSE(fixture.exchange->response);
    fixture.http.data("tes");
    fixture.http.finish();
    CHECK(fixture.status() == 200);
    CHECK(fixture.exchange->response->body == "bytes");
    CHECK(fixture.exchange->response->headers.find("Server-Signature") == "s");
    CHECK(fixture.doneCalls == 1);
    CHECK(fixture.scheduler.ownUse().empty());
}

// Guards against a status that implies that a request did not run although it may have, so that the caller repeats it.
TEST_CASE("a request that was sent and got no response is never reported as not executed")
{
    const bool isRepeatable = GENERATE(true, false);
    CallFixture fixture(isRepeatable ? "/s/1" : "/u/1");
    fixture.http.handOver();
    fixture.http.fail(Phase::Sent);
    CallFixture::settle();
    if (isRepeatable) {
        REQUIRE(fixture.http.count() == 2);
        CHECK(fixture.http.call(0).request.address != fixture.http.call(1).request.address);
        fixture.http.handOver();
        fixture.http.headers(503, { { "Not-Executed", "1" } });
        fixture.http.finish();
        CallFixture::settle();
    }
    CHECK(fixture.http.count() == (isRepeatable ? 2 : 1));
    CHECK(fixture.status() == 502);
}

// Guards against a rejection by an endpoint that the caller cannot distinguish from a failure.
TEST_CASE("a request that no endpoint ran is reported as not executed, with Retry-After")
{
    CallFixture fixture("/u/1");
    for (size_t n = 0; n < 2; ++n) {
        REQUIRE(fixture.http.count() == n + 1);
        fixture.http.handOver();
        fixture.http.headers(503, { { "Not-Executed", "1" } });
        fixture.http.finish();
        CallFixture::settle();
    }
    CHECK(fixture.impliesNotExecuted());
    CHECK(fixture.exchange->response->headers.find("Retry-After")->toDouble() > 0);
}

// Guards against an endpoint's status from which callers conclude that the request did not run, without a statement of
// the endpoint to that effect.
TEST_CASE("a 503 of an endpoint without Not-Executed becomes 502")
{
    CallFixture fixture("/u/1");
    fixture.http.handOver();
    fixture.http.headers(503, { { "Server-Signature", "s" } });
    fixture.http.finish();
    CHECK(fixture.status() == 502);
    CHECK_FALSE(fixture.exchange->response->headers.find("Server-Signature"));
}

// Guards against a refused connection that uses up the only attempt of a request.
TEST_CASE("a connection that cannot be opened does not count as an attempt")
{
    CallFixture fixture("/u/1");
    fixture.http.fail(Phase::NotSent);
    CallFixture::settle();
    REQUIRE(fixture.http.count() == 2);
    fixture.http.handOver();
    fixture.http.headers(200, streamHeaders);
    fixture.http.data(event(1));
    fixture.http.finish();
    CHECK(fixture.exchange->isFinished);
}

// Guards against missing, duplicated or truncated events when a stream is resumed at another endpoint.
TEST_CASE("a resumable stream is resumed after its last event at another endpoint")
{
    CallFixture fixture("/s/1");
    fixture.http.handOver();
    fixture.http.headers(200, streamHeaders);
    fixture.http.data(event(1) + event(2) + "id: 3\nda");
    fixture.http.fail(Phase::Answering);
    CallFixture::settle();
    REQUIRE(fixture.http.count() == 2);
    CHECK(fixture.http.last().request.headers.find("Last-Event-Id") == "2");
    fixture.http.handOver();
    fixture.http.headers(200, { { "Server-Signature", "other" } });
    fixture.http.data(event(2) + event(3) + event(4));
    fixture.http.finish();
    CHECK(fixture.exchange->response->body == event(1) + event(2) + event(3) + event(4));
    CHECK(fixture.exchange->response->headers.find("Server-Signature") == "s");
    CHECK(fixture.exchange->isFinished);
}

// Guards against a stream that looks complete although an event or its end is missing.
TEST_CASE("a broken stream that cannot be resumed is aborted")
{
    CallFixture fixture("/u/1");
    fixture.http.handOver();
    fixture.http.headers(200, streamHeaders);
    fixture.http.data(event(1));
    SECTION("the connection is lost") { fixture.http.fail(Phase::Answering); }
    SECTION("it ends within an event")
    {
        fixture.http.data("id: 2\nda");
        fixture.http.finish();
    }
    SECTION("an event is missing") { fixture.http.data(event(3)); }
    CHECK(fixture.exchange->isAborted);
    CHECK_FALSE(fixture.exchange->isFinished);
    CHECK(fixture.doneCalls == 1);
    CHECK(fixture.http.count() == 1);
}

// Guards against endpoints that keep working for callers that have disconnected.
TEST_CASE("when the caller disconnects, the endpoint's connection is closed and the slot is released")
{
    CallFixture fixture("/s/1");
    fixture.http.handOver();
    fixture.exchange->disconnect();
    CHECK(fixture.http.call(0).isCancelled);
    CHECK(fixture.scheduler.ownUse().empty());
    CHECK(fixture.doneCalls == 1);
}

// Guards against the reuse of an endpoint whose address now belongs to another one.
TEST_CASE("an endpoint whose address belongs to another one is removed")
{
    CallFixture fixture("/u/1");
    const std::string id = fixture.http.last().request.headers.find("Expect-Instance")->toStdString();
    fixture.http.handOver();
    fixture.http.headers(421, { { "Instance-Id", "x" }, { "Not-Executed", "1" } });
    fixture.http.finish();
    CallFixture::settle();
    CHECK_FALSE(fixture.directory.find(id));
    CHECK(fixture.http.count() == 2);
}

// Guards against an unsigned success response, for example from another server at the endpoint's address.
TEST_CASE("a success without the endpoint's signature is not passed on")
{
    const QByteArray path = GENERATE(as<QByteArray> {}, "/s/1", "/i/1", "/u/1");
    CallFixture fixture(path);
    fixture.http.handOver();
    fixture.http.headers(200, {});
    // The rest of the response is not needed.
    CHECK(fixture.http.last().isCancelled);
    CallFixture::settle();
    if (path == "/u/1") {
        CHECK(fixture.status() == 502);
        return;
    }
    REQUIRE(fixture.http.count() == 2);
    CHECK_FALSE(fixture.exchange->response);
    CHECK(fixture.log.count("moved") == 1);
}

// Guards against a log that does not explain why a request was placed on its endpoint.
TEST_CASE("the log has the state on which a placement was based")
{
    CallFixture fixture("/i/1");
    fixture.http.handOver();
    fixture.http.headers(200);
    fixture.http.finish();
    REQUIRE(fixture.log.count("placed") == 1);
    const QJsonObject details = std::ranges::find(fixture.log.events, "placed", &Event::action)->details;
    CHECK(details["endpoint"].toString().startsWith('e'));
    CHECK(details["service"].toString() == "lm");
    CHECK(details["route"].toString() == "i");
    CHECK(details["address"].toString().startsWith("10.0.0."));
    CHECK_FALSE(details.contains("endpoint_service"));
    CHECK(details["slots"].toInt() == 8);
    CHECK(details["slots_online"].toInt() == 0);
    CHECK(details["slots_batch"].toInt() == 0);
    // Nothing has changed there before.
    CHECK_FALSE(details.contains("slots_age_ms"));
    CHECK(details["configuration"].toInt() == 3);
    CHECK(fixture.log.events.back().details["outcome"].toString() == "answered");
    CHECK(fixture.metrics.text().find("chicorydock_request_seconds_count{route=\"i\",phase=\"total\"} 1")
        != std::string::npos);
}

// Guards against a log that does not explain why a request was refused.
TEST_CASE("the log of a refused request has the expected wait and the Retry-After time")
{
    CallFixture fixture("/i/1", {}, 0);
    CallFixture::settle();
    fixture.clock.advance(Milliseconds { 4'100 });
    fixture.broker.schedulePoll();
    CallFixture::settle();
    REQUIRE(fixture.status() == 503);
    const QJsonObject details = fixture.log.events.back().details;
    CHECK(details.contains("expected_wait_ms"));
    CHECK(details["retry_after_ms"].toInt() > 0);
    CHECK(details["reason"].toString() == "no endpoint is free in time");
}

// Guards against a caller that repeats a request because its status implied that it did not run, while an endpoint is
// processing it.
TEST_CASE("a request that times out at an endpoint is not reported as not executed")
{
    const bool isHandedOver = GENERATE(true, false);
    int status = 0;
    runOnSimulatedTime([&](SimulatedEventLoop& loop) {
        CallFixture fixture("/u/1");
        if (isHandedOver)
            fixture.http.handOver();
        fixture.clock.advance(Milliseconds { 4'100 });
        loop.advance(Milliseconds { 4'100 });
        status = fixture.status();
    });
    CHECK(status == (isHandedOver ? 504 : 503));
}

// Guards against requests to an endpoint after a response in which it announced that it is leaving: on the head of a
// stream, on a failure, and for requests that were queued before. The store may be away, so the registration still
// says that the endpoint is ready.
TEST_CASE("no request is sent to an endpoint after it announced in a response that it is leaving")
{
    const bool isFailure = GENERATE(true, false);
    CallFixture fixture("/s/1", {}, 1);
    fixture.http.handOver();
    if (isFailure) {
        fixture.http.headers(503, { { "Not-Executed", "1" }, { "Server-Leaving", "1" } });
        fixture.http.finish();
    } else {
        fixture.http.headers(
            200, { { "Content-Type", "text/event-stream" }, { "Server-Signature", "s" }, { "Server-Leaving", "1" } });
        fixture.http.data(event(1));
        // The stream breaks off; resuming it would be a new request to the endpoint.
        fixture.http.fail(Phase::Answering);
    }
    for (int n = 0; n < 20; ++n) {
        fixture.clock.advance(Milliseconds { 100 });
        fixture.broker.schedulePoll();
        CallFixture::settle();
    }
    CHECK(fixture.http.count() == 1);
    CHECK(fixture.scheduler.ownUse().empty());
}

// Guards against a request that is granted the same unusable endpoint again and again.
TEST_CASE("a request whose endpoint left between the grant and the start is sent elsewhere")
{
    CallFixture fixture("/s/1", {}, 2);
    const std::string first = fixture.http.last().request.headers.find("Expect-Instance")->toStdString();
    fixture.http.handOver();
    fixture.http.headers(503, { { "Not-Executed", "1" } });
    const std::string second = first == "e0" ? "e1" : "e0";
    fixture.directory.markLeaving(second, fixture.clock.now());
    fixture.http.finish();
    CallFixture::settle();
    CHECK(fixture.http.count() == 1);
}

// Guards against memory that is filled by an endpoint in trouble: a body without a length that never ends, or an event
// that never ends. The caller is told that the request may have run.
TEST_CASE("an answer without end fails the attempt within a bound of memory")
{
    const bool isStream = GENERATE(true, false);
    CallFixture fixture(isStream ? "/u/1" : "/i/7");
    const QByteArray piece(64 * 1024, 'x');
    // The idempotent request is tried again, with the same outcome.
    for (size_t attempt = 1; attempt <= (isStream ? 1 : 2); ++attempt) {
        REQUIRE(fixture.http.count() == attempt);
        fixture.http.handOver();
        fixture.http.headers(200, isStream ? streamHeaders : HttpHeaders { { "Server-Signature", "s" } });
        qsizetype sent = 0;
        while (!fixture.http.last().isCancelled && sent < 2 * maxAnswerBytes) {
            fixture.http.data(piece);
            sent += piece.size();
        }
        CHECK(fixture.http.last().isCancelled);
        CHECK(sent <= maxAnswerBytes + piece.size());
        CallFixture::settle();
    }
    CHECK(fixture.status() == 502);
    CHECK(fixture.scheduler.ownUse().empty());
}

// Guards against sound streams that are cut because their endpoints are slow, and against stalled ones that never end.
TEST_CASE("a stream moves to another endpoint only after a pause well above the route's target")
{
    size_t callsAfterSlowEvents = 0;
    size_t callsAfterPause = 0;
    runOnSimulatedTime([&](SimulatedEventLoop& loop) {
        CallFixture fixture("/s/1", {}, 3, Milliseconds { 600 });
        fixture.http.handOver();
        fixture.http.headers(200, streamHeaders);
        for (int id = 1; id <= 3; ++id) {
            fixture.http.data(event(id));
            loop.advance(Milliseconds { 900 });
            CallFixture::settle();
        }
        callsAfterSlowEvents = fixture.http.count();
        // Bytes that are no event are no progress.
        for (int n = 0; n < 4 && fixture.http.count() == 1; ++n) {
            fixture.http.data(":");
            loop.advance(Milliseconds { 200 });
            CallFixture::settle();
        }
        callsAfterPause = fixture.http.count();
    });
    CHECK(callsAfterSlowEvents == 1);
    CHECK(callsAfterPause == 2);
}

namespace {

/// An endpoint that refuses the first request of its first connection, and runs all others. It writes the refusal once
/// more when the next request arrives on that connection.
class RepeatingEndpoint final {
public:
    const std::string& address() const { return m_address; }
    int runs() const { return m_runs; }

private:
    void respond(QTcpSocket& socket)
    {
        const bool isFirst = !m_refusedConnection;
        if (isFirst)
            m_refusedConnection = &socket;
        if (&socket == m_refusedConnection)
            socket.write("HTTP/1.1 503 Busy\r\nKeep-Alive: timeout=3600\r\nNot-Executed: 1\r\n"
                         "Request-Id: q1\r\nContent-Length: 0\r\n\r\n");
        if (isFirst)
            return;
        ++m_runs;
        socket.write("HTTP/1.1 200 OK\r\nServer-Signature: s\r\nRequest-Id: q1\r\nContent-Length: "
            + QByteArray::number(event(1).size()) + "\r\n\r\n" + event(1));
    }

    const QTcpSocket* m_refusedConnection { nullptr };
    int m_runs { 0 };
    ScriptedServer m_server { [this](QTcpSocket& socket, const QByteArray&) { respond(socket); } };
    const std::string m_address { m_server.address() };
};

}

// Guards against a request that is reported as not run, or is run by a second endpoint, while an endpoint runs it.
TEST_CASE("a late second copy of a refusal is not taken for the answer to the request when it is sent again")
{
    RepeatingEndpoint first;
    RepeatingEndpoint second;
    ConnectedFixture fixture({ first.address(), second.address() });
    CHECK(fixture.run("/u/1", "q1") == 503);
    CHECK(first.runs() + second.runs() == 0);
    CHECK(fixture.run("/u/1", "q1") == 200);
    CHECK(first.runs() + second.runs() == 1);
}

// Guards against an item that is run by a second endpoint, or once more by the same one, while an endpoint runs it.
TEST_CASE("a late second copy of a refusal does not end the run of an item")
{
    RepeatingEndpoint endpoint;
    ConnectedFixture fixture({ endpoint.address() });
    const ItemRun::Job job { "j", "b", "h.example", fixture.clock.now() + std::chrono::seconds { 18 },
        fixture.clock.now() + std::chrono::seconds { 60 } };
    std::optional<JobResult> result;
    ItemRun run(fixture.environment, job, { "q1", "/b/1", {}, "body", 10 }, [&](JobResult it) { result = it; });
    run.start();
    REQUIRE(waitFor([&] { return result.has_value(); }));
    CHECK(result->isCompleted);
    CHECK(endpoint.runs() == 1);
}

// Guards against a request that is reported as not run, or is run by a second endpoint, because a refusal of unknown
// origin is believed.
TEST_CASE("a refusal without an identifier on a connection that has carried another request is not believed")
{
    int runs = 0;
    const ScriptedServer endpoint([&](QTcpSocket& socket, const QByteArray& received) {
        if (++runs == 2)
            socket.write("HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
        const QByteArray id = received.contains("Request-Id: q1") ? "q1" : "q2";
        socket.write("HTTP/1.1 200 OK\r\nKeep-Alive: timeout=3600\r\nServer-Signature: s\r\nRequest-Id: " + id
            + "\r\nContent-Length: " + QByteArray::number(event(1).size()) + "\r\n\r\n" + event(1));
    });
    ConnectedFixture fixture({ endpoint.address() });
    CHECK(fixture.run("/u/1", "q1") == 200);
    CHECK(fixture.run("/u/1", "q2") == 502);
    CHECK(runs == 2);
}

// Guards against a response that a peer does not believe, because it could belong to another request.
TEST_CASE("the responses of a node repeat the identifier of the request")
{
    CallFixture fixture("/u/1");
    fixture.http.handOver();
    SECTION("a refusal")
    {
        fixture.http.headers(503, { { "Server-Signature", "s" } });
        fixture.http.finish();
        CHECK(fixture.status() == 502);
    }
    SECTION("a complete response")
    {
        fixture.http.headers(404, { { "Request-Id", "q1" } });
        fixture.http.finish();
        CHECK(fixture.status() == 404);
    }
    SECTION("a stream")
    {
        fixture.http.headers(200, { { "Server-Signature", "s" }, { "Request-Id", "q1" } });
        fixture.http.data(event(1));
        CHECK(fixture.exchange->isStream);
    }
    CHECK(fixture.exchange->response->headers.find("Request-Id") == "q1");
}

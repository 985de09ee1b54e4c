#include <LibGateway/ForwardedCall.h>
#include <LibGateway/ItemRun.h>

#include "ForwardingFixture.h"

#include <Tests/Support/SimulatedEventLoop.h>
#include <catch2/catch.hpp>

#include <functional>

using namespace Chicorydock;
using Phase = HttpFailure::Phase;

namespace {

QByteArray event(int id) { return ForwardingFixture::event(id); }

/// What the caller has of a stream when its first endpoint breaks off.
enum class Begun {
    Nothing,
    Held,
    Sent,
};

/// A node with six endpoints, of which all streams have to be recorded if they have a version.
struct StreamFixture : ForwardingFixture {
    explicit StreamFixture(const std::string& softwareVersion = "")
        : ForwardingFixture(6)
    {
        for (int n = 0; n < 6; ++n) {
            EndpointRecord record = *directory.find("e" + std::to_string(n));
            record.softwareVersion = softwareVersion;
            directory.put(record);
        }
        broker.setEndpoints(directory.usable());
    }

    void request(const QByteArray& target, HttpHeaders extra = {})
    {
        forward(makeRequest(target, "q1", std::move(extra)));
    }

    void setMaxAttempts(uint32_t attempts)
    {
        GatewayConfiguration configuration = *environment.configuration;
        for (GatewayRoute& it : configuration.routes)
            it.maxAttempts = attempts;
        environment.configuration = std::make_shared<const GatewayConfiguration>(configuration);
    }

    /// The endpoint of the latest call begins to respond.
    void beginResponse(int status, const HttpHeaders& headers)
    {
        http.handOver();
        http.headers(status, headers);
    }

    /// The endpoint of the latest call sends a whole response, unless the call is cancelled.
    void respond(const HttpResponse& response)
    {
        beginResponse(response.status, response.headers);
        if (!response.body.isEmpty() && !http.last().isCancelled)
            http.data(response.body);
        if (!http.last().isCancelled)
            http.finish();
        settle();
    }

    /// From now on, a peer forwards the requests of this node.
    void loseEndpoints()
    {
        relayPeers.peers = { { "peer", peerAddress, PeerDistance::FailureDomain, 3 } };
        for (const char* it : { "e0", "e1", "e2" })
            links.recordFailure(it, clock.now());
    }

    /// The first endpoint begins a stream and breaks off, and the stream is resumed at the next one.
    void breakOff(Begun begun)
    {
        beginStream(begun);
        http.fail(Phase::Answering);
        settle();
    }

    void beginStream(Begun begun)
    {
        request("/s/1");
        beginResponse(200, { { "Content-Type", "text/event-stream" }, { "Server-Signature", "first" } });
        if (begun != Begun::Nothing)
            http.data(event(1) + event(2));
        if (begun == Begun::Sent)
            rows.deliver();
    }

    static constexpr const char* peerAddress = "10.0.0.99:7660";
};

/// What the caller has got.
struct Outcome {
    int status { 0 };
    HttpHeaders headers;
    QByteArray body;
    bool isFinished { false };
    bool isAborted { false };
    size_t calls { 0 };
    /// The event after which the latest call resumes.
    std::optional<QByteArray> lastEventId;

    std::optional<QByteArray> signature() const { return headers.find("Server-Signature"); }
};

/// Runs the function with a node on simulated time, and returns what the caller has got in the end.
Outcome play(const std::string& softwareVersion, const std::function<void(StreamFixture&, SimulatedEventLoop&)>& run)
{
    Outcome outcome;
    runOnSimulatedTime([&](SimulatedEventLoop& loop) {
        StreamFixture fixture(softwareVersion);
        run(fixture, loop);
        const HttpResponse response = fixture.exchange->response.value_or(HttpResponse { 0, {}, {} });
        outcome = { response.status, response.headers, response.body, fixture.exchange->isFinished,
            fixture.exchange->isAborted, fixture.http.count(),
            fixture.http.last().request.headers.find("Last-Event-Id") };
    });
    return outcome;
}

Outcome play(const std::function<void(StreamFixture&, SimulatedEventLoop&)>& run) { return play("", run); }

HttpHeaders streamHeaders(HttpHeaders extra = {})
{
    extra.add("Content-Type", "text/event-stream");
    extra.add("Server-Signature", "second");
    return extra;
}

HttpResponse answer(int status, const QByteArray& contentType, const QByteArray& body)
{
    return { status, { { "Content-Type", contentType }, { "Server-Signature", "second" } }, body };
}

}

// Guards against a status or signature that belongs to another endpoint than the events below it.
TEST_CASE("events that were held back leave with the head of the endpoint that sent them")
{
    const bool hasNextHead = GENERATE(false, true);
    const Outcome outcome = play("v2", [&](StreamFixture& it, SimulatedEventLoop&) {
        it.breakOff(Begun::Held);
        if (hasNextHead)
            it.beginResponse(404, { { "Server-Signature", "second" } });
        it.rows.deliver();
    });
    CHECK(outcome.calls == 2);
    CHECK(outcome.status == 200);
    CHECK(outcome.signature() == "first");
    CHECK(outcome.body == event(1) + event(2));
}

// Guards against an error's text or head in the middle of a stream, under the signature of another endpoint, and
// against one that ends the stream as if it were complete.
TEST_CASE("an answer that cannot continue a stream ends it as broken, or fails if nothing has been sent")
{
    const HttpResponse next = GENERATE(answer(202, "text/event-stream", event(3)), answer(204, "text/plain", {}),
        answer(302, "text/html", "elsewhere"), answer(404, "application/json", "{}\n\n"),
        answer(422, "text/event-stream", event(3)), answer(500, "text/event-stream", event(3)),
        answer(504, "text/plain", "late"), HttpResponse { 200, {}, event(3) },
        HttpResponse { 503, { { "Not-Executed", "1" }, { "Server-Signature", "second" } }, "busy" });
    const Begun begun = GENERATE(Begun::Held, Begun::Sent);
    const Outcome outcome = play("v2", [&](StreamFixture& it, SimulatedEventLoop&) {
        it.breakOff(begun);
        it.respond(next);
        it.rows.deliver();
    });
    INFO("status " << next.status);
    CHECK(outcome.calls == 2);
    CHECK(outcome.status == (begun == Begun::Sent ? 200 : 502));
    CHECK(outcome.isAborted == (begun == Begun::Sent));
    CHECK(outcome.isFinished == (begun == Begun::Held));
    if (begun == Begun::Sent) {
        CHECK(outcome.signature() == "first");
        CHECK(outcome.body == event(1) + event(2));
    } else {
        CHECK_FALSE(outcome.signature());
        CHECK_FALSE(outcome.body.contains("d1"));
    }
}

// Guards against the same when a peer has taken the place of the endpoint.
TEST_CASE("an answer of a peer that cannot continue a stream ends it as broken, or fails if nothing has been sent")
{
    const HttpResponse next = GENERATE(answer(404, "application/json", "{}"), HttpResponse { 502, {}, "failed" },
        HttpResponse { 503, { { "Retry-After", "0.5" } }, "refused" });
    const Begun begun = GENERATE(Begun::Held, Begun::Sent);
    bool isAtPeer = false;
    const Outcome outcome = play("v2", [&](StreamFixture& it, SimulatedEventLoop&) {
        it.beginStream(begun);
        it.loseEndpoints();
        it.http.fail(Phase::Answering);
        StreamFixture::settle();
        isAtPeer = it.http.last().request.address == StreamFixture::peerAddress;
        it.respond(next);
        it.rows.deliver();
    });
    INFO("status " << next.status);
    CHECK(isAtPeer);
    CHECK(outcome.status == (begun == Begun::Sent ? 200 : 502));
    CHECK(outcome.isAborted == (begun == Begun::Sent));
    if (begun == Begun::Sent)
        CHECK(outcome.body == event(1) + event(2));
    else
        CHECK_FALSE(outcome.signature());
}

// Guards against a stream that is given up although another endpoint could have continued it.
TEST_CASE("a stream is resumed at a third endpoint if the second one cannot continue it and the route allows it")
{
    const Begun begun = GENERATE(Begun::Held, Begun::Sent);
    const Outcome outcome = play("v2", [&](StreamFixture& it, SimulatedEventLoop&) {
        it.setMaxAttempts(3);
        it.breakOff(begun);
        it.respond(answer(404, "application/json", "{}"));
        if (it.http.count() == 3)
            it.respond({ 200, streamHeaders(), event(3) });
        it.rows.deliver();
    });
    CHECK(outcome.calls == 3);
    CHECK(outcome.status == 200);
    CHECK(outcome.signature() == "first");
    CHECK(outcome.body == event(1) + event(2) + event(3));
    CHECK(outcome.isFinished);
}

// Guards against an answer that is not the one of the endpoint whose signature it bears.
TEST_CASE("an answer after an attempt without events is passed on whole, with its own head")
{
    const HttpResponse next = GENERATE(answer(202, "text/event-stream", event(3)), answer(204, "text/plain", {}),
        answer(404, "application/json", "{}\n\n"), answer(500, "text/event-stream", event(3)),
        answer(504, "text/plain", "late"));
    const Outcome outcome = play("v2", [&](StreamFixture& it, SimulatedEventLoop&) {
        it.breakOff(Begun::Nothing);
        it.respond(next);
    });
    CHECK(outcome.status == next.status);
    CHECK(outcome.signature() == "second");
    CHECK(outcome.body == next.body);
    CHECK(outcome.isFinished);
}

// Guards against a text in the middle of a stream that is an answer of its own.
TEST_CASE("a success that is no event stream is not taken for events")
{
    const QByteArray page = "<p>\n\n</p>\n\n";
    const Begun begun = GENERATE(Begun::Nothing, Begun::Held, Begun::Sent);
    const Outcome outcome = play("v2", [&](StreamFixture& it, SimulatedEventLoop&) {
        it.breakOff(begun);
        it.respond(answer(200, "text/html; charset=utf-8", page));
        it.rows.deliver();
    });
    if (begun == Begun::Nothing) {
        CHECK(outcome.status == 200);
        CHECK(outcome.signature() == "second");
        CHECK(outcome.body == page);
        return;
    }
    CHECK(outcome.status == (begun == Begun::Sent ? 200 : 502));
    CHECK(outcome.isAborted == (begun == Begun::Sent));
    CHECK_FALSE(outcome.body.contains("<p>"));
}

// Guards against a stream that looks complete because the endpoint that should have continued it crashed.
TEST_CASE("a resumed stream that ends without an event is broken")
{
    const HttpHeaders framing = GENERATE(HttpHeaders {}, HttpHeaders { { "Transfer-Encoding", "chunked" } });
    const Begun begun = GENERATE(Begun::Held, Begun::Sent);
    const Outcome outcome = play("v2", [&](StreamFixture& it, SimulatedEventLoop&) {
        it.breakOff(begun);
        it.respond({ 200, streamHeaders(framing), {} });
        it.rows.deliver();
    });
    CHECK(outcome.calls == 2);
    CHECK(outcome.isAborted == (begun == Begun::Sent));
    CHECK(outcome.isFinished == (begun == Begun::Held));
    CHECK(outcome.status == (begun == Begun::Sent ? 200 : 502));
}

// Guards against a stream that can never be completed because it broke off after its last event.
TEST_CASE("a resumed stream is complete if the next endpoint repeats the last event and ends")
{
    const Begun begun = GENERATE(Begun::Held, Begun::Sent);
    const Outcome outcome = play("v2", [&](StreamFixture& it, SimulatedEventLoop&) {
        it.setMaxAttempts(3);
        it.breakOff(begun);
        it.respond({ 200, streamHeaders(), {} });
        if (it.http.count() == 3)
            it.respond({ 200, streamHeaders(), event(2) });
        it.rows.deliver();
    });
    CHECK(outcome.calls == 3);
    CHECK(outcome.lastEventId == "1");
    CHECK(outcome.isFinished);
    CHECK(outcome.signature() == "first");
    CHECK(outcome.body == event(1) + event(2));
}

// Guards against the same when the caller resumes the stream, maybe after its last event.
TEST_CASE("a stream that its caller resumes is complete only if an endpoint brings an event")
{
    const bool isRepeated = GENERATE(false, true);
    const Outcome outcome = play([&](StreamFixture& it, SimulatedEventLoop&) {
        it.request("/s/1", { { "Last-Event-Id", "7" } });
        it.respond({ 200, streamHeaders(), {} });
        if (it.http.count() == 2)
            it.respond({ 200, streamHeaders(), isRepeated ? event(7) : QByteArray() });
    });
    CHECK(outcome.calls == 2);
    CHECK(outcome.lastEventId == "6");
    CHECK(outcome.status == (isRepeated ? 200 : 502));
    CHECK(outcome.signature().has_value() == isRepeated);
    CHECK(outcome.isFinished);
    if (isRepeated)
        CHECK(outcome.body.isEmpty());
}

// Guards against a stream without an event that looks complete.
TEST_CASE("a comment is no event of a stream")
{
    const QByteArray target = GENERATE(as<QByteArray> {}, "/s/1", "/u/1");
    const Outcome outcome = play([&](StreamFixture& it, SimulatedEventLoop&) {
        it.request(target);
        it.respond({ 200, streamHeaders(), ": wait\n\n" });
        if (it.http.count() == 2)
            it.respond({ 200, streamHeaders(), ": wait\n\n" });
    });
    CHECK(outcome.status == 502);
    CHECK_FALSE(outcome.signature());
}

// Guards against bytes of a sound stream that are lost.
TEST_CASE("comments of a stream reach the caller")
{
    const QByteArray stream = ": a\n\n" + event(1) + "\n: b\r\n\r\n" + event(2) + ":\n\n";
    const std::string softwareVersion = GENERATE("", "v2");
    const Outcome outcome = play(softwareVersion, [&](StreamFixture& it, SimulatedEventLoop&) {
        it.request("/s/1");
        it.respond({ 200, streamHeaders(), stream });
        it.rows.deliver();
    });
    CHECK(outcome.body == stream);
    CHECK(outcome.isFinished);
}

// Guards against stalled streams that never end because something arrives now and then.
TEST_CASE("a stream moves to another endpoint if only comments or repeated events arrive")
{
    const QByteArray piece = GENERATE(as<QByteArray> {}, ":\n\n", ":", "\n", "retry: 5\n\n", event(1));
    const bool hasEvent = GENERATE(true, false);
    const Outcome outcome = play([&](StreamFixture& it, SimulatedEventLoop& loop) {
        it.request("/s/1");
        it.beginResponse(200, streamHeaders());
        if (hasEvent || piece == event(1))
            it.http.data(event(1));
        for (int n = 0; n < 6 && it.http.count() == 1; ++n) {
            loop.advance(Milliseconds { 300 });
            StreamFixture::settle();
            if (it.http.count() == 1)
                it.http.data(piece);
        }
    });
    CHECK(outcome.calls == 2);
    CHECK_FALSE(outcome.isAborted);
}

// Guards against stalled streams that never end because they cannot be moved.
TEST_CASE("a stalled stream that cannot be moved is broken at the deadline")
{
    const QByteArray target = GENERATE(as<QByteArray> {}, "/s/1", "/u/1");
    const Outcome outcome = play([&](StreamFixture& it, SimulatedEventLoop& loop) {
        it.setMaxAttempts(1);
        it.request(target);
        it.beginResponse(200, streamHeaders());
        it.http.data(event(1));
        for (int n = 0; n < 50 && !it.http.last().isCancelled; ++n) {
            it.http.data(":\n\n");
            loop.advance(Milliseconds { 100 });
        }
    });
    CHECK(outcome.isAborted);
    CHECK_FALSE(outcome.isFinished);
}

// Guards against events that are lost because of their number.
TEST_CASE("events without a number reach the caller")
{
    const QByteArray stream
        = GENERATE(as<QByteArray> {}, event(1) + "id: a\ndata: x\n\n" + event(2), "id: a\ndata: x\n\nid:\ndata: y\n\n",
            "data: x\n\ndata: x\n\n", event(1) + "id: -1\ndata: x\n\n", event(1) + "data: [DONE]\n\n");
    const QByteArray target = GENERATE(as<QByteArray> {}, "/s/1", "/u/1");
    const Outcome outcome = play([&](StreamFixture& it, SimulatedEventLoop&) {
        it.request(target);
        it.respond({ 200, streamHeaders(), stream });
    });
    CHECK(outcome.body == stream);
    CHECK(outcome.isFinished);
}

// Guards against a stream without its first event.
TEST_CASE("an event with the number 0 reaches the caller")
{
    const Outcome outcome = play([](StreamFixture& it, SimulatedEventLoop&) {
        it.request("/u/1");
        it.respond({ 200, streamHeaders(), event(0) + event(1) });
    });
    CHECK(outcome.body == event(0) + event(1));
    CHECK(outcome.isFinished);
}

// Guards against pieces that come twice or are missing because the place at which a stream broke off has no number.
TEST_CASE("a stream that breaks off after an event without a number is not resumed")
{
    const QByteArray stream
        = GENERATE(as<QByteArray> {}, "data: x\n\n", event(1) + "data: x\n\n", event(1) + "id: a\n\n");
    const std::string softwareVersion = GENERATE("", "v2");
    const Outcome outcome = play(softwareVersion, [&](StreamFixture& it, SimulatedEventLoop&) {
        it.request("/s/1");
        it.beginResponse(200, streamHeaders());
        it.http.data(stream);
        it.http.fail(Phase::Answering);
        StreamFixture::settle();
        it.rows.deliver();
    });
    CHECK(outcome.calls == 1);
    CHECK(outcome.isAborted == softwareVersion.empty());
    CHECK(outcome.status == (softwareVersion.empty() ? 200 : 502));
}

// Guards against events without a number that come twice when the next endpoint repeats what was received.
TEST_CASE("events that a resumed stream repeats are not sent again, also those without a number")
{
    const QByteArray begin = event(1) + "data: x\n\n" + event(2);
    const Outcome outcome = play([&](StreamFixture& it, SimulatedEventLoop&) {
        it.request("/s/1");
        it.beginResponse(200, streamHeaders());
        it.http.data(begin);
        it.http.fail(Phase::Answering);
        StreamFixture::settle();
        it.respond({ 200, streamHeaders(), begin + "data: y\n\n" + event(3) });
    });
    CHECK(outcome.body == begin + "data: y\n\n" + event(3));
    CHECK(outcome.isFinished);
}

// Guards against pieces of another run in a stream whose endpoint began anew, and against lost pieces.
TEST_CASE("a stream whose events are out of order is resumed elsewhere, or broken")
{
    const QByteArray wrong
        = GENERATE(as<QByteArray> {}, event(1) + event(2) + event(3), "id: 2\ndata: other\n\n" + event(3), event(4));
    const QByteArray target = GENERATE(as<QByteArray> {}, "/s/1", "/u/1");
    const Outcome outcome = play([&](StreamFixture& it, SimulatedEventLoop&) {
        it.request(target);
        it.beginResponse(200, streamHeaders());
        it.http.data(event(1) + event(2));
        it.http.data(wrong);
        StreamFixture::settle();
        if (it.http.count() == 2)
            it.respond({ 200, streamHeaders(), event(3) });
        else if (!it.http.last().isCancelled)
            it.http.finish();
    });
    const bool isResumed = target == "/s/1";
    CHECK(outcome.calls == (isResumed ? 2 : 1));
    CHECK(outcome.body == event(1) + event(2) + (isResumed ? event(3) : QByteArray()));
    CHECK(outcome.isFinished == isResumed);
    CHECK(outcome.isAborted == !isResumed);
}

// Guards against an event that comes twice.
TEST_CASE("an event that an endpoint sends twice is sent once")
{
    const Outcome outcome = play([&](StreamFixture& it, SimulatedEventLoop&) {
        it.request("/u/1");
        it.respond({ 200, streamHeaders(), event(1) + event(2) + event(2) + event(3) });
    });
    CHECK(outcome.body == event(1) + event(2) + event(3));
    CHECK(outcome.isFinished);
}

namespace {

/// A node that runs one item.
struct ItemFixture : StreamFixture {
    const ItemRun::Job job { "j", "b", "h.example", clock.now() + std::chrono::seconds { 18 },
        clock.now() + std::chrono::seconds { 60 } };
    std::optional<JobResult> result;
    ItemRun run { environment, job, { "i", "/b/1", {}, "body", 10 }, [this](JobResult it) { result = it; } };

    ItemFixture()
    {
        run.start();
        settle();
    }

    void continueRun()
    {
        run.suspend();
        run.start();
        settle();
    }

    /// The first endpoint breaks off after two events.
    void breakOff()
    {
        beginResponse(200, streamHeaders());
        http.data(event(1) + event(2));
        http.fail(Phase::Answering);
        continueRun();
    }
};

struct ItemOutcome {
    std::optional<JobResult> result;
    size_t calls { 0 };
    std::optional<QByteArray> lastEventId;

    QByteArray output() const { return result ? result->output : QByteArray("no result"); }
};

/// Runs the function with an item on simulated time, and returns the result of the item in the end.
ItemOutcome playItem(const std::function<void(ItemFixture&)>& run)
{
    ItemOutcome outcome;
    runOnSimulatedTime([&](SimulatedEventLoop&) {
        ItemFixture fixture;
        run(fixture);
        outcome = { fixture.result, fixture.http.count(), fixture.http.last().request.headers.find("Last-Event-Id") };
    });
    return outcome;
}

}

// Guards against an item that is completed without its last pieces because the endpoint that should have continued it
// crashed, and against one that is never completed because it broke off after its last event.
TEST_CASE("a resumed item that ends without an event is completed only after its last event has been repeated")
{
    const QByteArray rest = GENERATE(as<QByteArray> {}, event(2), event(2) + event(3));
    const ItemOutcome outcome = playItem([&](ItemFixture& it) {
        it.breakOff();
        it.respond({ 200, streamHeaders(), {} });
        if (it.result)
            return;
        it.continueRun();
        it.respond({ 200, streamHeaders(), rest });
    });
    CHECK(outcome.calls == 3);
    CHECK(outcome.lastEventId == "1");
    CHECK(outcome.output() == (rest == event(2) ? "d1\nd2" : "d1\nd2\nd3"));
}

// Guards against an item that is completed by an answer that is no part of its output.
TEST_CASE("an answer that cannot continue an item does not complete it")
{
    const HttpResponse next = GENERATE(answer(200, "text/html", "<p>\n\n</p>\n\n"), answer(200, "text/html", event(3)),
        answer(202, "text/event-stream", event(3)), answer(404, "text/plain", "no"));
    const ItemOutcome outcome = playItem([&](ItemFixture& it) {
        it.breakOff();
        it.respond(next);
        if (it.result)
            return;
        it.continueRun();
        it.respond({ 200, streamHeaders(), event(3) });
    });
    CHECK(outcome.calls == 3);
    CHECK(outcome.output() == "d1\nd2\nd3");
}

// Guards against an item without a piece of its output, or with pieces of another run.
TEST_CASE("an item whose events cannot be put in order is not completed by that run")
{
    const QByteArray wrong = GENERATE(as<QByteArray> {}, event(1) + event(2) + event(3), event(4),
        "id: 2\ndata: other\n\n" + event(3), "id: a\ndata: x\n\n" + event(3));
    const ItemOutcome outcome = playItem([&](ItemFixture& it) {
        it.beginResponse(200, streamHeaders());
        it.http.data(event(1) + event(2));
        it.http.data(wrong);
        if (!it.http.last().isCancelled)
            it.http.finish();
        if (it.result)
            return;
        it.continueRun();
        it.respond({ 200, streamHeaders(), event(3) });
    });
    CHECK(outcome.calls == 2);
    CHECK(outcome.lastEventId == "2");
    CHECK(outcome.output() == "d1\nd2\nd3");
}

// Guards against an item without its first piece.
TEST_CASE("an item keeps an event with the number 0")
{
    const ItemOutcome outcome = playItem([](ItemFixture& it) {
        it.respond({ 200, streamHeaders(), event(0) + event(1) });
    });
    CHECK(outcome.output() == "d0\nd1");
}

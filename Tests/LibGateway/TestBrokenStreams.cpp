#include "StreamFixture.h"

#include <catch2/catch.hpp>

using namespace Chicorydock;
using Phase = HttpFailure::Phase;

namespace {

QByteArray event(int id) { return ForwardingFixture::event(id); }

}

// Guards against a response that looks whole to the caller although its endpoint broke off (MIXED, ORDER).
TEST_CASE("a response that its endpoint breaks off at any place does not look whole to the caller")
{
    const QByteArray target = GENERATE(as<QByteArray> {}, "/s/1", "/u/1", "/i/1");
    const QByteArray bytes = GENERATE(as<QByteArray> {}, "", event(1), event(1) + "id: 2", event(1) + event(2));
    const bool hasTimedOut = GENERATE(true, false);
    const Outcome outcome = play([&](StreamFixture& it, SimulatedEventLoop& loop) {
        it.setMaxAttempts(1);
        it.request(target);
        const bool isPlain = target == "/i/1";
        const QByteArray type = isPlain ? "text/plain" : "text/event-stream";
        it.beginResponse(200, { { "Content-Type", type }, { "Server-Signature", "first" } });
        if (!bytes.isEmpty())
            it.http.data(bytes);
        if (hasTimedOut) {
            it.clock.advance(Milliseconds { 6'000 });
            loop.advance(Milliseconds { 6'000 });
        } else {
            it.http.fail(Phase::Answering);
        }
        StreamFixture::settle();
    });
    const bool hasBegun = target != "/i/1" && bytes.startsWith(event(1));
    CHECK(outcome.isAborted == hasBegun);
    CHECK(outcome.isFinished != hasBegun);
    if (!hasBegun) {
        CHECK(outcome.status >= 500);
        CHECK_FALSE(outcome.signature());
        CHECK_FALSE(outcome.body.contains("d1"));
    }
}

// States what is known about a response without a length: an orderly end between two events looks like its end.
TEST_CASE("a stream that ends in order between two events counts as whole, and one that ends within an event does not")
{
    const QByteArray target = GENERATE(as<QByteArray> {}, "/s/1", "/u/1");
    const bool isWithin = GENERATE(true, false);
    const Outcome outcome = play([&](StreamFixture& it, SimulatedEventLoop&) {
        it.setMaxAttempts(1);
        it.request(target);
        it.respond({ 200, streamHeaders(), event(1) + (isWithin ? "id: 2\nda" : "") });
    });
    CHECK(outcome.body == event(1));
    CHECK(outcome.isFinished != isWithin);
    CHECK(outcome.isAborted == isWithin);
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
        // The endpoint is asked to repeat the last event and brings nothing again.
        if (it.http.count() == 3)
            it.respond({ 200, streamHeaders(framing), {} });
        it.rows.deliver();
    });
    CHECK(outcome.calls == 3);
    CHECK(outcome.lastEventId == "1");
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
        // Another endpoint is asked with the second attempt of the route.
        if (it.http.count() == 3)
            it.respond({ 200, streamHeaders(), {} });
    });
    CHECK(outcome.calls == (isRepeated ? 2 : 3));
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
            it.clock.advance(Milliseconds { 100 });
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
        CHECK(it.http.last().request.headers.find("Last-Event-Id") == "1");
        it.beginResponse(200, streamHeaders());
        it.http.data(rest);
        if (rest == event(2))
            it.http.finish();
        else
            it.respond({ 200, streamHeaders(), event(3) });
    });
    CHECK(outcome.lastEventId == (rest == event(2) ? "1" : "2"));
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

#include "StreamFixture.h"

#include <LibHTTP/PooledHttpClient.h>
#include <Tests/Support/ScriptedServer.h>
#include <Tests/Support/WaitFor.h>
#include <catch2/catch.hpp>

using namespace Chicorydock;
using Phase = HttpFailure::Phase;

namespace {

QByteArray event(int id) { return ForwardingFixture::event(id); }

/// The lines of the log that say that a run continued a text that had events.
std::vector<QJsonObject> resumptions(const MemoryEventLog& log)
{
    std::vector<QJsonObject> lines;
    for (const Event& it : log.events) {
        if (it.action == "resumed")
            lines.push_back(it.details);
    }
    return lines;
}

const QByteArray partialEvent = "id: 3\nda";

enum class Ending {
    InOrder,
    Reset,
    /// The request does not reach the endpoint.
    Refused,
};

/// What the endpoint of one run sends, and how its response ends.
struct Response {
    QByteArray bytes;
    Ending ending { Ending::InOrder };
};

/// What was asked of the endpoints, in order, and what became of the text.
struct Text {
    /// `Last-Event-Id` of each run, `-` if it had none.
    std::vector<std::string> asked;
    std::vector<std::string> addresses;
    QByteArray bytes;
    bool isComplete { false };
    bool isAborted { false };
};

void respond(StreamFixture& node, const Response& response)
{
    if (response.ending == Ending::Refused) {
        node.http.fail(Phase::NotSent);
        StreamFixture::settle();
        return;
    }
    node.beginResponse(200, streamHeaders());
    const size_t run = node.http.count();
    if (!response.bytes.isEmpty())
        node.http.data(response.bytes);
    if (node.http.count() == run && !node.http.last().isCancelled) {
        if (response.ending == Ending::InOrder)
            node.http.finish();
        else
            node.http.fail(Phase::Answering);
    }
    StreamFixture::settle();
}

void addRuns(Text& text, StreamFixture& node)
{
    for (size_t n = 0; n < node.http.count(); ++n) {
        const HttpCallRequest& it = node.http.call(n).request;
        text.asked.push_back(it.headers.find("Last-Event-Id").value_or("-").toStdString());
        text.addresses.push_back(it.address);
    }
}

/// Forwards a stream whose runs end as told, one after the other.
Text playStream(uint32_t maxAttempts, const std::vector<Response>& responses, const HttpHeaders& extra = {})
{
    Text text;
    play([&](StreamFixture& node, SimulatedEventLoop&) {
        node.setMaxAttempts(maxAttempts);
        node.request("/s/1", extra);
        for (size_t n = 0; n < responses.size() && node.http.count() == n + 1; ++n)
            respond(node, responses[n]);
        addRuns(text, node);
        const HttpResponse answer = node.exchange->response.value_or(HttpResponse { 0, {}, {} });
        text.bytes = answer.status == 200 ? answer.body : QByteArray();
        text.isComplete = answer.status == 200 && node.exchange->isFinished;
        text.isAborted = node.exchange->isAborted;
    });
    return text;
}

/// Runs an item in the same way.
Text playItemRuns(const std::vector<Response>& responses)
{
    Text text;
    playItem([&](ItemFixture& node) {
        for (size_t n = 0; n < responses.size() && !node.result; ++n) {
            if (node.http.count() == n)
                node.continueRun();
            if (node.http.count() == n + 1)
                respond(node, responses[n]);
        }
        addRuns(text, node);
        text.isComplete = node.result && node.result->isCompleted;
        text.bytes = node.result ? node.result->output : QByteArray();
    });
    return text;
}

using Asked = std::vector<std::string>;

const Response brokenWithin { event(1) + event(2) + partialEvent, Ending::Reset };
const Response empty {};

}

// Guards against a log that does not show which run continued a text, and what that run was asked for (ORDER).
TEST_CASE("the log tells what a run that continues a stream or an item was asked for, once a run")
{
    std::vector<QJsonObject> lines;
    SECTION("stream")
    {
        play([&](StreamFixture& it, SimulatedEventLoop&) {
            it.breakOff(Begun::Sent);
            CHECK(resumptions(it.log).empty());
            it.respond({ 200, streamHeaders(), event(2) + event(3) + event(4) });
            lines = resumptions(it.log);
        });
    }
    SECTION("item")
    {
        playItem([&](ItemFixture& it) {
            it.breakOff();
            CHECK(resumptions(it.log).empty());
            it.respond({ 200, streamHeaders(), event(2) + event(3) + event(4) });
            lines = resumptions(it.log);
        });
    }
    REQUIRE(lines.size() == 1);
    CHECK(lines[0]["asked_after"].toInt() == 2);
    CHECK(lines[0]["first_event"].toInt() == 2);
    CHECK(lines[0]["last_event"].toInt() == 2);
    CHECK_FALSE(lines[0]["endpoint"].toString().isEmpty());
}

// Guards against a text that goes on after event n with a run that was not asked with `Last-Event-Id` n (ORDER).
TEST_CASE("a text goes on only with a run that was asked to continue after its last event")
{
    const std::vector<Response> responses { brokenWithin, empty, { event(2) + event(3) }, { event(3) } };
    const Asked asked { "-", "2", "1", "2" };
    SECTION("stream")
    {
        const uint32_t maxAttempts = GENERATE(2u, 3u, 5u);
        const Text text = playStream(maxAttempts, responses);
        CHECK(text.asked == asked);
        CHECK(text.bytes == event(1) + event(2) + event(3));
        CHECK(text.isComplete);
    }
    SECTION("item")
    {
        const Text text = playItemRuns(responses);
        CHECK(text.asked == asked);
        CHECK(text.bytes == "d1\nd2\nd3");
        CHECK(text.isComplete);
    }
}

// Guards against attempts that are used up, and text that is cut, while an endpoint could still show what it has.
TEST_CASE("an endpoint that is asked again is the same one, and uses one attempt of the route")
{
    const Text text = playStream(2, { brokenWithin, empty, { event(2) + event(3) }, { event(3) } });
    REQUIRE(text.addresses.size() == 4);
    CHECK(text.addresses[0] != text.addresses[1]);
    CHECK(text.addresses[1] == text.addresses[2]);
    CHECK(text.addresses[2] == text.addresses[3]);
}

// Guards against the same fault with a text of one event, where the place before the last event is the beginning.
TEST_CASE("a text of one event goes on only with a run that was asked to continue after it")
{
    const std::vector<Response> responses { { event(1) + partialEvent, Ending::Reset }, empty, { event(1) + event(2) },
        { event(2) } };
    const Asked asked { "-", "1", "-", "1" };
    const Text stream = playStream(2, responses);
    CHECK(stream.asked == asked);
    CHECK(stream.bytes == event(1) + event(2));
    CHECK(stream.isComplete);
    const Text item = playItemRuns(responses);
    CHECK(item.asked == asked);
    CHECK(item.bytes == "d1\nd2");
    CHECK(item.isComplete);
}

// Guards against events that such a run brings at another place, and are missing or come twice in the text.
TEST_CASE("a run that is asked to repeat the last event adds nothing to a stream, wherever it begins")
{
    const QByteArray unnumbered = "data: x\n\n";
    const QByteArray goesOn = GENERATE_COPY(as<QByteArray> {}, event(2) + unnumbered, event(2) + unnumbered + event(3),
        event(1) + event(2) + event(3), unnumbered + event(2) + event(3), event(2) + event(2) + event(3));
    const Text longer = playStream(3, { brokenWithin, empty, { goesOn }, { unnumbered + event(3) } });
    CHECK(longer.asked == Asked { "-", "2", "1", "2" });
    CHECK(longer.bytes == event(1) + event(2) + unnumbered + event(3));
    CHECK(longer.isComplete);
    const Text whole = playStream(3, { brokenWithin, empty, { unnumbered + event(2) } });
    CHECK(whole.bytes == event(1) + event(2));
    CHECK(whole.isComplete);
}

// Guards against a missing event when that run begins too late.
TEST_CASE("a run that begins after the place that it was asked for is a failed attempt")
{
    const std::vector<Response> verification { brokenWithin, empty, { event(3) }, { event(2) } };
    const Text stream = playStream(4, verification);
    CHECK(stream.asked == Asked { "-", "2", "1", "1" });
    CHECK(stream.addresses[3] != stream.addresses[2]);
    CHECK(stream.bytes == event(1) + event(2));
    CHECK(stream.isComplete);
    const Text item = playItemRuns(verification);
    CHECK(item.asked == Asked { "-", "2", "1", "1" });
    CHECK(item.bytes == "d1\nd2");
    const std::vector<Response> resumption { brokenWithin, { event(4) + event(5) }, { event(3) } };
    CHECK(playStream(3, resumption).asked == Asked { "-", "2", "2" });
    CHECK(playStream(3, resumption).bytes == event(1) + event(2) + event(3));
    CHECK(playItemRuns(resumption).asked == Asked { "-", "2", "2" });
    CHECK(playItemRuns(resumption).bytes == "d1\nd2\nd3");
}

// Guards against pieces that come twice from an endpoint that begins before the place that it was asked for.
TEST_CASE("a run that was asked to continue after the last event may repeat earlier ones before it does")
{
    const QByteArray early = GENERATE(as<QByteArray> {}, event(1) + event(2) + event(3), event(2) + event(3));
    CHECK(playStream(2, { brokenWithin, { early } }).bytes == event(1) + event(2) + event(3));
    CHECK(playItemRuns({ brokenWithin, { early } }).bytes == "d1\nd2\nd3");
}

// Guards against an endless alternation of a run that brings nothing and one that shows that there is more.
TEST_CASE("an endpoint that contradicts itself is given up after three requests in a slot")
{
    const Response goesOn { event(2) + event(3) };
    const Text stream = playStream(2, { brokenWithin, empty, goesOn, empty, empty });
    CHECK(stream.asked == Asked { "-", "2", "1", "2" });
    CHECK(stream.bytes == event(1) + event(2));
    CHECK(stream.isAborted);
    // The fifth run is at another endpoint, which has not brought anything either, so the end is verified once more.
    const std::vector<Response> responses { brokenWithin, empty, goesOn, empty, empty, { event(2) } };
    const Text item = playItemRuns(responses);
    CHECK(item.asked == Asked { "-", "2", "1", "2", "2", "1" });
    CHECK(item.bytes == "d1\nd2");
    CHECK(item.isComplete);
    CHECK(playStream(3, responses).asked == item.asked);
    CHECK(playStream(3, responses).isComplete);
}

// Guards against a request that runs at more endpoints than the route allows (BUDGET).
TEST_CASE("an endpoint that cannot be asked again uses up the attempt that it was")
{
    const Response failure = GENERATE(Response { {}, Ending::Refused }, Response { {}, Ending::Reset }, Response {});
    const Text stream = playStream(2, { brokenWithin, empty, failure, { event(2) } });
    CHECK(stream.asked == Asked { "-", "2", "1" });
    CHECK(stream.isAborted);
    const Text longer = playStream(3, { brokenWithin, empty, failure, { event(2) } });
    CHECK(longer.asked == Asked { "-", "2", "1", "1" });
    CHECK(longer.addresses[3] != longer.addresses[2]);
    CHECK(longer.isComplete);
}

// Guards against an answer that ends before its time limit only because its endpoint is silent (LOST).
TEST_CASE("a stream whose attempts are used up is not broken off because the endpoint that is asked again is silent")
{
    const Outcome outcome = play([&](StreamFixture& node, SimulatedEventLoop& loop) {
        node.request("/s/1");
        respond(node, brokenWithin);
        respond(node, empty);
        node.beginResponse(200, streamHeaders());
        node.clock.advance(Milliseconds { 2'000 });
        loop.advance(Milliseconds { 2'000 });
        CHECK_FALSE(node.exchange->isAborted);
        CHECK_FALSE(node.http.last().isCancelled);
        node.clock.advance(Milliseconds { 2'000 });
        loop.advance(Milliseconds { 2'000 });
        StreamFixture::settle();
    });
    CHECK(outcome.calls == 3);
    CHECK(outcome.isAborted);
    CHECK(outcome.body == event(1) + event(2));
}

// Guards against requests to an endpoint that has said that it leaves (DRAIN), or how many it takes.
TEST_CASE("an endpoint that leaves or limits its rate is not asked again in the same slot")
{
    const bool isLeaving = GENERATE(true, false);
    play([&](StreamFixture& node, SimulatedEventLoop&) {
        node.setMaxAttempts(3);
        node.request("/s/1");
        respond(node, brokenWithin);
        const std::string address = node.http.last().request.address;
        node.beginResponse(200, streamHeaders(isLeaving ? HttpHeaders() : HttpHeaders { { "Server-Limit", "100" } }));
        if (isLeaving) {
            for (const EndpointRecord& it : node.directory.usable()) {
                if (it.address == address)
                    node.directory.markLeaving(it.id, node.clock.now());
            }
        }
        node.http.finish();
        StreamFixture::settle();
        REQUIRE(node.http.count() == 3);
        CHECK(node.http.last().request.headers.find("Last-Event-Id") == "1");
        CHECK(node.http.last().request.address != address);
    });
}

// Guards against a second run at a peer, which makes attempts of its own, that continues at the wrong place.
TEST_CASE("a stream that a peer forwards goes on only with a run that was asked to")
{
    Text text;
    play([&](StreamFixture& node, SimulatedEventLoop&) {
        node.setMaxAttempts(4);
        node.request("/s/1");
        node.loseEndpoints();
        for (const Response& it : { brokenWithin, empty, Response { event(2) + event(3) }, Response { event(3) } })
            respond(node, it);
        addRuns(text, node);
        CHECK(node.http.last().request.address == StreamFixture::peerAddress);
        CHECK(node.exchange->response->body == event(1) + event(2) + event(3));
        CHECK(node.exchange->isFinished);
    });
    CHECK(text.asked == Asked { "-", "2", "1", "2" });
}

// Guards against the same for a caller that resumes its stream itself.
TEST_CASE("a stream that its caller resumes goes on only with a run that was asked to")
{
    const HttpHeaders resumption { { "Last-Event-Id", "7" } };
    const Text longer = playStream(2, { empty, { event(7) + event(8) }, { event(8) } }, resumption);
    CHECK(longer.asked == Asked { "7", "6", "7" });
    CHECK(longer.bytes == event(8));
    CHECK(longer.isComplete);
    const Text whole = playStream(2, { empty, { event(7) } }, resumption);
    CHECK(whole.asked == Asked { "7", "6" });
    CHECK(whole.bytes.isEmpty());
    CHECK(whole.isComplete);
}

// Guards against an item that another node continues at a place that its checkpoint does not have.
TEST_CASE("the checkpoint of an item names its last event, also while the end of its output is verified")
{
    playItem([&](ItemFixture& node) {
        respond(node, brokenWithin);
        node.continueRun();
        respond(node, empty);
        const auto progress = node.run.collectProgress();
        REQUIRE(progress);
        CHECK(progress->lastEventId == 2);
        CHECK(progress->output == "d1\nd2");
        std::optional<JobResult> result;
        ItemRun next(node.environment, node.job, node.run.item(), [&](const JobResult& it) { result = it; });
        next.resume(*progress);
        node.run.stop();
        next.start();
        StreamFixture::settle();
        CHECK(node.http.last().request.headers.find("Last-Event-Id") == "2");
        respond(node, { event(3) });
        REQUIRE(result);
        CHECK(result->output == "d1\nd2\nd3");
    });
}

// Guards against a client that does not survive a call that starts while another one is closed or ends.
TEST_CASE("an endpoint is asked again over real connections, each run on its own")
{
    const QByteArray head
        = GENERATE(as<QByteArray> {}, "HTTP/1.1 200 OK\r\nRequest-Id: q1\r\nServer-Signature: s\r\n\r\n",
            "HTTP/1.1 200 OK\r\nRequest-Id: q1\r\nServer-Signature: s\r\nConnection: keep-alive\r\n\r\n");
    std::vector<QByteArray> bodies { "", event(7) + event(8), event(8) };
    std::vector<std::string> asked;
    ScriptedServer server([&](QTcpSocket& socket, const QByteArray& received) {
        const qsizetype at = received.indexOf("Last-Event-Id: ");
        asked.push_back(received.mid(at + 15, 1).toStdString());
        if (asked.size() > bodies.size())
            return;
        socket.write(head + bodies[asked.size() - 1]);
        socket.disconnectFromHost();
    });
    PooledHttpClient client;
    ForwardingFixture node(1, Milliseconds { 0 }, &client);
    EndpointRecord record = *node.directory.find("e0");
    record.address = server.address();
    node.directory.put(record);
    node.broker.setEndpoints(node.directory.usable());
    node.forward(ForwardingFixture::makeRequest("/s/1", "q1", { { "Last-Event-Id", "7" } }));
    REQUIRE(waitFor([&] { return node.exchange->isFinished || node.exchange->isAborted; }));
    CHECK(node.exchange->isFinished);
    CHECK(node.exchange->response->body == event(8));
    CHECK(asked == Asked { "7", "6", "7" });
    CHECK(server.connections() == 3);
}

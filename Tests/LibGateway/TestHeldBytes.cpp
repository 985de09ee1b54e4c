#include "ForwardingFixture.h"

#include <LibGateway/ItemRun.h>
#include <LibGateway/MemoryShares.h>
#include <LibGateway/StreamFlow.h>
#include <Tests/Support/SimulatedEventLoop.h>
#include <catch2/catch.hpp>

#include <optional>

using namespace Chicorydock;

namespace {

constexpr size_t limit = 1'000'000;

const HttpHeaders streamHeaders { { "Content-Type", "text/event-stream" }, { "Server-Signature", "s" } };

/// A node with little memory for responses that forwards several requests at once.
struct CallsFixture : ForwardingFixture {
    struct Forwarded {
        std::shared_ptr<FakeExchange> exchange;
        std::unique_ptr<ForwardedCall> call;
        /// Number of the call to an endpoint.
        size_t attempt { 0 };

        int status() const { return exchange->response ? exchange->response->status : 0; }
    };

    CallsFixture()
        : ForwardingFixture(8, Milliseconds { 0 }, nullptr, limit)
    {
    }

    /// Forwards a request to an endpoint that sends a head and the first bytes of a body.
    void add(const QByteArray& target, const HttpHeaders& head, const QByteArray& body)
    {
        forward(makeRequest(target, "q" + QByteArray::number(static_cast<int>(calls.size()))));
        calls.push_back({ exchange, std::move(call), http.count() - 1 });
        http.handOver();
        http.headers(200, head);
        http.data(body);
    }

    /// Sends more bytes of the body of the first attempt of a request.
    void send(size_t n, const QByteArray& bytes) { http.call(calls.at(n).attempt).observer->onData(bytes); }

    std::vector<Forwarded> calls;
};

}

// Guards against responses that are bounded each and exhaust the memory together, and with it sound requests.
TEST_CASE("the responses of all requests stay within the memory for them, and the largest one gives way")
{
    const bool isRepeatable = GENERATE(true, false);
    const QByteArray target = isRepeatable ? "/i/1" : "/u/1";
    CallsFixture fixture;
    const HttpHeaders head { { "Content-Type", "application/octet-stream" }, { "Server-Signature", "s" } };
    fixture.add(target, head, QByteArray(300'000, 'x'));
    fixture.add(target, head, QByteArray(500'000, 'x'));
    fixture.add(target, head, QByteArray(100'000, 'x'));
    fixture.send(2, QByteArray(150'000, 'x'));
    const size_t moved = fixture.calls[1].attempt;
    CHECK(fixture.http.call(moved).isCancelled);
    CallsFixture::settle();
    CHECK(fixture.http.count() == (isRepeatable ? 4 : 3));
    CHECK(fixture.calls[1].status() == (isRepeatable ? 0 : 502));
    // The next largest is the one that grows.
    fixture.send(0, QByteArray(600'000, 'x'));
    CHECK(fixture.http.call(fixture.calls[0].attempt).isCancelled);
    CHECK(fixture.responseMemory.peakBytes() <= limit);
    fixture.http.call(fixture.calls[2].attempt).observer->onFinished();
    CHECK(fixture.calls[2].status() == 200);
    CHECK(fixture.calls[2].exchange->response->body.size() == 250'000);
    fixture.calls.clear();
    CHECK(fixture.responseMemory.bytes() == 0);
}

// Guards against a second answer to a request (MIXED), because the call that writes the first one is told to give way.
TEST_CASE("a call that writes its answer is not told to give way to the connection of its caller")
{
    const bool hasTimedOut = GENERATE(true, false);
    runOnSimulatedTime([&](SimulatedEventLoop& loop) {
        CallsFixture fixture;
        fixture.add(
            "/u/1", { { "Content-Type", "text/plain" }, { "Server-Signature", "s" } }, QByteArray(900'000, 'x'));
        CallsFixture::Forwarded& call = fixture.calls[0];
        MemoryBudget::Account unsent(&fixture.responseMemory);
        int writes = 0;
        call.exchange->onWrite = [&] {
            ++writes;
            (void)unsent.resize(200'000);
        };
        if (hasTimedOut) {
            fixture.clock.advance(Milliseconds { 4'000 });
            loop.advance(Milliseconds { 4'000 });
            CHECK(call.status() == 504);
        } else {
            fixture.http.call(call.attempt).observer->onFinished();
            CHECK(call.status() == 200);
        }
        CHECK(writes == 1);
        CHECK_FALSE(call.exchange->isAborted);
    });
}

// Guards against memory that a queued request holds for a response that says that it has not run.
TEST_CASE("the body of a response that says that the request has not run is dropped")
{
    runOnSimulatedTime([&](SimulatedEventLoop&) {
        CallsFixture fixture;
        fixture.forward(CallsFixture::makeRequest("/i/1", "q1"));
        fixture.http.handOver();
        fixture.http.headers(503, { { "Not-Executed", "1" } });
        fixture.http.data(QByteArray(500'000, 'x'));
        CHECK(fixture.responseMemory.bytes() >= 500'000);
        fixture.http.finish();
        CHECK(fixture.responseMemory.bytes() == 0);
    });
}

// Guards against events without end that exhaust the memory together, and against a stream that looks whole then.
TEST_CASE("the events that have not ended stay within the memory for responses")
{
    const bool isResumable = GENERATE(true, false);
    CallsFixture fixture;
    const QByteArray target = isResumable ? "/s/1" : "/u/1";
    for (int n = 0; n < 2; ++n)
        fixture.add(target, streamHeaders, CallsFixture::event(1) + "id: 2\ndata: " + QByteArray(400'000, 'x'));
    fixture.send(1, QByteArray(300'000, 'x'));
    CHECK(fixture.http.call(fixture.calls[1].attempt).isCancelled);
    CallsFixture::settle();
    CHECK(fixture.calls[1].exchange->isAborted == !isResumable);
    CHECK_FALSE(fixture.calls[1].exchange->isFinished);
    if (isResumable)
        CHECK(fixture.http.last().request.headers.find("Last-Event-Id") == "1");
    fixture.send(0, "\n\n");
    fixture.http.call(fixture.calls[0].attempt).observer->onFinished();
    CHECK(fixture.calls[0].exchange->isFinished);
    CHECK(fixture.responseMemory.peakBytes() <= limit);
}

// Guards against the output of an item that grows with each of its runs, at endpoints that send events without end.
TEST_CASE("the output of an item is bounded over all its runs")
{
    runOnSimulatedTime([&](SimulatedEventLoop& loop) {
        GatewayFixture fixture(8);
        const ItemRun::Job job { "j", "b", "h.example", fixture.clock.now() + std::chrono::seconds { 18 },
            fixture.clock.now() + std::chrono::seconds { 60 } };
        std::optional<JobResult> result;
        ItemRun run(fixture.environment, job, { "q1", "/b/1", {}, "body", 10 }, [&](JobResult it) { result = it; });
        run.start();
        int id = 0;
        for (size_t calls = 1; calls <= 12; ++calls) {
            GatewayFixture::settle();
            REQUIRE(fixture.http.count() == calls);
            const QByteArray from = fixture.http.last().request.headers.find("Last-Event-Id").value_or("0");
            CHECK((from.toInt() == id || from == "0"));
            id = from.toInt();
            fixture.http.handOver();
            fixture.http.headers(200, streamHeaders);
            for (int n = 0; n < 6 && !fixture.http.last().isCancelled; ++n)
                fixture.http.data("id: " + QByteArray::number(++id) + "\ndata: " + QByteArray(20'000, 'x') + "\n\n");
            if (!fixture.http.last().isCancelled)
                fixture.http.fail(HttpFailure::Phase::Answering);
            fixture.clock.advance(Milliseconds { 5'000 });
            loop.advance(Milliseconds { 5'000 });
            fixture.broker.schedulePoll();
        }
        CHECK_FALSE(result);
        CHECK(fixture.responseMemory.peakBytes() <= size_t { 1024 } * 1024);
    });
}

// Guards against items that keep the memory from requests of callers, and against output that is joined of two runs.
TEST_CASE("an item whose output does not fit starts anew")
{
    CallsFixture fixture;
    const ItemRun::Job job { "j", "b", "h.example", fixture.clock.now() + std::chrono::seconds { 18 },
        fixture.clock.now() + std::chrono::seconds { 60 } };
    std::optional<JobResult> result;
    ItemRun run(fixture.environment, job, { "q1", "/b/1", {}, "body", 10 }, [&](JobResult it) { result = it; });
    run.start();
    CallsFixture::settle();
    fixture.http.handOver();
    fixture.http.headers(200, streamHeaders);
    fixture.http.data(CallsFixture::event(1) + "id: 2\ndata: " + QByteArray(600'000, 'x'));
    const size_t itemCall = fixture.http.count() - 1;
    fixture.add("/i/1", { { "Server-Signature", "s" } }, QByteArray(450'000, 'x'));
    CHECK(fixture.http.call(itemCall).isCancelled);
    CHECK_FALSE(fixture.http.call(itemCall + 1).isCancelled);
    CHECK_FALSE(run.collectProgress());
    CHECK_FALSE(result);
    CHECK(fixture.responseMemory.peakBytes() <= limit);
}

// Guards against a node that reads what an endpoint sends without end, while the caller does not take it.
TEST_CASE("the node stops reading from an endpoint while the caller does not take its stream")
{
    const QByteArray target = GENERATE("/s/1", "/u/1");
    runOnSimulatedTime([&](SimulatedEventLoop& loop) {
        ForwardingFixture fixture;
        fixture.forward(ForwardingFixture::makeRequest(target, "q1"));
        fixture.http.handOver();
        fixture.http.headers(200, streamHeaders);
        fixture.http.data(ForwardingFixture::event(1));
        CHECK_FALSE(fixture.http.last().isPaused);
        fixture.exchange->waitingBytes = StreamFlow::pauseBytes + 1;
        fixture.http.data(ForwardingFixture::event(2));
        CHECK(fixture.http.last().isPaused);
        // The endpoint is not silent: it is not read.
        fixture.clock.advance(Milliseconds { 2'500 });
        loop.advance(Milliseconds { 2'500 });
        ForwardingFixture::settle();
        CHECK(fixture.http.count() == 1);
        CHECK_FALSE(fixture.http.last().isCancelled);
        fixture.exchange->waitingBytes = StreamFlow::resumeBytes + 1;
        fixture.exchange->reportBytesWritten();
        CHECK(fixture.http.last().isPaused);
        fixture.exchange->waitingBytes = StreamFlow::resumeBytes;
        fixture.exchange->reportBytesWritten();
        CHECK_FALSE(fixture.http.last().isPaused);
        fixture.http.data(ForwardingFixture::event(3));
        fixture.http.finish();
        CHECK(fixture.exchange->isFinished);
        CHECK(fixture.exchange->chunks.size() == 3);
    });
}

// Guards against a slot that a caller who does not read keeps from others beyond its deadline.
TEST_CASE("the deadline ends a stream that its caller does not take")
{
    runOnSimulatedTime([&](SimulatedEventLoop& loop) {
        ForwardingFixture fixture;
        fixture.forward(ForwardingFixture::makeRequest("/u/1", "q1"));
        fixture.http.handOver();
        fixture.http.headers(200, streamHeaders);
        fixture.exchange->waitingBytes = StreamFlow::pauseBytes + 1;
        fixture.http.data(ForwardingFixture::event(1));
        REQUIRE(fixture.http.last().isPaused);
        fixture.clock.advance(Milliseconds { 4'100 });
        loop.advance(Milliseconds { 4'100 });
        CHECK(fixture.exchange->isAborted);
        CHECK(fixture.http.last().isCancelled);
        CHECK(fixture.scheduler.ownUse().empty());
    });
}

// Guards against shares that are more than the machine has.
TEST_CASE("requests and responses have a sixth of the memory of the machine each")
{
    constexpr size_t megabyte = 1024 * 1024;
    CHECK(MemoryShares::of(150) == MemoryShares { 25 * megabyte, 25 * megabyte });
    CHECK(MemoryShares::of(96) == MemoryShares { 16 * megabyte, 16 * megabyte });
}

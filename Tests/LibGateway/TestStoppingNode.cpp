#include <LibGateway/GatewayHandler.h>

#include "FakeJobPeers.h"
#include "GatewayFixture.h"

#include <Tests/Support/FakeExchange.h>
#include <Tests/Support/SimulatedEventLoop.h>
#include <catch2/catch.hpp>

using namespace Chicorydock;

namespace {

constexpr Milliseconds processTime { 7'600 };

const QByteArray job = R"({"items":[{"id":"i1","path":"/b/x","headers":{},"body":"eA==","token_count":5}]})";

/// A node that is told to stop while callers send requests.
struct StoppingNode : GatewayFixture {
    FakeJobPeers peers;
    JobController jobs { environment, rows, peers, "n1" };
    GatewayHandler handler { environment, jobs };
    /// Whether the store answers.
    bool isStoreAnswering { true };

    StoppingNode()
    {
        // A start at time 0 would be no time at all.
        clock.advance(Milliseconds { 1'000 });
    }

    std::shared_ptr<FakeExchange> send(
        const QByteArray& method, const QByteArray& target, HttpHeaders headers, const QByteArray& body = {})
    {
        const qsizetype mark = target.indexOf('?');
        HttpRequest request { method, mark < 0 ? target : target.first(mark),
            mark < 0 ? QByteArray() : target.mid(mark + 1), std::move(headers), body, target };
        request.headers.add("Host", "h.example");
        request.headers.add("Request-Id", "q" + QByteArray::number(++m_requests));
        auto exchange = std::make_shared<FakeExchange>(request);
        handler.handle(exchange);
        deliver();
        settle();
        return exchange;
    }

    std::shared_ptr<FakeExchange> send(const QByteArray& target, Milliseconds deadline)
    {
        return send("POST", target, { { "Deadline-Ms", QByteArray::number(deadline.count()) } });
    }

    void stop(Milliseconds time) { handler.beginStop(StopSchedule(clock.now() + time)); }

    /// Lets time pass for the node and its timers.
    void advance(SimulatedEventLoop& loop, Milliseconds time)
    {
        for (Milliseconds left = time; left.count() > 0; left -= Milliseconds { 50 }) {
            clock.advance(Milliseconds { 50 });
            loop.advance(Milliseconds { 50 });
            deliver();
            settle();
        }
    }

    void deliver()
    {
        if (isStoreAnswering)
            rows.deliver();
    }

private:
    int m_requests { 0 };
};

int statusOf(const std::shared_ptr<FakeExchange>& exchange)
{
    return exchange->response ? exchange->response->status : 0;
}

/// Returns the details of the line that says how a request ended.
QJsonObject endOf(const StoppingNode& node, const std::string& id)
{
    for (const Event& it : node.log.events) {
        if (it.action == "finished" && it.id == id)
            return it.details;
    }
    return {};
}

bool isRefusedAsNotRun(const std::shared_ptr<FakeExchange>& exchange)
{
    return statusOf(exchange) == 503 && exchange->response->headers.find("Retry-After").has_value();
}

}

// Load: callers that send their next request on a kept connection at any moment of a planned stop. Guards against
// requests that are passed on although the process ends before they have to, and are cut off (LOST).
TEST_CASE("a stopping node takes only requests that end before the process does")
{
    const auto [target, deadline] = GENERATE(std::pair("/u/1", Milliseconds { 5'000 }),
        std::pair("/s/1", Milliseconds { 60'000 }), std::pair("/i/1", Milliseconds { 1'200 }));
    // The limit of the operator is 5 s.
    const Milliseconds limit = std::min(deadline, Milliseconds { 5'000 });
    StoppingNode node;
    node.stop(processTime);
    for (Milliseconds elapsed { 0 }; elapsed < processTime; elapsed += Milliseconds { 250 }) {
        CAPTURE(target, elapsed.count());
        const size_t sent = node.http.count();
        const auto exchange = node.send(target, deadline);
        if (elapsed + limit < processTime) {
            REQUIRE(node.http.count() == sent + 1);
            node.http.handOver();
            node.http.headers(200);
            node.http.data("id: 1\ndata: d\n\n");
            node.http.finish();
            CHECK(statusOf(exchange) == 200);
        } else {
            CHECK(node.http.count() == sent);
            CHECK(isRefusedAsNotRun(exchange));
        }
        node.clock.advance(Milliseconds { 250 });
    }
}

// Guards against callers whose connection is closed without an answer when the process ends (LOST).
TEST_CASE("all requests in progress are answered before the process ends")
{
    runOnSimulatedTime([](SimulatedEventLoop& loop) {
        StoppingNode node;
        const auto stream = node.send("/u/1", Milliseconds { 5'000 });
        node.http.handOver();
        node.http.headers(200);
        node.http.data("id: 1\ndata: d\n\n");
        const auto silent = node.send("/i/1", Milliseconds { 4'900 });
        node.http.handOver();
        std::vector<std::shared_ptr<FakeExchange>> others;
        for (int n = 0; n < 40; ++n)
            others.push_back(node.send("/u/1", Milliseconds { 5'000 }));
        node.stop(Milliseconds { 2'000 });
        node.advance(loop, Milliseconds { 1'900 });
        CHECK(stream->isAborted);
        CHECK(statusOf(silent) == 504);
        for (const auto& it : others) {
            // Those that were handed to no endpoint have not run.
            CHECK(it->isFinished);
            CHECK(isRefusedAsNotRun(it));
        }
        // Some had a slot.
        CHECK(node.http.count() > 2);
        CHECK(node.handler.callsInProgress() == 0);
    });
}

// Guards against reads of results that are cut off, and against calls about jobs that cannot end in time.
TEST_CASE("calls about jobs end before the process does or are refused")
{
    runOnSimulatedTime([](SimulatedEventLoop& loop) {
        StoppingNode node;
        REQUIRE_FALSE([&] {
            std::optional<std::optional<Error>> result;
            node.jobs.submit({ "j", { { "j-0", "/b/x", {}, "body", 10 } } },
                *node.environment.configuration->findJobRoute("b", "h.example"), "h.example",
                [&](const std::optional<Error>& error) { result = error; });
            node.rows.deliver();
            return result.value();
        }());
        const auto poll = node.send("GET", "/api/lots/j?after=0", { { "Wait-Ms", "2000" } });
        CHECK_FALSE(poll->response);
        node.stop(Milliseconds { 1'000 });
        node.advance(loop, Milliseconds { 900 });
        CHECK(statusOf(poll) == 200);
        for (const char* it : { "GET /api/lots/j?after=0", "GET /api/items/j?id=j-0", "DELETE /api/lots/j" }) {
            const QList<QByteArray> words = QByteArray(it).split(' ');
            CHECK(isRefusedAsNotRun(node.send(words[0], words[1], {})));
        }
        const auto job = node.send("POST", "/b/q1", {});
        CHECK(statusOf(job) == 400);
    });
}

// Guards against a log that names the caller's close as the reason for what a stop of the node did.
TEST_CASE("the log says what each request that a stop ends or cuts off was waiting for")
{
    runOnSimulatedTime([](SimulatedEventLoop& loop) {
        StoppingNode node;
        node.send("/u/1", Milliseconds { 5'000 });
        node.http.handOver();
        node.http.headers(200);
        node.http.data("id: 1\ndata: d\n\n");
        node.send("/i/2", Milliseconds { 4'900 });
        node.http.handOver();
        node.send("/i/3", Milliseconds { 4'900 });
        node.send("GET", "/api/lots/j?after=0", { { "Wait-Ms", "2000" } });
        const GatewayHandler::OpenRequests open = node.handler.openRequests();
        CHECK(open.calls == 3);
        CHECK(open.longPolls + open.jobCalls == 0);

        const auto phase = [&](const char* id) { return endOf(node, id)["stopped_in"].toString(); };
        SECTION("ended in time")
        {
            node.stop(Milliseconds { 400 });
            node.advance(loop, Milliseconds { 300 });
            CHECK(endOf(node, "q1")["outcome"] == "broken");
            CHECK(endOf(node, "q2")["outcome"] == "deadline_exceeded");
            CHECK(endOf(node, "q3")["outcome"] == "shutting_down");
        }
        SECTION("cut off")
        {
            node.handler.recordCutOff();
            for (const char* it : { "q1", "q2", "q3" })
                CHECK(endOf(node, it)["outcome"] == "cut_off");
        }
        CHECK(phase("q1") == "answering");
        CHECK(endOf(node, "q1")["received_bytes"] == 15);
        CHECK(phase("q2") == "sent");
        CHECK(phase("q3") == "connecting");
    });
}

// Guards against calls about jobs that end with the process because the store does not answer (LOST).
TEST_CASE("calls about jobs are answered before the process ends although the store is silent")
{
    // A call before the signal, and one after it that the node takes because it usually takes at most 3 s.
    const auto delay = GENERATE(Milliseconds { 0 }, Milliseconds { 3'000 });
    runOnSimulatedTime([&](SimulatedEventLoop& loop) {
        StoppingNode node;
        REQUIRE(statusOf(node.send("POST", "/b/known", {}, job)) == 202);
        node.isStoreAnswering = false;
        if (delay.count() > 0) {
            node.stop(processTime);
            node.advance(loop, delay);
        }
        const auto submission = node.send("POST", "/b/new", {}, job);
        const auto end = node.send("DELETE", "/api/lots/q1", {});
        const auto unknown = node.send("DELETE", "/api/lots/unknown", {});
        const auto item = node.send("GET", "/api/items/unknown?id=i1", {});
        const auto results = node.send("GET", "/api/lots/q1?after=0", { { "Wait-Ms", "2000" } });
        if (delay.count() == 0)
            node.stop(processTime);
        node.advance(loop, processTime - StopSchedule::lastResponseTime - delay);
        // Writes may still be applied by the store.
        for (const auto& it : { submission, end, unknown })
            CHECK(statusOf(it) == 502);
        for (const auto& it : { item, results })
            CHECK(isRefusedAsNotRun(it));
        const GatewayHandler::OpenRequests open = node.handler.openRequests();
        CHECK(open.longPolls + open.jobCalls == 0);
        // What the store answers later changes nothing.
        node.isStoreAnswering = true;
        node.advance(loop, Milliseconds { 50 });
        CHECK(statusOf(submission) == 502);
        CHECK(statusOf(results) == 503);
    });
}

// Guards against answers to requests in progress that a coarse timer delays until the process has ended (LOST).
TEST_CASE("requests in progress are answered before the process ends although coarse timers are late")
{
    runOnSimulatedTime([](SimulatedEventLoop& loop) {
        loop.areCoarseTimersLate = true;
        StoppingNode node;
        node.stop(processTime);
        node.advance(loop, Milliseconds { 2'450 });
        // It may take until 0.05 s before all must have a response.
        const auto late = node.send("/u/1", Milliseconds { 5'000 });
        node.http.handOver();
        node.advance(loop, processTime - Milliseconds { 2'450 } - StopSchedule::lastResponseTime);
        CHECK(statusOf(late) == 504);
    });
    runOnSimulatedTime([](SimulatedEventLoop& loop) {
        loop.areCoarseTimersLate = true;
        StoppingNode node;
        const auto early = node.send("/u/1", Milliseconds { 5'000 });
        node.http.handOver();
        node.stop(Milliseconds { 4'000 });
        node.advance(loop, Milliseconds { 3'900 });
        CHECK(statusOf(early) == 504);
    });
}

// Guards against a stream without an answer because its events wait for the store when the process ends (LOST).
TEST_CASE("a stream whose events are held back is answered before the process ends")
{
    const bool isComplete = GENERATE(false, true);
    runOnSimulatedTime([&](SimulatedEventLoop& loop) {
        StoppingNode node;
        // No endpoint has the default version, so the store has to record where the stream begins.
        node.origins.setDefault({ "lm", "v0" });
        node.isStoreAnswering = false;
        const auto stream = node.send("/s/1", Milliseconds { 5'000 });
        node.http.handOver();
        node.http.headers(200);
        node.http.data("id: 1\ndata: d\n\n");
        if (isComplete)
            node.http.finish();
        REQUIRE_FALSE(stream->response);
        node.stop(StopSchedule::lastResponseTime + Milliseconds { 50 });
        node.advance(loop, Milliseconds { 50 });
        CHECK(statusOf(stream) == (isComplete ? 200 : 504));
        CHECK(stream->isFinished);
        CHECK(endOf(node, "q1")["stopped_in"] == "held");
    });
}

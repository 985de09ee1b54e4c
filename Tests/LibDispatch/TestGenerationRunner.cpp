#include <LibDispatch/GenerationRunner.h>

#include <LibRouting/NaiveScheduler.h>

#include <Tests/Support/FakeEndpointClient.h>
#include <Tests/Support/MemoryEventLog.h>
#include <Tests/Support/SimulatedClock.h>
#include <Tests/Support/TaskQueue.h>
#include <catch2/catch.hpp>

using namespace Chicorydock;
using namespace std::chrono_literals;

namespace {

struct RecordingSink final : GenerationSink {
    std::vector<std::string> tokens;
    std::optional<std::string> fullText;
    std::optional<Error> error;

    void onTokens(const std::string& text) override { tokens.push_back(text); }
    void onFinished(const std::string& text, const GenerationEnd&) override { fullText = text; }
    void onFailed(const Error& failure) override { error = failure; }
};

struct Fixture {
    SimulatedClock clock;
    TaskQueue tasks;
    MemoryEventLog eventLog;
    FakeEndpointClient client;
    DeadlineQueue deadlines;
    Dispatcher dispatcher { clock,
        [](const std::string&) { return std::make_unique<NaiveScheduler>(SchedulerSettings {}); }, [] {},
        [](const std::string&, const std::string&) {} };
    RunnerEnvironment environment { clock, dispatcher, client, deadlines, eventLog, tasks.post() };
    RecordingSink sink;
    std::shared_ptr<GenerationRunner> runner;

    Fixture()
    {
        EndpointSet set;
        std::vector<SchedulerEndpoint> endpoints;
        for (const std::string id : { "a", "b" }) {
            set.endpoints[id] = { id, "127.0.0.1:1", "engine", "r", "d", false };
            endpoints.push_back({ id, "d" });
        }
        dispatcher.setEndpoints(set, { { "engine", endpoints } });
    }

    ~Fixture()
    {
        // Posted functions keep the runner alive, and its destructor uses the other members.
        runner.reset();
        tasks.run();
    }

    void start(bool isRepeatable)
    {
        RunnerRequest request { "engine", {}, "trace" };
        request.work.maxTokens = 4;
        request.work.deadline = clock.now() + 10s;
        request.work.repeatable = isRepeatable;
        runner = std::make_shared<GenerationRunner>(environment, request, "/v1/completions", QJsonObject {}, sink);
        runner->start();
        tasks.run();
    }

    GenerationObserver& observer() { return *client.generations.back().observer; }

    uint32_t inFlight() { return dispatcher.counters().at("engine").onlineInFlight; }

    void fail(HttpFailure::Phase phase, HttpFailure::Reason reason = HttpFailure::Reason::Closed)
    {
        observer().onFailed({ phase, reason, 0, false, "closed" });
        tasks.run();
    }
};

}

// Guards against a lost or doubled token when a stream moves to another endpoint.
TEST_CASE("a repeatable stream resumes on another endpoint after the last token")
{
    Fixture fixture;
    fixture.start(true);
    fixture.observer().onHandedOver();
    fixture.observer().onTokens({ "one ", 1 });
    fixture.observer().onTokens({ "two ", 1 });
    fixture.fail(HttpFailure::Phase::Answering);

    REQUIRE(fixture.client.generations.size() == 2);
    const GenerationRequest& second = fixture.client.generations.back().request;
    CHECK(second.resumeFrom == 2);
    CHECK(second.resumeText == "one two ");
    fixture.observer().onTokens({ "three", 1 });
    fixture.observer().onFinished({ "stop", 1, 3, 0 });
    CHECK(fixture.sink.fullText == "one two three");
    CHECK(fixture.sink.tokens == std::vector<std::string> { "one ", "two ", "three" });
    CHECK(fixture.inFlight() == 0);
}

// Guards against a second run of a call that may not be repeated.
TEST_CASE("an unrepeatable generation that was handed over is never sent again")
{
    Fixture fixture;
    fixture.start(false);
    fixture.observer().onHandedOver();
    fixture.fail(HttpFailure::Phase::Sent);
    CHECK(fixture.client.generations.size() == 1);
    REQUIRE(fixture.sink.error);
    CHECK(fixture.sink.error->kind() == ErrorKind::MayHaveRun);
    CHECK(fixture.inFlight() == 0);
}

// Guards against failing a call that certainly did not run.
TEST_CASE("an unrepeatable generation that was not handed over goes to another endpoint")
{
    Fixture fixture;
    fixture.start(false);
    fixture.fail(HttpFailure::Phase::NotSent, HttpFailure::Reason::Refused);
    CHECK(fixture.client.generations.size() == 2);
    CHECK_FALSE(fixture.sink.error);
}

// Guards against counting an endpoint as failed because one connection to it stalled.
TEST_CASE("a silent connection is replaced once before another endpoint is tried")
{
    Fixture fixture;
    fixture.start(true);
    fixture.observer().onHandedOver();
    fixture.fail(HttpFailure::Phase::Sent, HttpFailure::Reason::TimedOut);
    REQUIRE(fixture.client.generations.size() == 2);
    CHECK(fixture.client.generations.back().request.freshConnection);
    CHECK(fixture.eventLog.count("dispatched") == 1);
    fixture.fail(HttpFailure::Phase::Sent, HttpFailure::Reason::TimedOut);
    CHECK(fixture.eventLog.count("dispatched") == 2);
}

// Guards against a caller that waits for the deadline because the connection of its stream stalled.
TEST_CASE("a stream that is silent after its first token moves to a new connection")
{
    Fixture fixture;
    fixture.start(true);
    fixture.observer().onHandedOver();
    fixture.observer().onTokens({ "one ", 1 });
    fixture.clock.advance(1500ms);
    fixture.deadlines.tick(fixture.clock.now());
    fixture.observer().onTokens({ "two ", 1 });
    fixture.clock.advance(1500ms);
    fixture.deadlines.tick(fixture.clock.now());
    CHECK(fixture.client.generations.size() == 1);
    fixture.clock.advance(500ms);
    fixture.deadlines.tick(fixture.clock.now());
    REQUIRE(fixture.client.generations.size() == 2);
    CHECK(fixture.client.generations.front().isCancelled);
    CHECK(fixture.client.generations.back().request.freshConnection);
    CHECK(fixture.client.generations.back().request.resumeFrom == 2);
}

// Guards against an unrepeatable call being sent twice because its connection was silent.
TEST_CASE("a silent connection of an unrepeatable call is not replaced")
{
    Fixture fixture;
    fixture.start(false);
    fixture.observer().onHandedOver();
    fixture.fail(HttpFailure::Phase::Sent, HttpFailure::Reason::TimedOut);
    CHECK(fixture.client.generations.size() == 1);
    CHECK(fixture.sink.error->kind() == ErrorKind::MayHaveRun);
}

// Guards against a request that stays open after its deadline, and against an error that wrongly states that the
// request did not run.
TEST_CASE("a request that exceeds its deadline fails with the correct error")
{
    Fixture fixture;
    fixture.start(true);
    SECTION("handed over")
    {
        fixture.observer().onHandedOver();
        fixture.clock.advance(10s);
        fixture.deadlines.tick(fixture.clock.now());
        CHECK(fixture.sink.error->kind() == ErrorKind::DeadlineExceeded);
    }
    SECTION("not handed over")
    {
        fixture.clock.advance(10s);
        fixture.deadlines.tick(fixture.clock.now());
        CHECK(fixture.sink.error->kind() == ErrorKind::DeadlineUnattainable);
    }
    CHECK(fixture.client.generations.back().isCancelled);
    CHECK(fixture.inFlight() == 0);
}

// Guards against a slot that stays occupied after the caller has disconnected.
TEST_CASE("a cancelled request frees its slot and its connection")
{
    Fixture fixture;
    fixture.start(true);
    fixture.observer().onHandedOver();
    CHECK(fixture.inFlight() == 1);
    fixture.runner->cancel();
    fixture.tasks.run();
    CHECK(fixture.client.generations.back().isCancelled);
    CHECK(fixture.inFlight() == 0);
    CHECK_FALSE(fixture.sink.error);
}

// Guards against a leak when the runner is destroyed between a decision and its delivery.
TEST_CASE("a start whose runner was destroyed frees the slot")
{
    Fixture fixture;
    RunnerRequest request { "engine", {}, "trace" };
    request.work.deadline = fixture.clock.now() + 10s;
    fixture.runner = std::make_shared<GenerationRunner>(
        fixture.environment, request, "/v1/completions", QJsonObject {}, fixture.sink);
    fixture.runner->start();
    fixture.runner.reset();
    fixture.tasks.run();
    CHECK(fixture.client.generations.empty());
    CHECK(fixture.inFlight() == 0);
}

// Guards against retrying a request that every endpoint would reject.
TEST_CASE("a request that an endpoint rejects is not sent to another")
{
    Fixture fixture;
    fixture.start(true);
    fixture.observer().onHandedOver();
    fixture.observer().onFailed(
        { HttpFailure::Phase::Answering, HttpFailure::Reason::Protocol, 400, false, "too long" });
    fixture.tasks.run();
    CHECK(fixture.client.generations.size() == 1);
    CHECK(fixture.sink.error->kind() == ErrorKind::EndpointRejected);
    CHECK(fixture.inFlight() == 0);
}

// Guards against repeated failures after which the caller gets no error, or an error that wrongly states that nothing
// ran.
TEST_CASE("a request fails with a final error when every endpoint has failed")
{
    Fixture fixture;
    fixture.start(true);
    for (int n = 0; n < 20 && !fixture.sink.error; ++n) {
        fixture.observer().onHandedOver();
        fixture.fail(HttpFailure::Phase::Sent);
    }
    REQUIRE(fixture.sink.error);
    CHECK_FALSE(errorRow(fixture.sink.error->kind()).notRun);
    CHECK(fixture.inFlight() == 0);
}

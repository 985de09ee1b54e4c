#include <LibEndpoint/HttpEndpointClient.h>

#include <LibHTTP/PooledHttpClient.h>
#include <Tests/Fakes/engine/FakeEngine.h>
#include <Tests/Fakes/service/FakeService.h>
#include <Tests/LibEndpoint/RecordingGeneration.h>
#include <Tests/Support/RecordingObserver.h>
#include <Tests/Support/ScriptedServer.h>
#include <Tests/Support/WaitFor.h>
#include <catch2/catch.hpp>

using namespace Chicorydock;
using Phase = HttpFailure::Phase;
using Reason = HttpFailure::Reason;

namespace {

EngineSettings fastEngine()
{
    EngineSettings settings;
    settings.prefillPerToken = Microseconds { 0 };
    settings.baseGap = Microseconds { 300 };
    settings.gapPerStream = Microseconds { 0 };
    settings.minTokens = 20;
    settings.maxTokens = 20;
    return settings;
}

struct Fixture {
    explicit Fixture(const EngineSettings& settings = fastEngine())
        : engine(settings)
    {
    }

    GenerationRequest request(const char* prompt = "a prompt") const
    {
        return { .address = address,
            .path = "/v1/completions",
            .body = { { "model", "m" }, { "prompt", prompt } },
            .resumeText = {},
            .traceId = "trace" };
    }

    RecordingGeneration run(const GenerationRequest& generation)
    {
        RecordingGeneration observer;
        const auto call = client.generate(generation, observer);
        REQUIRE(waitFor([&] { return observer.hasEnded(); }));
        return observer;
    }

    FakeEngine engine;
    std::string address { "127.0.0.1:" + std::to_string(engine.listen("127.0.0.1:0")) };
    PooledHttpClient http;
    HttpEndpointClient client { http };
};

/// Runs a generation against an engine that sends `events` and closes the connection.
RecordingGeneration runScripted(const QByteArray& events)
{
    const QByteArray chunk = QByteArray::number(events.size(), 16) + "\r\n" + events + "\r\n";
    ScriptedServer server([&](QTcpSocket& socket, const QByteArray&) {
        socket.write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk
            + "0\r\n\r\n");
    });
    PooledHttpClient http;
    HttpEndpointClient client(http);
    RecordingGeneration observer;
    const GenerationRequest request {
        .address = server.address(), .path = "/v1/completions", .body = {}, .resumeText = {}, .traceId = {}
    };
    const auto call = client.generate(request, observer);
    REQUIRE(waitFor([&] { return observer.hasEnded(); }));
    return observer;
}

QByteArray token(int index, const QByteArray& text = "x")
{
    return "data: {\"choices\":[{\"text\":\"" + text + "\"}],\"token_index\":" + QByteArray::number(index) + "}\n\n";
}

const QByteArray stop = "data: {\"choices\":[{\"text\":\"\",\"finish_reason\":\"stop\"}]}\n\n";
const QByteArray done = "data: [DONE]\n\n";

}

// Guards against a resumed stream that repeats, skips or changes tokens.
TEST_CASE("a stream that is cut and resumed equals one that was never cut")
{
    Fixture fixture;
    const RecordingGeneration complete = fixture.run(fixture.request());
    REQUIRE(complete.end);
    CHECK(complete.handedOver == 1);
    CHECK(complete.count == 20);
    CHECK(complete.end->finishReason == "stop");
    CHECK(complete.end->completionTokens == 20);
    CHECK(complete.end->promptTokens == 3);

    fixture.engine.control({ { "fail_after_tokens", 7 } });
    const RecordingGeneration cut = fixture.run(fixture.request());
    REQUIRE(cut.failure);
    CHECK(cut.failure->phase == Phase::Answering);
    CHECK(cut.count == 7);

    GenerationRequest resumption = fixture.request();
    resumption.resumeFrom = cut.count;
    resumption.resumeText = cut.text;
    const RecordingGeneration rest = fixture.run(resumption);
    REQUIRE(rest.end);
    CHECK(cut.text + rest.text == complete.text);
    CHECK(rest.count == 13);
}

// Guards against a stream with a gap, a repetition or a missing end that is reported as complete.
TEST_CASE("a faulty stream fails after its good tokens")
{
    struct Case {
        QByteArray events;
        uint32_t validTokens;
    };
    const Case it
        = GENERATE(Case { token(0) + token(0) + stop + done, 1 }, Case { token(0) + token(2) + stop + done, 1 },
            Case { token(1) + stop + done, 0 }, Case { "data: {\"choices\":[{\"text\":\"x\"}]}\n\n" + stop + done, 0 },
            Case { token(0) + done, 1 }, Case { token(0) + stop, 1 }, Case { token(0) + stop + "data: [DONE]", 1 },
            Case { token(0) + stop + token(1) + done, 1 }, Case { token(0) + stop + done + token(1), 1 },
            Case { token(0) + "data: {\"error\":{\"message\":\"broken\"}}\n\n" + stop + done, 1 },
            Case { token(0) + "data: {\"choices\n\n" + stop + done, 1 }, Case { "", 0 });
    CAPTURE(it.events.toStdString());
    const RecordingGeneration observer = runScripted(it.events);
    CHECK_FALSE(observer.end);
    REQUIRE(observer.failure);
    CHECK(observer.failure->phase == Phase::Answering);
    CHECK(observer.count == it.validTokens);
    CHECK(runScripted(token(0) + token(1) + stop + done).end);
}

// Guards against a rejection by the engine that is treated as work that may have run.
TEST_CASE("an error status is reported, and 503 and 429 as refused")
{
    const int status = GENERATE(400, 429, 500, 503);
    Fixture fixture;
    fixture.engine.control({ { "fail_next", 1 }, { "fail_status", status } });
    const RecordingGeneration observer = fixture.run(fixture.request());
    REQUIRE(observer.failure);
    CHECK(observer.failure->httpStatus == status);
    CHECK(observer.failure->refused == (status == 429 || status == 503));
}

// Guards against an engine that continues a generation whose caller has disconnected.
TEST_CASE("destroying the handle in a callback cancels the stream at the engine")
{
    EngineSettings settings = fastEngine();
    settings.minTokens = settings.maxTokens = 1'000'000;
    Fixture fixture(settings);
    RecordingGeneration observer;
    std::unique_ptr<HttpCall> call;
    observer.tokensHook = [&] { call.reset(); };
    call = fixture.client.generate(fixture.request(), observer);
    CHECK(waitFor([&] { return fixture.engine.counters()["cancelled"] == 1; }));
    CHECK(fixture.engine.counters()["running"] == 0);
    CHECK(observer.count == 1);
    CHECK_FALSE(observer.hasEnded());
}

// Guards against a retry over a connection that went silent, and against a silent engine that is not detected.
TEST_CASE("a silent stream times out and the next one works over a new connection")
{
    Fixture fixture;
    CHECK(fixture.run(fixture.request()).end);
    fixture.engine.control({ { "silence", "open" } });
    GenerationRequest request = fixture.request();
    request.progressTimeout = Milliseconds { 1500 };
    const RecordingGeneration silent = fixture.run(request);
    CHECK(silent.failure->reason == Reason::TimedOut);
    CHECK(silent.failure->phase == Phase::Sent);
    CHECK(fixture.run(fixture.request()).end);
}

// Guards against calls that block each other when an engine runs several hundred streams.
TEST_CASE("several hundred streams run at the same time")
{
    constexpr size_t streams = 300;
    EngineSettings settings = fastEngine();
    settings.baseGap = Microseconds { 20'000 };
    settings.maxRunning = streams;
    settings.minTokens = settings.maxTokens = 1'000'000;
    Fixture fixture(settings);
    std::vector<RecordingGeneration> observers(streams);
    std::vector<std::unique_ptr<HttpCall>> calls;
    for (RecordingGeneration& it : observers)
        calls.push_back(fixture.client.generate(fixture.request(), it));
    REQUIRE(waitFor([&] { return fixture.engine.counters()["running"] == static_cast<int>(streams); }));
    CHECK(waitFor([&] { return std::ranges::all_of(observers, [](const auto& it) { return it.count >= 3; }); }));
    calls.clear();
    CHECK(waitFor([&] { return fixture.engine.counters()["cancelled"] == static_cast<int>(streams); }));
}

// Guards against a client that reads reports or writes orders in another format than engines.
TEST_CASE("state, load, cache events and orders pass between client and engine")
{
    EngineSettings settings = fastEngine();
    settings.cacheTokens = 64;
    Fixture fixture(settings);
    const std::string longPrompt(300, 'a');
    const std::string otherPrompt(300, 'b');
    CHECK(fixture.run(fixture.request(longPrompt.c_str())).end->cachedPromptTokens == 0);
    CHECK(fixture.run(fixture.request(longPrompt.c_str())).end->cachedPromptTokens == 64);
    CHECK(fixture.run(fixture.request(otherPrompt.c_str())).end->cachedPromptTokens == 0);

    int responseCount = 0;
    std::optional<CacheEvents> events;
    const auto eventsCall = fixture.client.readCacheEvents(fixture.address, 0, [&](const auto& it) {
        events = it;
        ++responseCount;
    });
    std::optional<LoadReport> load;
    const auto loadCall = fixture.client.readLoad(fixture.address, [&](const auto& it) {
        load = it;
        ++responseCount;
    });
    std::vector<OrderOutcome> outcomes;
    EndpointOrder order { .kind = EndpointOrder::Kind::Load,
        .model = { .model = "m", .version = "2", .adapters = { "a", "b" } },
        .role = {},
        .fencingNumber = 5 };
    const auto firstOrder
        = fixture.client.order(fixture.address, order, [&](OrderOutcome it) { outcomes.push_back(it); });
    REQUIRE(waitFor([&] { return responseCount == 2 && outcomes.size() == 1; }));
    order.fencingNumber = 4;
    const auto secondOrder
        = fixture.client.order(fixture.address, order, [&](OrderOutcome it) { outcomes.push_back(it); });
    REQUIRE(waitFor([&] { return outcomes.size() == 2; }));
    std::optional<EndpointState> state;
    const auto stateCall = fixture.client.readState(fixture.address, [&](const auto& it) { state = it; });
    REQUIRE(waitFor([&] { return state.has_value(); }));

    REQUIRE(events);
    REQUIRE(events->events.size() == 3);
    CHECK(events->events[0].stored);
    CHECK(events->events[1] == CacheEvent { .sequence = 2, .stored = false, .prefix = events->events[0].prefix });
    CHECK(events->events[2].sequence == 3);
    CHECK(load);
    CHECK(outcomes == std::vector { OrderOutcome::Done, OrderOutcome::StaleFencingNumber });
    CHECK(state->fencingNumber == 5);
    CHECK(state->models == std::vector { LoadedModel { .model = "m", .version = "2", .adapters = { "a", "b" } } });
}

// Guards against an unrepeatable call that arrives twice, at whatever point the service closes the connection.
TEST_CASE("a plain service gets each call once, on a fresh and on a reused connection")
{
    const char* moment = GENERATE("before", "during", "after");
    CAPTURE(moment);
    FakeService service(Milliseconds { 0 });
    const std::string address = "127.0.0.1:" + std::to_string(service.listen("127.0.0.1:0"));
    PooledHttpClient http;
    HttpEndpointClient client(http);
    const auto run = [&](const char* callId, bool fresh) {
        RecordingObserver observer;
        const HttpCallRequest request { .address = address,
            .method = "POST",
            .target = "/issue",
            .headers = { { "X-Call-Id", callId } },
            .body = "certificate",
            .freshConnection = fresh };
        const auto call = client.call(request, observer);
        REQUIRE(waitFor([&] { return observer.hasEnded(); }));
        return observer;
    };
    service.control({ { "close", moment } });
    const bool isComplete = moment == std::string("after");
    CHECK(run("fresh", true).finished == (isComplete ? 1 : 0));
    service.control({ { "close", "none" } });
    CHECK(run("opens the connection", true).finished == 1);
    service.control({ { "close", moment } });
    CHECK(run("reused", false).finished == (isComplete ? 1 : 0));
    service.control({ { "close", "none" } });
    CHECK(run("last", true).finished == 1);
    CHECK(service.counters()["calls"] == 4);
    CHECK(service.counters()["calls_by_id"].toObject()["fresh"] == 1);
    CHECK(service.counters()["calls_by_id"].toObject()["reused"] == 1);
}

// Guards against an order that is reported as failed although the endpoint may still execute it.
TEST_CASE("an order without an answer is unknown, and one that was never sent has failed")
{
    std::string address;
    {
        ScriptedServer server([](QTcpSocket& socket, const QByteArray&) { socket.disconnectFromHost(); });
        address = server.address();
        PooledHttpClient http;
        HttpEndpointClient client(http);
        std::optional<OrderOutcome> outcome;
        const auto call = client.order(address, {}, [&](OrderOutcome it) { outcome = it; });
        REQUIRE(waitFor([&] { return outcome.has_value(); }));
        CHECK(outcome == OrderOutcome::Unknown);
        CHECK(server.arrivals("POST /orders") == 1);
    }
    PooledHttpClient http;
    HttpEndpointClient client(http);
    std::optional<OrderOutcome> outcome;
    const auto call = client.order(address, {}, [&](OrderOutcome it) { outcome = it; });
    REQUIRE(waitFor([&] { return outcome.has_value(); }));
    CHECK(outcome == OrderOutcome::Failed);
}

#include <LibRequest/CallRecordFilter.h>
#include <LibRequest/RequestPipeline.h>

#include <LibCore/Digest.h>
#include <LibHTTP/ErrorResponse.h>
#include <LibPlatform/MemoryTableService.h>
#include <LibRouting/NaiveScheduler.h>

#include <QJsonArray>
#include <QJsonDocument>

#include <Tests/Support/FakeEndpointClient.h>
#include <Tests/Support/FakeExchange.h>
#include <Tests/Support/FaultyTableService.h>
#include <Tests/Support/MemoryEventLog.h>
#include <Tests/Support/SimulatedClock.h>
#include <Tests/Support/TaskQueue.h>
#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>

using namespace Chicorydock;
using namespace std::chrono_literals;

namespace {

struct MockJobService final : JobService {
    MAKE_MOCK2(putFile, std::string(std::string_view, std::string_view), override);
    MAKE_MOCK2(file, std::string(std::string_view, std::string_view), override);
    MAKE_MOCK1(submit, JobView(const JobSubmission&), override);
    MAKE_MOCK2(status, JobView(std::string_view, std::string_view), override);
    MAKE_MOCK2(cancel, JobView(std::string_view, std::string_view), override);
    MAKE_MOCK4(results, ResultPage(std::string_view, std::string_view, uint32_t, uint32_t), override);
    MAKE_MOCK3(list, std::vector<JobView>(std::string_view, std::string_view, size_t), override);
};

Configuration makeConfiguration()
{
    Configuration configuration;
    configuration.revision = 1;
    configuration.services = { { "engine", Service::Kind::Engine }, { "ledger", Service::Kind::Plain } };
    configuration.services[1].unrepeatableRoutes = { "POST /certificates" };
    configuration.models = { { "m", "engine" } };
    configuration.workspaces = { { "w", { sha256Hex("key") }, 1, 2 } };
    return configuration;
}

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
    MemoryTableService memory;
    FaultInjector faults { 7 };
    FaultyTableService tables { memory, faults };
    CallRecordStore callRecords { tables, clock };
    RcuCell<Configuration> configuration;
    WorkspaceUsage usage;
    MockJobService jobs;
    MetricsRegistry registry;
    RequestMetrics requestMetrics { registry };
    std::unique_ptr<FilterChain> chain
        = makeRequestPipeline({ clock, configuration, usage, callRecords, jobs, tasks.post(), [] { return true; },
                                  [] { return "m 1\n"; }, requestMetrics },
            environment);

    Fixture()
    {
        configuration.publish(std::make_shared<const Configuration>(makeConfiguration()));
        EndpointSet set;
        std::map<std::string, std::vector<SchedulerEndpoint>> plan;
        for (const std::string service : { "engine", "ledger" }) {
            const std::string id = service + "-1";
            set.endpoints[id] = { id, "127.0.0.1:1", service, "r", "d", false };
            plan[service].push_back({ id, "d" });
        }
        dispatcher.setEndpoints(set, plan);
    }

    // Posted functions own runners, which still use the other members.
    ~Fixture() { tasks.run(); }

    std::shared_ptr<FakeExchange> send(HttpRequest request)
    {
        auto exchange = std::make_shared<FakeExchange>(std::move(request));
        chain->handle(exchange);
        tasks.run();
        return exchange;
    }

    std::shared_ptr<FakeExchange> post(const QByteArray& path, const QByteArray& body, HttpHeaders headers = {})
    {
        headers.add("Authorization", "Bearer key");
        return send({ "POST", path, {}, headers, body });
    }

    GenerationObserver& engine() { return *client.generations.back().observer; }

    void answerCall(const QByteArray& body)
    {
        HttpCallObserver& observer = *client.calls.back().observer;
        observer.onHandedOver();
        observer.onHeaders(200, { { "Content-Type", "text/plain" } });
        observer.onData(body);
        observer.onFinished();
        tasks.run();
    }
};

QJsonObject errorOf(const FakeExchange& exchange)
{
    REQUIRE(exchange.response);
    return QJsonDocument::fromJson(exchange.response->body).object().value("error").toObject();
}

std::string kindOf(const FakeExchange& exchange) { return errorOf(exchange).value("kind").toString().toStdString(); }

constexpr const char* chatBody = R"({"model":"m","messages":[{"role":"user","content":"hi"}]})";
constexpr const char* streamBody = R"({"model":"m","stream":true,"messages":[{"role":"user","content":"hi"}]})";

}

// Guards against a response that lacks a part of the generation.
TEST_CASE("a chat request gets one whole answer")
{
    Fixture fixture;
    const auto exchange = fixture.post("/v1/chat/completions", chatBody);
    CHECK_FALSE(exchange->response);
    fixture.engine().onHandedOver();
    fixture.engine().onTokens({ "hello ", 1 });
    fixture.engine().onTokens({ "there", 1 });
    fixture.engine().onFinished({ "stop", 3, 2, 0 });
    fixture.tasks.run();
    REQUIRE(exchange->response);
    CHECK(exchange->response->status == 200);
    const QJsonObject body = QJsonDocument::fromJson(exchange->response->body).object();
    const QJsonObject choice = body.value("choices").toArray().at(0).toObject();
    CHECK(choice.value("message").toObject().value("content").toString() == "hello there");
    CHECK(body.value("usage").toObject().value("total_tokens").toInt() == 5);
}

// Guards against a failed stream that looks complete to its caller.
TEST_CASE("a stream that fails after its first token never looks complete")
{
    Fixture fixture;
    const auto exchange = fixture.post("/v1/chat/completions", streamBody, { { "X-Unrepeatable", "true" } });
    fixture.engine().onHandedOver();
    fixture.engine().onTokens({ "hello", 1 });
    fixture.engine().onFailed({ HttpFailure::Phase::Answering, HttpFailure::Reason::Closed, 0, false, "closed" });
    fixture.tasks.run();
    CHECK(exchange->isStream);
    CHECK(exchange->isAborted);
    CHECK_FALSE(exchange->isFinished);
    CHECK_FALSE(exchange->response->body.contains("[DONE]"));
    CHECK(exchange->response->body.contains("may_have_run"));
}

// Guards against a stream without its final events, and against usage that the caller did not request.
TEST_CASE("a whole stream ends with the finish reason and DONE")
{
    Fixture fixture;
    const auto exchange = fixture.post("/v1/chat/completions", streamBody);
    fixture.engine().onTokens({ "hello", 1 });
    fixture.engine().onFinished({ "stop", 3, 1, 0 });
    fixture.tasks.run();
    CHECK(exchange->isFinished);
    CHECK(exchange->chunks.last() == "data: [DONE]\n\n");
    CHECK(exchange->response->body.contains("\"finish_reason\":\"stop\""));
    CHECK_FALSE(exchange->response->body.contains("usage"));
}

// Guards against an upstream call that continues after its caller disconnected.
TEST_CASE("a caller that leaves early cancels the upstream call")
{
    Fixture fixture;
    const auto exchange = fixture.post("/v1/chat/completions", streamBody);
    fixture.engine().onHandedOver();
    exchange->disconnect();
    fixture.tasks.run();
    CHECK(fixture.client.generations.back().isCancelled);
    CHECK(fixture.dispatcher.counters().at("engine").onlineInFlight == 0);
}

// Guards against invalid input that reaches an endpoint, or that gets the wrong error kind.
TEST_CASE("bad requests are answered with their kind and did not run")
{
    Fixture fixture;
    struct Row {
        QByteArray path;
        QByteArray body;
        HttpHeaders headers;
        const char* kind;
    };
    const Row rows[] = {
        { "/v1/chat/completions", "{", {}, "malformed_request" },
        { "/v1/chat/completions", "[]", {}, "malformed_request" },
        { "/v1/chat/completions", R"({"model":"m","messages":[]})", {}, "malformed_request" },
        { "/v1/chat/completions", R"({"model":"m","messages":[{"content":"x"}]})", {}, "malformed_request" },
        { "/v1/completions", R"({"model":"m","prompt":5})", {}, "malformed_request" },
        { "/v1/completions", R"({"model":"m","prompt":"x","max_tokens":-1})", {}, "malformed_request" },
        { "/v1/completions", R"({"model":"m","prompt":"x","max_tokens":1.5})", {}, "malformed_request" },
        { "/v1/completions", R"({"model":"m","prompt":"x","n":2})", {}, "malformed_request" },
        { "/v1/completions", R"({"model":"m","prompt":"x","stream":"yes"})", {}, "malformed_request" },
        { "/v1/completions", R"({"model":"other","prompt":"x"})", {}, "unknown_model" },
        { "/v1/completions", R"({"model":"m","prompt":"x"})", { { "X-Request-Deadline-Ms", "-5" } },
            "malformed_request" },
        { "/v1/completions", R"({"model":"m","prompt":"x"})", { { "X-Unrepeatable", "maybe" } }, "malformed_request" },
        { "/v1/completions", R"({"model":"m","prompt":"x"})", { { "Idempotency-Key", "a/b" } }, "malformed_request" },
        { "/services/other/x", "", {}, "unknown_service" },
        { "/services/engine/x", "", {}, "unknown_service" },
        { "/v1/models", "", {}, "unsupported_method" },
        { "/v1/unknown", "", {}, "unknown_route" },
        { "/", "", {}, "unknown_route" },
        { "/v1/files", "", {}, "malformed_request" },
        { "/v1/batches", "{}", {}, "malformed_request" },
    };
    for (const Row& row : rows) {
        INFO(row.path.toStdString() << ' ' << row.body.toStdString());
        const auto exchange = fixture.post(row.path, row.body, row.headers);
        CHECK(kindOf(*exchange) == row.kind);
        CHECK(errorOf(*exchange).value("not_run").toBool());
    }
    CHECK(fixture.client.generations.empty());
    CHECK(fixture.client.calls.empty());
}

// Guards against an error that reports a call as not run although it may have run, for every error kind.
TEST_CASE("the end of a call follows the error table")
{
    for (const ErrorRow& row : errorTable()) {
        INFO(row.name);
        const HttpResponse answer = errorResponse(Error { row.kind, "text" });
        const QJsonObject error = QJsonDocument::fromJson(answer.body).object().value("error").toObject();
        CHECK(error.value("not_run").toBool() == row.notRun);
        CHECK(answer.headers.find("Retry-After").has_value() == row.sendsRetryAfter);
        CHECK((callOutcomeOf(&answer) == CallOutcome::NotRun) == row.notRun);
    }
    CHECK(callOutcomeOf(nullptr) == CallOutcome::MayHaveRun);
}

// Guards against serving a caller without a workspace, or with an empty configuration.
TEST_CASE("requests need a known key and a configuration")
{
    Fixture fixture;
    CHECK(kindOf(*fixture.send({ "POST", "/v1/completions", {}, {}, "{}" })) == "unauthorized");
    CHECK(kindOf(*fixture.send({ "POST", "/v1/completions", {}, { { "Authorization", "Bearer x" } }, "{}" }))
        == "unauthorized");
    fixture.configuration.publish(std::make_shared<const Configuration>());
    const auto exchange = fixture.post("/v1/chat/completions", chatBody);
    CHECK(kindOf(*exchange) == "not_ready");
    CHECK(exchange->response->headers.find("Retry-After"));
}

// Guards against one workspace that fills the queues, and against ended requests that still count towards its limit.
TEST_CASE("a workspace has at most its number of requests in flight")
{
    Fixture fixture;
    const auto first = fixture.post("/v1/chat/completions", chatBody);
    fixture.post("/v1/chat/completions", chatBody);
    CHECK(kindOf(*fixture.post("/v1/chat/completions", chatBody)) == "overloaded");
    first->disconnect();
    fixture.tasks.run();
    CHECK_FALSE(fixture.post("/v1/chat/completions", chatBody)->response);
}

// Guards against a certificate that is issued twice when its caller resends the request.
TEST_CASE("a call of an unrepeatable route with a key runs once, and a resend gets its answer")
{
    Fixture fixture;
    const HttpHeaders key { { "Idempotency-Key", "c-1" } };
    const auto first = fixture.post("/services/ledger/certificates/7", "{}", key);
    CHECK(kindOf(*fixture.post("/services/ledger/certificates/7", "{}", key)) == "call_in_progress");
    fixture.answerCall("issued");
    CHECK(first->response->body == "issued");
    const auto second = fixture.post("/services/ledger/certificates/7", "{}", key);
    CHECK(second->response->body == "issued");
    CHECK(fixture.client.calls.size() == 1);
    CHECK(fixture.client.calls.front().request.target == "/certificates/7");
}

// Guards against losing the outcome of an unrepeatable call because its caller disconnected.
TEST_CASE("an unrepeatable call goes on without its caller, and a resend gets its answer")
{
    Fixture fixture;
    const HttpHeaders key { { "Idempotency-Key", "c-1" } };
    fixture.post("/services/ledger/certificates", "{}", key)->disconnect();
    fixture.answerCall("issued");
    CHECK(fixture.post("/services/ledger/certificates", "{}", key)->response->body == "issued");
    CHECK(fixture.client.calls.size() == 1);
}

// Guards against a second run after the endpoint failed while it had the call.
TEST_CASE("an unrepeatable call whose outcome is unknown is reported as such, also to a resend")
{
    Fixture fixture;
    const HttpHeaders key { { "Idempotency-Key", "c-1" } };
    const auto first = fixture.post("/services/ledger/certificates", "{}", key);
    fixture.client.calls.back().observer->onHandedOver();
    fixture.client.calls.back().observer->onFailed({ HttpFailure::Phase::Sent, HttpFailure::Reason::Closed, "closed" });
    fixture.tasks.run();
    CHECK(kindOf(*first) == "may_have_run");
    CHECK(kindOf(*fixture.post("/services/ledger/certificates", "{}", key)) == "may_have_run");
    CHECK(fixture.client.calls.size() == 1);
}

// Guards against sending a call whose record cannot be written.
TEST_CASE("a call with a key is refused as not run while the store is down")
{
    Fixture fixture;
    fixture.faults.setOutage(true);
    const auto exchange = fixture.post("/services/ledger/certificates", "{}", { { "Idempotency-Key", "c-1" } });
    CHECK(kindOf(*exchange) == "platform_unavailable");
    CHECK(errorOf(*exchange).value("not_run").toBool());
    CHECK(fixture.client.calls.empty());
}

// Guards against a key that stays unusable because an attempt that did not run left its record behind.
TEST_CASE("a call that left the queue unsent may be sent again with its key")
{
    Fixture fixture;
    const HttpHeaders key { { "Idempotency-Key", "c-1" } };
    fixture.post("/services/ledger/certificates", "{}", key);
    fixture.client.calls.back().observer->onFailed(
        { HttpFailure::Phase::NotSent, HttpFailure::Reason::Refused, "refused" });
    fixture.tasks.run();
    CHECK_FALSE(fixture.post("/services/ledger/certificates", "{}", key)->response);
    CHECK(fixture.client.calls.size() == 2);
}

// Guards against a load balancer that has no key and so cannot detect whether a node is ready.
TEST_CASE("health and metrics need no key")
{
    Fixture fixture;
    CHECK(fixture.send({ "GET", "/healthz", {}, {}, {} })->response->status == 200);
    CHECK(fixture.send({ "GET", "/readyz", {}, {}, {} })->response->status == 200);
    CHECK(fixture.send({ "GET", "/metrics", {}, {}, {} })->response->body == "m 1\n");
}

// Guards against a job that is acknowledged before it is durable.
TEST_CASE("a batch job is answered with what the job service stored")
{
    Fixture fixture;
    REQUIRE_CALL(fixture.jobs, file(std::string_view("w"), std::string_view("file-1"))).RETURN("lines");
    REQUIRE_CALL(fixture.jobs, submit(trompeloeil::_))
        .WITH(_1.items == "lines" && _1.completionWindow == 2h && _1.workspace == "w")
        .RETURN(JobView { "job-1", "w", JobView::State::InProgress, 3, 0, 0 });
    const auto exchange = fixture.post(
        "/v1/batches", R"({"input_file_id":"file-1","completion_window":"2h","endpoint":"/v1/completions"})");
    const QJsonObject body = QJsonDocument::fromJson(exchange->response->body).object();
    CHECK(body.value("id") == "job-1");
    CHECK(body.value("status") == "in_progress");
    CHECK(body.value("request_counts").toObject().value("total").toInt() == 3);
}

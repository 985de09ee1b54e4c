#include <LibGateway/ForwardedCall.h>
#include <LibGateway/ItemRun.h>
#include <LibGateway/RequestFingerprint.h>

#include "ForwardingFixture.h"
#include "QuarantineExchange.h"

#include <catch2/catch.hpp>

#include <array>
#include <functional>

using namespace Chicorydock;

namespace {

/// Idempotent requests without a prompt to the endpoints of one node.
struct CrashFixture : ForwardingFixture {
    CrashFixture()
        : ForwardingFixture(12)
    {
    }

    /// Forwards a request. Returns the status, 0 if the request was sent and has no response yet.
    int request(const QByteArray& path, const QByteArray& body)
    {
        forward(makeRequest(path, QByteArray::number(++lastRequest), {}, body));
        return status();
    }

    /// The endpoint accepts the latest request, crashes and starts again under another name.
    void crash()
    {
        const std::string id = http.last().request.headers.find("Expect-Instance")->toStdString();
        http.handOver();
        http.fail(HttpFailure::Phase::Answering);
        restart(id);
        settle();
        clock.advance(Milliseconds { 400 });
    }

    void answer()
    {
        http.handOver();
        http.headers(200);
        http.finish();
    }

    int lastRequest { 0 };

private:
    void restart(const std::string& id)
    {
        EndpointRecord record = *directory.find(id);
        directory.remove(id, record.version, clock.now());
        record.id += "+";
        directory.put(record);
        broker.setEndpoints(directory.usable());
    }
};

}

// Guards against a request that crashes one endpoint after the other (BUDGET).
TEST_CASE("a request under which three endpoints crashed is refused when it comes again, and others are served")
{
    CrashFixture fixture;
    int crashes = 0;
    while (crashes < 3) {
        REQUIRE(fixture.request("/i/7", "crashing") == 0);
        // The node sends the request to a second endpoint by itself.
        for (int n = 0; n < 2 && !fixture.exchange->response; ++n, ++crashes)
            fixture.crash();
        CHECK(fixture.exchange->response->status == 502);
    }
    const size_t sent = fixture.http.count();
    CHECK(fixture.request("/i/7", "crashing") == 503);
    CHECK(fixture.http.count() == sent);
    REQUIRE(fixture.exchange->response);
    CHECK(fixture.exchange->response->headers.find("Retry-After"));
    for (const char* it : { "/i/7", "/i/8" }) {
        CHECK(fixture.request(it, it == std::string("/i/7") ? "sound" : "crashing") == 0);
        fixture.answer();
        CHECK(fixture.exchange->response->status == 200);
    }
}

// Guards against items that are given up because endpoints ended while they ran there.
TEST_CASE("an item under which five endpoints crashed is sent again and completes")
{
    CrashFixture fixture;
    const ItemRun::Job job { "j", "b", "h.example", fixture.clock.now() + std::chrono::seconds { 18 },
        fixture.clock.now() + std::chrono::seconds { 60 } };
    std::optional<JobResult> result;
    ItemRun run(fixture.environment, job, { "i", "/b/1", {}, "body", 10 }, [&](JobResult it) { result = it; });
    run.start();
    CrashFixture::settle();
    for (size_t n = 1; n <= 5; ++n) {
        REQUIRE(fixture.http.count() == n);
        fixture.crash();
        run.suspend();
        run.start();
        CrashFixture::settle();
    }
    REQUIRE(fixture.http.count() == 6);
    fixture.http.handOver();
    fixture.http.headers(200);
    fixture.http.data("id: 1\ndata: a\n\n");
    fixture.http.finish();
    REQUIRE(result);
    CHECK(result->isCompleted);
}

// Guards against a crash after the first events of a stream that is taken for an answer to the request.
TEST_CASE("a stream that breaks off does not clear its request, and a complete one does")
{
    SimulatedClock clock;
    PromptQuarantine quarantine("n1");
    const HttpFailure closed { HttpFailure::Phase::Answering, HttpFailure::Reason::Closed, "closed" };
    for (int n = 0; n < 3; ++n) {
        PromptAttempts attempts(quarantine, clock, { "part" }, "request:1");
        CHECK_FALSE(attempts.refusal());
        attempts.begin({ "e" + std::to_string(n), "10.0.0.1:80", "lm", "z1", 8, false, 1 });
        attempts.recordEvent();
        attempts.recordEvent();
        attempts.recordFailure(closed);
        clock.advance(Milliseconds { 400 });
    }
    CHECK(PromptAttempts(quarantine, clock, { "part" }, "request:1").refusal());
    CHECK_FALSE(PromptAttempts(quarantine, clock, { "part" }, "request:2").refusal());
    PromptAttempts(quarantine, clock, {}, "request:1").recordAnswer();
    CHECK_FALSE(PromptAttempts(quarantine, clock, { "part" }, "request:1").refusal());
}

// Guards against requests that are refused because another one has the same body or path.
TEST_CASE("the fingerprint tells requests apart by what they ask for and who asks, and not by the attempt")
{
    const HttpRequest request { "POST", "/i/7", {}, { { "Host", "h.example" }, { "Request-Id", "1" } }, "b", "/i/7" };
    HttpRequest other = request;
    other.headers = { { "Request-Id", "2" }, { "Host", "H.example" }, { "Deadline-Ms", "9" } };
    CHECK(requestFingerprint(other) == requestFingerprint(request));
    for (const auto& change : std::vector<std::function<void(HttpRequest&)>> {
             [](HttpRequest& it) { it.method = "PUT"; }, [](HttpRequest& it) { it.target = "/i/7?x"; },
             [](HttpRequest& it) { it.body = "c"; }, [](HttpRequest& it) { it.headers.add("Authorization", "k"); },
             [](HttpRequest& it) {
                 it.headers = { { "Host", "other.example" } };
             } }) {
        HttpRequest changed = request;
        change(changed);
        CHECK(requestFingerprint(changed) != requestFingerprint(request));
    }
}

namespace {

/// Nodes that report to each other, three endpoints that come back after 3 s, and one request that crashes them and
/// comes again at any node, where the node and its caller each send it a second time.
class CrashLoad {
public:
    explicit CrashLoad(uint64_t seed)
        : m_random(seed)
    {
        for (int n = 0; n < 12; ++n)
            m_nodes.push_back(std::make_unique<PromptQuarantine>("n" + std::to_string(n)));
    }

    /// Runs for a tenth of a second.
    void step(bool hasCrashing)
    {
        m_now += Milliseconds { 100 };
        for (int n = 0; n < 3; ++n)
            sendSound();
        for (int n = 0; hasCrashing && n < 4; ++n)
            sendCrashing();
        if (++m_steps % 3 == 0)
            exchangeReports(m_nodes, m_now);
    }

    int crashes { 0 };
    int soundSent { 0 };
    int soundRefused { 0 };

private:
    static constexpr size_t endpointCount { 3 };

    PromptQuarantine& anyNode() { return *m_nodes[m_random.below(m_nodes.size())]; }

    /// Most sound requests ask for one of a few records, the others for one that nobody else asks for.
    std::string soundRequest()
    {
        const bool isPopular = m_random.below(4) > 0;
        return "sound" + std::to_string(isPopular ? m_random.below(50) : 1'000 + m_steps * 10 + m_random.below(10));
    }

    void sendSound()
    {
        PromptQuarantine& node = anyNode();
        const std::string request = soundRequest();
        if (node.decide({ request }, m_now).kind == PromptDecision::Kind::Refuse) {
            ++soundRefused;
            return;
        }
        ++soundSent;
        node.recordSent({ request }, m_now);
        node.recordAnswer({ request }, m_now);
    }

    void sendCrashing()
    {
        PromptQuarantine& node = anyNode();
        const size_t n = m_random.below(endpointCount);
        const bool isUp = m_now - m_crashedAt.at(n) >= std::chrono::seconds { 3 };
        if (!isUp || node.decide({ "crashing" }, m_now).kind == PromptDecision::Kind::Refuse)
            return;
        node.recordSent({ "crashing" }, m_now);
        ++crashes;
        m_crashedAt.at(n) = m_now;
        const EndpointRecord record { "e" + std::to_string(crashes), "10.0.0.1:80", "lm", "z1", 6, false, 1 };
        node.recordBrokenConnection({ "crashing" }, record, m_now);
        for (int k = 0; k < 4; ++k)
            anyNode().recordBrokenConnection({ soundRequest() }, record, m_now);
    }

    SeededRandom m_random;
    MonotonicTime m_now { std::chrono::hours { 1 } };
    std::vector<std::unique_ptr<PromptQuarantine>> m_nodes;
    std::array<MonotonicTime, endpointCount> m_crashedAt {};
    uint64_t m_steps { 0 };
};

}

// Load: a request comes again and again at all nodes of a deployment, in a service of three endpoints. Guards against
// endpoints that keep crashing, and against sound requests that are refused because they ran beside it.
TEST_CASE("all nodes stop sending a request that crashes endpoints, and send all sound ones")
{
    CrashLoad load(GENERATE(1, 2, 3, 4, 5));
    for (int n = 0; n < 100; ++n)
        load.step(false);
    // The request may go on for 3 s after the third crash; then three more are allowed.
    int stepsAfterThird = 0;
    int crashesAtBound = 0;
    for (int n = 0; n < 1'500; ++n) {
        load.step(true);
        if (load.crashes >= 3 && ++stepsAfterThird == 30)
            crashesAtBound = load.crashes;
    }
    INFO("crashes " << load.crashes << ", 3 s after the third " << crashesAtBound);
    CHECK(load.crashes >= 3);
    CHECK(load.crashes - crashesAtBound <= 3);
    CHECK(load.soundSent > 4'000);
    CHECK(load.soundRefused == 0);
}

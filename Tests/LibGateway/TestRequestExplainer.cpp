#include "FakeJobPeers.h"
#include "GatewayFixture.h"

#include <LibGateway/RequestExplainer.h>

#include <catch2/catch.hpp>

#include <algorithm>

using namespace Chicorydock;

namespace {

/// A node that allocates its own slots, and explains requests of the workspaces `acme` (key `a1`, one request a second)
/// and `bolt` (key `b1`, no limit).
struct ExplainingNode : GatewayFixture {
    FakeJobPeers peers;
    JobController jobs { environment, rows, peers, "n1" };
    SlotCoordinator coordinator { scheduler };
    SlotMember member { "n1", coordinator };
    RequestExplainer explainer { environment, scheduler, member, jobs, "n1" };
    uint64_t lastWork { 0 };

    ExplainingNode()
    {
        const auto decoded = wire.decodeConfiguration(R"({"version":4,"routes":[],"tenants":[
            {"name":"acme","api_keys":["a1"],"requests_per_s":1,"burst_size":1},
            {"name":"bolt","api_keys":["b1"]}]})");
        REQUIRE(decoded);
        GatewayConfiguration configuration = *environment.configuration;
        configuration.hasWorkspaces = true;
        configuration.workspaces = decoded->workspaces;
        environment.configuration = std::make_shared<const GatewayConfiguration>(configuration);
        std::vector<WorkspaceLimits> limits;
        for (const GatewayWorkspace& it : configuration.workspaces)
            limits.push_back(it.limits);
        scheduler.setWorkspaces(limits);
    }

    static HttpRequest makeRequest(const QByteArray& path, const QByteArray& key, const QByteArray& body = {})
    {
        HttpRequest request { "POST", path, {}, {}, body, path };
        request.headers.add("Host", "h.example");
        request.headers.add("Request-Id", "q1");
        request.headers.add("Deadline-Ms", "5000");
        if (!key.isEmpty())
            request.headers.add("Authorization", "Bearer " + key);
        return request;
    }

    RequestExplanation explain(const QByteArray& path, const QByteArray& key = "b1", const QByteArray& body = {}) const
    {
        return explainer.explain(makeRequest(path, key, body));
    }

    /// Returns the decision about a request of `bolt`, which must not be refused before it is queued.
    SlotExplanation decisionFor(const QByteArray& path) const
    {
        const RequestExplanation explanation = explain(path);
        REQUIRE_FALSE(explanation.refusal);
        REQUIRE(explanation.services.size() == 1);
        return explanation.services.front().decision;
    }

    /// Submits such a request to the scheduler and returns what it decides about it at once.
    std::vector<SlotDecision> submit()
    {
        OnlineWork work;
        work.id = ++lastWork;
        work.service = "lm";
        work.startBy = clock.now() + Milliseconds { 220 };
        work.deadline = clock.now() + Milliseconds { 5'000 };
        work.profile.workspace = "bolt";
        scheduler.submit(work, clock.now());
        return scheduler.poll(clock.now());
    }
};

ErrorKind refusalOf(const RequestExplanation& explanation)
{
    REQUIRE(explanation.refusal);
    return explanation.refusal->kind();
}

}

// Guards against an explanation that differs from what then happens to the same request, and against one that takes a
// slot, a place in the queue or a token.
TEST_CASE("a request starts where its explanation says, and the explanation changes nothing")
{
    ExplainingNode node;
    // Each endpoint has a use of its own, further apart than the random part of the cost.
    node.scheduler.observe("e0", { 6, 0 }, node.clock.now());
    node.scheduler.observe("e2", { 3, 0 }, node.clock.now());
    const SlotExplanation first = node.decisionFor("/s/1");
    CHECK(first.endpoint == "e1");
    CHECK(node.decisionFor("/s/1") == first);
    CHECK(node.scheduler.waitingOnline() == 0);
    CHECK(node.scheduler.ownUse().empty());
    CHECK(node.log.events.empty());
    const std::vector<SlotDecision> decisions = node.submit();
    REQUIRE(decisions.size() == 1);
    CHECK(decisions.front().kind == SlotDecision::Kind::Start);
    CHECK(decisions.front().endpoint == first.endpoint);
}

// Guards against an explanation that does not show why the other endpoints are not used.
TEST_CASE("the explanation judges every endpoint of the service, the best one first")
{
    ExplainingNode node;
    node.scheduler.observe("e0", { 8, 0 }, node.clock.now());
    node.directory.markLeaving("e2", node.clock.now());
    const SlotExplanation decision = node.decisionFor("/i/1");
    REQUIRE(decision.endpoints.size() == 3);
    CHECK(decision.endpoints.front().endpoint == "e1");
    CHECK(decision.endpoints.front().obstacle == EndpointObstacle::None);
    for (const EndpointEvaluation& it : decision.endpoints) {
        if (it.endpoint == "e0")
            CHECK(it.obstacle == EndpointObstacle::Full);
        if (it.endpoint == "e2")
            CHECK(it.obstacle == EndpointObstacle::Excluded);
    }
}

// Guards against an explanation of a busy node that does not tell waiting from a refusal.
TEST_CASE("a request that would wait or be refused for load is explained as such")
{
    ExplainingNode node;
    for (int n = 0; n < 24; ++n)
        REQUIRE(node.submit().size() == 1);
    CHECK(node.submit().empty());
    const SlotExplanation waiting = node.decisionFor("/s/1");
    CHECK(waiting.ahead == 1);
    CHECK(waiting.endpoint.empty());
    CHECK_FALSE(waiting.refusal);
    while (node.submit().empty()) { }
    const SlotExplanation refused = node.decisionFor("/s/1");
    CHECK(refused.refusal == RefusalReason::Load);
    CHECK(refused.retryAfter > Milliseconds { 0 });
    CHECK(refused.expectedWait > waiting.expectedWait);
}

// Guards against an explanation that uses up the rate limit, or does not see it.
TEST_CASE("the explanation shows the rate limit of the workspace and charges nothing")
{
    ExplainingNode node;
    node.clock.advance(std::chrono::seconds { 10 });
    node.scheduler.poll(node.clock.now());
    uint64_t charged = 0;
    while (!node.scheduler.quota().charge(++node.lastWork, "acme", false, node.clock.now()))
        ++charged;
    for (int n = 0; n < 3; ++n) {
        const SlotExplanation decision = node.explain("/s/1", "a1").services.at(0).decision;
        CHECK(decision.refusal == RefusalReason::Quota);
        REQUIRE(decision.quota);
        CHECK(decision.quota->limits.name == "acme");
        CHECK(decision.retryAfter == *decision.quota->retryAfter);
    }
    CHECK(node.scheduler.quota().totals().charged == charged);
    CHECK_FALSE(node.decisionFor("/s/1").quota);
}

// Guards against requests that the tool explains although they would not be queued, and against keys in its output.
TEST_CASE("requests that are refused before they are queued are explained by the reason")
{
    ExplainingNode node;
    CHECK(refusalOf(node.explain("/none/1")) == ErrorKind::UnknownRoute);
    CHECK(node.explain("/none/1").otherPrefixes.size() == 4);
    const RequestExplanation unknown = node.explain("/s/1", "secret");
    CHECK(refusalOf(unknown) == ErrorKind::Unauthorized);
    CHECK(unknown.refusal->message().find("secret") == std::string::npos);
    CHECK(node.metrics.text().find("chicorydock_unauthenticated_total") == std::string::npos);
    CHECK(refusalOf(node.explain("/b/1", "b1", "no job")) == ErrorKind::MalformedRequest);
    node.environment.configuration = std::make_shared<const GatewayConfiguration>();
    CHECK(refusalOf(node.explain("/s/1")) == ErrorKind::NotReady);
}

// Guards against jobs that the tool cannot explain.
TEST_CASE("a job is explained by its first item and the limit of waiting tokens")
{
    ExplainingNode node;
    const auto job = [](int tokens) {
        return R"({"items":[{"id":"i1","path":"/b/x","headers":{},"body":"eA==","token_count":)"
            + QByteArray::number(tokens) + "}]}";
    };
    const RequestExplanation fitting = node.explain("/b/q1", "b1", job(1'000));
    REQUIRE_FALSE(fitting.refusal);
    CHECK(fitting.items == 1);
    CHECK(fitting.workspace == "bolt");
    CHECK(fitting.services.at(0).decision.endpoints.size() == 3);
    CHECK(refusalOf(node.explain("/b/q1", "b1", job(1'001))) == ErrorKind::Overloaded);
    CHECK(node.jobs.openJobs() == 0);
}

// Guards against an explanation by a node that does not know the use of the endpoints.
TEST_CASE("a node whose slots another one allocates names that one")
{
    ExplainingNode node;
    node.member.setCandidates({ "n2", "n1" }, node.clock.now());
    const RequestExplanation explanation = node.explain("/s/1");
    CHECK_FALSE(explanation.refusal);
    CHECK(explanation.coordinator == "n2");
    CHECK(explanation.services.empty());
}

#include "FakeJobPeers.h"
#include "GatewayFixture.h"

#include <LibGateway/GatewayHandler.h>
#include <LibGateway/RequestFingerprint.h>
#include <LibGateway/SlotCoordinator.h>
#include <LibGateway/WorkspaceMetrics.h>
#include <Tests/Support/FakeExchange.h>

#include <QJsonDocument>
#include <catch2/catch.hpp>

using namespace Chicorydock;

namespace {

const QByteArray job = R"({"items":[{"id":"i1","path":"/b/x","headers":{"Tenant":"x","Authorization":"Bearer a1"},
    "body":"eA==","token_count":5}]})";

/// A node with one endpoint whose configuration holds two workspaces, `acme` with the keys `a1` and `a2`, and `bolt`
/// with the key `b1`. Callers of the route `/i/` need no key.
struct WorkspaceNode : GatewayFixture {
    FakeJobPeers peers;
    JobController jobs { environment, rows, peers, "n1" };
    GatewayHandler handler { environment, jobs };

    explicit WorkspaceNode(const QByteArray& workspaces
        = R"([{"name":"acme","api_keys":["a1","a2"],"priority":1},{"name":"bolt","api_keys":["b1"]}])",
        size_t endpoints = 1)
        : GatewayFixture(endpoints)
    {
        jobs.onReachableChanged(true);
        jobs.onTableListed({});
        setWorkspaces(workspaces);
    }

    void setWorkspaces(const QByteArray& workspaces)
    {
        const auto decoded = wire.decodeConfiguration(R"({"version":4,"routes":[],"tenants":)" + workspaces + "}");
        REQUIRE(decoded);
        GatewayConfiguration configuration = *environment.configuration;
        ++configuration.version;
        configuration.hasWorkspaces = true;
        configuration.workspaces = decoded->workspaces;
        for (GatewayRoute& it : configuration.routes)
            it.allowsAnonymous = it.name == "i";
        environment.configuration = std::make_shared<const GatewayConfiguration>(configuration);
        handler.updateWaitingCalls();
        settle();
    }

    static HttpRequest makeRequest(
        const QByteArray& method, const QByteArray& target, const QByteArray& key, HttpHeaders headers = {})
    {
        const QByteArray path = target.first(target.indexOf('?') < 0 ? target.size() : target.indexOf('?'));
        HttpRequest request { method, path, target.mid(path.size() + 1), std::move(headers), {}, target };
        request.headers.add("Host", "h.example");
        request.headers.add("Request-Id", "q1");
        request.headers.add("Deadline-Ms", "4000");
        if (!key.isEmpty())
            request.headers.add("Authorization", "Bearer " + key);
        return request;
    }

    std::shared_ptr<FakeExchange> send(const HttpRequest& request)
    {
        auto exchange = std::make_shared<FakeExchange>(request);
        handler.handle(exchange);
        rows.deliver();
        settle();
        return exchange;
    }

    int statusOf(const HttpRequest& request)
    {
        const auto exchange = send(request);
        return exchange->response ? exchange->response->status : 0;
    }

    int submit(const QByteArray& key, const QByteArray& body = job)
    {
        HttpRequest request = makeRequest("POST", "/b/q1", key);
        request.body = body;
        return statusOf(request);
    }

    int readJob(const QByteArray& key) { return statusOf(makeRequest("GET", "/api/lots/q1?after=0", key)); }
    int readItem(const QByteArray& key) { return statusOf(makeRequest("GET", "/api/items/q1?id=i1", key)); }
    int endJob(const QByteArray& key) { return statusOf(makeRequest("DELETE", "/api/lots/q1", key)); }

    /// Returns the workspace that the endpoint of the latest call was told.
    QByteArray sentWorkspace() { return http.last().request.headers.find("Tenant").value_or("none"); }

    bool isKeySent()
    {
        for (size_t n = 0; n < http.count(); ++n) {
            for (const auto& [name, value] : http.call(n).request.headers.fields()) {
                if (name.compare("Authorization", Qt::CaseInsensitive) == 0 || value.contains("a1"))
                    return true;
            }
        }
        return false;
    }

    /// Occupies the slots of the endpoint.
    void fillSlots()
    {
        for (int n = 0; n < 8; ++n)
            send(makeRequest("POST", "/u/" + QByteArray::number(n), "a1"));
        REQUIRE(http.count() == 8);
    }

    /// Ends the first request in order.
    void freeSlot()
    {
        HttpCallObserver& observer = *http.call(0).observer;
        observer.onHandedOver();
        observer.onHeaders(200, { { "Server-Signature", "s" } });
        observer.onData("id: 1\ndata: d\n\n");
        observer.onFinished();
        settle();
    }
};

}

// Guards against requests that run although no workspace holds their key (ROUTE).
TEST_CASE("a request without the key of a workspace gets 401 and reaches no endpoint")
{
    WorkspaceNode node;
    CHECK(node.statusOf(WorkspaceNode::makeRequest("POST", "/s/1", {})) == 401);
    CHECK(node.statusOf(WorkspaceNode::makeRequest("POST", "/s/1", "other")) == 401);
    CHECK(node.statusOf(WorkspaceNode::makeRequest("POST", "/s/1", "A1")) == 401);
    CHECK(node.statusOf(WorkspaceNode::makeRequest("POST", "/s/1", QByteArray(100'000, 'a'))) == 401);
    CHECK(node.statusOf(WorkspaceNode::makeRequest("POST", "/s/1", {}, { { "Authorization", "Basic a1" } })) == 401);
    CHECK(node.statusOf(WorkspaceNode::makeRequest("POST", "/s/1", "b1", { { "Authorization", "Bearer a1" } })) == 401);
    CHECK(node.submit("other") == 401);
    CHECK(node.readJob("other") == 401);
    CHECK(node.http.count() == 0);
    node.setWorkspaces("[]");
    CHECK(node.statusOf(WorkspaceNode::makeRequest("POST", "/s/1", "a1")) == 401);
    CHECK(node.http.count() == 0);
}

// Guards against a key that reaches an endpoint, and a workspace that the caller chose itself (UNASKED).
TEST_CASE("an endpoint is told the workspace of a request, and never the key")
{
    WorkspaceNode node;
    const HttpHeaders own { { "tenant", "bolt" }, { "Tenant", "bolt" }, { "Chicorydock-Workspace", "=bolt" } };
    node.send(WorkspaceNode::makeRequest("POST", "/s/1", "a2", own));
    REQUIRE(node.http.count() == 1);
    const HttpHeaders first = node.http.last().request.headers;
    CHECK(first.find("Tenant") == "acme");
    CHECK(std::ranges::count_if(first.fields(), [](const auto& it) {
        return it.first.compare("tenant", Qt::CaseInsensitive) == 0;
    }) == 1);
    CHECK_FALSE(first.find("Authorization"));
    CHECK_FALSE(first.find("Chicorydock-Workspace"));
    node.http.handOver();
    node.http.headers(503, { { "Not-Executed", "1" } });
    node.http.finish();
    node.send(WorkspaceNode::makeRequest("POST", "/s/1", "b1"));
    CHECK(node.sentWorkspace() == "bolt");
    CHECK_FALSE(node.isKeySent());
    for (const Event& it : node.log.events)
        CHECK_FALSE(QJsonDocument(it.details).toJson().contains("a2"));
}

// Guards against a run after the first one that has other fields.
TEST_CASE("a stream that is resumed at another endpoint has the same workspace and no key")
{
    WorkspaceNode node;
    node.directory.put({ "e1", "10.0.0.1:80", "lm", "z1", 8, false, 1, 5 });
    node.scheduler.setEndpoints(node.directory.usable());
    node.send(WorkspaceNode::makeRequest("POST", "/s/1", "a1", { { "Tenant", "bolt" } }));
    node.http.handOver();
    node.http.headers(200, { { "Server-Signature", "s" }, { "Content-Type", "text/event-stream" } });
    node.http.data("id: 1\ndata: d\n\n");
    node.rows.deliver();
    // The workspace loses the key meanwhile, which ends no stream.
    node.setWorkspaces(R"([{"name":"bolt","api_keys":["b1"]}])");
    node.http.fail(HttpFailure::Phase::Answering);
    node.settle();
    REQUIRE(node.http.count() == 2);
    CHECK(node.http.last().request.headers.find("Last-Event-Id") == "1");
    CHECK(node.sentWorkspace() == "acme");
    CHECK_FALSE(node.isKeySent());
}

// Guards against a change for deployments without workspaces.
TEST_CASE("without workspaces the fields of a caller are passed on")
{
    GatewayFixture fixture;
    FakeJobPeers peers;
    JobController jobs { fixture.environment, fixture.rows, peers, "n1" };
    GatewayHandler handler { fixture.environment, jobs };
    const auto exchange
        = std::make_shared<FakeExchange>(WorkspaceNode::makeRequest("POST", "/s/1", "a1", { { "Tenant", "own" } }));
    handler.handle(exchange);
    fixture.settle();
    REQUIRE(fixture.http.count() == 1);
    CHECK(fixture.http.last().request.headers.find("Authorization") == "Bearer a1");
    CHECK(fixture.http.last().request.headers.find("Tenant") == "own");
}

// Guards against refusals that callers take for final, from a node that does not know the keys yet (DENIED).
TEST_CASE("a node without a configuration refuses requests and calls about jobs as not run")
{
    WorkspaceNode node;
    node.environment.configuration = std::make_shared<const GatewayConfiguration>();
    CHECK(node.statusOf(WorkspaceNode::makeRequest("POST", "/s/1", "a1")) == 503);
    CHECK(node.readJob("a1") == 503);
    CHECK(node.endJob("a1") == 503);
}

// Guards against a route that no longer serves callers without a key, and against one that takes any key.
TEST_CASE("a route that allows anonymous callers takes no unknown key")
{
    WorkspaceNode node;
    node.send(WorkspaceNode::makeRequest("POST", "/i/1", {}, { { "Tenant", "bolt" } }));
    REQUIRE(node.http.count() == 1);
    CHECK(node.sentWorkspace() == "none");
    node.send(WorkspaceNode::makeRequest("POST", "/i/1", "b1"));
    REQUIRE(node.http.count() == 2);
    CHECK(node.sentWorkspace() == "bolt");
    CHECK(node.statusOf(WorkspaceNode::makeRequest("POST", "/i/1", "other")) == 401);
    CHECK(node.http.count() == 2);
}

// Guards against a key that admits the callers of one workspace to the data of another.
TEST_CASE("a key that two workspaces claim admits nobody")
{
    WorkspaceNode node(R"([{"name":"acme","api_keys":["a1","k"]},{"name":"bolt","api_keys":["k","b1","b1"]},
        {"name":"acme","api_keys":["c1"]},{"name":"rate","api_keys":["r1"],"requests_per_s":-1}, 7, null])");
    CHECK(node.statusOf(WorkspaceNode::makeRequest("POST", "/s/1", "k")) == 401);
    CHECK(node.statusOf(WorkspaceNode::makeRequest("POST", "/s/1", "c1")) == 401);
    CHECK(node.statusOf(WorkspaceNode::makeRequest("POST", "/s/1", "r1")) == 401);
    CHECK(node.http.count() == 0);
    node.send(WorkspaceNode::makeRequest("POST", "/s/1", "a1"));
    CHECK(node.http.count() == 1);
    node.send(WorkspaceNode::makeRequest("POST", "/s/1", "b1"));
    CHECK(node.http.count() == 2);
}

// Guards against a revoked key whose requests run after they have waited (CONFIG).
TEST_CASE("a request that waits is refused when its key is revoked, and follows a key that moves")
{
    WorkspaceNode node;
    node.fillSlots();
    const auto waiting = node.send(WorkspaceNode::makeRequest("POST", "/u/9", "b1"));
    REQUIRE_FALSE(waiting->response);
    SECTION("the key is revoked")
    {
        node.setWorkspaces(R"([{"name":"acme","api_keys":["a1"]}])");
        REQUIRE(waiting->response);
        CHECK(waiting->response->status == 401);
    }
    SECTION("the key belongs to another workspace now")
    {
        node.setWorkspaces(R"([{"name":"acme","api_keys":["a1","b1"]}])");
        REQUIRE_FALSE(waiting->response);
        node.freeSlot();
        REQUIRE(node.http.count() == 9);
        CHECK(node.sentWorkspace() == "acme");
    }
    SECTION("the workspace has another key besides")
    {
        node.setWorkspaces(R"([{"name":"acme","api_keys":["a1"]},{"name":"bolt","api_keys":["b1","b2"]}])");
        CHECK_FALSE(waiting->response);
    }
}

// Guards against requests of an important workspace that wait behind others of the same route.
TEST_CASE("the priority of a workspace goes before that of the route")
{
    WorkspaceNode node(R"([{"name":"acme","api_keys":["a1"],"priority":5},
        {"name":"bolt","api_keys":["b1"],"priority":0}])");
    node.fillSlots();
    REQUIRE_FALSE(node.send(WorkspaceNode::makeRequest("POST", "/u/8", "a1"))->response);
    REQUIRE_FALSE(node.send(WorkspaceNode::makeRequest("POST", "/u/9", "b1"))->response);
    node.freeSlot();
    REQUIRE(node.http.count() == 9);
    CHECK(node.http.last().request.target == "/u/9");
}

// Guards against jobs that another customer can read or end, or whose existence it learns.
TEST_CASE("a job exists only for its workspace")
{
    WorkspaceNode node;
    REQUIRE(node.submit("a1") == 202);
    for (const char* it : { "b1" }) {
        CHECK(node.readJob(it) == 404);
        CHECK(node.readItem(it) == 404);
        CHECK(node.endJob(it) == 404);
    }
    CHECK(node.readJob("a2") == 200);
    CHECK(node.readItem("a2") == 200);
    // The same identifier is free for another workspace.
    CHECK(node.submit("b1") == 202);
    CHECK(node.readJob("b1") == 200);
    CHECK(node.endJob("b1") == 200);
    CHECK(node.submit("a2") == 202);
    REQUIRE(node.http.count() == 2);
    CHECK_FALSE(node.http.call(0).isCancelled);
    CHECK(node.http.call(1).isCancelled);
    // Revocation ends no job, and a key that comes later opens it.
    node.setWorkspaces(R"([{"name":"acme","api_keys":["a3"]}])");
    CHECK(node.readJob("a1") == 401);
    CHECK(node.readJob("a3") == 200);
    CHECK_FALSE(node.http.call(0).isCancelled);
    CHECK(node.endJob("a3") == 200);
}

// Guards against items that run under a workspace that their submitter wrote into them.
TEST_CASE("items run under the name of the workspace of their job")
{
    WorkspaceNode node;
    REQUIRE(node.submit("a2") == 202);
    REQUIRE(node.http.count() == 1);
    CHECK(node.sentWorkspace() == "acme");
    CHECK_FALSE(node.isKeySent());
}

// Guards against jobs that their callers lose when workspaces come into use, or go.
TEST_CASE("jobs stay readable when the configuration begins or ceases to hold workspaces")
{
    WorkspaceNode node;
    const auto withWorkspaces = node.environment.configuration;
    GatewayConfiguration configuration = *withWorkspaces;
    configuration.hasWorkspaces = false;
    configuration.workspaces.clear();
    const auto without = std::make_shared<const GatewayConfiguration>(configuration);
    const bool beginsWithout = GENERATE(true, false);
    node.environment.configuration = beginsWithout ? without : withWorkspaces;
    REQUIRE(node.submit(beginsWithout ? "" : "a1") == 202);
    node.environment.configuration = beginsWithout ? withWorkspaces : without;
    const QByteArray key = beginsWithout ? "b1" : "";
    CHECK(node.readJob(key) == 200);
    CHECK(node.readItem(key) == 200);
    CHECK(node.submit(key) == 202);
    CHECK(node.endJob(key) == 200);
    CHECK(node.http.count() == 1);
}

// Guards against the loss of such a job at a node that has started since then and has not listed the jobs yet.
TEST_CASE("a job is not reported as missing before the jobs have been listed")
{
    WorkspaceNode node;
    REQUIRE(node.submit("a1") == 202);
    GatewayConfiguration configuration = *node.environment.configuration;
    configuration.hasWorkspaces = false;
    configuration.workspaces.clear();
    node.environment.configuration = std::make_shared<const GatewayConfiguration>(configuration);
    JobController startedLater(node.environment, node.rows, node.peers, "n2");
    startedLater.onReachableChanged(true);
    const auto read = [&] {
        std::variant<JobResultPage, Error> found;
        startedLater.readResults(
            startedLater.findId({}, "q1"), 0, [&](const std::variant<JobResultPage, Error>& it) { found = it; });
        node.rows.deliver();
        return found;
    };
    CHECK(std::get<Error>(read()).kind() == ErrorKind::NotReady);
    startedLater.onTableListed({ jobHeadRows(node.rows) });
    CHECK(std::get<JobResultPage>(read()).total == 1);
}

// Guards against one workspace that uses up what all may have waiting on a route (QUOTA).
TEST_CASE("the limit of waiting tokens binds each workspace by itself")
{
    WorkspaceNode node;
    const QByteArray large = R"({"items":[{"id":"i1","path":"/b/x","headers":{},"body":"","token_count":900}]})";
    const auto submitAs = [&](const QByteArray& key, const QByteArray& id) {
        HttpRequest request = WorkspaceNode::makeRequest("POST", "/b/" + id, key, { { "Request-Id", id } });
        request.body = large;
        return node.statusOf(request);
    };
    CHECK(submitAs("a1", "q1") == 202);
    CHECK(submitAs("a2", "q2") == 429);
    CHECK(submitAs("b1", "q3") == 202);
    CHECK(submitAs("b1", "q4") == 429);
}

// Guards against a 401, which callers take for final, for a key that a newer configuration holds (DENIED).
TEST_CASE("an unknown key is refused as not run while a newer configuration may hold it")
{
    WorkspaceNode node;
    bool isCurrent = false;
    node.environment.isConfigurationCurrent = [&] { return isCurrent; };
    for (const QByteArray& it : { QByteArray("new"), QByteArray() }) {
        const auto exchange = node.send(WorkspaceNode::makeRequest("POST", "/s/1", it));
        REQUIRE(exchange->response);
        CHECK(exchange->response->status == 503);
        CHECK(exchange->response->headers.find("Retry-After"));
    }
    // The keys that this node knows are valid as long as it knows of no newer configuration.
    node.send(WorkspaceNode::makeRequest("POST", "/s/1", "a1"));
    CHECK(node.http.count() == 1);
    isCurrent = true;
    CHECK(node.statusOf(WorkspaceNode::makeRequest("POST", "/s/1", "new")) == 401);
}

// Guards against a key that a peer gets, and against a peer that does not know whose the request is (UNASKED).
TEST_CASE("a peer is told the workspace of a request in place of the key")
{
    WorkspaceNode node;
    node.relayPeers.peers = { { "n2", "10.1.0.2:7660", PeerDistance::FailureDomain, 4 } };
    for (const char* it : { "e1", "e2" })
        node.directory.put({ it, "10.0.0.1:80", "lm", "z1", 8, false, 1, 5 });
    for (const char* it : { "e0", "e1", "e2" })
        node.links.recordFailure(it, node.clock.now());
    REQUIRE(node.links.areLost());
    const bool isAnonymous = GENERATE(true, false);
    node.send(WorkspaceNode::makeRequest("POST", isAnonymous ? "/i/1" : "/s/1", isAnonymous ? "" : "a1",
        { { "Tenant", "bolt" }, { "Chicorydock-Workspace", "=bolt" } }));
    REQUIRE(node.http.count() == 1);
    const HttpHeaders sent = node.http.last().request.headers;
    CHECK_FALSE(node.isKeySent());
    CHECK_FALSE(sent.find("Tenant"));

    WorkspaceNode peer;
    HttpRequest request = WorkspaceNode::makeRequest("POST", isAnonymous ? "/i/1" : "/s/1", {});
    request.headers = sent;
    peer.handler.handleRelayed(std::make_shared<FakeExchange>(request));
    WorkspaceNode::settle();
    REQUIRE(peer.http.count() == 1);
    CHECK(peer.sentWorkspace() == (isAnonymous ? "none" : "acme"));
    CHECK_FALSE(peer.http.last().request.headers.find("Chicorydock-Workspace"));
    // Only peers can name a workspace.
    CHECK(peer.statusOf(WorkspaceNode::makeRequest("POST", "/s/1", {}, sent)) == 401);
    // A peer of an earlier version passes the key on.
    peer.handler.handleRelayed(
        std::make_shared<FakeExchange>(WorkspaceNode::makeRequest("POST", "/s/1", "b1", { { relayField, "1" } })));
    WorkspaceNode::settle();
    CHECK(peer.http.count() == 2);
    CHECK(peer.sentWorkspace() == "bolt");
}

namespace {

/// Refuses all work for the same reason.
struct RefusingAllocator final : SlotAllocator {
    RefusalReason reason { RefusalReason::Quota };
    std::vector<SlotDecision> decisions;
    std::vector<OnlineWork> works;

    void setEndpoints(const std::vector<EndpointRecord>&) override { }
    void setWorkspaces(const std::vector<WorkspaceLimits>&) override { }
    void submit(const OnlineWork& work, MonotonicTime) override
    {
        works.push_back(work);
        decisions.push_back({ .kind = SlotDecision::Kind::Refuse,
            .work = work.id,
            .retryAfter = Milliseconds { 700 },
            .reason = reason });
    }
    void submit(const BatchWork&) override { }
    void withdraw(uint64_t) override { }
    void finish(uint64_t, EndpointOutcome, MonotonicTime) override { }
    void observe(const std::string&, const ObservedLoad&, MonotonicTime) override { }
    void observeRate(const std::string&, const RateStatement&, MonotonicTime) override { }
    std::vector<SlotDecision> poll(MonotonicTime) override { return std::exchange(decisions, {}); }
    bool needsPolling() const override { return false; }
};

}

// Guards against callers over their rate limit that are told that the system is overloaded.
TEST_CASE("a request over the rate limit of its workspace gets 429 with the time to retry")
{
    WorkspaceNode node;
    RefusingAllocator allocator;
    allocator.reason = GENERATE(RefusalReason::Quota, RefusalReason::Load);
    SlotBroker broker { allocator, node.clock, [] {} };
    GatewayEnvironment environment { node.clock, node.random, node.wire, node.client, broker, node.directory,
        node.quarantine, node.origins, node.endpointView, node.links, node.relayPeers, node.log, node.metrics,
        node.responseMemory, node.environment.configuration };
    GatewayHandler handler { environment, node.jobs };
    const auto exchange = std::make_shared<FakeExchange>(WorkspaceNode::makeRequest("POST", "/s/1", "a1"));
    handler.handle(exchange);
    WorkspaceNode::settle();
    REQUIRE(exchange->response);
    CHECK(exchange->response->status == (allocator.reason == RefusalReason::Quota ? 429 : 503));
    CHECK(exchange->response->headers.find("Retry-After") == "0.700");
    REQUIRE(allocator.works.size() == 1);
    CHECK(allocator.works[0].profile.workspace == "acme");
    CHECK(allocator.works[0].priority == 1);
}

// Guards against a workspace that pays with its rate limit for endpoints that fail.
TEST_CASE("a request that is sent to another endpoint is charged to the rate limit once")
{
    WorkspaceNode node(R"([{"name":"acme","api_keys":["a1"]}])", 2);
    node.scheduler.setWorkspaces({ { .name = "acme", .requestsPerSecond = 100, .burst = 100 } });
    node.clock.advance(std::chrono::seconds { 1 });
    const auto exchange = node.send(WorkspaceNode::makeRequest("POST", "/s/1", "a1"));
    REQUIRE(node.http.count() == 1);
    node.http.handOver();
    node.http.fail(HttpFailure::Phase::Sent);
    WorkspaceNode::settle();
    REQUIRE(node.http.count() == 2);
    CHECK(node.scheduler.quota().totals().charged == 1);
}

// Guards against metrics whose number grows with the number of customers.
TEST_CASE("the metrics name a bounded number of workspaces")
{
    MetricsRegistry registry;
    WorkspaceMetrics metrics;
    for (int n = 0; n < 1'000; ++n)
        metrics.count(registry, "w" + std::to_string(n), "answered");
    metrics.count(registry, "w0", "answered");
    const QByteArray text = QByteArray::fromStdString(registry.text());
    CHECK(text.count("{workspace=") == static_cast<qsizetype>(WorkspaceMetrics::maxNames) + 1);
    CHECK(text.contains("{workspace=\"w0\",outcome=\"answered\"} 2"));
    CHECK(text.contains("{workspace=\"(other)\",outcome=\"answered\"} 950"));
}

// Guards against identifiers in logs and messages of peers that are derived from a key.
TEST_CASE("the fingerprint of a request depends on its workspace, not on the key")
{
    const HttpRequest first = WorkspaceNode::makeRequest("POST", "/s/1", "a1");
    const HttpRequest second = WorkspaceNode::makeRequest("POST", "/s/1", "a2");
    CHECK(requestFingerprint(first, "acme") == requestFingerprint(second, "acme"));
    CHECK(requestFingerprint(first, "acme") != requestFingerprint(first, "bolt"));
    CHECK(requestFingerprint(first) != requestFingerprint(second));
}

// Guards against a caller that has its revoked key overlooked by passing itself off as a peer.
TEST_CASE("the field of peers has no effect on the address for callers")
{
    WorkspaceNode node;
    node.fillSlots();
    const auto waiting = node.send(WorkspaceNode::makeRequest("POST", "/u/9", "b1", { { relayField, "1" } }));
    REQUIRE_FALSE(waiting->response);
    SECTION("the key is revoked")
    {
        node.setWorkspaces(R"([{"name":"acme","api_keys":["a1"]}])");
        REQUIRE(waiting->response);
        CHECK(waiting->response->status == 401);
    }
    SECTION("the request is answered")
    {
        node.freeSlot();
        REQUIRE(node.http.count() == 9);
        HttpCallObserver& observer = *node.http.call(8).observer;
        observer.onHandedOver();
        observer.onHeaders(200, { { "Server-Signature", "s" } });
        observer.onData("id: 1\ndata: d\n\n");
        observer.onFinished();
        WorkspaceNode::settle();
        REQUIRE(waiting->response);
        CHECK_FALSE(waiting->response->headers.find(relayedEndpointField));
    }
}

// Guards against a job that is taken for another one because callers use the separator themselves (LOST).
TEST_CASE("an identifier that begins that of another job is its own job")
{
    WorkspaceNode node;
    GatewayConfiguration configuration = *node.environment.configuration;
    configuration.hasWorkspaces = false;
    node.environment.configuration = std::make_shared<const GatewayConfiguration>(configuration);
    HttpRequest request = WorkspaceNode::makeRequest("POST", "/b/q1", "");
    request.headers = { { "Host", "h.example" }, { "Request-Id", "q1@site" } };
    request.body = job;
    REQUIRE(node.statusOf(request) == 202);
    CHECK(node.readJob("") == 404);
    CHECK(node.submit("") == 202);
    CHECK(node.http.count() == 2);
}

namespace {

/// Starts the first work at an endpoint and keeps all other work waiting.
struct GrantingAllocator final : SlotAllocator {
    std::vector<SlotDecision> decisions;
    std::vector<OnlineWork> works;

    void setEndpoints(const std::vector<EndpointRecord>&) override { }
    void setWorkspaces(const std::vector<WorkspaceLimits>&) override { }
    void submit(const OnlineWork& work, MonotonicTime) override
    {
        works.push_back(work);
        if (works.size() == 1)
            decisions.push_back({ .kind = SlotDecision::Kind::Start, .work = work.id, .endpoint = "e0" });
    }
    void submit(const BatchWork&) override { }
    void withdraw(uint64_t) override { }
    void finish(uint64_t, EndpointOutcome, MonotonicTime) override { }
    void observe(const std::string&, const ObservedLoad&, MonotonicTime) override { }
    void observeRate(const std::string&, const RateStatement&, MonotonicTime) override { }
    std::vector<SlotDecision> poll(MonotonicTime) override { return std::exchange(decisions, {}); }
    bool needsPolling() const override { return false; }
};

}

// Guards against a request that is charged to the rate limit of its workspace for each of its runs.
TEST_CASE("a request that had a slot is not charged again, unless its key belongs to another workspace now")
{
    WorkspaceNode node;
    GrantingAllocator allocator;
    SlotBroker broker { allocator, node.clock, [] {} };
    GatewayEnvironment environment { node.clock, node.random, node.wire, node.client, broker, node.directory,
        node.quarantine, node.origins, node.endpointView, node.links, node.relayPeers, node.log, node.metrics,
        node.responseMemory, node.environment.configuration };
    GatewayHandler handler { environment, node.jobs };
    const auto exchange = std::make_shared<FakeExchange>(WorkspaceNode::makeRequest("POST", "/s/1", "a1"));
    handler.handle(exchange);
    WorkspaceNode::settle();
    REQUIRE(node.http.count() == 1);
    node.http.fail(HttpFailure::Phase::NotSent);
    WorkspaceNode::settle();
    REQUIRE(allocator.works.size() == 2);
    CHECK_FALSE(allocator.works[0].isCharged);
    CHECK(allocator.works[1].isCharged);
    node.setWorkspaces(R"([{"name":"acme","api_keys":["a2"]},{"name":"bolt","api_keys":["a1"]}])");
    environment.configuration = node.environment.configuration;
    handler.updateWaitingCalls();
    REQUIRE(allocator.works.size() == 3);
    CHECK(allocator.works[2].profile.workspace == "bolt");
    CHECK_FALSE(allocator.works[2].isCharged);
}

// Guards against a request that is submitted again for another endpoint, and refused because of its own charge.
TEST_CASE("a coordinator gives a charge back before it charges what the same node submits in its place")
{
    SeededRandom random { 1 };
    SlotScheduler scheduler { { "n1", "z1", { { "z1", "r1" } } }, random };
    SlotCoordinator coordinator { scheduler };
    coordinator.setWorkspaces({ { .name = "acme", .requestsPerSecond = 0.001, .burst = 1 } });
    const MonotonicTime now { std::chrono::seconds { 100 } };
    SlotReport report;
    const auto submit = [&](uint64_t work) {
        report.sequence = work;
        report.requests = { { work, "lm", 0, Milliseconds { 1'000 }, Milliseconds { 60'000 } } };
        report.requests[0].profile.workspace = "acme";
        coordinator.receive("n2", report, now);
        return scheduler.quota().totals().refused == 0;
    };
    uint64_t work = 1;
    for (; submit(work); ++work)
        report.queued.push_back(work);
    REQUIRE(work > 1);
    REQUIRE(scheduler.quota().totals().charged == work - 1);
    // The refused request is no longer waiting. One of the others is submitted again.
    report.queued.erase(report.queued.begin());
    const uint64_t refused = scheduler.quota().totals().refused;
    submit(++work);
    CHECK(scheduler.quota().totals().refused == refused);
    CHECK(scheduler.quota().totals().refunded == 1);
}

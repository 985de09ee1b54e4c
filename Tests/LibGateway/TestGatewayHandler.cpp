#include <LibGateway/GatewayHandler.h>

#include "GatewayFixture.h"

#include <Tests/Support/FakeExchange.h>
#include <Tests/Support/MemoryRowStore.h>
#include <Tests/Support/WaitFor.h>
#include <catch2/catch.hpp>

using namespace Chicorydock;

namespace {

class NoPeers final : public JobPeers {
public:
    bool canRunJobs(const std::string&) const override { return false; }
    std::vector<std::string> nodesForJobs() const override { return {}; }
};

struct HandlerFixture : GatewayFixture {
    MemoryRowStore store { clock };
    NoPeers peers;
    JobController jobs { environment, store, peers, "n1" };
    GatewayHandler handler { environment, jobs };

    std::shared_ptr<FakeExchange> send(
        const QByteArray& method, const QByteArray& target, const QByteArray& body = {}, HttpHeaders headers = {})
    {
        const qsizetype mark = target.indexOf('?');
        HttpRequest request { method, mark < 0 ? target : target.first(mark),
            mark < 0 ? QByteArray() : target.mid(mark + 1), std::move(headers), body, target };
        request.headers.add("Host", "h.example");
        request.headers.add("Request-Id", "q1");
        auto exchange = std::make_shared<FakeExchange>(request);
        handler.handle(exchange);
        store.deliver();
        settle();
        return exchange;
    }
};

const QByteArray job = R"({"items":[{"id":"i1","path":"/b/x","headers":{},"body":"eA==","token_count":5}]})";

int statusOf(const std::shared_ptr<FakeExchange>& exchange)
{
    return exchange->response ? exchange->response->status : 0;
}

}

// Guards against a 404, which callers treat as permanent, from a node that has not received the configuration yet.
TEST_CASE("a node without a configuration answers 503, not 404")
{
    HandlerFixture fixture;
    fixture.environment.configuration = std::make_shared<const GatewayConfiguration>();
    const auto exchange = fixture.send("POST", "/s/1");
    CHECK(statusOf(exchange) == 503);
    CHECK(exchange->response->headers.find("Retry-After"));
}

// Guards against requests that reach an endpoint although no route matches them.
TEST_CASE("a request without a route is answered with 404")
{
    HandlerFixture fixture;
    CHECK(statusOf(fixture.send("POST", "/none/1")) == 404);
    CHECK(fixture.http.count() == 0);
}

// Guards against a 404, which callers treat as permanent, from a node that has not received the newest configuration
// yet (issue 51).
TEST_CASE("a node that knows of a newer configuration answers a request without a route with 503, not 404")
{
    HandlerFixture fixture;
    const uint64_t own = fixture.environment.configuration->version;
    fixture.relayPeers.peers = { { "peer", "10.0.0.2:7660", PeerDistance::OtherRegion, own } };
    CHECK(statusOf(fixture.send("POST", "/none/1")) == 404);
    fixture.relayPeers.peers.front().configurationVersion = own + 1;
    const auto exchange = fixture.send("POST", "/none/1");
    CHECK(statusOf(exchange) == 503);
    CHECK(exchange->response->headers.find("Retry-After"));
    CHECK(fixture.http.count() == 0);
}

// Guards against a job that can be submitted but not read or cancelled.
TEST_CASE("a job is submitted, read and cancelled")
{
    HandlerFixture fixture;
    CHECK(statusOf(fixture.send("GET", "/api/lots/none?after=0")) == 503);
    fixture.jobs.onTableListed({});
    CHECK(statusOf(fixture.send("POST", "/b/q1", job)) == 202);
    CHECK(statusOf(fixture.send("POST", "/b/q1", job)) == 202);
    CHECK(statusOf(fixture.send("POST", "/b/q1", "no job")) == 400);
    const auto page = fixture.send("GET", "/api/lots/q1?after=0");
    CHECK(statusOf(page) == 200);
    CHECK(page->response->body.contains(R"("total":1)"));
    const auto body = fixture.send("GET", "/api/items/q1?id=i1");
    CHECK(statusOf(body) == 200);
    CHECK(body->response->body == "x");
    CHECK(statusOf(fixture.send("GET", "/api/items/q1?id=other")) == 404);
    CHECK(statusOf(fixture.send("GET", "/api/lots/none?after=0")) == 404);
    CHECK(statusOf(fixture.send("DELETE", "/api/lots/q1")) == 200);
    CHECK(statusOf(fixture.send("DELETE", "/api/lots/q1")) == 200);
    CHECK(statusOf(fixture.send("DELETE", "/api/lots/none")) == 404);
}

// Guards against a long poll that keeps waiting although there is a new result.
TEST_CASE("a long poll returns a result as soon as it is committed")
{
    HandlerFixture fixture;
    REQUIRE(statusOf(fixture.send("POST", "/b/q1", job)) == 202);
    const auto reader = fixture.send("GET", "/api/lots/q1?after=0", {}, { { "Wait-Ms", "1000" } });
    CHECK_FALSE(reader->response);
    fixture.http.handOver();
    fixture.http.headers(200);
    fixture.http.data("id: 1\ndata: text\n\n");
    fixture.http.finish();
    // The commit of the result ends the long poll, not its timeout, because the clock does not advance.
    REQUIRE(waitFor([&] {
        fixture.store.deliver();
        return reader->response.has_value();
    }));
    CHECK(reader->response->body.contains(R"("output":"text")"));
}

// Guards against requests that run at a service that no configuration names for them, because the route that they
// belong to cannot be read and another one has a shorter prefix.
TEST_CASE("a request whose route cannot be read is refused as not run")
{
    HandlerFixture fixture;
    const auto configuration = fixture.wire.decodeConfiguration(R"({"version":4,"routes":[
        {"name":"outer","host":"h.example","prefix":"/","route_type":"idempotent","service":"lm","max_attempts":1},
        {"name":"k1","host":"h.example","prefix":"/k1/","route_type":"hologram","service":"lm"},
        {"name":"k2","host":"h.example","prefix":"/k2/","route_type":7,"service":"lm"},
        {"name":"k3","host":"h.example","prefix":"/k3/","service":"lm"},
        {"name":"w1","host":"h.example","prefix":"/w1/","route_type":"idempotent",
         "traffic_split":[{"service":"lm","weight":"many"}]},
        {"name":"w2","host":"h.example","prefix":"/w2/","route_type":"idempotent",
         "traffic_split":[{"service":"lm","weight":1.5}]},
        {"name":"w3","host":"h.example","prefix":"/w3/","route_type":"batch",
         "traffic_split":[{"service":"lm","weight":-1}]},
        {"name":"w4","host":"h.example","prefix":"/w4/","route_type":"streaming",
         "traffic_split":[{"service":"lm","weight":1},{"service":"lm2","weight":1e300}]},
        {"name":"w5","host":"h.example","prefix":"/w5/","route_type":"idempotent",
         "traffic_split":[{"service":"lm","weight":0},{"service":"lm2","weight":0}]},
        {"name":"s1","host":"h.example","prefix":"/s1/","route_type":"idempotent","service":["lm"]},
        {"name":"s2","host":"h.example","prefix":"/s2/","route_type":"idempotent","service":"lm","traffic_split":"lm"},
        {"name":"s3","host":"h.example","prefix":"/s3/","route_type":"idempotent","service":"lm",
         "traffic_split":[{"weight":1}]},
        {"name":"s4","host":"h.example","prefix":"/s4/","route_type":"non_idempotent"}]})");
    REQUIRE(configuration);
    fixture.environment.configuration = std::make_shared<const GatewayConfiguration>(*configuration);
    for (const char* it :
        { "/k1/", "/k2/", "/k3/", "/w1/", "/w2/", "/w3/", "/w4/", "/w5/", "/s1/", "/s2/", "/s3/", "/s4/" }) {
        CAPTURE(it);
        const auto exchange = fixture.send("POST", QByteArray(it) + "1", job);
        CHECK(statusOf(exchange) == 503);
        CHECK(fixture.http.count() == 0);
        if (exchange->response)
            CHECK(exchange->response->headers.find("Retry-After"));
    }
    fixture.send("POST", "/1");
    CHECK(fixture.http.count() == 1);
}

// Guards against a request that a peer hands over and that then runs at the service of another route.
TEST_CASE("a relayed request whose route cannot be read is refused as not run")
{
    HandlerFixture fixture;
    const auto configuration = fixture.wire.decodeConfiguration(R"({"version":4,"routes":[
        {"name":"outer","host":"h.example","prefix":"/","route_type":"idempotent","service":"lm","max_attempts":1},
        {"name":"inner","host":"h.example","prefix":"/k/","route_type":"hologram","service":"lm"}]})");
    REQUIRE(configuration);
    fixture.environment.configuration = std::make_shared<const GatewayConfiguration>(*configuration);
    const HttpRequest request { "POST", "/k/1", {}, { { "Host", "h.example" }, { "Request-Id", "q1" } }, {}, "/k/1" };
    auto exchange = std::make_shared<FakeExchange>(request);
    fixture.handler.handleRelayed(exchange);
    fixture.settle();
    CHECK(statusOf(exchange) == 503);
    CHECK(fixture.http.count() == 0);
}

// Guards against requests that run because a route without a prefix matches every path.
TEST_CASE("a route whose host or prefix cannot be read takes no requests")
{
    HandlerFixture fixture;
    const auto configuration = fixture.wire.decodeConfiguration(R"({"version":4,"routes":[
        {"name":"r1","host":"h.example","route_type":"idempotent","service":"lm"},
        {"name":"r2","host":"h.example","prefix":5,"route_type":"idempotent","service":"lm"},
        {"name":"r3","host":"h.example","prefix":"","route_type":"idempotent","service":"lm"},
        {"name":"r4","host":{},"prefix":"/","route_type":"idempotent","service":"lm"}, null, [], "route"]})");
    REQUIRE(configuration);
    fixture.environment.configuration = std::make_shared<const GatewayConfiguration>(*configuration);
    CHECK(statusOf(fixture.send("POST", "/a/1")) == 404);
    CHECK_FALSE(configuration->findRoute("", "/a/1"));
    CHECK(fixture.http.count() == 0);
}

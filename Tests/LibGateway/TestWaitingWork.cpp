#include "FakeJobPeers.h"
#include "GatewayFixture.h"

#include <LibGateway/GatewayHandler.h>
#include <Tests/Support/FakeExchange.h>
#include <catch2/catch.hpp>

using namespace Chicorydock;

namespace {

/// Slots of an endpoint that items may use.
constexpr size_t itemSlots = 7;

/// A node whose endpoints and routes change while work waits. Service `lm` has the endpoint `e0`.
struct WaitingNode : GatewayFixture {
    FakeJobPeers peers;
    JobController jobs { environment, rows, peers, "n1" };
    GatewayHandler handler { environment, jobs };

    WaitingNode()
        : GatewayFixture(1)
    {
        jobs.onReachableChanged(true);
        // Removals are deferred for a while after a start.
        clock.advance(std::chrono::seconds { 5 });
    }

    void submit(size_t items)
    {
        SubmittedJob job { "j", {} };
        for (size_t n = 0; n < items; ++n)
            job.items.push_back({ "j-" + std::to_string(n), "/b/x", {}, "body", 10 });
        jobs.submit(job, *environment.configuration->findJobRoute("b", "h.example"), "h.example",
            [](const std::optional<Error>& error) { CHECK_FALSE(error); });
        rows.deliver();
        settle();
    }

    std::shared_ptr<FakeExchange> send(const QByteArray& target)
    {
        HttpRequest request { "POST", target, {}, { { "Host", "h.example" }, { "Request-Id", target } }, {}, target };
        auto exchange = std::make_shared<FakeExchange>(request);
        handler.handle(exchange);
        settle();
        return exchange;
    }

    void setShares(const std::vector<ServiceShare>& shares)
    {
        GatewayConfiguration configuration = *environment.configuration;
        ++configuration.version;
        for (GatewayRoute& it : configuration.routes)
            it.shares = shares;
        environment.configuration = std::make_shared<const GatewayConfiguration>(configuration);
    }

    void put(const EndpointRecord& record) { directory.put(record); }
    void remove(const std::string& endpoint) { CHECK(directory.remove(endpoint, ++m_version, clock.now())); }

    EndpointRecord endpoint(const std::string& id, const std::string& service, int64_t startedAt = 1)
    {
        return { id, "10.0.0.9:80", service, "z1", 8, false, startedAt, ++m_version };
    }

    /// Lets the node react to the changes, as it does several times a second.
    void react()
    {
        scheduler.setEndpoints(directory.usable());
        broker.schedulePoll();
        for (int n = 0; n < 8; ++n) {
            clock.advance(Milliseconds { 250 });
            handler.updateWaitingCalls();
            jobs.tick();
            settle();
        }
    }

    /// Returns the endpoint that the latest call was sent to.
    QByteArray lastEndpoint() { return http.last().request.headers.find("Expect-Instance").value_or(""); }

private:
    uint64_t m_version { 10 };
};

}

// Guards against items that wait for ever for a service that their route has left and whose last endpoint has gone,
// while the endpoints of the next one are idle (LOST, review/2).
TEST_CASE("items move with their route while they wait")
{
    WaitingNode node;
    node.submit(itemSlots + 3);
    REQUIRE(node.http.count() == itemSlots);
    node.setShares({ { "lm2", 1 } });
    node.put(node.endpoint("e9", "lm2"));
    if (GENERATE(true, false))
        node.remove("e0");
    node.react();
    CHECK(node.http.count() == itemSlots + 3);
    CHECK(node.lastEndpoint() == "e9");
}

// Guards against items that wait for ever for the service of a split route that has lost its last endpoint (LOST).
TEST_CASE("items of a split route wait only for services that endpoints offer")
{
    WaitingNode node;
    node.setShares({ { "lm", 50 }, { "lm2", 50 } });
    node.put(node.endpoint("e9", "lm2"));
    node.react();
    node.submit(6 * itemSlots);
    REQUIRE(node.http.count() == 2 * itemSlots);
    node.remove("e9");
    for (const char* it : { "e1", "e2", "e3", "e4" })
        node.put(node.endpoint(it, "lm"));
    node.react();
    CHECK(node.log.count("requeued") > 0);
    CHECK(node.http.count() == 6 * itemSlots);
}

// Guards against an item that keeps the exclusion of an endpoint from the moment at which it was queued, although that
// endpoint has been started again since (LOST).
TEST_CASE("an item waits for an endpoint that comes back under its identifier")
{
    WaitingNode node;
    REQUIRE(node.directory.markLeaving("e0", node.clock.now()));
    node.scheduler.setEndpoints(node.directory.usable());
    node.submit(2);
    CHECK(node.http.count() == 0);
    node.put(node.endpoint("e0", "lm", 2));
    node.react();
    CHECK(node.http.count() == 2);
}

// Guards against items that wait past the time limit of their route, and for a route that is gone.
TEST_CASE("an item that only waits is given up at its time limit or with its route")
{
    const bool isRouteGone = GENERATE(true, false);
    WaitingNode node;
    node.remove("e0");
    node.scheduler.setEndpoints({});
    node.submit(2);
    if (isRouteGone)
        node.environment.configuration = std::make_shared<const GatewayConfiguration>(GatewayConfiguration { 9, {} });
    else
        node.clock.advance(std::chrono::seconds { 61 });
    CHECK(node.log.count("given_up") == 0);
    node.react();
    CHECK(node.log.count("given_up") == 2);
    CHECK(node.http.count() == 0);
}

// Guards against a queue entry that is replaced over and over, which would also discard its place.
TEST_CASE("work that waits for something that has not changed keeps its place")
{
    WaitingNode node;
    node.submit(itemSlots + 3);
    node.send("/i/1");
    for (int n = 0; n < 3; ++n)
        node.react();
    CHECK(node.log.count("requeued") == 0);
    node.remove("e0");
    node.react();
    // No other service of the route is offered, so there is nothing better to wait for.
    CHECK(node.log.count("requeued") == 0);
}

// Guards against callers who wait in vain for a service that has lost its last endpoint, although their route leads to
// another one now.
TEST_CASE("requests move with their route while they wait")
{
    WaitingNode node;
    for (int n = 0; n < 8; ++n)
        node.send("/u/" + QByteArray::number(n));
    const auto waiting = node.send("/u/8");
    REQUIRE_FALSE(waiting->response);
    REQUIRE(node.http.count() == 8);
    node.remove("e0");
    node.setShares({ { "lm2", 1 } });
    node.put(node.endpoint("e9", "lm2"));
    node.scheduler.setEndpoints(node.directory.usable());
    node.handler.updateWaitingCalls();
    WaitingNode::settle();
    CHECK(node.http.count() == 9);
    CHECK(node.lastEndpoint() == "e9");
}

// Guards against callers who wait in vain for an endpoint that has been started again since they were queued.
TEST_CASE("a request may use an endpoint that comes back under its identifier")
{
    WaitingNode node;
    node.put(node.endpoint("e1", "lm"));
    node.scheduler.setEndpoints(node.directory.usable());
    REQUIRE(node.directory.markLeaving("e0", node.clock.now()));
    node.scheduler.setEndpoints(node.directory.usable());
    for (int n = 0; n < 8; ++n)
        node.send("/u/" + QByteArray::number(n));
    const auto waiting = node.send("/u/8");
    REQUIRE_FALSE(waiting->response);
    REQUIRE(node.http.count() == 8);
    node.put(node.endpoint("e0", "lm", 2));
    node.scheduler.setEndpoints(node.directory.usable());
    node.handler.updateWaitingCalls();
    WaitingNode::settle();
    CHECK(node.http.count() == 9);
    CHECK(node.lastEndpoint() == "e0");
}

#include <LibGateway/GatewayConfiguration.h>

#include <catch2/catch.hpp>

using namespace Chicorydock;

namespace {

GatewayRoute makeRoute(const std::string& name, const std::string& host, const std::string& prefix)
{
    GatewayRoute route;
    route.name = name;
    route.host = host;
    route.prefix = prefix;
    return route;
}

}

// Guards against a request that is matched to a route with a shorter prefix, or to a route of another host.
TEST_CASE("the longest prefix of the host selects the route")
{
    GatewayConfiguration configuration;
    configuration.routes = { makeRoute("short", "a.example", "/x/"), makeRoute("long", "a.example", "/x/y/"),
        makeRoute("other", "b.example", "/x/y/z/") };
    CHECK(configuration.findRoute("a.example", "/x/y/z/1")->name == "long");
    CHECK(configuration.findRoute("a.example", "/x/yy")->name == "short");
    CHECK(configuration.findRoute("b.example", "/x/y/z/1")->name == "other");
    CHECK_FALSE(configuration.findRoute("a.example", "/x"));
    CHECK_FALSE(configuration.findRoute("c.example", "/x/1"));
}

// Guards against a split that sends requests to a service with weight 0, or to no service.
TEST_CASE("a split route chooses services in proportion to their weights")
{
    GatewayRoute route;
    route.shares = { { "a", 90 }, { "b", 10 }, { "c", 0 } };
    int counts[3] = { 0, 0, 0 };
    constexpr int draws = 1000;
    for (int n = 0; n < draws; ++n)
        ++counts[chooseService(route.shares, (n + 0.5) / draws).front() - 'a'];
    CHECK(counts[0] == 900);
    CHECK(counts[1] == 100);
    CHECK(counts[2] == 0);
    CHECK(chooseService({}, 0.5).empty());
}

// Guards against a stream that is run twice although it is not resumable.
TEST_CASE("only idempotent requests and resumable streams are repeatable")
{
    GatewayRoute route;
    route.kind = RouteKind::Idempotent;
    CHECK(route.isRepeatable());
    route.kind = RouteKind::NonIdempotent;
    CHECK_FALSE(route.isRepeatable());
    route.kind = RouteKind::Stream;
    CHECK_FALSE(route.isRepeatable());
    route.isResumable = true;
    CHECK(route.isRepeatable());
}

// Guards against requests to a service that is to receive none.
TEST_CASE("a route whose weights are all 0 has no service")
{
    GatewayRoute route;
    route.shares = { { "a", 0 }, { "b", 0 } };
    for (const double it : { 0.0, 0.5, 0.999 }) {
        CAPTURE(it);
        CHECK(chooseService(route.shares, it).empty());
    }
}

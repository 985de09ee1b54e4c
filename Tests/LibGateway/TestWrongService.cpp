#include "ForwardingFixture.h"

#include <LibGateway/ItemRun.h>
#include <Tests/Support/WaitFor.h>

#include <algorithm>
#include <optional>

using namespace Chicorydock;

namespace {

/// A node that knows its only endpoint as one of another service than its scheduler does.
struct WrongServiceFixture : ForwardingFixture {
    WrongServiceFixture()
        : ForwardingFixture(1)
    {
        directory.put({ "e0", "10.0.0.0:80", "app", "z1", 8, false, 2, 9 });
    }

    static ItemRun::Job job(const ForwardingFixture& fixture)
    {
        const MonotonicTime now = fixture.clock.now();
        return { "j", "b", "h.example", now + std::chrono::seconds { 18 }, now + std::chrono::seconds { 60 } };
    }

    QJsonObject placement() const
    {
        REQUIRE(log.count("placed") == 1);
        return std::ranges::find(log.events, "placed", &Event::action)->details;
    }
};

}

// Guards against a request that runs where no configuration sends it (ROUTE).
TEST_CASE("a request is not sent to an endpoint that this node knows as one of another service")
{
    WrongServiceFixture fixture;
    fixture.forward(WrongServiceFixture::makeRequest("/i/1", "q1"));
    CHECK(fixture.http.count() == 0);
    CHECK(fixture.placement()["service"].toString() == "lm");
    CHECK(fixture.placement()["endpoint_service"].toString() == "app");
}

// Guards against an item that runs where no configuration sends it (ROUTE).
TEST_CASE("an item is not sent to an endpoint that this node knows as one of another service")
{
    WrongServiceFixture fixture;
    const ItemRun::Job job = WrongServiceFixture::job(fixture);
    ItemRun run(fixture.environment, job, { "i", "/b/1", {}, "body", 10 }, [](const JobResult&) {});
    run.start();
    WrongServiceFixture::settle();
    CHECK(fixture.http.count() == 0);
    CHECK(fixture.placement()["endpoint_service"].toString() == "app");
}

// Guards against an item that runs at the service of another route with the name of its own (ROUTE).
TEST_CASE("an item runs at the service of the route of its host, whatever other routes are named")
{
    ForwardingFixture fixture(1);
    GatewayConfiguration configuration = *fixture.environment.configuration;
    GatewayRoute other = configuration.routes.back();
    REQUIRE(other.kind == RouteKind::Batch);
    other.shares = { { "app", 1 } };
    const bool isOtherHost = GENERATE(false, true);
    if (isOtherHost)
        other.host = "other.example";
    else
        other.kind = RouteKind::Idempotent;
    configuration.routes.insert(configuration.routes.begin(), other);
    fixture.environment.configuration = std::make_shared<const GatewayConfiguration>(configuration);
    const ItemRun::Job job = WrongServiceFixture::job(fixture);
    ItemRun run(fixture.environment, job, { "i", "/b/1", {}, "body", 10 }, [](const JobResult&) {});
    run.start();
    ForwardingFixture::settle();
    REQUIRE(fixture.log.count("placed") == 1);
    CHECK(fixture.log.events.back().details["service"].toString() == "lm");
    CHECK(fixture.http.count() == 1);
}

// Guards against work that keeps asking for an endpoint that this node does not use, and is never served.
TEST_CASE("work that was granted an endpoint of another service is served at the next one")
{
    ForwardingFixture fixture(2);
    fixture.directory.put({ "e0", "10.0.0.0:80", "app", "z1", 8, false, 2, 9 });
    for (int n = 0; n < 8; ++n) {
        const size_t before = fixture.http.count();
        fixture.forward(ForwardingFixture::makeRequest("/i/1", "q" + QByteArray::number(n)));
        CHECK(fixture.http.count() == before + 1);
        CHECK(fixture.http.last().request.address == "10.0.0.1:80");
    }
}

// Guards against an item that runs at the service that its route had when it was queued.
TEST_CASE("an item that waits while its route moves to another service runs at the new one")
{
    ForwardingFixture fixture(0);
    const ItemRun::Job job = WrongServiceFixture::job(fixture);
    ItemRun run(fixture.environment, job, { "i", "/b/1", {}, "body", 10 }, [](const JobResult&) {});
    run.start();
    ForwardingFixture::settle();
    GatewayConfiguration configuration = *fixture.environment.configuration;
    for (GatewayRoute& it : configuration.routes)
        it.shares = { { "app", 1 } };
    fixture.environment.configuration = std::make_shared<const GatewayConfiguration>(configuration);
    const std::vector<EndpointRecord> records { { "e0", "10.0.0.0:80", "lm", "z1", 8, false, 1 },
        { "e1", "10.0.0.1:80", "app", "z1", 8, false, 1 } };
    fixture.directory.replaceAll(records, 0, fixture.clock.now());
    fixture.broker.setEndpoints(records);
    REQUIRE(waitFor([&] { return fixture.http.count() > 0; }));
    CHECK(fixture.http.last().request.address == "10.0.0.1:80");
}

// Guards against an item that is granted the same endpoint again and again, although its node does not use it.
TEST_CASE("an item that was granted an endpoint of another service is served at the next one")
{
    ForwardingFixture fixture(2);
    fixture.directory.put({ "e0", "10.0.0.0:80", "app", "z1", 8, false, 2, 9 });
    // The scheduler prefers the other endpoint, which is idle.
    for (uint64_t n = 1; n <= 5; ++n)
        fixture.scheduler.adopt({ .id = 1'000 + n, .service = "lm", .endpoint = "e1" }, fixture.clock.now());
    const ItemRun::Job job = WrongServiceFixture::job(fixture);
    ItemRun run(fixture.environment, job, { "i", "/b/1", {}, "body", 10 }, [](const JobResult&) {});
    run.start();
    REQUIRE(waitFor([&] { return fixture.http.count() > 0 || fixture.log.count("placed") > 3; }));
    CHECK(fixture.log.count("placed") == 2);
    CHECK(fixture.http.count() == 1);
}

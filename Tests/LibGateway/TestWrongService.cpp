#include "ForwardingFixture.h"

#include <LibGateway/ItemRun.h>

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
    const ItemRun::Job job { "j", "b", "h.example", fixture.clock.now() + std::chrono::seconds { 18 },
        fixture.clock.now() + std::chrono::seconds { 60 } };
    ItemRun run(fixture.environment, job, { "i", "/b/1", {}, "body", 10 }, [](const JobResult&) {});
    run.start();
    WrongServiceFixture::settle();
    CHECK(fixture.http.count() == 0);
    CHECK(fixture.placement()["endpoint_service"].toString() == "app");
}

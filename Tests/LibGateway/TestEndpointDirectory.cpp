#include <LibGateway/EndpointDirectory.h>

#include <Tests/Support/SimulatedClock.h>
#include <catch2/catch.hpp>

using namespace Chicorydock;

namespace {

EndpointRecord makeRecord(const std::string& id) { return { id, "10.0.0.1:80", "lm", "z1", 8, false, 1 }; }

}

// Guards against endpoints that are given up because their registrations lapsed while the store was away.
TEST_CASE("a registration that lapses around an outage counts until its endpoint has had time to return")
{
    SimulatedClock clock;
    EndpointDirectory directory;
    directory.replaceAll({ makeRecord("a"), makeRecord("b") }, clock.now());
    clock.advance(std::chrono::seconds { 10 });
    directory.setStoreReachable(false, clock.now());
    clock.advance(std::chrono::seconds { 5 });
    directory.setStoreReachable(true, clock.now());
    directory.replaceAll({}, clock.now());
    CHECK(directory.usable().size() == 2);

    clock.advance(Milliseconds { 1'500 });
    CHECK_FALSE(directory.applyRemovals(clock.now()));
    directory.put(makeRecord("a"));
    // The bound on requests to an endpoint that is gone is 2.5 s.
    clock.advance(Milliseconds { 900 });
    CHECK(directory.applyRemovals(clock.now()));
    REQUIRE(directory.usable().size() == 1);
    CHECK(directory.usable().front().id == "a");
}

// Guards against requests to an endpoint that left while the store was well.
TEST_CASE("a registration that is removed in calm times takes effect at once")
{
    SimulatedClock clock;
    EndpointDirectory directory;
    directory.replaceAll({ makeRecord("a") }, clock.now());
    clock.advance(std::chrono::seconds { 10 });
    directory.remove("a", clock.now());
    CHECK(directory.usable().empty());
}

// Guards against an endpoint that announced its leave and comes back because the store is away.
TEST_CASE("a leaving endpoint is not used, also around an outage")
{
    SimulatedClock clock;
    EndpointDirectory directory;
    directory.replaceAll({ makeRecord("a") }, clock.now());
    EndpointRecord leaving = makeRecord("a");
    leaving.isLeaving = true;
    directory.put(leaving);
    CHECK(directory.usable().empty());
    CHECK_FALSE(directory.find("a"));
    directory.setStoreReachable(false, clock.now());
    directory.remove("a", clock.now());
    CHECK(directory.usable().empty());
}

// Guards against requests that keep going to an address which belongs to another endpoint.
TEST_CASE("an endpoint whose address was taken over is unused until it registers with other content")
{
    SimulatedClock clock;
    EndpointDirectory directory;
    directory.replaceAll({ makeRecord("a") }, clock.now());
    directory.markReplaced("a");
    CHECK_FALSE(directory.find("a"));
    directory.put(makeRecord("a"));
    CHECK_FALSE(directory.find("a"));
    EndpointRecord restarted = makeRecord("a");
    restarted.startedAt = 2;
    directory.put(restarted);
    CHECK(directory.find("a") == restarted);
}

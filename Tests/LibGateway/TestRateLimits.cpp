#include "SlotSimulation.h"

#include <catch2/catch.hpp>

using namespace Chicorydock;

namespace {

constexpr Milliseconds window { 4'000 };

/// Time that nodes have to learn the limits.
constexpr Milliseconds learningTime { 3'000 };

/// Returns the number of requests in one `window` above which an endpoint is overloaded.
double tolerated(double rateLimit) { return 1.5 * rateLimit * toSeconds(window) + 5; }

/// Load profile of a deployment of 12 nodes with 18 endpoints, of which 13 state a limit.
SlotSimulation::Options limitedDeployment(uint64_t seed, double rateLimit)
{
    SlotSimulation::Options options;
    options.seed = seed;
    options.limitedEndpoints = 13;
    options.rateLimit = rateLimit;
    return options;
}

std::string describe(const SlotSimulation& simulation)
{
    const SlotSimulation::Totals& totals = simulation.totals();
    return "most arrivals in 4 s " + std::to_string(simulation.mostArrivalsWithin(window)) + ", on time "
        + std::to_string(totals.onlineOnTime) + " of " + std::to_string(totals.onlineArrivals) + ", late "
        + std::to_string(totals.onlineLate) + ", refused " + std::to_string(totals.onlineRefused) + ", yields "
        + std::to_string(totals.yields) + ", items on time " + std::to_string(totals.itemsOnTime) + ", late "
        + std::to_string(totals.itemsLate) + ", started " + std::to_string(totals.itemStarts);
}

}

// Guards against endpoints that get more requests than the limit that they state, summed over all nodes.
TEST_CASE("endpoints that state a rate limit get no more requests than it allows, in crests too")
{
    const double rateLimit = GENERATE(0.0, 0.5, 1.0, 2.7, 8.0);
    SlotSimulation simulation(limitedDeployment(GENERATE(1, 2, 3), rateLimit));
    simulation.runWithItems(learningTime, 30, 11);
    simulation.resetTotals();
    for (int n = 0; n < 3; ++n) {
        simulation.runWithItems(Milliseconds { 2'400 }, 148, 11);
        simulation.runWithItems(Milliseconds { 3'400 }, 30, 11);
    }
    INFO("limit " << rateLimit << ", " << describe(simulation));
    CHECK(static_cast<double>(simulation.mostArrivalsWithin(window)) <= tolerated(rateLimit));
}

// Load: as much as the endpoints take within their limits. Guards against a limit that is kept by serving less than it
// allows. Target: 95 % of the online requests and of the items on time.
TEST_CASE("callers are served although most endpoints state a rate limit")
{
    SlotSimulation simulation(limitedDeployment(GENERATE(1, 2, 3), 2.7));
    simulation.runWithItems(learningTime, 50, 8);
    simulation.resetTotals();
    simulation.runWithItems(Milliseconds { 12'000 }, 50, 8);
    simulation.runWithItems(Milliseconds { 16'000 }, 0, 0);
    const SlotSimulation::Totals& totals = simulation.totals();
    INFO(describe(simulation));
    CHECK(static_cast<double>(simulation.mostArrivalsWithin(window)) <= tolerated(2.7));
    CHECK(totals.onlineOnTime * 100 >= totals.onlineArrivals * 95);
    CHECK(totals.itemsOnTime >= (totals.itemsOnTime + totals.itemsLate) * 95 / 100);
    CHECK(totals.itemsOnTime >= 12 * 8 * 95 / 100);
}

// Guards against coordinators that do not hear of the limits that their members are told.
TEST_CASE("the limits hold over all members and coordinators of a large deployment")
{
    const uint64_t seed = GENERATE(1, 2);
    SlotSimulation::Options options = limitedDeployment(seed, 1.5);
    options.nodes = 60;
    options.domains = 3;
    options.endpoints = 36;
    options.limitedEndpoints = 24;
    options.isCoordinated = true;
    options.messageLoss = 0.05;
    SlotSimulation simulation(options);
    simulation.runWithItems(learningTime, 60, 11);
    simulation.resetTotals();
    for (int n = 0; n < 2; ++n) {
        simulation.runWithItems(Milliseconds { 2'400 }, 300, 15);
        simulation.runWithItems(Milliseconds { 3'400 }, 60, 15);
    }
    INFO(describe(simulation));
    CHECK(static_cast<double>(simulation.mostArrivalsWithin(window)) <= tolerated(1.5));
}

// Guards against an endpoint that is limited for ever because of one response, or that stated that it takes nothing.
TEST_CASE("endpoints are used in full again after their limits have ended")
{
    SlotSimulation simulation(limitedDeployment(1, GENERATE(0.0, 2.7)));
    simulation.runWithItems(Milliseconds { 6'000 }, 60, 8);
    simulation.setRateLimit(unlimitedRate);
    // An endpoint that takes nothing is asked every five seconds whether that still holds.
    simulation.runWithItems(Milliseconds { 12'000 }, 60, 8);
    simulation.resetTotals();
    simulation.run(Milliseconds { 4'000 }, 150, 0);
    INFO(describe(simulation));
    CHECK(simulation.totals().onlineOnTime * 100 >= simulation.totals().onlineArrivals * 95);
}

namespace {

struct SchedulerFixture {
    SimulatedClock clock;
    SeededRandom random { 1 };
    SlotScheduler scheduler { { "n1", "z1", { { "z1", "r1" } } }, random };
    uint64_t lastWork { 0 };

    SchedulerFixture() { scheduler.setEndpoints({ { "a", "10.0.0.1:80", "lm", "z1", 8, false, 1 } }); }

    /// Submits online requests and returns the decisions about them.
    std::vector<SlotDecision> request(int count, bool isLastAttempt = false)
    {
        const MonotonicTime now = clock.now();
        for (int n = 0; n < count; ++n)
            scheduler.submit(OnlineWork { ++lastWork, "lm", 0, now + Milliseconds { 200 },
                                 now + std::chrono::seconds { 5 }, isLastAttempt },
                now);
        return scheduler.poll(now);
    }

    void state(double perSecond) { scheduler.observeRate("a", { perSecond, clock.now() }, clock.now()); }
};

size_t count(const std::vector<SlotDecision>& decisions, SlotDecision::Kind kind)
{
    return static_cast<size_t>(std::ranges::count(decisions, kind, &SlotDecision::kind));
}

}

// Guards against callers that wait in vain at endpoints with free slots but no further requests within their limits.
TEST_CASE("requests beyond a rate limit are refused at once with the time that the limit takes")
{
    SchedulerFixture fixture;
    fixture.state(1);
    fixture.clock.advance(Milliseconds { 100 });
    const std::vector<SlotDecision> decisions = fixture.request(3);
    REQUIRE(count(decisions, SlotDecision::Kind::Refuse) == 3);
    for (const SlotDecision& it : decisions)
        CHECK(it.retryAfter >= Milliseconds { 900 });
    CHECK(fixture.request(1, true).empty());
    fixture.clock.advance(Milliseconds { 1'000 });
    CHECK(count(fixture.scheduler.poll(fixture.clock.now()), SlotDecision::Kind::Start) == 1);
}

// Guards against a limit that outlives the incarnation that stated it, and against a late response that lifts one.
TEST_CASE("a limit ends with a later response without one or with the incarnation, not with an earlier response")
{
    SchedulerFixture fixture;
    const MonotonicTime sentBefore = fixture.clock.now();
    fixture.clock.advance(Milliseconds { 100 });
    fixture.state(2);
    fixture.scheduler.observeRate("a", { unlimitedRate, sentBefore }, fixture.clock.now());
    CHECK(fixture.scheduler.isRateLimited("a"));
    fixture.clock.advance(Milliseconds { 100 });
    fixture.state(unlimitedRate);
    CHECK_FALSE(fixture.scheduler.isRateLimited("a"));
    fixture.state(2);
    fixture.scheduler.setEndpoints({ { "a", "10.0.0.1:80", "lm", "z1", 8, false, 2 } });
    CHECK_FALSE(fixture.scheduler.isRateLimited("a"));
}

// Guards against a node that has just started and sends to limited endpoints as if there were no limit.
TEST_CASE("a node learns limits and the requests of others from its peers")
{
    SchedulerFixture fixture;
    const uint32_t key = SlotPeers::endpointKey("a");
    PeerUse use { "z1", {}, 0, Milliseconds { 60'000 }, { { key, { 1, Milliseconds { 50 }, 4 } } } };
    fixture.scheduler.setPeerUse("n2", use, fixture.clock.now());
    CHECK(fixture.scheduler.isRateLimited("a"));
    CHECK(fixture.request(1, true).empty());
    fixture.clock.advance(Milliseconds { 2'000 });
    use.rates[key].starts = 7;
    fixture.scheduler.setPeerUse("n2", use, fixture.clock.now());
    fixture.clock.advance(Milliseconds { 1'500 });
    CHECK(count(fixture.scheduler.poll(fixture.clock.now()), SlotDecision::Kind::Start) == 0);
    fixture.clock.advance(Milliseconds { 1'500 });
    CHECK(count(fixture.scheduler.poll(fixture.clock.now()), SlotDecision::Kind::Start) == 1);
}

// Guards against a limit that never ends for an endpoint whose responses take longer than a report is repeated.
TEST_CASE("a member reports the end of a limit although its request was sent long ago")
{
    SchedulerFixture fixture;
    SlotCoordinator coordinator(fixture.scheduler);
    SlotMember member("n1", coordinator);
    const auto state = [&](double perSecond, MonotonicTime at) {
        member.observeRate("a", { perSecond, at }, fixture.clock.now());
        member.poll(fixture.clock.now());
    };
    state(2, fixture.clock.now());
    CHECK(fixture.scheduler.isRateLimited("a"));
    fixture.clock.advance(Milliseconds { 500 });
    const MonotonicTime sentAt = fixture.clock.now();
    fixture.clock.advance(Milliseconds { 2'500 });
    state(unlimitedRate, sentAt);
    CHECK_FALSE(fixture.scheduler.isRateLimited("a"));
}

// Guards against a number that is too large to count with and stops the endpoint for good.
TEST_CASE("a limit above every load does not limit")
{
    SchedulerFixture fixture;
    fixture.state(GENERATE(5e9, 1e13, 1e300));
    for (int n = 0; n < 8; ++n) {
        fixture.clock.advance(Milliseconds { 40 });
        CHECK(count(fixture.request(1), SlotDecision::Kind::Start) == 1);
    }
}

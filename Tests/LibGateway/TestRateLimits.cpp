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

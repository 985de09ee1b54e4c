#include "SlotSimulation.h"

#include <catch2/catch.hpp>

using namespace Chicorydock;

namespace {

/// Load sheet of a deployment with many workspaces: 712 slots, of which streams use 273 on average and items 187.
SlotSimulation::Options platformDeployment(uint64_t seed)
{
    SlotSimulation::Options options;
    options.nodes = 68;
    options.endpoints = 89;
    options.domains = 6;
    options.domainsPerRegion = 3;
    options.onlineHold = Milliseconds { 790 };
    options.batchHold = Milliseconds { 4'900 };
    options.isCoordinated = true;
    options.workspaces = 76;
    options.hasRetries = true;
    options.seed = seed;
    return options;
}

/// Load sheet of a deployment with uneven work and endpoints: 720 slots, of which streams use 398 on average and items
/// 306.
SlotSimulation::Options unevenDeployment(uint64_t seed)
{
    SlotSimulation::Options options = platformDeployment(seed);
    options.nodes = 42;
    options.endpoints = 90;
    options.workspaces = 0;
    options.lengthSpread = 0.57;
    options.hintSpread = 0.5;
    options.slowShare = 0.15;
    return options;
}

/// Load shape of both sheets: 1.87 times the mean in 2.4 s out of every 5.8 s, 0.383 times otherwise.
void runCrests(SlotSimulation& simulation, double onlinePerSecond, double itemsPerSecond, int crests)
{
    simulation.runWithItems(Milliseconds { 3'400 }, onlinePerSecond * 0.383, itemsPerSecond);
    simulation.resetTotals();
    for (int n = 0; n < crests; ++n) {
        simulation.runWithItems(Milliseconds { 2'400 }, onlinePerSecond * 1.87, itemsPerSecond);
        simulation.runWithItems(Milliseconds { 3'400 }, onlinePerSecond * 0.383, itemsPerSecond);
    }
}

std::string describe(const SlotSimulation::Totals& totals)
{
    const auto group = [](const SlotSimulation::Group& it) {
        return std::to_string(it.onTimeShare()) + " of " + std::to_string(it.arrivals) + ", at retry "
            + std::to_string(it.onTimeAtRetry);
    };
    return "others " + group(totals.others) + "; hot " + group(totals.hot) + "; late "
        + std::to_string(totals.onlineLate) + ", refused " + std::to_string(totals.onlineRefused) + "; retries "
        + std::to_string(totals.retries) + ", too early " + std::to_string(totals.retriesTooEarly) + ", in vain "
        + std::to_string(totals.retriesInVain) + ", too late " + std::to_string(totals.retriesTooLate)
        + "; items on time " + std::to_string(totals.itemsOnTime) + ", late " + std::to_string(totals.itemsLate)
        + ", yields " + std::to_string(totals.yields);
}

}

TEST_CASE("figures of the load sheets", "[.figures]")
{
    for (const uint64_t seed : { 1, 2, 3 }) {
        for (const double hotFactor : { 1.0, 6.6 }) {
            SlotSimulation::Options options = platformDeployment(seed);
            options.hotFactor = hotFactor;
            SlotSimulation simulation(options);
            runCrests(simulation, 346, 38, 3);
            WARN("platform, hot " << hotFactor << ": " << describe(simulation.totals()));
        }
        for (const double load : { 1.0, 1.2 }) {
            SlotSimulation simulation(unevenDeployment(seed));
            runCrests(simulation, 412 * load, 51, 3);
            WARN("uneven, load " << load << ": " << describe(simulation.totals()));
        }
    }
}

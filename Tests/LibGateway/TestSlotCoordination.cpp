#include "SlotSimulation.h"

#include <catch2/catch.hpp>

using namespace Chicorydock;

namespace {

/// Load profile of the largest deployment: 295 nodes in six failure domains with 160 endpoints, 1,580 streams/s at peak
/// for 2.4 s and 320 streams/s for 3.4 s between the peaks.
SlotSimulation::Options largeDeployment(uint64_t seed)
{
    SlotSimulation::Options options;
    options.nodes = 295;
    options.endpoints = 160;
    options.slotCount = 7;
    options.domains = 6;
    options.domainsPerRegion = 3;
    options.onlineHold = Milliseconds { 700 };
    options.isCoordinated = true;
    options.seed = seed;
    return options;
}

std::string describe(const SlotSimulation::Totals& totals, size_t nodes, Milliseconds duration)
{
    const double nodeSeconds = static_cast<double>(nodes) * toSeconds(duration);
    return "on time " + std::to_string(totals.onlineOnTime) + " of " + std::to_string(totals.onlineArrivals) + ", late "
        + std::to_string(totals.onlineLate) + ", refused " + std::to_string(totals.onlineRefused) + ", yields "
        + std::to_string(totals.yields) + ", wasted starts " + std::to_string(totals.wastedStarts) + " of "
        + std::to_string(totals.itemStarts) + ", batch slot seconds "
        + std::to_string(totals.batchSlotTime.count() / 1'000) + ", datagrams per node and second "
        + std::to_string(static_cast<double>(totals.datagrams) / nodeSeconds);
}

}

// Guards against claims of the same slot by hundreds of nodes, and against messages that grow with the square of their
// number. Target: 95 % of the online requests on time while there are enough slots for them, items in 0.85 of the slot
// time that they leave, 5 % of the starts of items in vain, and 50 messages per node and second.
TEST_CASE("hundreds of nodes share the endpoints through coordinators")
{
    SlotSimulation::Options options = largeDeployment(GENERATE(1, 2));
    SlotSimulation simulation(options);
    simulation.run(Milliseconds { 3'400 }, 320, 3);
    simulation.resetTotals();
    simulation.run(Milliseconds { 2'400 }, 1'400, 3);
    simulation.run(Milliseconds { 3'400 }, 320, 3);
    const Milliseconds duration { 5'800 };
    const SlotSimulation::Totals& totals = simulation.totals();
    INFO(describe(totals, options.nodes, duration));
    CHECK(totals.onlineOnTime >= totals.onlineArrivals * 95 / 100);
    CHECK(totals.wastedStarts * 20 <= totals.itemStarts);
    const double all = static_cast<double>(duration.count()) * options.endpoints * options.slotCount;
    const double online = static_cast<double>(totals.onlineArrivals) * options.onlineHold.count();
    CHECK(static_cast<double>(totals.batchSlotTime.count()) >= 0.85 * (all - online));
    CHECK(static_cast<double>(totals.datagrams) <= 50 * static_cast<double>(options.nodes) * toSeconds(duration));
}

// Guards against requests that wait for a lost coordinator, and against slots that stay allocated to lost nodes.
TEST_CASE("the loss of a coordinator delays the requests of its domain only briefly")
{
    SlotSimulation::Options options = largeDeployment(GENERATE(1, 2));
    SlotSimulation simulation(options);
    simulation.run(Milliseconds { 2'000 }, 800, 0);
    const size_t lost = simulation.findCoordinator();
    REQUIRE(lost < options.nodes);
    simulation.stopNode(lost);
    simulation.resetTotals();
    simulation.run(Milliseconds { 1'200 }, 800, 0);
    simulation.updateCandidates();
    INFO(describe(simulation.totals(), options.nodes, Milliseconds { 1'200 }));
    // At most 0.3 s of the load of one of six domains is late.
    CHECK(simulation.totals().onlineLate + simulation.totals().onlineRefused <= 800 * 0.3 / 6 * 1.5);
    simulation.resetTotals();
    simulation.run(Milliseconds { 3'000 }, 800, 0);
    INFO(describe(simulation.totals(), options.nodes, Milliseconds { 3'000 }));
    CHECK(simulation.totals().onlineOnTime >= simulation.totals().onlineArrivals * 99 / 100);
    simulation.run(Milliseconds { 6'000 }, 0, 0);
    CHECK(simulation.allocatedSlots() == 0);
}

// Guards against work that is lost, started twice or holds its slot for ever because a message was lost.
TEST_CASE("lost messages between members and coordinators delay work but lose none")
{
    SlotSimulation::Options options = largeDeployment(GENERATE(1, 2));
    options.nodes = 60;
    options.endpoints = 36;
    options.messageLoss = 0.2;
    SlotSimulation simulation(options);
    simulation.runWithItems(Milliseconds { 4'000 }, 160, 10);
    simulation.runWithItems(Milliseconds { 12'000 }, 0, 0);
    const SlotSimulation::Totals& totals = simulation.totals();
    INFO(describe(totals, options.nodes, Milliseconds { 16'000 }));
    CHECK(totals.onlineOnTime + totals.onlineLate + totals.onlineRefused == totals.onlineArrivals);
    CHECK(totals.onlineOnTime >= totals.onlineArrivals * 95 / 100);
    CHECK(simulation.allocatedSlots() == 0);
}

// Load: the valleys of the load profile, with more items than slots. Guards against slots that stay idle between the
// peaks. Target: items hold 0.9 of the slot time that online requests leave, and 99 % of these are on time.
TEST_CASE("a coordinator fills the valleys of the online load with items")
{
    SlotSimulation::Options options = largeDeployment(GENERATE(1, 2));
    SlotSimulation simulation(options);
    simulation.run(Milliseconds { 2'000 }, 320, 4);
    simulation.resetTotals();
    const Milliseconds duration { 3'400 };
    simulation.run(duration, 320, 4);
    const SlotSimulation::Totals& totals = simulation.totals();
    INFO(describe(totals, options.nodes, duration));
    const double all = static_cast<double>(duration.count()) * options.endpoints * options.slotCount;
    const double online = static_cast<double>(totals.onlineArrivals) * options.onlineHold.count();
    CHECK(static_cast<double>(totals.batchSlotTime.count()) >= 0.9 * (all - online));
    CHECK(totals.onlineOnTime >= totals.onlineArrivals * 99 / 100);
}

#include "ConfigurationWorld.h"

#include <catch2/catch.hpp>

using namespace Chicorydock;

namespace {

/// Time after its acceptance within which a version must be in force everywhere.
constexpr Milliseconds applyTime { 4'000 };

constexpr size_t smallDocument = 16;
constexpr size_t largeDocument = 4'200;

}

// Guards against a large configuration that is late in a region whose nodes share one link to the store (incident
// 0c21).
TEST_CASE("two large configurations in series are in force in time on all nodes of a region with a shared link")
{
    runOnSimulatedTime([](SimulatedEventLoop& loop) {
        const std::vector<size_t> domains { 16, 16, 12 };
        const size_t nodes = 44;
        ConfigurationWorld world(domains, loop);
        world.put(2, smallDocument);
        world.start();
        world.run(Milliseconds { 10'000 });
        REQUIRE(world.nodesWith(2) == nodes);
        world.put(4, largeDocument);
        world.run(Milliseconds { 1'130 });
        world.put(6, largeDocument);
        world.run(applyTime - Milliseconds { 1'130 });
        CHECK(world.nodesWith(4) == nodes);
        world.run(Milliseconds { 1'130 });
        CHECK(world.nodesWith(6) == nodes);
    });
}

#include <LibCore/HybridLogicalClock.h>

#include <Tests/Support/SimulatedClock.h>
#include <catch2/catch.hpp>

using namespace Chicorydock;

// Guards against a timeline that shows a response before the request that caused it.
TEST_CASE("a received timestamp is lower than every later local one")
{
    SimulatedClock clock;
    HybridLogicalClock hybrid(clock);
    const HybridTime remote { toUnixMilliseconds(clock.wallNow()) + 5000, 3 };
    const HybridTime received = hybrid.receive(remote);
    CHECK(received > remote);
    CHECK(hybrid.tick() > received);
    clock.advance(std::chrono::seconds(10));
    CHECK(hybrid.tick().wallMilliseconds == toUnixMilliseconds(clock.wallNow()));
}

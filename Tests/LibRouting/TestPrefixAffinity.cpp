#include <LibRouting/PrefixAffinity.h>
#include <Tests/Support/SimulatedClock.h>

#include <catch2/catch.hpp>

using namespace Chicorydock;

// Guards against choosing an endpoint that holds only a short prefix while another one holds most of the prompt.
TEST_CASE("the endpoint with the longest prefix is found")
{
    SimulatedClock clock;
    PrefixAffinity affinity;
    affinity.recordSent({ 1, 2 }, 7, clock.now());
    affinity.recordSent({ 1, 2, 3, 4 }, 8, clock.now());
    const auto matches = affinity.find({ 1, 2, 3, 5 }, clock.now());
    REQUIRE(matches.size() == 1);
    CHECK(matches[0].endpoint == 8);
    CHECK(matches[0].share == Approx(0.5));
    CHECK(affinity.find({ 99 }, clock.now()).empty());
}

// Guards against stale events: after lost events only the record of sent work counts.
TEST_CASE("a gap invalidates earlier cache events but not the record of sent work")
{
    SimulatedClock clock;
    PrefixAffinity affinity;
    affinity.recordStored({ 1 }, 7, clock.now());
    affinity.recordSent({ 2 }, 7, clock.now());
    CHECK(affinity.find({ 1 }, clock.now()).size() == 1);
    clock.advance(std::chrono::seconds { 1 });
    affinity.recordGap(7, clock.now());
    CHECK(affinity.find({ 1 }, clock.now()).empty());
    CHECK(affinity.find({ 2 }, clock.now()).size() == 1);
    clock.advance(std::chrono::seconds { 1 });
    affinity.recordStored({ 1 }, 7, clock.now());
    CHECK(affinity.find({ 1 }, clock.now()).size() == 1);
}

// Guards against sending work to an endpoint for a prefix that it no longer holds.
TEST_CASE("evicted and expired prefixes are not matched")
{
    SimulatedClock clock;
    PrefixAffinity affinity;
    affinity.recordSent({ 1 }, 7, clock.now());
    affinity.recordSent({ 1 }, 8, clock.now());
    affinity.recordEvicted({ 1, 55 }, 7);
    REQUIRE(affinity.find({ 1 }, clock.now()).size() == 1);
    CHECK(affinity.find({ 1 }, clock.now())[0].endpoint == 8);
    clock.advance(std::chrono::minutes { 3 });
    CHECK(affinity.find({ 1 }, clock.now()).empty());
}

// Guards against memory that grows with the number of different prompts.
TEST_CASE("the number of prefixes is bounded, and recent ones are kept")
{
    SimulatedClock clock;
    PrefixAffinity affinity;
    for (uint64_t key = 0; key < 50'000; ++key) {
        affinity.recordSent({ key }, static_cast<uint32_t>(key % 10), clock.now());
        affinity.recordSent({ 7 }, 3, clock.now());
    }
    CHECK(affinity.size() <= 16'384);
    CHECK(affinity.find({ 49'999 }, clock.now()).size() == 1);
    CHECK_FALSE(affinity.find({ 7 }, clock.now()).empty());
    CHECK(affinity.find({ 8 }, clock.now()).empty());
}

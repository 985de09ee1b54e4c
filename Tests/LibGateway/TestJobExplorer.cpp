#include "JobWorld.h"

#include <catch2/catch.hpp>

#include <cstdlib>

using namespace Chicorydock;

namespace {

/// Seeds that CI plays. CHICORYDOCK_EXPLORER_SEEDS=FIRST,COUNT plays others by hand.
constexpr uint64_t firstSeed = 1;
constexpr uint64_t seedCount = 40;

std::pair<uint64_t, uint64_t> seeds()
{
    const QList<QByteArray> parts = qgetenv("CHICORYDOCK_EXPLORER_SEEDS").split(',');
    return parts.size() == 2 ? std::pair<uint64_t, uint64_t>(parts[0].toULongLong(), parts[1].toULongLong())
                             : std::pair(firstSeed, seedCount);
}

}

// Guards against results that are listed twice, change or get lost, jobs that come back after their end or never end,
// and refusals that are not true, in interleavings that no single test was written for.
TEST_CASE("jobs keep their promises under late writes, lost answers, freezes and restarts")
{
    const auto [first, count] = seeds();
    std::vector<std::string> violations;
    JobWorld::Counts sum;
    for (uint64_t seed = first; seed < first + count; ++seed) {
        runOnSimulatedTime([&](SimulatedEventLoop& loop) {
            JobWorld world({ .seed = seed }, loop);
            world.run();
            violations.insert(violations.end(), world.violations().begin(), world.violations().end());
            sum.accepted += world.counts().accepted;
            sum.ended += world.counts().ended;
            sum.done += world.counts().done;
            sum.lateWrites += world.counts().lateWrites;
            sum.lostAnswers += world.counts().lostAnswers;
            sum.restarts += world.counts().restarts;
            sum.freezes += world.counts().freezes;
            sum.ownersChanged += world.counts().ownersChanged;
        });
    }
    INFO("accepted " << sum.accepted << ", ended " << sum.ended << ", done " << sum.done << ", late writes "
                     << sum.lateWrites << ", lost answers " << sum.lostAnswers << ", restarts " << sum.restarts
                     << ", freezes " << sum.freezes << ", changes of owners " << sum.ownersChanged);
    INFO((violations.empty() ? std::string("none") : violations.front()));
    CHECK(violations.empty());
    // The faults were played.
    CHECK(sum.done >= count);
    CHECK(sum.ended > 0);
    CHECK(sum.lateWrites > 0);
    CHECK(sum.restarts > 0);
    CHECK(sum.freezes > 0);
    CHECK(sum.ownersChanged > sum.accepted);
}

#include "JobWorld.h"

#include <Tests/Support/SeedRange.h>
#include <catch2/catch.hpp>

using namespace Chicorydock;

namespace {

constexpr SeedRange defaultSeeds { 1, 40 };

}

// Guards against results that are duplicated, changed or lost, jobs that reopen after they were cancelled or never
// finish, rejections of jobs that exist, and outputs that go on with a run that was not asked to (ORDER), in
// interleavings that no single test covers.
TEST_CASE("jobs keep their guarantees under late writes, lost answers, freezes and restarts")
{
    const auto [first, count] = requestedSeeds(defaultSeeds);
    std::vector<std::string> violations;
    JobWorld::Counts sum;
    for (uint64_t seed = first; seed < first + count; ++seed) {
        runOnSimulatedTime([&](SimulatedEventLoop& loop) {
            JobWorld world({ .seed = seed }, loop);
            world.run();
            violations.insert(violations.end(), world.violations().begin(), world.violations().end());
            sum.accepted += world.counts().accepted;
            sum.cancelled += world.counts().cancelled;
            sum.done += world.counts().done;
            sum.lateWrites += world.counts().lateWrites;
            sum.lostAnswers += world.counts().lostAnswers;
            sum.restarts += world.counts().restarts;
            sum.freezes += world.counts().freezes;
            sum.ownerChanges += world.counts().ownerChanges;
            sum.resumedRuns += world.counts().resumedRuns;
        });
    }
    INFO("accepted " << sum.accepted << ", cancelled " << sum.cancelled << ", done " << sum.done << ", late writes "
                     << sum.lateWrites << ", lost answers " << sum.lostAnswers << ", restarts " << sum.restarts
                     << ", freezes " << sum.freezes << ", owner changes " << sum.ownerChanges);
    INFO((violations.empty() ? std::string("none") : violations.front()));
    CHECK(violations.empty());
    // The faults occurred.
    CHECK(sum.done >= count);
    CHECK(sum.cancelled > 0);
    CHECK(sum.lateWrites > 0);
    CHECK(sum.restarts > 0);
    CHECK(sum.freezes > 0);
    CHECK(sum.ownerChanges > sum.accepted);
    CHECK(sum.resumedRuns > 0);
}

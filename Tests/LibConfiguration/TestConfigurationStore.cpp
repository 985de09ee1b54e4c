#include <LibConfiguration/ConfigurationStore.h>
#include <LibPlatform/MemoryTableService.h>

#include "SampleConfiguration.h"

#include <Tests/Support/FaultyTableService.h>
#include <Tests/Support/SeededProperty.h>
#include <Tests/Support/SimulatedClock.h>

using namespace Chicorydock;

namespace {

struct Fixture {
    SimulatedClock clock;
    MemoryTableService memory;
    FaultInjector faults { 1 };
    FaultyTableService table { memory, faults };
    ConfigurationStore store { table, clock };

    ErrorKind errorOf(const Configuration& configuration, uint64_t expected)
    {
        try {
            store.apply(configuration, expected);
        } catch (const Error& error) {
            return error.kind();
        }
        return ErrorKind::Internal;
    }
};

/// An operator's change, with the revision that the operator expects.
struct Change {
    std::string requestId;
    uint64_t expected;
};

}

// Guards against two operators who both believe that their change is in force.
TEST_CASE("a conflicting change fails with the current revision")
{
    Fixture fixture;
    CHECK(fixture.store.apply(sampleConfiguration("a"), 0) == 1);
    try {
        fixture.store.apply(sampleConfiguration("b"), 0);
        FAIL("the conflict was not detected");
    } catch (const Error& error) {
        CHECK(error.kind() == ErrorKind::Conflict);
        CHECK(error.message() == "expected revision 0; the current revision is 1");
    }
    CHECK(fixture.errorOf(sampleConfiguration("b"), 7) == ErrorKind::Conflict);
    CHECK(fixture.store.apply(sampleConfiguration("b"), 1) == 2);
    CHECK(fixture.store.fetch(1)->requestId == "a");
    CHECK(fixture.store.fetch(2)->revision == 2);
    CHECK(fixture.store.fetch(3) == std::nullopt);
}

// Guards against a resent change that takes effect twice, or that overwrites a later one.
TEST_CASE("a resent change returns its earlier revision")
{
    Fixture fixture;
    CHECK(fixture.store.apply(sampleConfiguration("a"), 0) == 1);
    CHECK(fixture.store.apply(sampleConfiguration("b"), 1) == 2);
    CHECK(fixture.store.apply(sampleConfiguration("a"), 0) == 1);
    CHECK(fixture.store.head() == 2);
    Configuration other = sampleConfiguration("a");
    other.author = "someone else";
    CHECK(fixture.errorOf(other, 2) == ErrorKind::Conflict);
}

// Guards against a lost response after which the change conflicts with itself or takes effect twice.
TEST_CASE("a change whose response was lost is found by reading back")
{
    Fixture fixture;
    fixture.faults.loseResponses(1);
    CHECK(fixture.store.apply(sampleConfiguration("a"), 0) == 1);
    CHECK(fixture.store.head() == 1);
    // The outage follows the lost response, so that nothing can be read back.
    fixture.faults.loseResponses(1);
    int writes = 0;
    fixture.faults.setWriteHook([&] { fixture.faults.setOutage(++writes > 1); });
    fixture.faults.setLostRequestShare(1);
    CHECK(fixture.errorOf(sampleConfiguration("b"), 1) == ErrorKind::OutcomeUnknown);
}

// Guards against rows that accumulate without limit.
TEST_CASE("revisions beyond the retained number are removed with their requests")
{
    Fixture fixture;
    ConfigurationStore store(fixture.table, fixture.clock, 3);
    for (uint64_t n = 0; n < 6; ++n) {
        fixture.clock.advance(std::chrono::seconds(1));
        CHECK(store.apply(sampleConfiguration("r" + std::to_string(n)), n) == n + 1);
    }
    const auto history = store.history(10);
    REQUIRE(history.size() == 3);
    CHECK(history.front().revision == 6);
    CHECK(history.front().requestId == "r5");
    CHECK(history.front().author == "marisol");
    CHECK(history.front().accepted == fromUnixMilliseconds(toUnixMilliseconds(fixture.clock.wallNow())));
    CHECK(store.history(2).size() == 2);
    CHECK(fixture.memory.scan("config", "request/", "", 10).size() == 3);
}

// Guards against lost, doubled or reverted revisions when operators race, resend and lose responses. The model is a
// plain list of the request ids that were accepted.
TEST_CASE("the history agrees with a plain list")
{
    checkSeededProperty("configuration history", 7, 200, [](uint64_t seed) {
        Fixture fixture;
        FaultInjector faults(seed);
        FaultyTableService table(fixture.memory, faults);
        faults.setLostResponseShare(0.3);
        faults.setLostRequestShare(0.2);
        std::vector<std::string> accepted;
        std::vector<Change> submitted;
        SeededRandom random(seed);
        ConfigurationStore store(table, fixture.clock);
        // Another operator's change that is committed between the read and the commit of this one.
        int nested = 0;
        faults.setWriteHook([&] {
            if (random.below(4) != 0)
                return;
            const std::string id = "racer" + std::to_string(nested++);
            RC_ASSERT(fixture.store.apply(sampleConfiguration(id), accepted.size()) == accepted.size() + 1);
            accepted.push_back(id);
        });
        // Adds a commit to the list as soon as it takes effect, whatever result the caller gets.
        const auto recordCommit = [&](const std::string& id) {
            const auto rows = fixture.memory.scan("config", "revision/", "", 1000);
            if (rows.size() == accepted.size() + 1)
                accepted.push_back(id);
            RC_ASSERT(rows.size() == accepted.size());
        };
        for (int n = 0; n < 30; ++n) {
            const bool isResent = !submitted.empty() && random.below(3) == 0;
            const Change change = isResent
                ? submitted[random.below(submitted.size())]
                : Change { "c" + std::to_string(n), accepted.size() - (accepted.empty() ? 0 : random.below(2)) };
            submitted.push_back(change);
            try {
                const uint64_t revision = store.apply(sampleConfiguration(change.requestId), change.expected);
                recordCommit(change.requestId);
                RC_ASSERT(accepted.at(revision - 1) == change.requestId);
            } catch (const Error& error) {
                recordCommit(change.requestId);
                if (error.kind() == ErrorKind::Conflict)
                    RC_ASSERT(std::ranges::find(accepted, change.requestId) == accepted.end());
                else
                    RC_ASSERT(error.kind() == ErrorKind::OutcomeUnknown);
            }
            RC_ASSERT(fixture.store.head() == accepted.size());
        }
        const auto history = fixture.store.history(1000);
        RC_ASSERT(history.size() == accepted.size());
        for (size_t n = 0; n < accepted.size(); ++n)
            RC_ASSERT(history[accepted.size() - 1 - n].requestId == accepted[n]);
    });
}

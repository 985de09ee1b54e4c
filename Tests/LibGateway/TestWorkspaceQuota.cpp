#include <LibCore/SeededRandom.h>
#include <LibGateway/SlotScheduler.h>
#include <Tests/Support/SimulatedClock.h>

#include <catch2/catch.hpp>

#include <limits>

using namespace Chicorydock;

namespace {

using std::chrono::seconds;

constexpr Milliseconds lifetime { 1'200 };

/// The rate limits of one node that has run for a while.
struct Fixture {
    explicit Fixture(const std::vector<WorkspaceLimits>& limits)
    {
        quota.setWorkspaces(limits);
        pass(seconds { 60 });
    }

    void pass(Milliseconds time)
    {
        const MonotonicTime end = clock.now() + time;
        while (clock.now() < end) {
            clock.advance(Milliseconds { 100 });
            quota.update(clock.now());
        }
    }

    /// Returns how many of the requests are charged.
    size_t charge(const std::string& workspace, size_t requests)
    {
        size_t charged = 0;
        for (size_t n = 0; n < requests; ++n)
            charged += quota.charge(++lastWork, workspace, false, clock.now()) ? 0 : 1;
        return charged;
    }

    SeededRandom random { 1 };
    SimulatedClock clock;
    WorkspaceQuota quota { random };
    uint64_t lastWork { 0 };
};

}

// Guards against limits that deny what the operator grants, or much more.
TEST_CASE("a workspace is charged up to its burst at once and its rate after that")
{
    Fixture fixture({ { "w", 10, 20 } });
    const size_t first = fixture.charge("w", 100);
    CHECK(first >= 20);
    CHECK(first <= 27);
    fixture.pass(seconds { 1 });
    const size_t next = fixture.charge("w", 100);
    CHECK(next >= 10);
    CHECK(next <= 11);
}

// Guards against limits on what the operator does not limit, and on the workspaces of others.
TEST_CASE("work without a limit is not charged")
{
    const double nan = std::numeric_limits<double>::quiet_NaN();
    Fixture fixture({ { "limited", 1, 1 }, { "zero", 0, 5 }, { "negative", -1, 5 }, { "nan", nan, 5 },
        { "huge", 1e300, 1e300 }, { "bad burst", 100, nan } });
    for (const char* it : { "", "unknown", "zero", "negative", "nan", "huge" })
        CHECK(fixture.charge(it, 1'000) == 1'000);
    CHECK(fixture.charge("limited", 1'000) < 10);
    CHECK(fixture.charge("bad burst", 1'000) < 30);
}

// Guards against callers who all return at the same moment.
TEST_CASE("callers over the limit are told successive times at which there is room")
{
    Fixture fixture({ { "w", 10, 5 } });
    fixture.charge("w", 100);
    Fixture other({ { "w", 10, 5 } });
    while (!other.quota.charge(++other.lastWork, "w", false, other.clock.now())) { }
    Milliseconds before { 0 };
    for (int n = 0; n < 20; ++n) {
        const auto retryAfter = other.quota.charge(++other.lastWork, "w", false, other.clock.now());
        REQUIRE(retryAfter);
        CHECK(*retryAfter > before);
        CHECK(*retryAfter <= seconds { 10 });
        before = *retryAfter;
    }
    other.pass(before);
    CHECK(other.charge("w", 1) == 1);
}

// Guards against requests that pay without running.
TEST_CASE("a request that does not run gives its token back")
{
    Fixture fixture({ { "w", 1, 5 } });
    while (!fixture.quota.charge(++fixture.lastWork, "w", false, fixture.clock.now())) { }
    // The latest one was refused; the one before it runs.
    fixture.quota.recordStart(fixture.lastWork - 1);
    fixture.quota.refund(fixture.lastWork - 1);
    CHECK(fixture.charge("w", 1) == 0);
    fixture.quota.refund(fixture.lastWork - 3);
    CHECK(fixture.charge("w", 2) == 1);
}

// Guards against a limit that was lowered and is not kept, and against a burst for each change.
TEST_CASE("a lower limit cuts the bucket and a higher one fills it from then on")
{
    Fixture fixture({ { "w", 100, 100 } });
    fixture.quota.setWorkspaces({ { "w", 1, 1 } });
    CHECK(fixture.charge("w", 100) <= 5);
    fixture.quota.setWorkspaces({ { "w", 100, 100 } });
    CHECK(fixture.charge("w", 100) <= 1);
    fixture.pass(seconds { 1 });
    CHECK(fixture.charge("w", 200) >= 100);
}

// Guards against a burst that is granted again after a pause in which other nodes allocated the slots.
TEST_CASE("an allocator that has paused knows nothing of the burst")
{
    Fixture fixture({ { "w", 2, 50 } });
    fixture.quota.setKnownNodes(10);
    fixture.clock.advance(seconds { 2 });
    fixture.quota.update(fixture.clock.now());
    CHECK(fixture.charge("w", 100) <= 6);
}

// Guards against errors of peers that block a workspace or grant it more than its limit.
TEST_CASE("reports that cannot be are ignored")
{
    Fixture fixture({ { "w", 10, 20 } });
    const uint64_t key = WorkspaceQuota::key("w");
    const auto receive = [&](uint32_t nodes, const ReportedQuotas& quotas) {
        fixture.quota.receive("peer", nodes, lifetime, quotas, fixture.clock.now());
        fixture.quota.update(fixture.clock.now());
    };
    receive(1, { { key, { 5, 10 } }, { 12345, { 1, 1 } } });
    receive(1, { { key, { 4'000'000'000, 10 } } });
    receive(1, { { key, { 5, std::numeric_limits<int32_t>::min() } } });
    receive(1, { { key, { 5, std::numeric_limits<int32_t>::max() } } });
    const size_t charged = fixture.charge("w", 100);
    CHECK(charged >= 10);
    CHECK(charged <= 27);
    receive(std::numeric_limits<uint32_t>::max(), {});
    CHECK(fixture.quota.group().nodesInTouch() <= 10'001);
    receive(0, {});
    CHECK(fixture.quota.group().nodesInTouch() == 2);
}

// Guards against callers over the limit that delay others, and against items that are counted.
TEST_CASE("requests over the limit are refused before they are queued")
{
    SeededRandom random(1);
    SimulatedClock clock;
    SlotScheduler scheduler({ "n1", "z1", {} }, random);
    scheduler.setWorkspaces({ { "w", 1, 1 } });
    clock.advance(seconds { 1 });
    scheduler.poll(clock.now());
    const auto submit = [&](uint64_t id, bool isCharged) {
        OnlineWork work { .id = id, .service = "lm", .deadline = clock.now() + seconds { 5 } };
        work.profile.workspace = "w";
        work.isCharged = isCharged;
        scheduler.submit(work, clock.now());
    };
    for (uint64_t id = 1; id <= 100; ++id)
        submit(id, false);
    CHECK(scheduler.waitingOnline() < 10);
    CHECK(scheduler.needsPolling());
    size_t refused = 0;
    for (const SlotDecision& it : scheduler.poll(clock.now())) {
        const bool isOverQuota = it.reason == RefusalReason::Quota;
        refused += isOverQuota ? 1 : 0;
        CHECK((!isOverQuota || (it.kind == SlotDecision::Kind::Refuse && it.retryAfter.count() > 0)));
    }
    CHECK(refused > 90);
    const uint32_t waiting = scheduler.waitingOnline();
    submit(101, true);
    CHECK(scheduler.waitingOnline() == waiting + 1);
    const uint64_t charged = scheduler.quota().totals().charged;
    BatchWork item { .id = 102, .service = "lm" };
    item.profile.workspace = "w";
    scheduler.submit(item);
    CHECK(scheduler.waitingBatch() == 1);
    CHECK(scheduler.quota().totals().charged == charged);
}

#include <LibCore/SeededRandom.h>
#include <LibRouting/BatchQueue.h>
#include <LibRouting/ByteBudget.h>
#include <LibRouting/EndpointIndexSet.h>
#include <LibRouting/FailoverBudget.h>
#include <LibRouting/LengthPredictor.h>
#include <LibRouting/OnlineQueue.h>
#include <LibRouting/RetryBudget.h>
#include <LibRouting/WorthWindow.h>
#include <Tests/Support/SimulatedClock.h>

#include <catch2/catch.hpp>

using namespace Chicorydock;

namespace {

constexpr Milliseconds interval { 10 };

Work makeWork(WorkId id, MonotonicTime deadline, const std::string& workspace = "w")
{
    Work work;
    work.id = id;
    work.workspace = workspace;
    work.deadline = deadline;
    return work;
}

WorkId push(OnlineQueue& queue, const Work& work, MonotonicTime now)
{
    queue.push(queue.keyFor(work, interval, now), work.workspace);
    return work.id;
}

}

// Guards against first-in-first-out order, which delays work with an early deadline or a high worth.
TEST_CASE("work with an earlier deadline or a higher worth starts first")
{
    SimulatedClock clock;
    const MonotonicTime now = clock.now();
    OnlineQueue queue;
    Work worthy = makeWork(3, now + std::chrono::seconds { 60 });
    worthy.worth = 4;
    push(queue, makeWork(1, now + std::chrono::seconds { 60 }), now);
    push(queue, makeWork(2, now + Milliseconds { 500 }), now);
    push(queue, worthy, now);
    CHECK(queue.at(0).id == 2);
    CHECK(queue.at(1).id == 3);
    CHECK(queue.at(2).id == 1);
}

// Guards against work with a distant deadline that is overtaken forever.
TEST_CASE("waiting work is overtaken only for the ageing time")
{
    SimulatedClock clock;
    OnlineQueue queue;
    push(queue, makeWork(1, clock.now() + std::chrono::hours { 1 }), clock.now());
    clock.advance(std::chrono::seconds { 3 });
    push(queue, makeWork(2, clock.now() + std::chrono::seconds { 1 }), clock.now());
    CHECK(queue.at(0).id == 1);
}

// Guards against a workspace that fills the queue and delays all others.
TEST_CASE("a workspace with many requests does not delay another one")
{
    SimulatedClock clock;
    const MonotonicTime deadline = clock.now() + std::chrono::seconds { 60 };
    OnlineQueue queue;
    push(queue, makeWork(1'000, deadline, "quiet"), clock.now());
    for (WorkId id = 1; id <= 50; ++id)
        push(queue, makeWork(id, deadline, "busy"), clock.now());
    push(queue, makeWork(1'001, deadline, "quiet"), clock.now());
    const auto key = queue.keyFor(makeWork(1'002, deadline, "quiet"), interval, clock.now());
    CHECK(queue.rank(key) < 10);
    queue.erase(queue.at(0), "busy");
    CHECK(queue.size() == 51);
}

// Guards against preempted batch items that start from the end of the queue again and never finish.
TEST_CASE("batch work is ordered by deadline, and preempted work precedes other work of the same deadline")
{
    SimulatedClock clock;
    const MonotonicTime deadline = clock.now() + std::chrono::hours { 1 };
    BatchQueue queue;
    queue.push(makeWork(1, deadline), false);
    queue.push(makeWork(2, deadline), true);
    const auto early = queue.push(makeWork(3, deadline - std::chrono::minutes { 1 }), false);
    CHECK(BatchQueue::idOf(*queue.begin()) == 3);
    queue.erase(early);
    CHECK(BatchQueue::idOf(*queue.begin()) == 2);
    CHECK(queue.size() == 2);
}

// Guards against retry storms: the share must hold over any number of requests, also right after the start.
TEST_CASE("retries stay within their share of requests")
{
    RetryBudget budget(0.1, 10);
    size_t taken = 0;
    for (size_t n = 1; n <= 1'000; ++n) {
        budget.deposit();
        taken += budget.tryAcquire() ? 1 : 0;
        CHECK(taken <= n * 0.1 + 1e-6);
    }
    CHECK(taken == 100);
    for (size_t n = 0; n < 1'000; ++n)
        budget.deposit();
    size_t burst = 0;
    while (budget.tryAcquire())
        ++burst;
    CHECK(burst == 10);
}

// Guards against streams that are cut off because their endpoint was lost before the node had served many requests, and
// against an unlimited budget.
TEST_CASE("a lost endpoint's streams can all be resumed, also right after the start")
{
    FailoverBudget budget(64, 0.1);
    SimulatedClock clock;
    size_t taken = 0;
    while (budget.tryAcquire(clock.now()))
        ++taken;
    CHECK(taken == 64);
    clock.advance(std::chrono::seconds { 50 });
    while (budget.tryAcquire(clock.now()))
        ++taken;
    CHECK(taken == 69);
}

// Guards against spilled requests that exceed the byte rate of the link to other regions, be it one big request or many
// small ones.
TEST_CASE("bytes to other regions stay within their rate")
{
    SimulatedClock clock;
    ByteBudget budget(1'000);
    CHECK_FALSE(budget.tryAcquire(1'001, clock.now()));
    double taken = 0;
    for (int n = 0; n < 100; ++n) {
        clock.advance(Milliseconds { 100 });
        taken += budget.tryAcquire(150, clock.now()) ? 150 : 0;
    }
    CHECK(taken <= 11'000);
    CHECK(taken > 9'500);
    // Bytes that an answer uses beyond its prediction delay the next one.
    budget.charge(2'000, clock.now());
    clock.advance(std::chrono::seconds { 1 });
    CHECK_FALSE(budget.tryAcquire(150, clock.now()));
}

// Guards against long work that is treated as short although similar work was seen before.
TEST_CASE("lengths are learned by model, workspace and limit")
{
    LengthPredictor predictor;
    Work usual = makeWork(1, {}, "usual");
    usual.maxTokens = 1'000;
    Work report = makeWork(2, {}, "reports");
    report.maxTokens = 50'000;
    CHECK(predictor.expectedTokens(usual) == Approx(250));
    for (int n = 0; n < 100; ++n) {
        predictor.add(usual, 100 + n % 10);
        if (n % 10 == 0)
            predictor.add(report, 6'000);
    }
    CHECK(predictor.expectedTokens(usual) == Approx(105).epsilon(0.05));
    CHECK(predictor.expectedTokens(report) == Approx(6'000).epsilon(0.05));
    CHECK(predictor.isLong(report));
    CHECK_FALSE(predictor.isLong(usual));
    // The caller's limit bounds the prediction from history.
    report.maxTokens = 33'000;
    for (int n = 0; n < 100; ++n)
        predictor.add(report, 40'000);
    CHECK(predictor.expectedTokens(report) == 33'000);
    Work unknown = makeWork(3, {}, "new");
    unknown.maxTokens = 1'000;
    CHECK(predictor.expectedTokens(unknown) == Approx(105).epsilon(0.05));
}

// Guards against a rank that drifts after old requests left the window, and against equal worths that are all refused.
TEST_CASE("the worth of a request is ranked among recent requests")
{
    SeededRandom random(1);
    WorthWindow window;
    for (int n = 0; n < 1'000; ++n)
        window.rankAndAdd(100, random);
    double sum = 0;
    for (int n = 0; n < 1'000; ++n)
        sum += window.rankAndAdd(1 + n % 4, random);
    CHECK(sum / 1'000 == Approx(0.5).margin(0.15));
    CHECK(window.rankAndAdd(4, random) >= 0.74);
    CHECK(window.rankAndAdd(1, random) <= 0.26);
    CHECK(window.rankAndAdd(0.5, random) == 0);
}

// Guards against an erased endpoint that stays a member after the last member moved to its position.
TEST_CASE("an index set inserts and erases members")
{
    EndpointIndexSet set;
    CHECK(set.insert(5));
    CHECK(set.insert(2));
    CHECK(set.insert(9));
    CHECK_FALSE(set.insert(2));
    CHECK(set.erase(5));
    CHECK_FALSE(set.erase(5));
    CHECK(set.contains(9));
    CHECK(set.contains(2));
    CHECK_FALSE(set.contains(100));
    CHECK(set.size() == 2);
    CHECK(set.set(9, false));
    CHECK(set[0] == 2);
}

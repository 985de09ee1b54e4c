#include "BatchWorld.h"

#include <LibCore/Error.h>

#include <QJsonDocument>

#include <catch2/catch.hpp>

using namespace Chicorydock;

namespace {

constexpr Milliseconds beyondLease { 20'000 };

/// Returns the status of each result line.
std::vector<int> statuses(BatchWorld& world, const std::string& id)
{
    std::vector<int> result;
    for (const std::string& line : world.service.results("", id, 0, 10'000).lines) {
        const QJsonObject object = QJsonDocument::fromJson(QByteArray::fromStdString(line)).object();
        result.push_back(object["response"].toObject()["status_code"].toInt());
    }
    return result;
}

}

// Guards against chunks that stay with a node that was killed.
TEST_CASE("the items of a killed node run on another one")
{
    BatchWorld world(2);
    world.service.submit(world.submission("job", 20));
    world.tick(0);
    CHECK(world.node(0).executor->running() == 20);
    world.crash(0);
    REQUIRE(world.runToEnd("job"));
    CHECK(statuses(world, "job") == std::vector<int>(20, 200));
}

// Guards against a second result from a holder that was paused while another node took its chunk over.
TEST_CASE("a node paused past its lease commits nothing")
{
    BatchWorld world(2);
    world.service.submit(world.submission("job", 5));
    world.tick(0);
    world.clock.advance(beyondLease);
    world.tick(1);
    world.node(1).executor->finish();
    world.tick(1);
    const ResultPage committed = world.service.results("", "job", 0, 10);
    CHECK(committed.complete);
    world.node(0).executor->finish([](const BatchItem&) {
        return ItemOutcome { ItemOutcome::Kind::Completed, { 200, { { "echo", "from the paused node" } } } };
    });
    world.tick(0);
    world.tick(0);
    CHECK(world.node(0).controller->claimedChunks() == 0);
    CHECK(world.node(0).controller->counters().lostChunks == 1);
    CHECK(world.service.results("", "job", 0, 10) == committed);
}

// Guards against a pause that falls between the check of the lease and the commit.
TEST_CASE("a node paused between check and commit commits nothing")
{
    BatchOptions options;
    options.maxClaimedChunks = 1;
    BatchWorld world(3, options);
    // Node 1 keeps the other chunk open, so that the row of the job cannot stop the late commit, only that of the
    // chunk.
    world.service.submit(world.submission("job", 20));
    world.tick(0);
    world.tick(1);
    REQUIRE(world.node(1).controller->claimedChunks() == 1);
    world.node(0).executor->finish([](const BatchItem&) {
        return ItemOutcome { ItemOutcome::Kind::Completed, { 200, { { "echo", "late" } } } };
    });
    int writes = 0;
    world.node(0).faults.setWriteHook([&] {
        // The first write stores the object; the pause falls before the second, which is the transaction.
        if (++writes != 2)
            return;
        world.clock.advance(beyondLease);
        world.tick(1);
        world.tick(2);
        world.node(2).executor->finish();
        world.tick(2);
    });
    world.tick(0);
    REQUIRE(writes >= 2);
    CHECK(world.node(0).controller->counters().commits == 0);
    REQUIRE(world.runToEnd("job"));
    CHECK(statuses(world, "job") == std::vector<int>(20, 200));
    for (const std::string& line : world.service.results("", "job", 0, 20).lines)
        CHECK(line.find("late") == std::string::npos);
}

// Guards against work that is repeated or given up because the response to a write was lost.
TEST_CASE("a lost response neither repeats nor loses a chunk")
{
    BatchWorld world;
    world.service.submit(world.submission("job", 10));
    // Every other response is lost: of the claim, the result object, the commit and the end of the job.
    int writes = 0;
    world.node(0).faults.setWriteHook([&] { world.node(0).faults.loseResponses(++writes % 2); });
    world.tick(0);
    CHECK(world.node(0).executor->running() == 10);
    world.node(0).executor->finish();
    world.tick(0);
    CHECK(writes >= 4);
    CHECK(world.node(0).controller->counters().claimConflicts == 0);
    CHECK(world.node(0).controller->counters().commits == 1);
    REQUIRE(world.runToEnd("job"));
    for (uint32_t n = 0; n < 10; ++n)
        CHECK(world.runsOf("job", n) == 1);
}

// Guards against an outage that stops claimed chunks or loses their results, and against claims during it.
TEST_CASE("claimed chunks go on during an outage and commit after it")
{
    BatchOptions options;
    options.maxClaimedChunks = 1;
    BatchWorld world(1, options);
    world.service.submit(world.submission("job", 20));
    world.node(0).executor->setCapacity(4);
    world.tick(0);
    world.node(0).faults.setOutage(true);
    for (int n = 0; n < 60; ++n) {
        world.clock.advance(Milliseconds { 1'000 });
        world.node(0).executor->finish();
        world.tick(0);
    }
    CHECK(world.node(0).controller->counters().itemsEnded == 10);
    CHECK(world.node(0).controller->claimedChunks() == 1);
    world.node(0).faults.setOutage(false);
    REQUIRE(world.runToEnd("job"));
    for (uint32_t n = 0; n < 20; ++n)
        CHECK(world.runsOf("job", n) == 1);
}

// Guards against an item that kills every node that runs it and takes the other items of its chunk with it, or for
// ever.
TEST_CASE("an item that kills nodes ends as failed, and the others succeed")
{
    BatchWorld world(1);
    world.service.submit(world.submission("job", 30));
    int crashes = 0;
    for (int n = 0; n < 400 && world.service.status("", "job").state == JobView::State::InProgress; ++n) {
        world.tick(0);
        if (world.node(0).executor->isRunning("item-17")) {
            ++crashes;
            world.crash(0);
        } else {
            world.node(0).executor->finish();
        }
        world.clock.advance(Milliseconds { 2'000 });
    }
    REQUIRE(world.service.status("", "job").state == JobView::State::Completed);
    std::vector<int> expected(30, 200);
    expected[17] = 502;
    CHECK(statuses(world, "job") == expected);
    // 3 claims of the chunk, 4 of ever smaller parts, 3 of the item.
    CHECK(crashes <= 10);
}

// Guards against endless attempts at an item that fails without harm to its node.
TEST_CASE("an item whose attempts fail ends as failed after a bounded number")
{
    BatchWorld world;
    world.service.submit(world.submission("job", 3));
    REQUIRE(world.runToEnd("job", [](const BatchItem& item) {
        if (item.index == 1)
            return ItemOutcome { ItemOutcome::Kind::Failed, { 500, {} } };
        return FakeExecutor::succeed(item);
    }));
    CHECK(statuses(world, "job") == std::vector<int> { 200, 500, 200 });
    CHECK(world.runsOf("job", 1) == world.options.maxItemAttempts);
    CHECK(world.service.status("", "job").failed == 1);
}

// Guards against items that are given up because they ran beside one that takes its worker down.
TEST_CASE("items that fail together with another one are not blamed for it")
{
    BatchWorld world;
    world.service.submit(world.submission("job", 5));
    for (int n = 0; n < 60 && world.service.status("", "job").state == JobView::State::InProgress; ++n) {
        world.tick(0);
        const bool isDown = world.node(0).executor->isRunning("item-2");
        world.node(0).executor->finish([&](const BatchItem& item) {
            return isDown ? ItemOutcome { ItemOutcome::Kind::Failed, { 502, {} } } : FakeExecutor::succeed(item);
        });
        world.clock.advance(Milliseconds { 1'100 });
    }
    CHECK(statuses(world, "job") == std::vector<int> { 200, 200, 502, 200, 200 });
}

// Guards against a certificate that is issued twice because its node was killed before the result was durable.
TEST_CASE("an unrepeatable item runs at most once over a crash")
{
    BatchWorld world(2);
    world.service.submit(world.submission("job", 30, true));
    world.node(0).executor->setCapacity(4);
    world.tick(0);
    REQUIRE(world.node(0).executor->running() == 4);
    world.crash(0);
    REQUIRE(world.runToEnd("job"));
    const std::vector<int> results = statuses(world, "job");
    REQUIRE(results.size() == 30);
    for (uint32_t n = 0; n < 30; ++n) {
        CHECK(world.runsOf("job", n) <= 1);
        // 502 is the status of may_have_run.
        CHECK(results[n] == (world.runsOf("job", n) == 1 && results[n] == 200 ? 200 : 502));
    }
    CHECK(std::ranges::count(results, 502) <= world.options.intentGroup);
    CHECK(world.tables.scan("intents", "", "", 100).empty());
}

// Guards against an intent whose record took effect although the response was lost, and against dispatch without one.
TEST_CASE("an intent record with unknown outcome is read back before the item runs")
{
    BatchWorld world;
    world.service.submit(world.submission("job", 5, true));
    int writes = 0;
    world.node(0).faults.setWriteHook([&] {
        // The first write claims the chunk, the second one inserts the intents.
        if (++writes == 2)
            world.node(0).faults.loseResponses(1);
    });
    world.tick(0);
    CHECK(world.node(0).executor->running() == 0);
    CHECK(world.tables.scan("intents", "", "", 100).size() == 5);
    REQUIRE(world.runToEnd("job"));
    CHECK(statuses(world, "job") == std::vector<int>(5, 200));
}

// Guards against results that are committed, and items that go on, after a cancellation was acknowledged.
TEST_CASE("nothing is committed after a cancellation, and running items are given up")
{
    BatchWorld world(2);
    world.service.submit(world.submission("job", 60));
    world.tickAll();
    world.node(0).executor->finish();
    JobView cancelled;
    int writes = 0;
    world.node(0).faults.setWriteHook([&] {
        // The first write stores a result object; the second is the transaction that commits it.
        if (++writes == 2)
            cancelled = world.service.cancel("", "job");
    });
    world.tickAll();
    REQUIRE(cancelled.state == JobView::State::Cancelled);
    CHECK(cancelled.completed == 0);
    CHECK(world.node(0).controller->counters().commits == 0);
    world.clock.advance(world.options.cancelCheck);
    world.tickAll();
    CHECK(world.node(1).executor->running() == 0);
    CHECK(world.node(0).controller->claimedChunks() + world.node(1).controller->claimedChunks() == 0);
    CHECK(world.service.status("", "job") == cancelled);
    CHECK(world.service.results("", "job", 0, 100).complete);
    CHECK(world.tables.scan("open_jobs", "", "", 10).empty());
}

// Guards against a planned stop that loses finished items, runs them again or counts as a crash.
TEST_CASE("a released node hands over its chunk with the finished items")
{
    BatchWorld world(2);
    world.service.submit(world.submission("job", 10));
    world.tick(0);
    world.node(0).executor->finish(&FakeExecutor::succeed, 6);
    world.node(0).controller->release();
    CHECK_FALSE(world.node(0).controller->isReleased());
    world.tick(0);
    world.tick(0);
    CHECK(world.node(0).controller->isReleased());
    CHECK(world.service.status("", "job").completed == 6);
    CHECK(world.service.results("", "job", 0, 10).next == 6);
    REQUIRE(world.runToEnd("job"));
    for (uint32_t n = 0; n < 6; ++n)
        CHECK(world.runsOf("job", n) == 1);
    CHECK(statuses(world, "job") == std::vector<int>(10, 200));
}

// Guards against a chunk that waits for ever at a node whose endpoints have all passed to other nodes.
TEST_CASE("a node that cannot start any item hands its chunk over")
{
    BatchWorld world(2);
    world.service.submit(world.submission("job", 10));
    world.node(0).executor->setCapacity(4);
    world.tick(0);
    world.node(0).executor->finish();
    world.node(0).executor->setCapacity(0);
    REQUIRE(world.runToEnd("job"));
    CHECK(world.node(0).controller->counters().handedBack == 1);
    CHECK(statuses(world, "job") == std::vector<int>(10, 200));
    for (uint32_t n = 0; n < 10; ++n)
        CHECK(world.runsOf("job", n) == 1);
}

// Guards against a planned stop that makes unrepeatable items end as may_have_run.
TEST_CASE("a released node lets unrepeatable items end and frees those that did not start")
{
    BatchWorld world(2);
    world.service.submit(world.submission("job", 10, true));
    world.node(0).executor->setCapacity(3);
    world.tick(0);
    world.node(0).controller->release();
    world.tick(0);
    CHECK(world.node(0).executor->running() == 3);
    world.node(0).executor->finish();
    world.tick(0);
    CHECK(world.node(0).controller->isReleased());
    REQUIRE(world.runToEnd("job"));
    CHECK(statuses(world, "job") == std::vector<int>(10, 200));
    for (uint32_t n = 0; n < 10; ++n)
        CHECK(world.runsOf("job", n) == 1);
}

// Guards against a job that is accepted twice when its client resends it to another node after a lost acknowledgement.
TEST_CASE("a job resent to another node while it runs is not run again")
{
    BatchWorld world(2);
    SeededRandom random(77);
    TableJobService other(world.tables, world.objects, world.clock, random, BatchWorld::chunkItems * 2);
    const std::string id = world.service.submit(world.submission("", 20)).id;
    world.tick(0);
    CHECK(other.submit(world.submission("", 20)).id == id);
    REQUIRE(world.runToEnd(id));
    CHECK(other.submit(world.submission("", 20)).state == JobView::State::Completed);
    for (uint32_t n = 0; n < 20; ++n)
        CHECK(world.runsOf(id, n) == 1);
}

// Guards against a job that waits behind one that is due later.
TEST_CASE("a node that is alone claims the job with the least slack first")
{
    BatchOptions options;
    options.maxClaimedChunks = 1;
    BatchWorld world(1, options);
    JobSubmission late = world.submission("late", 400);
    late.completionWindow = std::chrono::hours { 40 };
    world.service.submit(late);
    // The window that the next claim is drawn from needs some claims to shrink to one.
    for (int n = 0; n < 60; ++n) {
        world.tick(0);
        world.node(0).executor->finish();
        world.clock.advance(Milliseconds { 500 });
    }
    world.clock.advance(Milliseconds { 12'000 });
    JobSubmission urgent = world.submission("urgent", 1);
    urgent.completionWindow = std::chrono::hours { 1 };
    world.service.submit(urgent);
    const auto before = world.node(0).controller->counters().claims;
    while (world.runsOf("urgent", 0) == 0 && world.node(0).controller->counters().claims < before + 20) {
        world.tick(0);
        world.node(0).executor->finish();
        world.clock.advance(Milliseconds { 500 });
    }
    CHECK(world.node(0).controller->counters().claims <= before + 2);
}

#include "BatchCluster.h"

#include <LibCore/Error.h>

#include <QJsonDocument>

#include <catch2/catch.hpp>

using namespace Chicorydock;

namespace {

constexpr Milliseconds longerThanLease { 20'000 };

/// Returns the status of each result line.
std::vector<int> statuses(BatchCluster& cluster, const std::string& id)
{
    std::vector<int> result;
    for (const std::string& line : cluster.service.results("", id, 0, 10'000).lines) {
        const QJsonObject object = QJsonDocument::fromJson(QByteArray::fromStdString(line)).object();
        result.push_back(object["response"].toObject()["status_code"].toInt());
    }
    return result;
}

}

// Guards against chunks that remain assigned to a killed node.
TEST_CASE("the items of a killed node run on another node")
{
    BatchCluster cluster(2);
    cluster.service.submit(cluster.submission("job", 20));
    cluster.tick(0);
    CHECK(cluster.node(0).executor->running() == 20);
    cluster.crash(0);
    REQUIRE(cluster.runToEnd("job"));
    CHECK(statuses(cluster, "job") == std::vector<int>(20, 200));
}

// Guards against a second result from a holder that was paused while another node claimed its chunk.
TEST_CASE("a node paused past its lease commits nothing")
{
    BatchCluster cluster(2);
    cluster.service.submit(cluster.submission("job", 5));
    cluster.tick(0);
    cluster.clock.advance(longerThanLease);
    cluster.tick(1);
    cluster.node(1).executor->finish();
    cluster.tick(1);
    const ResultPage committed = cluster.service.results("", "job", 0, 10);
    CHECK(committed.complete);
    cluster.node(0).executor->finish([](const BatchItem&) {
        return ItemOutcome { ItemOutcome::Kind::Completed, { 200, { { "echo", "from the paused node" } } } };
    });
    cluster.tick(0);
    cluster.tick(0);
    CHECK(cluster.node(0).controller->claimedChunks() == 0);
    CHECK(cluster.node(0).controller->counters().lostChunks == 1);
    CHECK(cluster.service.results("", "job", 0, 10) == committed);
}

// Guards against a pause between the lease check and the commit.
TEST_CASE("a node paused between check and commit commits nothing")
{
    BatchOptions options;
    options.maxClaimedChunks = 1;
    BatchCluster cluster(3, options);
    // Node 1 holds the other chunk, so that the job stays open and only the version of the chunk's row can prevent the
    // late commit.
    cluster.service.submit(cluster.submission("job", 20));
    cluster.tick(0);
    cluster.tick(1);
    REQUIRE(cluster.node(1).controller->claimedChunks() == 1);
    cluster.node(0).executor->finish([](const BatchItem&) {
        return ItemOutcome { ItemOutcome::Kind::Completed, { 200, { { "echo", "late" } } } };
    });
    int writes = 0;
    cluster.node(0).faults.setWriteHook([&] {
        // The first write stores the object. The pause occurs before the second, which is the transaction.
        if (++writes != 2)
            return;
        cluster.clock.advance(longerThanLease);
        cluster.tick(1);
        cluster.tick(2);
        cluster.node(2).executor->finish();
        cluster.tick(2);
    });
    cluster.tick(0);
    REQUIRE(writes >= 2);
    CHECK(cluster.node(0).controller->counters().commits == 0);
    REQUIRE(cluster.runToEnd("job"));
    CHECK(statuses(cluster, "job") == std::vector<int>(20, 200));
    for (const std::string& line : cluster.service.results("", "job", 0, 20).lines)
        CHECK(line.find("late") == std::string::npos);
}

// Guards against work that is repeated or abandoned because the response to a write was lost.
TEST_CASE("a lost response neither repeats nor loses a chunk")
{
    BatchCluster cluster;
    cluster.service.submit(cluster.submission("job", 10));
    // Every other response is lost. The writes are the claim, the result object, the commit and the end of the job.
    int writes = 0;
    cluster.node(0).faults.setWriteHook([&] { cluster.node(0).faults.loseResponses(++writes % 2); });
    cluster.tick(0);
    CHECK(cluster.node(0).executor->running() == 10);
    cluster.node(0).executor->finish();
    cluster.tick(0);
    CHECK(writes >= 4);
    CHECK(cluster.node(0).controller->counters().claimConflicts == 0);
    CHECK(cluster.node(0).controller->counters().commits == 1);
    REQUIRE(cluster.runToEnd("job"));
    for (uint32_t n = 0; n < 10; ++n)
        CHECK(cluster.runsOf("job", n) == 1);
}

// Guards against an outage that stops claimed chunks or loses their results, and against claims during an outage.
TEST_CASE("claimed chunks continue during an outage and are committed after it")
{
    BatchOptions options;
    options.maxClaimedChunks = 1;
    BatchCluster cluster(1, options);
    cluster.service.submit(cluster.submission("job", 20));
    cluster.node(0).executor->setCapacity(4);
    cluster.tick(0);
    cluster.node(0).faults.setOutage(true);
    for (int n = 0; n < 60; ++n) {
        cluster.clock.advance(Milliseconds { 1'000 });
        cluster.node(0).executor->finish();
        cluster.tick(0);
    }
    CHECK(cluster.node(0).controller->counters().itemsEnded == 10);
    CHECK(cluster.node(0).controller->claimedChunks() == 1);
    cluster.node(0).faults.setOutage(false);
    REQUIRE(cluster.runToEnd("job"));
    for (uint32_t n = 0; n < 20; ++n)
        CHECK(cluster.runsOf("job", n) == 1);
}

// Guards against an item that crashes every node that runs it: it must not make the other items of its chunk fail, nor
// be retried forever.
TEST_CASE("an item that crashes its node ends as failed, and the others succeed")
{
    BatchCluster cluster(1);
    cluster.service.submit(cluster.submission("job", 30));
    int crashes = 0;
    for (int n = 0; n < 400 && cluster.service.status("", "job").state == JobView::State::InProgress; ++n) {
        cluster.tick(0);
        if (cluster.node(0).executor->isRunning("item-17")) {
            ++crashes;
            cluster.crash(0);
        } else {
            cluster.node(0).executor->finish();
        }
        cluster.clock.advance(Milliseconds { 2'000 });
    }
    REQUIRE(cluster.service.status("", "job").state == JobView::State::Completed);
    std::vector<int> expected(30, 200);
    expected[17] = 502;
    CHECK(statuses(cluster, "job") == expected);
    // 3 claims of the chunk, 4 of successively smaller parts, 3 of the single-item chunk.
    CHECK(crashes <= 10);
}

// Guards against unlimited retries of an item that fails without crashing its node.
TEST_CASE("an item whose attempts fail ends as failed after a bounded number")
{
    BatchCluster cluster;
    cluster.service.submit(cluster.submission("job", 3));
    REQUIRE(cluster.runToEnd("job", [](const BatchItem& item) {
        if (item.index == 1)
            return ItemOutcome { ItemOutcome::Kind::Failed, { 500, {} } };
        return FakeExecutor::succeed(item);
    }));
    CHECK(statuses(cluster, "job") == std::vector<int> { 200, 500, 200 });
    CHECK(cluster.runsOf("job", 1) == cluster.options.maxItemAttempts);
    CHECK(cluster.service.status("", "job").failed == 1);
}

// Guards against items that end as failed because they ran concurrently with one that crashes its worker.
TEST_CASE("items that fail because of a concurrent item succeed when retried")
{
    BatchCluster cluster;
    cluster.service.submit(cluster.submission("job", 5));
    for (int n = 0; n < 60 && cluster.service.status("", "job").state == JobView::State::InProgress; ++n) {
        cluster.tick(0);
        const bool isDown = cluster.node(0).executor->isRunning("item-2");
        cluster.node(0).executor->finish([&](const BatchItem& item) {
            return isDown ? ItemOutcome { ItemOutcome::Kind::Failed, { 502, {} } } : FakeExecutor::succeed(item);
        });
        cluster.clock.advance(Milliseconds { 1'100 });
    }
    CHECK(statuses(cluster, "job") == std::vector<int> { 200, 200, 502, 200, 200 });
}

// Guards against an unrepeatable item, for example issuing a certificate, that runs twice because its node was killed
// before the result was durable.
TEST_CASE("an unrepeatable item runs at most once despite a crash")
{
    BatchCluster cluster(2);
    cluster.service.submit(cluster.submission("job", 30, true));
    cluster.node(0).executor->setCapacity(4);
    cluster.tick(0);
    REQUIRE(cluster.node(0).executor->running() == 4);
    cluster.crash(0);
    REQUIRE(cluster.runToEnd("job"));
    const std::vector<int> results = statuses(cluster, "job");
    REQUIRE(results.size() == 30);
    for (uint32_t n = 0; n < 30; ++n) {
        CHECK(cluster.runsOf("job", n) <= 1);
        // 502 is the status of may_have_run.
        CHECK(results[n] == (cluster.runsOf("job", n) == 1 && results[n] == 200 ? 200 : 502));
    }
    CHECK(std::ranges::count(results, 502) <= cluster.options.minIntentGroupSize);
    CHECK(cluster.tables.scan("intents", "", "", 100).empty());
}

// Guards against an intent record that is assumed missing because the response to its write was lost, and against
// dispatch without an intent record.
TEST_CASE("an intent record with unknown outcome is read back before the item runs")
{
    BatchCluster cluster;
    cluster.service.submit(cluster.submission("job", 5, true));
    int writes = 0;
    cluster.node(0).faults.setWriteHook([&] {
        // The first write claims the chunk, the second one inserts the intents.
        if (++writes == 2)
            cluster.node(0).faults.loseResponses(1);
    });
    cluster.tick(0);
    CHECK(cluster.node(0).executor->running() == 0);
    CHECK(cluster.tables.scan("intents", "", "", 100).size() == 5);
    REQUIRE(cluster.runToEnd("job"));
    CHECK(statuses(cluster, "job") == std::vector<int>(5, 200));
}

// Guards against results that are committed and items that keep running after a cancellation was acknowledged.
TEST_CASE("nothing is committed after a cancellation, and running items are cancelled")
{
    BatchCluster cluster(2);
    cluster.service.submit(cluster.submission("job", 60));
    cluster.tickAll();
    cluster.node(0).executor->finish();
    JobView cancelled;
    int writes = 0;
    cluster.node(0).faults.setWriteHook([&] {
        // The first write stores a result object; the second is the transaction that commits it.
        if (++writes == 2)
            cancelled = cluster.service.cancel("", "job");
    });
    cluster.tickAll();
    REQUIRE(cancelled.state == JobView::State::Cancelled);
    CHECK(cancelled.completed == 0);
    CHECK(cluster.node(0).controller->counters().commits == 0);
    cluster.clock.advance(cluster.options.cancelCheckInterval);
    cluster.tickAll();
    CHECK(cluster.node(1).executor->running() == 0);
    CHECK(cluster.node(0).controller->claimedChunks() + cluster.node(1).controller->claimedChunks() == 0);
    CHECK(cluster.service.status("", "job") == cancelled);
    CHECK(cluster.service.results("", "job", 0, 100).complete);
    CHECK(cluster.tables.scan("open_jobs", "", "", 10).empty());
}

// Guards against a graceful shutdown that loses finished items, reruns them or counts as a crash.
TEST_CASE("a released node hands over its chunk with the finished items")
{
    BatchCluster cluster(2);
    cluster.service.submit(cluster.submission("job", 10));
    cluster.tick(0);
    cluster.node(0).executor->finish(&FakeExecutor::succeed, 6);
    cluster.node(0).controller->release();
    CHECK_FALSE(cluster.node(0).controller->isReleased());
    cluster.tick(0);
    cluster.tick(0);
    CHECK(cluster.node(0).controller->isReleased());
    CHECK(cluster.service.status("", "job").completed == 6);
    CHECK(cluster.service.results("", "job", 0, 10).next == 6);
    REQUIRE(cluster.runToEnd("job"));
    for (uint32_t n = 0; n < 6; ++n)
        CHECK(cluster.runsOf("job", n) == 1);
    CHECK(statuses(cluster, "job") == std::vector<int>(10, 200));
}

// Guards against a chunk that is never released by a node whose endpoints have all been reassigned to other nodes.
TEST_CASE("a node that cannot start any item releases its chunk")
{
    BatchCluster cluster(2);
    cluster.service.submit(cluster.submission("job", 10));
    cluster.node(0).executor->setCapacity(4);
    cluster.tick(0);
    cluster.node(0).executor->finish();
    cluster.node(0).executor->setCapacity(0);
    REQUIRE(cluster.runToEnd("job"));
    CHECK(cluster.node(0).controller->counters().releases == 1);
    CHECK(statuses(cluster, "job") == std::vector<int>(10, 200));
    for (uint32_t n = 0; n < 10; ++n)
        CHECK(cluster.runsOf("job", n) == 1);
}

// Guards against a graceful shutdown that makes unrepeatable items end as may_have_run.
TEST_CASE("a released node waits for unrepeatable items and releases those that did not start")
{
    BatchCluster cluster(2);
    cluster.service.submit(cluster.submission("job", 10, true));
    cluster.node(0).executor->setCapacity(3);
    cluster.tick(0);
    cluster.node(0).controller->release();
    cluster.tick(0);
    CHECK(cluster.node(0).executor->running() == 3);
    cluster.node(0).executor->finish();
    cluster.tick(0);
    CHECK(cluster.node(0).controller->isReleased());
    REQUIRE(cluster.runToEnd("job"));
    CHECK(statuses(cluster, "job") == std::vector<int>(10, 200));
    for (uint32_t n = 0; n < 10; ++n)
        CHECK(cluster.runsOf("job", n) == 1);
}

// Guards against a job that is accepted twice when its client resubmits it to another node after a lost response.
TEST_CASE("a job that is resubmitted to another node while it runs is not run again")
{
    BatchCluster cluster(2);
    SeededRandom random(77);
    TableJobService other(cluster.tables, cluster.objects, cluster.clock, random, BatchCluster::chunkItems * 2);
    const std::string id = cluster.service.submit(cluster.submission("", 20)).id;
    cluster.tick(0);
    CHECK(other.submit(cluster.submission("", 20)).id == id);
    REQUIRE(cluster.runToEnd(id));
    CHECK(other.submit(cluster.submission("", 20)).state == JobView::State::Completed);
    for (uint32_t n = 0; n < 20; ++n)
        CHECK(cluster.runsOf(id, n) == 1);
}

// Guards against a job that waits for one with a later deadline.
TEST_CASE("a single node claims the job with the least slack first")
{
    BatchOptions options;
    options.maxClaimedChunks = 1;
    BatchCluster cluster(1, options);
    JobSubmission late = cluster.submission("late", 400);
    late.completionWindow = std::chrono::hours { 40 };
    cluster.service.submit(late);
    // The candidate window shrinks to one only after some claims.
    for (int n = 0; n < 60; ++n) {
        cluster.tick(0);
        cluster.node(0).executor->finish();
        cluster.clock.advance(Milliseconds { 500 });
    }
    cluster.clock.advance(Milliseconds { 12'000 });
    JobSubmission urgent = cluster.submission("urgent", 1);
    urgent.completionWindow = std::chrono::hours { 1 };
    cluster.service.submit(urgent);
    const auto before = cluster.node(0).controller->counters().claims;
    while (cluster.runsOf("urgent", 0) == 0 && cluster.node(0).controller->counters().claims < before + 20) {
        cluster.tick(0);
        cluster.node(0).executor->finish();
        cluster.clock.advance(Milliseconds { 500 });
    }
    CHECK(cluster.node(0).controller->counters().claims <= before + 2);
}

#include <LibGateway/JobController.h>

#include "FakeJobPeers.h"
#include "GatewayFixture.h"

#include <Tests/Support/MemoryRowStore.h>
#include <Tests/Support/WaitFor.h>

#include <QElapsedTimer>
#include <catch2/catch.hpp>

using namespace Chicorydock;

namespace {

/// A node with its own state and a store that it shares with other nodes.
struct JobNode : GatewayFixture {
    FakeJobPeers peers;
    std::unique_ptr<JobController> jobs;

    JobNode(MemoryRowStore& store, const std::string& name)
        : m_store(store)
    {
        jobs = std::make_unique<JobController>(environment, store, peers, name);
        jobs->onReachableChanged(true);
    }

    /// Delivers the current job heads of the store to the controller.
    void syncFromStore() { jobs->onTableListed({ jobHeadRows(m_store) }); }

    /// Advances the clock in steps with a tick each, so that orphaned jobs are claimed.
    void advanceTime(Milliseconds time)
    {
        for (Milliseconds left = time; left.count() > 0; left -= Milliseconds { 250 }) {
            clock.advance(Milliseconds { 250 });
            jobs->tick();
            m_store.deliver();
        }
    }

    std::optional<Error> submit(const SubmittedJob& job)
    {
        std::optional<std::optional<Error>> result;
        jobs->submit(job, *environment.configuration->findJobRoute("b", "h.example"), "h.example",
            [&](std::optional<Error> error) { result = error; });
        m_store.deliver();
        settle();
        REQUIRE(result);
        return *result;
    }

    /// Lets the endpoint complete the newest run.
    void completeNewestRun(const QByteArray& text)
    {
        settle();
        http.handOver();
        http.headers(200);
        http.data("id: 1\ndata: " + text + "\n\n");
        http.finish();
    }

    /// Waits until a call to the store is pending, and delivers it.
    void commit()
    {
        REQUIRE(waitFor([&] { return m_store.waitingCalls() > 0; }));
        m_store.deliver();
    }

    std::variant<JobResultPage, Error> read(const std::string& job, size_t after = 0)
    {
        std::optional<std::variant<JobResultPage, Error>> result;
        jobs->readResults(job, after, [&](const auto& it) { result = it; });
        m_store.deliver();
        REQUIRE(result);
        return *result;
    }

private:
    MemoryRowStore& m_store;
};

SubmittedJob makeJob(const std::string& id, size_t items = 1, uint64_t tokens = 10)
{
    SubmittedJob job { id, {} };
    for (size_t n = 0; n < items; ++n)
        job.items.push_back({ id + "-" + std::to_string(n), "/b/x", {}, "body", tokens });
    return job;
}

JobResultPage pageOf(const std::variant<JobResultPage, Error>& result)
{
    REQUIRE(std::holds_alternative<JobResultPage>(result));
    return std::get<JobResultPage>(result);
}

/// Lets the node claim job `j` and checks that its item resumes after the events `a` and `b`.
void checkResumesAfterSecondEvent(JobNode& next)
{
    next.syncFromStore();
    next.advanceTime(std::chrono::seconds { 4 });
    JobNode::settle();
    REQUIRE(next.http.count() == 1);
    CHECK(next.http.last().request.headers.find("Last-Event-Id") == "2");
    next.http.handOver();
    next.http.headers(200);
    next.http.data("id: 3\ndata: c\n\n");
    next.http.finish();
    next.commit();
    CHECK(pageOf(next.read("j")).results.at(0).output == "a\nb\nc");
}

}

// Guards against a job that is accepted twice, or rejected after it was accepted.
TEST_CASE("a repeated submission is stored once, at any node")
{
    SimulatedClock clock;
    MemoryRowStore store(clock);
    JobNode first(store, "n1");
    JobNode second(store, "n2");
    CHECK_FALSE(first.submit(makeJob("j")));
    CHECK_FALSE(second.submit(makeJob("j")));
    CHECK_FALSE(first.submit(makeJob("j")));
    CHECK(store.commits == 1);
    CHECK(first.jobs->ownedJobs() == 1);
    CHECK(second.jobs->ownedJobs() == 0);
}

// Guards against a node that takes a job of its own for an orphan, because the feed of jobs brings the record before
// the store's reply to the submission, and starts its items twice.
TEST_CASE("a job that is known before its submission is confirmed is not claimed")
{
    SimulatedClock clock;
    MemoryRowStore store(clock);
    JobNode node(store, "n1");
    node.advanceTime(std::chrono::seconds { 5 });
    node.jobs->submit(makeJob("j"), *node.environment.configuration->findJobRoute("b", "h.example"), "h.example",
        [](const std::optional<Error>& error) { CHECK_FALSE(error); });
    JobHead head;
    head.id = "j";
    head.owner = "n1";
    head.route = "b";
    head.host = "h.example";
    head.itemCount = 1;
    node.jobs->onRowsChanged({ { JobRows::record("j"), encodeJobHead(head), 1, false } });
    store.deliver();
    node.advanceTime(std::chrono::seconds { 2 });
    JobNode::settle();
    CHECK(node.log.count("claimed") == 0);
    CHECK(node.http.count() == 1);
    CHECK(node.jobs->ownedJobs() == 1);
}

// Guards against a rejection, which implies that nothing of a job runs, of a job that the store may contain.
TEST_CASE("a submission is rejected only if the store reports that it was not written")
{
    SimulatedClock clock;
    MemoryRowStore store(clock);
    JobNode node(store, "n1");
    SECTION("the store refused the write")
    {
        store.commitFault = MemoryRowStore::Fault::Refused;
        CHECK(errorRow(node.submit(makeJob("j"))->kind()).httpStatus == 503);
        CHECK(store.commits == 0);
    }
    SECTION("the reply was lost")
    {
        store.commitFault = MemoryRowStore::Fault::ResponseLost;
        CHECK(errorRow(node.submit(makeJob("j"))->kind()).httpStatus == 502);
        // The job was stored, so this node runs it once it receives its record.
        store.commitFault = MemoryRowStore::Fault::None;
        node.syncFromStore();
        node.advanceTime(std::chrono::seconds { 4 });
        CHECK(node.jobs->ownedJobs() == 1);
    }
    SECTION("the write is applied late")
    {
        store.commitFault = MemoryRowStore::Fault::Late;
        CHECK(errorRow(node.submit(makeJob("j"))->kind()).httpStatus == 502);
        store.commitFault = MemoryRowStore::Fault::None;
        CHECK_FALSE(node.submit(makeJob("j")));
        store.applyLate();
        CHECK(store.commits == 1);
    }
}

// Guards against more waiting tokens than the route allows, summed over all nodes.
TEST_CASE("a job that exceeds the route's limit of waiting tokens is rejected")
{
    SimulatedClock clock;
    MemoryRowStore store(clock);
    JobNode first(store, "n1");
    JobNode second(store, "n2");
    CHECK_FALSE(first.submit(makeJob("a", 2, 400)));
    second.syncFromStore();
    const auto error = second.submit(makeJob("b", 1, 300));
    REQUIRE(error);
    CHECK(errorRow(error->kind()).httpStatus == 429);
    CHECK(error->retryAfter());
    CHECK_FALSE(second.submit(makeJob("c", 1, 200)));

    // Completed items no longer count.
    first.completeNewestRun("x");
    first.commit();
    CHECK_FALSE(first.submit(makeJob("d", 1, 300)));
}

// Guards against results that are lost, change their position or differ between nodes.
TEST_CASE("results keep their positions and are the same at all nodes")
{
    SimulatedClock clock;
    MemoryRowStore store(clock);
    JobNode first(store, "n1");
    JobNode second(store, "n2");
    REQUIRE_FALSE(first.submit(makeJob("j", 2)));
    REQUIRE(first.http.count() == 2);
    first.completeNewestRun("text");
    first.commit();
    const JobResultPage page = pageOf(second.read("j"));
    CHECK(page.total == 2);
    CHECK(page.next == 1);
    REQUIRE(page.results.size() == 1);
    CHECK(page.results[0] == JobResult { "j-1", true, "text" });
    CHECK(pageOf(first.read("j")) == page);
    CHECK(pageOf(second.read("j", 1)).results.empty());
}

// Guards against a NotFound reply for an existing job while the store is unreachable.
TEST_CASE("a job is reported as not found only if the store has no such job")
{
    SimulatedClock clock;
    MemoryRowStore store(clock);
    JobNode node(store, "n1");
    // Until the jobs are listed, the job may be stored under an identifier that is not known here.
    CHECK(std::get<Error>(node.read("nothing")).kind() == ErrorKind::NotReady);
    node.syncFromStore();
    CHECK(std::get<Error>(node.read("nothing")).kind() == ErrorKind::NotFound);
    store.isDown = true;
    CHECK(errorRow(std::get<Error>(node.read("nothing")).kind()).httpStatus == 503);
}

// Guards against duplicate results when the reply to a commit is lost or the commit is applied late.
TEST_CASE("a commit without a reply is applied once")
{
    SimulatedClock clock;
    MemoryRowStore store(clock);
    JobNode node(store, "n1");
    REQUIRE_FALSE(node.submit(makeJob("j", 2)));
    node.completeNewestRun("text");
    store.commitFault = GENERATE(MemoryRowStore::Fault::ResponseLost, MemoryRowStore::Fault::Late);
    node.commit();
    store.commitFault = MemoryRowStore::Fault::None;
    // The repeat finds the positions free, or occupied by its own results.
    node.commit();
    store.applyLate();
    CHECK(pageOf(node.read("j")).results.size() == 1);
    CHECK(node.jobs->ownedJobs() == 1);
}

// Guards against a frozen node that adds results to a job that another node has claimed.
TEST_CASE("a node that lost its job cannot add results to it")
{
    SimulatedClock clock;
    MemoryRowStore store(clock);
    JobNode frozen(store, "n1");
    JobNode other(store, "n2");
    REQUIRE_FALSE(frozen.submit(makeJob("j")));
    other.syncFromStore();
    other.advanceTime(std::chrono::seconds { 4 });
    REQUIRE(other.jobs->ownedJobs() == 1);

    frozen.completeNewestRun("old");
    frozen.commit();
    CHECK(frozen.jobs->ownedJobs() == 0);
    other.completeNewestRun("new");
    other.commit();
    const JobResultPage page = pageOf(other.read("j"));
    REQUIRE(page.results.size() == 1);
    CHECK(page.results[0].output == "new");
}

// Guards against claims of a job whose node is alive, and against two nodes that claim it at the same time.
TEST_CASE("a job is claimed only from a node that cannot run it, and by one node")
{
    SimulatedClock clock;
    MemoryRowStore store(clock);
    JobNode owner(store, "n1");
    JobNode second(store, "n2");
    JobNode third(store, "n3");
    REQUIRE_FALSE(owner.submit(makeJob("j")));
    for (JobNode* it : { &second, &third }) {
        it->peers.alive = { "n1" };
        it->syncFromStore();
        it->advanceTime(std::chrono::seconds { 6 });
        CHECK(it->jobs->ownedJobs() == 0);
    }
    second.peers.alive = { "n3" };
    third.peers.alive = { "n2" };
    second.advanceTime(std::chrono::seconds { 6 });
    third.advanceTime(std::chrono::seconds { 6 });
    CHECK(second.jobs->ownedJobs() + third.jobs->ownedJobs() == 1);
}

// Guards against jobs that change their node after an outage, because one node reaches the store before the others.
TEST_CASE("jobs stay on their nodes after an outage of the store")
{
    SimulatedClock clock;
    MemoryRowStore store(clock);
    JobNode owner(store, "n1");
    JobNode other(store, "n2");
    REQUIRE_FALSE(owner.submit(makeJob("j")));
    other.peers.alive = { "n1" };
    other.syncFromStore();
    other.advanceTime(std::chrono::seconds { 6 });

    // During the outage no node can run jobs; afterwards the report that the owner can arrives late.
    other.jobs->onReachableChanged(false);
    other.peers.alive = {};
    other.advanceTime(std::chrono::seconds { 6 });
    other.jobs->onReachableChanged(true);
    other.advanceTime(Milliseconds { 750 });
    other.peers.alive = { "n1" };
    other.advanceTime(std::chrono::seconds { 6 });
    CHECK(other.jobs->ownedJobs() == 0);
    CHECK(owner.jobs->ownedJobs() == 1);
}

// Guards against items that run to completion twice because their node cannot reach the store and another node claims
// their job.
TEST_CASE("a node that cannot reach the store stops its items while other nodes can")
{
    SimulatedClock clock;
    MemoryRowStore store(clock);
    JobNode node(store, "n1");
    REQUIRE_FALSE(node.submit(makeJob("j")));
    REQUIRE(node.http.count() == 1);
    node.jobs->onReachableChanged(false);
    node.advanceTime(std::chrono::seconds { 5 });
    // No node can reach the store, so the item keeps running.
    CHECK_FALSE(node.http.call(0).isCancelled);

    node.peers.alive = { "n2" };
    node.advanceTime(std::chrono::seconds { 1 });
    CHECK(node.http.call(0).isCancelled);
    JobNode::settle();
    CHECK(node.http.count() == 1);

    // No other node claimed the job, so it resumes here.
    node.jobs->onReachableChanged(true);
    node.advanceTime(std::chrono::seconds { 1 });
    JobNode::settle();
    CHECK(node.http.count() == 2);
}

// Guards against received output that is lost at a planned shutdown.
TEST_CASE("a released job resumes after the last event at the next node")
{
    SimulatedClock clock;
    MemoryRowStore store(clock);
    JobNode leaving(store, "n1");
    JobNode next(store, "n2");
    REQUIRE_FALSE(leaving.submit(makeJob("j")));
    leaving.http.handOver();
    leaving.http.headers(200);
    leaving.http.data("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    leaving.jobs->release();
    CHECK(leaving.http.last().isCancelled);
    store.deliver();
    CHECK(leaving.jobs->isReleased());

    checkResumesAfterSecondEvent(next);
}

// Guards against runs that start over after their node fails, and against gaps in the output after a lost checkpoint.
TEST_CASE("the job of a failed node resumes after the last checkpoint")
{
    SimulatedClock clock;
    MemoryRowStore store(clock);
    JobNode lost(store, "n1");
    JobNode next(store, "n2");
    REQUIRE_FALSE(lost.submit(makeJob("j")));
    lost.http.handOver();
    lost.http.headers(200);
    lost.http.data("id: 1\ndata: a\n\n");
    lost.commit();
    lost.http.data("id: 2\ndata: b\n\n");
    // The second checkpoint is applied, but its reply is lost; the third is never written.
    store.commitFault = MemoryRowStore::Fault::ResponseLost;
    lost.commit();
    store.commitFault = MemoryRowStore::Fault::None;
    lost.http.data("id: 3\ndata: c\n\n");

    checkResumesAfterSecondEvent(next);
}

// Guards against running items that are given up because their node seems to have lost the endpoints for a moment, and
// against items that wait at a node that has.
TEST_CASE("a node that has lost the endpoints stops its items after a while, if other nodes reach them")
{
    SimulatedClock clock;
    MemoryRowStore store(clock);
    JobNode node(store, "n1");
    REQUIRE_FALSE(node.submit(makeJob("j")));
    REQUIRE(node.http.count() == 1);
    for (const char* it : { "e0", "e1", "e2" })
        node.links.recordFailure(it, node.clock.now());
    REQUIRE(node.links.areLost());
    node.peers.alive = { "n2" };
    node.advanceTime(std::chrono::seconds { 1 });
    CHECK_FALSE(node.http.call(0).isCancelled);
    node.advanceTime(std::chrono::seconds { 1 });
    CHECK(node.http.call(0).isCancelled);
}

// Guards against gaps in the output when a checkpoint is missing.
TEST_CASE("progress after a missing checkpoint is ignored")
{
    SimulatedClock clock;
    MemoryRowStore store(clock);
    const JobHead head { "j", JobHead::State::Open, "", "b", "h.example", 0, 1, Milliseconds { 0 }, "", 0 };
    const auto put = [&](const RowAddress& address, const QByteArray& content) {
        store.put(address, JobRows::split(address, content).front().value);
    };
    put(JobRows::input("j"), encodeJobItems({ { "i", "/b/x", {}, "", 1 } }));
    put(JobRows::progress("j", 0), encodeJobProgress({ { "i", 0, 2, "a\nb" } }));
    put(JobRows::progress("j", 2), encodeJobProgress({ { "i", 3, 4, "\nd" } }));
    std::optional<StoreResult<JobContent>> result;
    JobLoader::loadAll(store, head, [&](const StoreResult<JobContent>& it) { result = it; });
    store.deliver();
    const JobContent& content = std::get<JobContent>(result.value());
    REQUIRE(content.progress.size() == 1);
    CHECK(content.progress[0].lastEventId == 2);
    CHECK(content.progress[0].output == "a\nb");
    CHECK(content.nextProgress == 3);
}

// Guards against an item whose text joins the output of two software versions from its checkpoints (ORDER).
TEST_CASE("progress of an item that was started anew replaces the earlier one")
{
    SimulatedClock clock;
    MemoryRowStore store(clock);
    const JobHead head { "j", JobHead::State::Open, "", "b", "h.example", 0, 1, Milliseconds { 0 }, "", 0 };
    const std::vector<ItemProgress> parts { { "i", 0, 2, "a\nb", { "lm", "v1" } }, { "i", 0, 1, "A", { "lm", "v2" } },
        { "i", 1, 2, "\nb", { "lm", "v1" } }, { "i", 1, 3, "\nB\nC", { "lm", "v2" } } };
    store.put(JobRows::input("j"), JobRows::split(JobRows::input("j"), encodeJobItems({ { "i", "/b/x" } }))[0].value);
    for (size_t n = 0; n < parts.size(); ++n) {
        const RowAddress row = JobRows::progress("j", n);
        store.put(row, JobRows::split(row, encodeJobProgress({ parts[n] }))[0].value);
    }
    std::optional<StoreResult<JobContent>> result;
    JobLoader::loadAll(store, head, [&](const StoreResult<JobContent>& it) { result = it; });
    store.deliver();
    const JobContent& content = std::get<JobContent>(result.value());
    REQUIRE(content.progress.size() == 1);
    CHECK(content.progress[0] == ItemProgress { "i", 0, 3, "A\nB\nC", { "lm", "v2" } });
}

// Guards against items that keep running after their job was cancelled, also if it was cancelled at another node.
TEST_CASE("a cancelled job stops, whichever node received the cancellation")
{
    SimulatedClock clock;
    MemoryRowStore store(clock);
    JobNode owner(store, "n1");
    JobNode other(store, "n2");
    REQUIRE_FALSE(owner.submit(makeJob("j", 2)));
    for (int n = 0; n < 2; ++n) {
        std::optional<std::optional<Error>> result;
        other.jobs->cancel("j", [&](std::optional<Error> error) { result = error; });
        store.deliver();
        REQUIRE(result);
        CHECK_FALSE(*result);
    }
    owner.syncFromStore();
    CHECK(owner.jobs->ownedJobs() == 0);
    CHECK(owner.http.call(0).isCancelled);
    CHECK(owner.http.call(1).isCancelled);
    owner.advanceTime(std::chrono::seconds { 4 });
    CHECK(owner.jobs->ownedJobs() == 0);
}

// Guards against items of an ended job that keep running until the feed of jobs brings the end, although a checkpoint
// has shown it.
TEST_CASE("a conflict of a checkpoint ends the work on a job that was cancelled or claimed")
{
    const bool isCancelled = GENERATE(true, false);
    SimulatedClock clock;
    MemoryRowStore store(clock);
    JobNode owner(store, "n1");
    REQUIRE_FALSE(owner.submit(makeJob("j", 2)));
    owner.http.handOver();
    owner.http.headers(200);
    owner.http.data("id: 1\ndata: a\n\n");
    JobHead head = decodeJobHead(*store.find(JobRows::record("j"))).value();
    head.state = isCancelled ? JobHead::State::Cancelled : JobHead::State::Open;
    head.owner = isCancelled ? "n1" : "n2";
    store.put(JobRows::record("j"), encodeJobHead(head));
    // The checkpoint.
    owner.commit();
    CHECK(owner.jobs->ownedJobs() == 0);
    CHECK(owner.http.call(0).isCancelled);
    CHECK(owner.http.call(1).isCancelled);
}

// Guards against items that are retried forever or fail too early.
TEST_CASE("an item fails after its last attempt, or at once if it can never succeed")
{
    SimulatedClock clock;
    MemoryRowStore store(clock);
    JobNode node(store, "n1");
    REQUIRE_FALSE(node.submit(makeJob("j")));
    const bool isImpossible = GENERATE(true, false);
    const size_t runs = isImpossible ? 1 : 2;
    for (size_t n = 1; n <= runs; ++n) {
        REQUIRE(waitFor([&] { return node.http.count() == n; }));
        node.http.handOver();
        node.http.headers(isImpossible ? 422 : 500);
        node.http.finish();
    }
    node.commit();
    const JobResultPage page = pageOf(node.read("j"));
    REQUIRE(page.results.size() == 1);
    CHECK_FALSE(page.results[0].isCompleted);
    CHECK(node.http.count() == runs);
}

// Guards against an item that fails at each run and is sent again and again because its owner changes (BUDGET).
TEST_CASE("the failed runs of an item count over all its owners")
{
    SimulatedClock clock;
    MemoryRowStore store(clock);
    JobNode lost(store, "n1");
    JobNode next(store, "n2");
    REQUIRE_FALSE(lost.submit(makeJob("j")));
    lost.http.handOver();
    lost.http.headers(500);
    lost.http.finish();
    // The checkpoint.
    lost.commit();
    next.syncFromStore();
    next.advanceTime(std::chrono::seconds { 5 });
    REQUIRE(waitFor([&] { return next.http.count() == 1; }));
    next.http.handOver();
    next.http.headers(500);
    next.http.finish();
    next.commit();
    const JobResultPage page = pageOf(next.read("j"));
    REQUIRE(page.results.size() == 1);
    CHECK_FALSE(page.results[0].isCompleted);
    CHECK(next.http.count() == 1);
}

// Guards against a body that cannot be read while its item waits.
TEST_CASE("the body of an item can be read at any node")
{
    SimulatedClock clock;
    MemoryRowStore store(clock);
    JobNode owner(store, "n1");
    JobNode other(store, "n2");
    SubmittedJob job = makeJob("j");
    // The larger sizes exceed a row and a transaction.
    job.items[0].body = QByteArray(GENERATE(10, 200'000, 900'000), 'x');
    REQUIRE_FALSE(owner.submit(job));
    for (JobNode* it : { &owner, &other }) {
        std::optional<std::variant<QByteArray, Error>> result;
        it->jobs->readItem("j", "j-0", [&](const auto& value) { result = value; });
        store.deliver();
        REQUIRE(result);
        CHECK(std::get<QByteArray>(*result) == job.items[0].body);
    }
}

// Guards against an item that is completed with an unsigned response, or with an empty text because its endpoint
// crashed.
TEST_CASE("an item moves to another endpoint after a success without a signature or without an event")
{
    const bool isSigned = GENERATE(true, false);
    SimulatedClock clock;
    MemoryRowStore store(clock);
    JobNode node(store, "n1");
    REQUIRE_FALSE(node.submit(makeJob("j")));
    REQUIRE(waitFor([&] { return node.http.count() == 1; }));
    node.http.handOver();
    node.http.headers(200, isSigned ? HttpHeaders { { "Server-Signature", "s" } } : HttpHeaders());
    if (isSigned)
        node.http.finish();
    else
        CHECK(node.http.last().isCancelled);
    REQUIRE(waitFor([&] { return node.http.count() == 2; }));
    node.completeNewestRun("whole");
    node.commit();
    CHECK(pageOf(node.read("j")).results.front().output == "whole");
}

// Guards against a log that does not explain why an item stopped and restarted.
TEST_CASE("the log has the slot use that made an item yield")
{
    SimulatedClock clock;
    MemoryRowStore store(clock);
    JobNode node(store, "n1");
    REQUIRE_FALSE(node.submit(makeJob("j")));
    REQUIRE(waitFor([&] { return node.http.count() == 1; }));
    node.scheduler.setPeerUse("n2",
        { "z1",
            { { SlotPeers::endpointKey("e0"), { 8, 0 } }, { SlotPeers::endpointKey("e1"), { 8, 0 } },
                { SlotPeers::endpointKey("e2"), { 8, 0 } } },
            0 },
        node.clock.now());
    node.broker.schedulePoll();
    node.settle();
    REQUIRE(node.log.count("yielded") == 1);
    const auto it = std::ranges::find(node.log.events, "yielded", &Event::action);
    CHECK(it->details["slots_online"].toInt() == 8);
    CHECK(it->details["slots_batch"].toInt() == 1);
    CHECK(it->details["slots"].toInt() == 8);
}

// Guards against an item that stays with a stalled endpoint because bytes that are no event arrive now and then, and
// against memory that an endless event fills.
TEST_CASE("an item moves to another endpoint if bytes without a new event keep arriving")
{
    const bool isFast = GENERATE(true, false);
    SimulatedClock clock;
    MemoryRowStore store(clock);
    JobNode node(store, "n1");
    REQUIRE_FALSE(node.submit(makeJob("j")));
    REQUIRE(waitFor([&] { return node.http.count() == 1; }));
    node.http.handOver();
    node.http.headers(200);
    node.http.data("id: 1\ndata: a\n\n");
    const QByteArray piece = isFast ? QByteArray(64 * 1024, 'x') : QByteArray(":\n\nid: 1\ndata: a\n\n");
    const auto stalled = node.http.last().observer;
    REQUIRE(waitFor([&] {
        if (!node.http.call(0).isCancelled)
            stalled->onData(piece);
        return node.http.count() == 2;
    }));
    CHECK(node.http.call(0).isCancelled);
    CHECK(node.http.last().request.headers.find("Last-Event-Id") == "1");
}

// Guards against items that are granted an endpoint again and again that only this node knows to be leaving: while the
// store is away, the coordinator has not heard of it and finds it the emptiest of all.
TEST_CASE("items are not started at an endpoint that only this node knows to be leaving or replaced")
{
    const bool isLeaving = GENERATE(true, false);
    SimulatedClock clock;
    MemoryRowStore store(clock);
    JobNode node(store, "n1");
    // The scheduler, which stands for the coordinator, is not told.
    if (isLeaving)
        REQUIRE(node.directory.markLeaving("e0", node.clock.now()));
    else
        REQUIRE(node.directory.markReplaced("e0"));
    REQUIRE_FALSE(node.submit(makeJob("j", 6)));
    JobNode::settle();
    CHECK(node.http.count() == 6);
    for (size_t n = 0; n < node.http.count(); ++n)
        CHECK(node.http.call(n).request.headers.find("Expect-Instance") != "e0");
}

// Guards against items of an accepted job that are given up because an operator misspelt the kind of their route.
TEST_CASE("the items of a job wait while their route cannot be read")
{
    SimulatedClock clock;
    MemoryRowStore store(clock);
    JobNode node(store, "n1");
    REQUIRE_FALSE(node.submit(makeJob("j")));
    const auto served = node.environment.configuration;
    const auto unreadable = node.wire.decodeConfiguration(
        R"({"version":4,"routes":[{"name":"b","host":"h.example","prefix":"/b/","route_type":"bach","service":"lm"}]})");
    REQUIRE(unreadable);
    node.environment.configuration = std::make_shared<const GatewayConfiguration>(*unreadable);
    REQUIRE(node.http.count() == 1);
    node.http.fail(HttpFailure::Phase::NotSent);
    QElapsedTimer timer;
    timer.start();
    REQUIRE(waitFor([&] { return timer.elapsed() > 600; }));
    CHECK(node.http.count() == 1);
    // No result has been committed.
    CHECK(store.waitingCalls() == 0);
    node.environment.configuration = served;
    REQUIRE(waitFor([&] { return node.http.count() == 2; }));
    node.completeNewestRun("text");
    node.commit();
    CHECK(pageOf(node.read("j")).results.at(0).isCompleted);
}

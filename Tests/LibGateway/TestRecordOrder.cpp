#include "RecordWorld.h"

#include <Tests/Support/SeededProperty.h>

using namespace Chicorydock;

namespace {

void inWorld(const std::function<void(RecordWorld&)>& test)
{
    runOnSimulatedTime([&](SimulatedEventLoop& loop) {
        RecordWorld world(loop);
        test(world);
    });
}

/// Returns whether the node replies NotFound to a reader of the job, once the store has answered.
bool isNotFound(RecordWorld& world, size_t n)
{
    std::optional<ErrorKind> kind;
    world.node(n).jobs->readItem(RecordWorld::jobId, "i", [&](const std::variant<QByteArray, Error>& result) {
        if (const auto* error = std::get_if<Error>(&result))
            kind = error->kind();
    });
    world.replyAll(n);
    return kind == ErrorKind::NotFound;
}

constexpr std::chrono::seconds claimTime { 9 };

}

// Guards against a job that begins to run after its end was acknowledged, because the store's reply to its submission
// comes later than the feed that shows the end (UNASKED).
TEST_CASE("a job that has ended elsewhere is not started by a late reply to its submission")
{
    inWorld([](RecordWorld& world) {
        world.submit(0);
        world.cancel(1);
        world.replyAll(1);
        REQUIRE(world.isEndAcknowledged());
        world.feed(0);
        world.replyAll(0);
        CHECK(world.node(0).jobs->ownedJobs() == 0);
        CHECK(world.node(0).http.count() == 0);
    });
}

// Guards against the same at the node that waits for the reply and ends the job itself, without any feed (UNASKED).
TEST_CASE("a job that its node ends before the reply to its submission is not started")
{
    inWorld([](RecordWorld& world) {
        world.submit(0);
        world.cancel(0);
        // The reads of the cancellation and its write are answered, and then the submission.
        while (world.node(0).link.heldReplies() > 1)
            world.reply(0, 1);
        REQUIRE(world.isEndAcknowledged());
        world.replyAll(0);
        CHECK(world.node(0).jobs->ownedJobs() == 0);
        CHECK(world.node(0).http.count() == 0);
    });
}

// Guards against two nodes that run the items of a job, because one has claimed it while the other one waited for the
// reply to its submission (TWICE).
TEST_CASE("a job that another node has claimed is not started by a late reply to its submission")
{
    inWorld([](RecordWorld& world) {
        world.submit(0);
        world.feed(1);
        world.advance(1, claimTime);
        world.advance(1, claimTime);
        world.replyAll(1);
        REQUIRE(world.node(1).jobs->ownedJobs() == 1);
        world.feed(0);
        world.replyAll(0);
        CHECK(world.node(0).jobs->ownedJobs() == 0);
        CHECK(world.node(0).http.count() == 0);
        CHECK(world.node(1).openCalls() == 1);
    });
}

// Guards against a removed job that comes back with a reply that is older than its removal.
TEST_CASE("a job that was removed is not brought back by a late reply")
{
    inWorld([](RecordWorld& world) {
        const bool isSubmission = GENERATE(true, false);
        world.submit(0);
        if (!isSubmission) {
            world.replyAll(0);
            world.cancel(1);
        }
        world.removeRecord();
        const size_t n = isSubmission ? 0 : 1;
        world.feed(0);
        world.feed(1);
        // The reply to the submission, or that to the read of the record for the cancellation.
        world.reply(n, 0);
        CHECK(world.node(n).jobs->openJobs() == 0);
        CHECK(world.node(n).jobs->ownedJobs() == 0);
        CHECK(isNotFound(world, n));
    });
}

// Guards against items that go on although their job was removed.
TEST_CASE("a removed job stops at the node that runs it")
{
    inWorld([](RecordWorld& world) {
        world.submit(0);
        world.replyAll(0);
        REQUIRE(world.node(0).openCalls() == 1);
        world.removeRecord();
        if (GENERATE(true, false)) {
            world.feed(0);
        } else {
            // The conflict of a checkpoint shows it before the feed does.
            world.node(0).http.handOver();
            world.node(0).http.headers(200);
            world.node(0).http.data("id: 1\ndata: a\n\n");
            world.advance(0, std::chrono::seconds { 2 });
            world.replyAll(0);
        }
        CHECK(world.node(0).jobs->ownedJobs() == 0);
        CHECK(world.node(0).openCalls() == 0);
    });
}

// Guards against a finished job that seems to be open again, and is claimed, because the feed brings its earlier state
// after the node has committed the last result.
TEST_CASE("the feed of an earlier state does not reopen a job that this node has finished")
{
    inWorld([](RecordWorld& world) {
        world.submit(0);
        world.replyAll(0);
        world.completeRun(0);
        world.advance(0, std::chrono::seconds { 1 });
        REQUIRE(world.node(0).link.heldReplies() == 1);
        world.replyAll(0);
        REQUIRE(world.node(0).jobs->openJobs() == 0);
        const size_t commits = world.node(0).link.commits();
        world.feed(0, 1);
        world.advance(0, claimTime);
        CHECK(world.node(0).jobs->openJobs() == 0);
        CHECK(world.node(0).link.commits() == commits);
    });
}

// Guards against a node that tries to claim a removed job again and again, several times a second.
TEST_CASE("a claim of a removed job is given up")
{
    inWorld([](RecordWorld& world) {
        world.submit(0);
        world.node(1).peers.alive = { RecordWorld::nameOf(0) };
        world.feed(1);
        world.removeRecord();
        world.node(1).peers.alive.clear();
        for (int n = 0; n < 8; ++n) {
            world.advance(1, claimTime);
            if (world.node(1).link.heldReplies() > 0)
                world.reply(1, 0);
        }
        CHECK(world.node(1).link.commits() == 1);
        CHECK(world.node(1).jobs->openJobs() == 0);
    });
}

// Guards against a reader who is told that an accepted job does not exist, because the store read it before the job was
// written and its reply comes late (LOST).
TEST_CASE("a late reply without a record does not hide a job that is known by then")
{
    inWorld([](RecordWorld& world) {
        bool isFound = false;
        world.node(1).jobs->readResults(RecordWorld::jobId, 0, [&](const std::variant<JobResultPage, Error>& result) {
            isFound = std::holds_alternative<JobResultPage>(result);
        });
        // The results are read first, and then the record.
        world.reply(1, 0);
        world.submit(0);
        world.replyAll(0);
        world.feed(1);
        world.replyAll(1);
        CHECK(isFound);
    });
}

namespace {

/// Plays the life of one record in the order that the choices give.
class RecordLife {
public:
    RecordLife(RecordWorld& world, std::vector<uint8_t> choices)
        : m_world(world)
        , m_choices(std::move(choices))
    {
    }

    /// Returns whether no node has run the job although it had been told otherwise.
    bool run()
    {
        for (const uint8_t choice : m_choices) {
            const std::vector<std::function<void()>> actions = possibleActions();
            actions[choice % actions.size()]();
            if (runsStaleRecord())
                return false;
        }
        return settlesCorrectly();
    }

private:
    bool runsStaleRecord() { return m_world.node(0).runsStaleRecord() || m_world.node(1).runsStaleRecord(); }

    /// Delivers all that is pending, and returns whether the nodes agree with the store then.
    bool settlesCorrectly()
    {
        for (int round = 0; round < 6; ++round) {
            for (size_t n = 0; n < m_world.nodes(); ++n) {
                m_world.replyAll(n);
                m_world.feed(n);
                if (runsStaleRecord())
                    return false;
            }
        }
        return true;
    }

    std::vector<std::function<void()>> possibleActions()
    {
        std::vector<std::function<void()>> actions;
        for (size_t n = 0; n < m_world.nodes(); ++n) {
            addCalls(actions, n);
            for (size_t k = 0; k < m_world.node(n).link.heldReplies(); ++k)
                actions.emplace_back([this, n, k] { m_world.reply(n, k); });
            if (!m_world.pendingChanges(n).empty()) {
                actions.emplace_back([this, n] { m_world.feed(n, 1); });
                actions.emplace_back([this, n] { m_world.feed(n); });
            }
        }
        actions.emplace_back([this] { m_world.removeRecord(); });
        return actions;
    }

    void addCalls(std::vector<std::function<void()>>& actions, size_t n)
    {
        actions.emplace_back([this, n] { m_world.submit(n); });
        actions.emplace_back([this, n] { m_world.cancel(n); });
        actions.emplace_back([this, n] { m_world.advance(n, Milliseconds { 700 }); });
        actions.emplace_back([this, n] { m_world.advance(n, claimTime); });
        actions.emplace_back([this, n] { m_world.completeRun(n); });
        actions.emplace_back([this, n] { togglePeer(n); });
    }

    /// Makes the node take the other one for lost, or for alive again.
    void togglePeer(size_t n)
    {
        std::set<std::string>& alive = m_world.node(n).peers.alive;
        const std::string other = RecordWorld::nameOf(1 - n);
        if (alive.erase(other) == 0)
            alive.insert(other);
    }

    RecordWorld& m_world;
    const std::vector<uint8_t> m_choices;
};

bool keepsToRecord(const std::vector<uint8_t>& choices)
{
    bool isKept = false;
    inWorld([&](RecordWorld& world) { isKept = RecordLife(world, choices).run(); });
    return isKept;
}

/// Calls `visit` with each way to deliver the replies and changes that wait at a node after `begin`, one at a time.
size_t forEachOrder(
    size_t n, const std::function<void(RecordWorld&)>& begin, const std::function<void(RecordWorld&)>& visit)
{
    size_t orders = 0;
    std::vector<size_t> choices;
    for (bool isDone = false; !isDone;) {
        inWorld([&](RecordWorld& world) {
            begin(world);
            std::vector<size_t> widths;
            for (size_t step = 0;; ++step) {
                const size_t replies = world.node(n).link.heldReplies();
                const size_t width = replies + (world.pendingChanges(n).empty() ? 0 : 1);
                if (width == 0)
                    break;
                if (step == choices.size())
                    choices.push_back(0);
                widths.push_back(width);
                if (choices[step] < replies)
                    world.reply(n, choices[step]);
                else
                    world.feed(n, 1);
            }
            visit(world);
            ++orders;
            choices.resize(widths.size());
            while (!choices.empty() && choices.back() + 1 == widths[choices.size() - 1])
                choices.pop_back();
            isDone = choices.empty();
            if (!isDone)
                ++choices.back();
        });
    }
    return orders;
}

}

// Guards against an order of replies and changes in which an ended or claimed job is started, at small size: all
// orders.
TEST_CASE("no order of replies and changes starts a job that has ended or that another node has claimed")
{
    const auto check = [](RecordWorld& world) {
        CHECK_FALSE(world.node(0).runsStaleRecord());
        CHECK(world.node(0).jobs->ownedJobs() == 0);
        CHECK(world.node(0).openCalls() == 0);
    };
    const size_t ended = forEachOrder(
        0,
        [](RecordWorld& world) {
            world.submit(0);
            world.submit(0);
            world.feed(0, 1);
            world.advance(0, claimTime);
            world.cancel(1);
            world.replyAll(1);
        },
        check);
    CHECK(ended > 2);
    const size_t claimed = forEachOrder(
        0,
        [](RecordWorld& world) {
            world.submit(0);
            world.submit(0);
            world.feed(1);
            world.advance(1, claimTime);
            world.advance(1, claimTime);
            world.node(0).peers.alive.insert(RecordWorld::nameOf(1));
        },
        check);
    CHECK(claimed > 2);
}

// Guards against the same in longer lives of a record, in which nodes submit, claim, finish, end and lose it.
TEST_CASE("nodes run a job only while the newest that they know says so")
{
    constexpr int lives = 1'500;
    checkSeededProperty("lives of one record", 64, lives, [] {
        const auto choices = *rc::gen::container<std::vector<uint8_t>>(24, rc::gen::arbitrary<uint8_t>());
        RC_ASSERT(keepsToRecord(choices));
    });
}

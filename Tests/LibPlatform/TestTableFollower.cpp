#include <LibPlatform/TableFollower.h>

#include <Tests/Support/MemoryRowStore.h>
#include <Tests/Support/SimulatedClock.h>
#include <Tests/Support/WaitFor.h>

#include <QElapsedTimer>
#include <QMetaObject>
#include <catch2/catch.hpp>

#include <stdexcept>

using namespace Chicorydock;

namespace {

class RecordingListener final : public TableListener {
public:
    std::map<std::string, QByteArray> rows;
    int listings { 0 };
    bool isReachable { false };
    /// Number of calls that are still to throw an exception.
    int exceptions { 0 };

    void onTableListed(const TableListing& listing) override
    {
        ++listings;
        rows.clear();
        onRowsChanged(listing.rows);
    }

    void onRowsChanged(const std::vector<StoredRow>& changed) override
    {
        if (exceptions > 0) {
            --exceptions;
            throw std::out_of_range("test");
        }
        for (const StoredRow& it : changed) {
            if (it.isRemoved)
                rows.erase(it.address.key);
            else
                rows[it.address.key] = it.value;
        }
    }

    void onReachableChanged(bool value) override { isReachable = value; }
};

/// A store whose responses to calls for changes are given by the test, in any order.
struct HeldFeed final : RowStore {
    std::vector<Reply<RowPage>> replies;
    /// Versions that the calls name.
    std::vector<uint64_t> after;

    void read(const RowRange&, Reply<RowPage> reply) override { reply(RowPage { {}, false, 3 }); }
    void changes(const std::string&, uint64_t version, Milliseconds, Reply<RowPage> reply) override
    {
        after.push_back(version);
        replies.push_back(std::move(reply));
    }
    void commit(const RowTransaction&, Reply<RowCommit>) override { }
    std::optional<Milliseconds> time() const override { return {}; }
    void putObject(const std::string&, const QByteArray&, Reply<bool>) override { }
    void getObject(const std::string&, Reply<QByteArray>) override { }
};

struct Fixture {
    SimulatedClock clock;
    MemoryRowStore store { clock };
    RecordingListener listener;
    TableFollower follower { store, { "t", { "p0", "p1" }, Milliseconds { 1 } }, listener };

    /// Delivers results of store calls until the condition holds.
    template <typename Condition> bool deliverUntil(Condition condition)
    {
        return waitFor([&] {
            store.deliverOne();
            return condition();
        });
    }
};

}

// Guards against rows and changes that a follower misses.
TEST_CASE("a follower reports all rows and each change")
{
    Fixture fixture;
    fixture.store.put({ "t", "p0", "a" }, "1");
    fixture.store.put({ "t", "p1", "b" }, "2");
    fixture.store.put({ "other", "p0", "c" }, "3");
    fixture.follower.start();
    REQUIRE(fixture.deliverUntil([&] { return fixture.listener.listings == 1; }));
    CHECK(fixture.listener.rows == std::map<std::string, QByteArray> { { "a", "1" }, { "b", "2" } });
    fixture.store.put({ "t", "p0", "a" }, "4");
    fixture.store.remove({ "t", "p1", "b" });
    CHECK(fixture.deliverUntil([&] {
        return fixture.listener.rows == std::map<std::string, QByteArray> { { "a", "4" } };
    }));
    CHECK(fixture.listener.listings == 1);
}

// Guards against changes that are missed when the store drops its history or is unreachable.
TEST_CASE("a follower lists the table again when the history is lost, and resumes after an outage")
{
    Fixture fixture;
    fixture.follower.start();
    REQUIRE(fixture.deliverUntil([&] { return fixture.listener.listings == 1; }));
    fixture.store.isDown = true;
    REQUIRE(fixture.deliverUntil([&] { return !fixture.listener.isReachable; }));
    fixture.store.put({ "t", "p0", "a" }, "1");
    const bool isHistoryLost = GENERATE(true, false);
    if (isHistoryLost)
        fixture.store.dropHistory();
    fixture.store.isDown = false;
    CHECK(fixture.deliverUntil([&] { return fixture.listener.rows.contains("a"); }));
    CHECK(fixture.listener.isReachable);
    CHECK(fixture.listener.listings == (isHistoryLost ? 2 : 1));
}

// Guards against a node that notices long after a separation that it reaches the store again, because a call that was
// started during the separation waits for changes (incident a23f).
TEST_CASE("a follower that has lost the store asks it for an immediate response")
{
    Fixture fixture;
    fixture.follower.start();
    REQUIRE(fixture.deliverUntil([&] { return fixture.listener.listings == 1; }));
    CHECK(fixture.store.feedWait > Milliseconds { 0 });
    fixture.store.isDown = true;
    REQUIRE(fixture.deliverUntil([&] { return !fixture.listener.isReachable; }));
    REQUIRE(waitFor([&] { return fixture.store.waitingCalls() > 0; }));
    CHECK(fixture.store.feedWait == Milliseconds { 0 });
    fixture.store.isDown = false;
    REQUIRE(fixture.deliverUntil([&] { return fixture.listener.isReachable; }));
    CHECK(fixture.store.feedWait > Milliseconds { 0 });
}

// Guards against a view that a refresh leaves behind the store, and against an endpoint that is in use again because a
// call that had waited brings an older row than the refresh.
TEST_CASE("a refreshed view has all changes, and keeps them whatever a call that waits brings later")
{
    HeldFeed store;
    RecordingListener listener;
    TableFollower follower(store, { "t" }, listener);
    follower.start();
    REQUIRE(store.replies.size() == 1);
    std::vector<bool> current;
    const auto refresh = [&] { follower.refresh([&](bool isCurrent) { current.push_back(isCurrent); }); };
    refresh();
    refresh();
    // The call that waits and one refresh. The second refresh begins when the first one has ended.
    REQUIRE(store.replies.size() == 2);
    const StoredRow first { { "t", "", "a" }, "1", 5, false };
    const StoredRow removal { { "t", "", "a" }, "", 6, true };
    const StoredRow second { { "t", "", "b" }, "2", 7, false };
    store.replies[1](RowPage { { first, removal, second }, false, 7 });
    CHECK(current == std::vector<bool> { true });
    CHECK(listener.rows == std::map<std::string, QByteArray> { { "b", "2" } });
    // The response to the call that waits left the store before the row was removed.
    store.replies[0](RowPage { { first }, false, 5 });
    CHECK(listener.rows == std::map<std::string, QByteArray> { { "b", "2" } });
    REQUIRE(store.replies.size() == 4);
    store.replies[2](StoreFailure { StoreFailure::Kind::NotExecuted, "test" });
    CHECK(current == std::vector<bool> { true, false });
    CHECK(store.after.back() == 7);
}

// Guards against calls of a paused follower, and against changes that it misses after the pause.
TEST_CASE("a paused follower makes no calls, and afterwards reports what changed meanwhile")
{
    Fixture fixture;
    fixture.follower.start();
    REQUIRE(fixture.deliverUntil([&] { return fixture.listener.listings == 1; }));
    fixture.follower.pause();
    fixture.store.deliver();
    CHECK(fixture.store.waitingCalls() == 0);
    fixture.store.put({ "t", "p0", "a" }, "1");
    fixture.store.put({ "t", "p0", "b" }, "2");
    // The caller got the first change from elsewhere.
    fixture.follower.skipTo(fixture.store.find({ "t", "p0", "a" })->version);
    fixture.follower.resume();
    REQUIRE(fixture.store.deliverOne());
    CHECK(fixture.listener.rows == std::map<std::string, QByteArray> { { "b", "2" } });
    CHECK(fixture.listener.listings == 1);
}

// Guards against a listing that reads the same page for ever and keeps its rows each time.
TEST_CASE("a follower that gets the same page again starts the listing anew after a while")
{
    /// A store whose pages end with the same key.
    class RepeatingStore final : public RowStore {
    public:
        int reads { 0 };
        bool isRepeating { true };

        void read(const RowRange&, Reply<RowPage> reply) override
        {
            ++reads;
            QMetaObject::invokeMethod(
                &m_context,
                [this, reply] {
                    reply(RowPage { { { { "t", "p0", "a" }, "1", 1 } }, isRepeating, 1 });
                },
                Qt::QueuedConnection);
        }
        void commit(const RowTransaction&, Reply<RowCommit>) override { }
        std::optional<Milliseconds> time() const override { return {}; }
        void changes(const std::string&, uint64_t, Milliseconds, Reply<RowPage>) override { }
        void putObject(const std::string&, const QByteArray&, Reply<bool>) override { }
        void getObject(const std::string&, Reply<QByteArray>) override { }

    private:
        QObject m_context;
    };
    RepeatingStore store;
    RecordingListener listener;
    TableFollower follower { store, { "t", { "p0" }, Milliseconds { 1 } }, listener };
    follower.start();
    QElapsedTimer timer;
    timer.start();
    REQUIRE(waitFor([&] { return timer.elapsed() > 500; }));
    CHECK(store.reads < 20);
    CHECK(listener.listings == 0);
    store.isRepeating = false;
    REQUIRE(waitFor([&] { return listener.listings == 1; }));
    CHECK(listener.rows == std::map<std::string, QByteArray> { { "a", "1" } });
}

// Guards against hundreds of nodes that start a listing of many partitions anew whenever the store refuses one of their
// calls, and so keep it from serving any (issue 51).
TEST_CASE("a listing goes on at the page that failed")
{
    /// A store that refuses the second partition once.
    class RefusingStore final : public RowStore {
    public:
        std::vector<std::string> partitions;

        void read(const RowRange& range, Reply<RowPage> reply) override
        {
            partitions.push_back(range.partition);
            const bool isRefused = partitions.size() == 2;
            QMetaObject::invokeMethod(
                &m_context,
                [range, reply, isRefused] {
                    if (isRefused)
                        reply(StoreFailure { StoreFailure::Kind::NotExecuted, "the store answered 429" });
                    else
                        reply(RowPage { { { { "t", range.partition, "k-" + range.partition }, "1", 1 } }, false, 1 });
                },
                Qt::QueuedConnection);
        }
        void commit(const RowTransaction&, Reply<RowCommit>) override { }
        std::optional<Milliseconds> time() const override { return {}; }
        void changes(const std::string&, uint64_t, Milliseconds, Reply<RowPage>) override { }
        void putObject(const std::string&, const QByteArray&, Reply<bool>) override { }
        void getObject(const std::string&, Reply<QByteArray>) override { }

    private:
        QObject m_context;
    };
    RefusingStore store;
    RecordingListener listener;
    TableFollower follower { store, { "t", { "p0", "p1", "p2" }, Milliseconds { 1 } }, listener };
    follower.start();
    REQUIRE(waitFor([&] { return listener.listings == 1; }));
    CHECK(store.partitions == std::vector<std::string> { "p0", "p1", "p1", "p2" });
    CHECK(listener.rows.size() == 3);
}

// Guards against a process that ends, or a table that is not followed any more, because of one exception.
TEST_CASE("a follower continues when its listener throws")
{
    Fixture fixture;
    fixture.store.put({ "t", "p0", "a" }, "1");
    fixture.listener.exceptions = 1;
    fixture.follower.start();
    REQUIRE(fixture.deliverUntil([&] { return fixture.listener.listings == 1; }));
    fixture.listener.exceptions = 2;
    fixture.store.put({ "t", "p0", "a" }, "2");
    REQUIRE(fixture.deliverUntil([&] { return fixture.listener.exceptions == 1; }));
    fixture.store.put({ "t", "p0", "a" }, "3");
    REQUIRE(fixture.deliverUntil([&] { return fixture.listener.exceptions == 0; }));
    fixture.store.put({ "t", "p0", "a" }, "4");
    CHECK(fixture.deliverUntil([&] { return fixture.listener.rows["a"] == "4"; }));
}

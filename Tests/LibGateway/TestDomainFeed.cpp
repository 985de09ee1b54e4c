#include "FeedWorld.h"

#include <LibGateway/RowPageFormat.h>

#include <catch2/catch.hpp>

using namespace Chicorydock;

namespace {

constexpr size_t manyNodes = 100;
constexpr size_t otherNodes = 200;
constexpr size_t manyRows = 3'000;

/// Time after the store has accepted it within which a node must know that an endpoint leaves.
constexpr Milliseconds maxAge = FeedTiming::maxLeavingTime;

/// What one listing of the table takes on the link.
constexpr qsizetype listingBytes = manyRows * (100 + 280 * 4 / 3) + 6 * 300;

struct StartedWorld : FeedWorld {
    explicit StartedWorld(SimulatedEventLoop& loop, size_t nodes = manyNodes, size_t rows = 100)
        : FeedWorld(nodes, otherNodes, rows, loop)
    {
        start();
        run(Milliseconds { 8'000 });
        REQUIRE(current() == nodes);
        store.bytes = 0;
        store.listings = 0;
    }

    void change() { store.put(0, QByteArray(280, 'y')); }
};

}

// Guards against a failure domain that serves nothing because each of its nodes reads all registrations over one link
// (issue 51).
TEST_CASE("a large failure domain that starts at once lists the table once for each source")
{
    runOnSimulatedTime([](SimulatedEventLoop& loop) {
        FeedWorld world(manyNodes, otherNodes, manyRows, loop);
        world.start();
        CHECK(world.runUntilCurrent(Milliseconds { 20'000 }) <= Milliseconds { 2'000 });
        CHECK(world.current() == manyNodes);
        CHECK(world.store.listings == 2);
        CHECK(world.store.bytes < listingBytes * 5 / 2);
        for (const auto& it : world.nodes)
            CHECK(it->rows == manyRows);
    });
}

// Guards against a change that each node reads from the store.
TEST_CASE("a change crosses the link once for each source and is known at once")
{
    runOnSimulatedTime([](SimulatedEventLoop& loop) {
        StartedWorld world(loop);
        world.change();
        CHECK(world.runUntilCurrent(maxAge) <= Milliseconds { 100 });
        CHECK(world.store.bytes < 10'000);
    });
}

// Guards against views that are too old while the sources are gone, silent, or of a version without the call.
TEST_CASE("a change is known in time whatever happens to the sources")
{
    const auto state = GENERATE(FeedWorld::State::Stopped, FeedWorld::State::Silent, FeedWorld::State::Old);
    const Milliseconds before = GENERATE(Milliseconds { 0 }, Milliseconds { 400 }, Milliseconds { 1'300 });
    CAPTURE(static_cast<int>(state), before.count());
    runOnSimulatedTime([&](SimulatedEventLoop& loop) {
        StartedWorld world(loop);
        for (FeedWorld::Node* it : world.sources())
            it->state = state;
        world.run(before);
        world.change();
        CHECK(world.runUntilCurrent(Milliseconds { 10'000 }) <= maxAge);
        CHECK(world.current() == world.running());
    });
}

// Guards against a source that is cut off from the store and keeps the others from the changes.
TEST_CASE("a change is known in time although a source has lost the store")
{
    runOnSimulatedTime([](SimulatedEventLoop& loop) {
        StartedWorld world(loop);
        for (FeedWorld::Node* it : world.sources())
            it->store.isLost = true;
        world.run(Milliseconds { 300 });
        world.change();
        world.run(maxAge);
        CHECK(world.current() >= manyNodes - 2);
    });
}

// Guards against a node that stops serving although its neighbours reach the store.
TEST_CASE("a node without the store gets changes from a source, and its rows when it starts")
{
    runOnSimulatedTime([](SimulatedEventLoop& loop) {
        FeedWorld world(manyNodes, otherNodes, 100, loop);
        const auto sources = world.sources();
        const auto lost = std::ranges::find_if(
            world.nodes, [&](const auto& it) { return std::ranges::find(sources, it.get()) == sources.end(); });
        (*lost)->store.isLost = true;
        world.start();
        world.run(Milliseconds { 3'000 });
        CHECK(world.current() == manyNodes);
        world.store.put(0, QByteArray(280, 'y'));
        CHECK(world.runUntilCurrent(Milliseconds { 10'000 }) <= maxAge);
    });
}

// Guards against a link that is blocked when nodes that hear of no other one start together.
TEST_CASE("nodes that are cut off from each other list the table one after the other")
{
    runOnSimulatedTime([](SimulatedEventLoop& loop) {
        FeedWorld world(manyNodes, otherNodes, manyRows, loop);
        for (const auto& it : world.nodes)
            it->isCutOff = true;
        world.start();
        world.run(Milliseconds { 6'000 });
        CHECK(world.current() >= 4);
        CHECK(world.store.listings < 20);
        world.run(Milliseconds { 60'000 });
        CHECK(world.current() == manyNodes);
        CHECK(world.store.listings == manyNodes);
    });
}

// Guards against a start that depends on sources which are alive and do not answer, or lose power while they list.
TEST_CASE("a failure domain whose first sources fail during the start is complete within seconds")
{
    const auto state = GENERATE(FeedWorld::State::Stopped, FeedWorld::State::Silent, FeedWorld::State::Old);
    CAPTURE(static_cast<int>(state));
    runOnSimulatedTime([&](SimulatedEventLoop& loop) {
        FeedWorld world(manyNodes, otherNodes, manyRows, loop);
        const auto sources = world.sources();
        world.start();
        world.run(Milliseconds { 500 });
        for (FeedWorld::Node* it : sources)
            it->state = state;
        world.run(Milliseconds { 60'000 });
        CHECK(world.current() == world.running());
        // No more than a part of the nodes had to list the table before the others could have it.
        CHECK(world.store.listings <= manyNodes + 2);
    });
}

// Guards against nodes whose calls all time out because they are repeated faster than the link carries the answers
// (issue 51).
TEST_CASE("a table that each node lists is known to all within seconds although the first calls time out")
{
    runOnSimulatedTime([](SimulatedEventLoop& loop) {
        // As many bytes as the rows of 600 nodes, of which half are gone.
        FeedWorld world(manyNodes, otherNodes, 130, loop, true);
        for (const auto& it : world.nodes)
            it->isCutOff = true;
        world.start();
        CHECK(world.runUntilCurrent(Milliseconds { 40'000 }) <= Milliseconds { 6'000 });
    });
}

// Guards against a hundred nodes that each take themselves for a source because they have heard of few others.
TEST_CASE("a node of a large deployment that has heard of few others is no source until its turn")
{
    FeedPlanner planner("10.0.0.1:1", {});
    const auto after = [](int64_t ms) { return MonotonicTime {} + Milliseconds { ms }; };
    // The list of nodes is late because all nodes read it at once, and no report has arrived yet.
    CHECK_FALSE(planner.plan({ "n1", { "n1" }, {}, 0 }, after(3'900)).isSettled);
    const FeedSurroundings few { "n1", { "n1" }, {}, 60 };
    CHECK_FALSE(planner.plan(few, after(3'910)).isSettled);
    const FeedPlan unknown = planner.plan(few, after(4'300));
    CHECK(unknown.isSettled);
    CHECK_FALSE(unknown.isSource);
    CHECK(unknown.storeDelay > Milliseconds { 0 });
    std::set<std::string> addresses;
    for (int n = 0; n < 300; ++n)
        addresses.insert("10.0.0." + std::to_string(n) + ":1");
    planner.setAddresses(addresses);
    CHECK_FALSE(planner.plan(few, after(4'500)).isSource);
    // It has heard of most nodes, so its failure domain is small.
    CHECK(planner.plan({ "n1", { "n1" }, {}, 240 }, after(4'600)).isSource);
    // It has heard of enough nodes of its failure domain.
    CHECK(planner.plan({ "n1", { "n1", "n2" }, { { "n2", "a" } }, 60 }, after(4'700)).isSource);
    const FeedPlan member = planner.plan({ "n1", { "n2", "n3" }, { { "n2", "a" }, { "n3", "b" } }, 60 }, after(4'800));
    CHECK_FALSE(member.isSource);
    CHECK(member.sources.size() == 2);
}

// Guards against nodes that cannot serve for half a second after all have been restarted, although all have heard of
// each other.
TEST_CASE("a node of a large deployment waits for the others only until it has heard of most of them")
{
    FeedPlanner planner("10.0.0.1:1", {});
    const auto after = [](int64_t ms) { return MonotonicTime {} + Milliseconds { ms }; };
    std::set<std::string> addresses;
    for (int n = 0; n < 40; ++n)
        addresses.insert("10.0.0." + std::to_string(n) + ":1");
    const std::vector<std::string> chosen { "n2", "n3" };
    const std::vector<FeedSource> sources { { "n2", "a" }, { "n3", "b" } };
    CHECK_FALSE(planner.plan({ "n1", chosen, sources, 35 }, after(5)).isSettled);
    planner.setAddresses(addresses);
    CHECK_FALSE(planner.plan({ "n1", chosen, sources, 28 }, after(10)).isSettled);
    CHECK_FALSE(planner.isSettled());
    CHECK(planner.plan({ "n1", chosen, sources, 29 }, after(20)).isSettled);
    CHECK(planner.isSettled());
}

// Guards against a store that refuses all calls because hundreds of nodes list 16 partitions of jobs at once.
TEST_CASE("nodes that start together list the jobs at a bounded rate, those of a small deployment at once")
{
    const auto addresses = [](size_t n) {
        std::set<std::string> names;
        for (size_t i = 0; i < n; ++i)
            names.insert("n" + std::to_string(i));
        return names;
    };
    CHECK(jobListingDelay("n3", addresses(24)) == Milliseconds { 0 });
    std::multiset<Milliseconds> delays;
    for (const std::string& it : addresses(300))
        delays.insert(jobListingDelay(it, addresses(300)));
    const auto inFirstSecond = std::distance(delays.begin(), delays.lower_bound(Milliseconds { 1'000 }));
    CHECK(inFirstSecond * 16 <= 1'100);
    CHECK(*delays.rbegin() <= Milliseconds { 5'000 });
}

// Guards against small deployments that start later or make other calls than without sources.
TEST_CASE("the nodes of a small failure domain list and follow the store themselves")
{
    runOnSimulatedTime([](SimulatedEventLoop& loop) {
        FeedWorld world(6, 6, 100, loop);
        world.start();
        world.run(Milliseconds { 200 });
        CHECK(world.current() == 6);
        CHECK(world.store.listings == 6);
        for (const auto& it : world.nodes) {
            CHECK_FALSE(it->feed.usesSource());
            CHECK(it->feed.traffic().fromSources == 0);
        }
    });
}

// Guards against nodes that miss changes when the store drops its history.
TEST_CASE("all nodes are current after the store has dropped its history")
{
    runOnSimulatedTime([](SimulatedEventLoop& loop) {
        StartedWorld world(loop);
        world.change();
        world.store.dropHistory();
        world.change();
        CHECK(world.runUntilCurrent(Milliseconds { 10'000 }) <= maxAge);
        CHECK(world.store.listings <= 20);
    });
}

// Guards against a copy that goes back to older rows when the store returns an old listing.
TEST_CASE("a copy keeps rows that are newer than a listing")
{
    const auto row = [](const std::string& key, uint64_t version, bool isRemoved = false) {
        return StoredRow { { "t", "", key }, QByteArray::number(static_cast<qulonglong>(version)), version, isRemoved };
    };
    TableCopy copy;
    copy.putListing({ row("a", 1), row("b", 2) }, 2);
    copy.putChanges(2, { { row("a", 5), row("c", 6) }, false, 7 });
    REQUIRE(copy.changesAfter(4));
    CHECK(copy.changesAfter(5)->rows == std::vector { row("c", 6) });
    copy.putListing({ row("a", 1), row("b", 2) }, 3);
    CHECK(copy.version() == 7);
    CHECK(copy.rows().rows == std::vector { row("a", 5), row("b", 2), row("c", 6) });
    copy.putChanges(9, { { row("a", 10) }, false, 10 });
    CHECK(copy.version() == 7);
    copy.putChanges(7, { { row("c", 8, true) }, false, 9 });
    CHECK(copy.rows().rows == std::vector { row("a", 5), row("b", 2) });
    // The rows are older than the version that the store states.
    copy.putListing({ row("a", 1), row("b", 2), row("c", 6) }, 9);
    CHECK(copy.rows().rows == std::vector { row("a", 5), row("b", 2) });
    copy.putListing({ row("a", 11) }, 12);
    CHECK(copy.rows().rows == std::vector { row("a", 11) });
    CHECK(copy.version() == 12);
    CHECK_FALSE(copy.changesAfter(11));
}

// Guards against a peer that makes a node fail or exhausts its memory.
TEST_CASE("bytes that are no page are rejected")
{
    const RowPage page { { { { "t", "", "k" }, "value", 3, false }, { { "t", "", "l" }, "", 4, true } }, false, 9 };
    const QByteArray bytes = encodeRowPage(page);
    CHECK(decodeRowPage("t", bytes) == page);
    CHECK_FALSE(decodeRowPage("t", bytes.left(bytes.size() / 2)));
    CHECK_FALSE(decodeRowPage("t", qCompress("something else")));
    CHECK_FALSE(decodeRowPage("t", QByteArray::fromHex("ffffffff00")));
    CHECK_FALSE(decodeRowPage("t", {}));
}

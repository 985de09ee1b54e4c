#include "ConfigurationWorld.h"

#include <Tests/Support/FakeHttpClient.h>
#include <Tests/Support/MemoryRowStore.h>
#include <catch2/catch.hpp>

using namespace Chicorydock;

namespace {

/// Time after its acceptance within which a version must be in force everywhere.
constexpr Milliseconds applyTime { 4'000 };

constexpr size_t smallDocument = 16;
constexpr size_t largeDocument = 4'200;

QByteArray documentOf(int version)
{
    return "{\"version\":" + QByteArray::number(version) + ",\"routes\":[],\"services\":[]}";
}

/// A node that knows version 5 from the store and whose only peer, a source, offers version 6.
struct BehindNode final : ConfigurationPeers, ConfigurationListener {
    std::vector<ConfigurationOffer> configurationOffers() const override
    {
        if (!isOffering)
            return {};
        return { { "n2", "10.0.0.2:1", PeerDistance::FailureDomain, offered, true } };
    }
    void onConfiguration(const ReceivedConfiguration& it) override { received.push_back(it.configuration.version); }
    void onUnreadableConfiguration() override { }
    void onConfigurationStoreReachable(bool) override { }

    BehindNode()
    {
        store.put({ wire.configurationTable(), "", wire.configurationKey() }, documentOf(5));
        follower.setSource(true);
        follower.start(Milliseconds { 0 });
    }

    void answer(const QByteArray& body, int status = 200)
    {
        client.headers(status, { { "Row-Version", "9" } });
        client.data(body);
        client.finish();
    }

    uint64_t offered { 0 };
    bool isOffering { true };
    std::vector<uint64_t> received;
    SimulatedClock clock;
    SeededRandom random { 1 };
    PlatformWireFormat wire;
    MemoryRowStore store { clock };
    FakeHttpClient client;
    ConfigurationFollower follower { store, wire, *this, client, clock, random, *this };
};

}

// Guards against a large configuration that is late in a region whose nodes share one link to the store (incident
// 0c21).
TEST_CASE("two large configurations in series are in force in time on all nodes of a region with a shared link")
{
    runOnSimulatedTime([](SimulatedEventLoop& loop) {
        const std::vector<size_t> domains { 16, 16, 12 };
        const size_t nodes = 44;
        ConfigurationWorld world(domains, loop);
        world.put(2, smallDocument);
        world.start();
        world.run(Milliseconds { 10'000 });
        REQUIRE(world.nodesWith(2) == nodes);
        world.put(4, largeDocument);
        world.run(Milliseconds { 1'130 });
        world.put(6, largeDocument);
        world.run(applyTime - Milliseconds { 1'130 });
        CHECK(world.nodesWith(4) == nodes);
        world.run(Milliseconds { 1'130 });
        CHECK(world.nodesWith(6) == nodes);
    });
}

// Guards against nodes that wait for sources that are gone.
TEST_CASE("a failure domain that loses its sources during a change has the configuration in time")
{
    runOnSimulatedTime([](SimulatedEventLoop& loop) {
        ConfigurationWorld world({ 16, 16, 12 }, loop);
        world.put(2, smallDocument);
        world.start();
        world.run(Milliseconds { 10'000 });
        world.stopSources(0);
        world.put(4, largeDocument);
        world.run(applyTime);
        CHECK(world.nodesWith(4) == 42);
    });
}

// Guards against a region that is not ready for tens of seconds after all nodes lost power (incident 0c21).
TEST_CASE("nodes that start together have a large configuration within seconds")
{
    runOnSimulatedTime([](SimulatedEventLoop& loop) {
        ConfigurationWorld world({ 16, 16, 12 }, loop);
        world.put(4, largeDocument);
        world.start();
        world.run(applyTime);
        CHECK(world.nodesWith(4) == 44);
    });
}

// Guards against a peer that makes a node go back to an earlier version, fail, or exhaust its memory.
TEST_CASE("a response of a peer that is old, damaged or too large changes nothing, and the next peer is asked")
{
    const QByteArray body = GENERATE(qCompress(documentOf(4)), qCompress("not a document"), QByteArray("x"),
        QByteArray::fromHex("ffffffff00"), QByteArray());
    runOnSimulatedTime([&](SimulatedEventLoop& loop) {
        BehindNode node;
        loop.advance(Milliseconds { 1 });
        node.store.deliverOne();
        REQUIRE(node.follower.version() == 5);
        node.follower.setSource(false);
        node.offered = 6;
        node.follower.update();
        REQUIRE(node.client.count() == 1);
        CHECK(node.client.last().request.address == "10.0.0.2:1");
        node.answer(body);
        CHECK(node.follower.version() == 5);
        // The peer is asked again, because there is no other one.
        loop.advance(Milliseconds { 200 });
        node.follower.update();
        REQUIRE(node.client.count() == 2);
        node.answer(qCompress(documentOf(6)));
        CHECK(node.received == std::vector<uint64_t> { 5, 6 });
    });
}

// Guards against a node that goes back to an earlier version, with its routes and keys, because the store returns an
// older state for some seconds after it has dropped its history.
TEST_CASE("a row of the store that is behind does not replace the configuration in force")
{
    runOnSimulatedTime([&](SimulatedEventLoop& loop) {
        BehindNode node;
        loop.advance(Milliseconds { 1 });
        node.store.deliverOne();
        REQUIRE(node.follower.version() == 5);
        node.store.put({ node.wire.configurationTable(), "", node.wire.configurationKey() }, documentOf(4));
        node.store.dropHistory();
        for (int n = 0; n < 20; ++n) {
            node.store.deliverOne();
            loop.advance(Milliseconds { 500 });
        }
        CHECK(node.received == std::vector<uint64_t> { 5 });
        node.store.put({ node.wire.configurationTable(), "", node.wire.configurationKey() }, documentOf(6));
        for (int n = 0; n < 20; ++n) {
            node.store.deliverOne();
            loop.advance(Milliseconds { 500 });
        }
        CHECK(node.received == std::vector<uint64_t> { 5, 6 });
    });
}

// Guards against a node that takes a key for unknown although it cannot know the newest keys (DENIED).
TEST_CASE("a node knows whether its configuration may be outdated")
{
    runOnSimulatedTime([](SimulatedEventLoop& loop) {
        BehindNode node;
        CHECK_FALSE(node.follower.isCurrent());
        loop.advance(Milliseconds { 1 });
        node.store.deliverOne();
        CHECK(node.follower.isCurrent());
        node.offered = 6;
        node.follower.update();
        CHECK_FALSE(node.follower.isCurrent());
        node.offered = 5;
        node.follower.update();
        CHECK(node.follower.isCurrent());
        // Neither the store nor a peer that reads it can be reached.
        node.isOffering = false;
        node.store.isDown = true;
        node.store.deliverOne();
        node.follower.update();
        CHECK_FALSE(node.follower.isCurrent());
        // A peer that reads the store has no newer version.
        node.isOffering = true;
        node.follower.update();
        CHECK(node.follower.isCurrent());
    });
}

// Guards against a node that keeps to an old version because its peers do not deliver the newer one.
TEST_CASE("a node that cannot get a newer version from its peers reads the store")
{
    runOnSimulatedTime([&](SimulatedEventLoop& loop) {
        BehindNode node;
        loop.advance(Milliseconds { 1 });
        node.store.deliverOne();
        node.follower.setSource(false);
        node.store.deliver();
        node.store.put({ node.wire.configurationTable(), "", node.wire.configurationKey() }, documentOf(6));
        node.offered = 6;
        for (int n = 0; n < 10; ++n) {
            node.follower.update();
            node.store.deliver();
            CHECK(node.follower.version() == 5);
            node.clock.advance(Milliseconds { 80 });
        }
        node.clock.advance(Milliseconds { 80 });
        node.follower.update();
        node.store.deliverOne();
        CHECK(node.follower.version() == 6);
    });
}

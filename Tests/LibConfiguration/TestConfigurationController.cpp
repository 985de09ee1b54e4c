#include <LibConfiguration/ConfigurationController.h>
#include <LibConfiguration/ConfigurationDocument.h>
#include <LibCore/SeededRandom.h>
#include <LibPlatform/MemoryTableService.h>

#include "SampleConfiguration.h"

#include <Tests/Support/FaultyTableService.h>
#include <Tests/Support/SimulatedClock.h>
#include <catch2/catch.hpp>

using namespace Chicorydock;

namespace {

/// Records the fetches of documents, so that the test can answer them.
class FakeLink final : public PeerLink {
public:
    struct Fetch {
        std::string address;
        uint64_t revision;
        uint64_t held;
        RevisionCallback callback;
    };

    void exchange(const std::string&, const PeerMessage&, Milliseconds, MessageCallback) override { }
    void fetchRevision(
        const std::string& address, uint64_t revision, uint64_t held, Milliseconds, RevisionCallback callback) override
    {
        fetches.push_back({ address, revision, held, std::move(callback) });
    }
    void yieldBatch(const std::string&, const std::string&, const std::string&) override { }

    Fetch takeFetch()
    {
        REQUIRE(!fetches.empty());
        Fetch fetch = fetches.front();
        fetches.erase(fetches.begin());
        return fetch;
    }

    std::vector<Fetch> fetches;
};

const Post inlinePost = [](const std::function<void()>& function) { function(); };

struct Node {
    explicit Node(ConfigurationStore& store, const Clock& clock, uint64_t seed = 1)
        : random(seed)
        , controller(clock, random, link, store, inlinePost, inlinePost, published,
              [this](const Configuration& configuration) { seen.push_back(configuration.revision); }, {})
    {
    }

    SeededRandom random;
    FakeLink link;
    RcuCell<Configuration> published;
    std::vector<uint64_t> seen;
    ConfigurationController controller;
};

struct Fixture {
    void run(Node& node, int seconds)
    {
        for (int n = 0; n < seconds * 10; ++n) {
            clock.advance(Milliseconds { 100 });
            node.controller.tick(clock.now());
        }
    }

    void storeThreeRevisions()
    {
        for (uint64_t n = 0; n < 3; ++n)
            store.apply(sampleConfiguration("r" + std::to_string(n)), n);
    }

    static Configuration revision(uint64_t number)
    {
        Configuration configuration = sampleConfiguration();
        configuration.revision = number;
        return configuration;
    }

    SimulatedClock clock;
    MemoryTableService memory;
    FaultInjector faults { 1 };
    FaultyTableService table { memory, faults };
    ConfigurationStore store { table, clock };
};

}

// Guards against a revision that is reverted by a late document or a stale read of the store.
TEST_CASE("only a higher revision comes into force")
{
    Fixture fixture;
    fixture.storeThreeRevisions();
    Node node(fixture.store, fixture.clock);
    CHECK(node.controller.adopt(Fixture::revision(5)));
    CHECK_FALSE(node.controller.adopt(Fixture::revision(4)));
    CHECK_FALSE(node.controller.adopt(Fixture::revision(5)));
    node.controller.recordPeerRevision(6, "p1");
    const auto late = node.link.takeFetch();
    CHECK(late.held == 5);
    node.controller.adopt(Fixture::revision(8));
    late.callback(encodeDocument(Fixture::revision(6)));
    fixture.run(node, 200);
    CHECK(node.published.read()->revision == 8);
    CHECK(node.seen == std::vector<uint64_t> { 5, 8 });
}

// Guards against a node without a configuration when only the store, or only peers, can be reached.
TEST_CASE("a new node gets the configuration from the store or from a peer")
{
    Fixture fixture;
    fixture.storeThreeRevisions();
    Node fromStore(fixture.store, fixture.clock);
    fixture.run(fromStore, 2);
    CHECK(fromStore.controller.revision() == 3);
    CHECK(fromStore.controller.isStoreReachable());

    fixture.faults.setOutage(true);
    Node fromPeer(fixture.store, fixture.clock);
    fixture.run(fromPeer, 5);
    CHECK(fromPeer.controller.revision() == 0);
    CHECK_FALSE(fromPeer.controller.isStoreReachable());
    fromPeer.controller.recordPeerRevision(3, "silent");
    fromPeer.controller.recordPeerRevision(3, "p1");
    fromPeer.link.takeFetch().callback(std::nullopt);
    const auto fetch = fromPeer.link.takeFetch();
    CHECK(fetch.address == "p1");
    fetch.callback(fromStore.controller.document(3, fetch.held));
    CHECK(*fromPeer.published.read() == *fromStore.published.read());
}

// Guards against sending the complete configuration for every change, and against a wrong difference.
TEST_CASE("a peer with an earlier revision gets the difference")
{
    Fixture fixture;
    Node first(fixture.store, fixture.clock);
    Node second(fixture.store, fixture.clock);
    first.controller.adopt(Fixture::revision(1));
    second.controller.adopt(Fixture::revision(1));
    Configuration changed = Fixture::revision(2);
    changed.models.front().version = "4";
    first.controller.adopt(changed);
    CHECK(first.controller.document(3, 1) == std::nullopt);
    const auto document = first.controller.document(2, 1);
    REQUIRE(document);
    CHECK(document->size() < encodeDocument(changed).size());
    second.controller.recordPeerRevision(2, "p1");
    second.link.takeFetch().callback(document);
    CHECK(*second.published.read() == changed);
}

// Guards against a read rate at the store that grows with the product of nodes and changes.
TEST_CASE("340 nodes stay far below the read rate of the store")
{
    Fixture fixture;
    fixture.storeThreeRevisions();
    std::vector<std::unique_ptr<Node>> nodes;
    for (uint64_t n = 0; n < 340; ++n)
        nodes.push_back(std::make_unique<Node>(fixture.store, fixture.clock, n));
    for (const auto& it : nodes)
        it->controller.adopt(Fixture::revision(3));
    const uint64_t before = fixture.memory.reads();
    constexpr int seconds = 600;
    for (int n = 0; n < seconds; ++n) {
        fixture.clock.advance(std::chrono::seconds(1));
        for (const auto& it : nodes)
            it->controller.tick(fixture.clock.now());
    }
    // The store answers about 2,000 reads a second.
    CHECK((fixture.memory.reads() - before) / seconds < 20);
}

// Guards against nodes that overload the store with reads because of a revision that does not exist.
TEST_CASE("the search for a revision that does not exist ends")
{
    Fixture fixture;
    fixture.storeThreeRevisions();
    Node node(fixture.store, fixture.clock);
    fixture.run(node, 2);
    const uint64_t before = fixture.memory.reads();
    node.controller.recordPeerRevision(99, "liar");
    node.link.takeFetch().callback(std::nullopt);
    fixture.run(node, 30);
    CHECK(node.controller.revision() == 3);
    CHECK(fixture.memory.reads() - before < 10);
    fixture.store.apply(sampleConfiguration("next"), 3);
    node.controller.recordPeerRevision(4, "p1");
    CHECK(node.link.takeFetch().revision == 4);
}

#include <LibGateway/StreamOrigins.h>

#include <LibCore/SeededRandom.h>
#include <Tests/Support/MemoryRowStore.h>
#include <Tests/Support/SimulatedClock.h>
#include <catch2/catch.hpp>

#include <array>

using namespace Chicorydock;

namespace {

constexpr Milliseconds step { 100 };

/// Nodes that share a store and learn late of the versions of the endpoints and of the default version. All nodes are
/// restarted together now and then. Callers resume streams for up to 5 s after they began, at any node.
class StreamWorld {
public:
    explicit StreamWorld(uint64_t seed)
        : m_random(seed)
    {
        restartNodes();
    }

    void run(Milliseconds duration, double restartsPerSecond)
    {
        for (Milliseconds left = duration; left.count() > 0; left -= step) {
            m_clock.advance(step);
            if (m_random.unit() < restartsPerSecond * toSeconds(step))
                restartNodes();
            for (Node& it : m_nodes) {
                learn(it);
                beginStream(it);
                it.origins->removeOldRecords();
            }
            m_nodes.front().origins->updateDefaults({ { "lm", m_nodes.front().versions } });
            m_store.deliver();
            resumeStreams();
        }
    }

    VersionCounts versions { { "v1", 8 } };
    size_t resumed { 0 };
    /// Streams that could not be resumed although endpoints of their version are in service.
    size_t refused { 0 };
    size_t joined { 0 };
    uint64_t records() const { return m_records; }

private:
    struct Node {
        std::unique_ptr<StreamOrigins> origins;
        /// As far as the node knows.
        VersionCounts versions;
        MonotonicTime learnsAt;
    };

    struct Stream {
        std::string id;
        std::string softwareVersion;
        MonotonicTime at;
    };

    void restartNodes()
    {
        for (Node& it : m_nodes) {
            it.origins = std::make_unique<StreamOrigins>(m_store, m_clock);
            it.learnsAt = {};
        }
    }

    void learn(Node& node)
    {
        if (m_clock.now() < node.learnsAt)
            return;
        node.versions = versions;
        if (const auto row = m_store.find({ "default_version", "", "lm" }))
            node.origins->setDefault(*decodeDefaultVersion("lm", row->value, row->version));
        node.learnsAt = m_clock.now() + Milliseconds { m_random.below(3'000) };
    }

    void beginStream(Node& node)
    {
        auto version = node.versions.begin();
        std::advance(version, m_random.below(node.versions.size()));
        // An endpoint that has left takes no request.
        if (!versions.contains(version->first))
            return;
        const Stream stream { std::to_string(++m_lastStream), version->first, m_clock.now() };
        if (node.origins->needsRecord({ "lm", stream.softwareVersion })) {
            node.origins->record(stream.id, { "lm", stream.softwareVersion }, [] {});
            ++m_records;
        }
        m_streams.push_back(stream);
    }

    void resumeStreams()
    {
        std::erase_if(m_streams, [&](const Stream& it) { return m_clock.now() - it.at > std::chrono::seconds { 5 }; });
        for (int n = 0; n < 4 && !m_streams.empty(); ++n)
            resume(m_streams[m_random.below(m_streams.size())], m_nodes.at(m_random.below(m_nodes.size())));
    }

    void resume(const Stream& stream, Node& node)
    {
        std::optional<StreamOrigin> origin;
        node.origins->find(stream.id, "lm", [&](const StoreResult<std::optional<StreamOrigin>>& result) {
            origin = std::get<std::optional<StreamOrigin>>(result);
        });
        m_store.deliver();
        if (!origin)
            refused += versions.contains(stream.softwareVersion) ? 1 : 0;
        else if (origin->softwareVersion == stream.softwareVersion)
            ++resumed;
        else
            ++joined;
    }

    SeededRandom m_random;
    SimulatedClock m_clock;
    MemoryRowStore m_store { m_clock };
    std::array<Node, 5> m_nodes;
    std::vector<Stream> m_streams;
    uint64_t m_lastStream { 0 };
    uint64_t m_records { 0 };
};

}

// Load: three releases, one of them a canary, while all nodes are killed together every few seconds and callers resume
// their streams. Guards against streams that join two software versions (ORDER), and that are not resumed (LOST).
TEST_CASE("a stream is resumed at the version that began it however often all nodes fail during releases")
{
    StreamWorld world(GENERATE(1, 2, 3, 4, 5, 6, 7, 8, 9, 10));
    const double restartsPerSecond = 0.2;
    const std::chrono::seconds phase { GENERATE(4, 20, 90) };
    for (const VersionCounts& it :
        std::vector<VersionCounts> { { { "v1", 8 } }, { { "v1", 7 }, { "v2", 1 } }, { { "v1", 2 }, { "v2", 6 } },
            { { "v2", 8 } }, { { "v3", 8 } }, { { "v3", 4 }, { "v4", 4 } }, { { "v4", 8 } } }) {
        world.versions = it;
        world.run(phase, restartsPerSecond);
    }
    CHECK(world.joined == 0);
    CHECK(world.resumed > 4 * world.refused);
}

// Guards against writes to the store for each stream of a service that is not being released.
TEST_CASE("streams of a service with one software version need no record")
{
    StreamWorld world(1);
    world.run(std::chrono::seconds { 10 }, 0);
    const uint64_t atStart = world.records();
    world.run(std::chrono::seconds { 60 }, 0.2);
    CHECK(world.records() - atStart < 20);
    world.versions = { { "v2", 8 } };
    world.run(std::chrono::seconds { 120 }, 0);
    const uint64_t afterRelease = world.records();
    world.run(std::chrono::seconds { 60 }, 0);
    CHECK(world.records() == afterRelease);
}

// Guards against a default version that changes directly to another one, so that an older stream seems to be of the
// newer version.
TEST_CASE("all streams are recorded for a minute before a service has another default version")
{
    const std::map<std::string, VersionCounts> services { { "lm", { { "v2", 3 }, { "v3", 1 } } } };
    DefaultVersions defaults;
    defaults.put({ "lm", "v1", Milliseconds { 0 }, 1 });
    auto changes = defaults.dueChanges(services, Milliseconds { 5'000 });
    REQUIRE(changes.size() == 1);
    CHECK_FALSE(changes[0].softwareVersion);
    changes[0].rowVersion = 2;
    defaults.put(changes[0]);
    CHECK_FALSE(defaults.find("lm"));
    CHECK(defaults.dueChanges(services, Milliseconds { 64'900 }).empty());
    changes = defaults.dueChanges(services, Milliseconds { 65'000 });
    REQUIRE(changes.size() == 1);
    CHECK(changes[0] == DefaultVersion { "lm", "v2", Milliseconds { 65'000 }, 2 });
    CHECK(decodeDefaultVersion("lm", encodeDefaultVersion(changes[0]), 2) == changes[0]);
    // A row that arrives late does not undo a newer one.
    defaults.put({ "lm", "v1", Milliseconds { 0 }, 1 });
    CHECK_FALSE(defaults.find("lm"));
    CHECK(defaults.dueChanges({ { "lm", {} } }, Milliseconds { 70'000 }).empty());
}

// Guards against a node that stood still for longer than streams are recorded, and takes a stream without a record for
// one of the default version of that time (ORDER).
TEST_CASE("a stream without a record is of the default version that the store has now")
{
    SimulatedClock clock;
    MemoryRowStore store(clock);
    StreamOrigins origins(store, clock);
    origins.setDefault({ "lm", "v1", Milliseconds { 0 }, 1 });
    for (const std::optional<std::string>& it : { std::optional<std::string>("v2"), std::optional<std::string>() }) {
        // Rows have versions from 1 on.
        store.put({ "other", "", "row" }, "");
        store.put({ "default_version", "", "lm" }, encodeDefaultVersion({ "lm", it, Milliseconds { 0 }, 0 }));
        std::optional<StoreResult<std::optional<StreamOrigin>>> found;
        origins.find("q1", "lm", [&](const auto& result) { found = result; });
        store.deliver();
        const auto expected = it ? std::optional(StreamOrigin { "lm", *it }) : std::nullopt;
        CHECK(std::get<std::optional<StreamOrigin>>(found.value()) == expected);
    }
}

// Guards against a record that a repeat or a late write replaces, and against records that stay for ever.
TEST_CASE("a record is written once, is found by any node, and is removed when it is of no use")
{
    SimulatedClock clock;
    MemoryRowStore store(clock);
    StreamOrigins origins(store, clock);
    StreamOrigins other(store, clock);
    int recorded = 0;
    origins.record("q1", { "lm", "v1" }, [&] { ++recorded; });
    store.deliver();
    origins.record("q1", { "lm", "v1" }, [&] { ++recorded; });
    origins.record("q1", { "lm", "v2" }, [&] { ++recorded; });
    store.deliver();
    CHECK(recorded == 2);
    const auto find = [&] {
        std::optional<StreamOrigin> origin;
        other.find("q1", "lm", [&](const StoreResult<std::optional<StreamOrigin>>& result) {
            origin = std::get<std::optional<StreamOrigin>>(result);
        });
        store.deliver();
        return origin;
    };
    CHECK(find() == StreamOrigin { "lm", "v1" });
    clock.advance(std::chrono::seconds { 61 });
    origins.removeOldRecords();
    store.deliver();
    CHECK_FALSE(find());
}

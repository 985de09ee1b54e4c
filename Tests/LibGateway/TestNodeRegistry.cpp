#include <LibGateway/NodeRegistry.h>

#include <Tests/Support/MemoryRowStore.h>
#include <Tests/Support/SimulatedClock.h>
#include <Tests/Support/SimulatedEventLoop.h>
#include <catch2/catch.hpp>

using namespace Chicorydock;

namespace {

/// A node that has just started, in a deployment where many processes ended without removing their registrations.
struct RegistryFixture {
    SimulatedClock clock;
    MemoryRowStore rows { clock };
    PeerGroup peers { { "n.own", "z1", "127.0.0.1:1", { { "z1", "r1" } } }, clock, [] { return PeerReport {}; },
        [](const PeerReport&, Milliseconds) {} };
    NodeRegistry registry { rows, peers, "n.own", "127.0.0.1:1", [](const std::set<std::string>&) {} };

    explicit RegistryFixture(size_t silentNodes)
    {
        for (size_t n = 0; n < silentNodes; ++n)
            rows.put({ "node", "", "n." + std::to_string(n) }, "127.0.0.1:2");
        registry.start();
    }

    void run(SimulatedEventLoop& loop, Milliseconds duration)
    {
        constexpr Milliseconds step { 500 };
        for (Milliseconds time { 0 }; time < duration; time += step) {
            clock.advance(step);
            loop.advance(step);
            // A feed without changes is called again at once.
            constexpr int callsPerStep = 10;
            for (int n = 0; n < callsPerStep; ++n)
                rows.deliverOne();
        }
    }

    size_t registrations() const { return rows.rowsIn({ "node", "" }).size(); }
};

}

// Guards against registrations that stay for good because they are too many for one transaction.
TEST_CASE("the registrations of silent nodes are removed however many there are")
{
    size_t left = 0;
    runOnSimulatedTime([&](SimulatedEventLoop& loop) {
        RegistryFixture fixture(250);
        fixture.run(loop, std::chrono::minutes { 3 });
        left = fixture.registrations();
    });
    CHECK(left == 1);
}

// Guards against a registration that stays because the store was away when it was to be removed.
TEST_CASE("the registrations of silent nodes are removed after an outage of the store")
{
    size_t left = 0;
    runOnSimulatedTime([&](SimulatedEventLoop& loop) {
        RegistryFixture fixture(3);
        fixture.rows.commitFault = MemoryRowStore::Fault::Refused;
        fixture.run(loop, std::chrono::seconds { 70 });
        fixture.rows.commitFault = MemoryRowStore::Fault::None;
        fixture.run(loop, std::chrono::seconds { 60 });
        left = fixture.registrations();
    });
    CHECK(left == 1);
}

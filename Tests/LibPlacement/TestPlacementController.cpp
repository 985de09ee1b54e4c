#include <LibCore/SeededRandom.h>
#include <LibPlacement/PlacementController.h>
#include <LibPlatform/MemoryTableService.h>

#include "FakeEngines.h"

#include <Tests/Support/FaultyTableService.h>
#include <catch2/catch.hpp>

using namespace Chicorydock;
using namespace std::chrono_literals;

namespace {

/// The clock of one process, which a test can freeze while the clocks of other processes advance.
class ProcessClock final : public Clock {
public:
    explicit ProcessClock(const Clock& clock)
        : m_clock(clock)
    {
    }

    MonotonicTime now() const override { return m_frozen.value_or(m_clock.now()); }
    WallTime wallNow() const override { return m_clock.wallNow(); }
    void freeze() { m_frozen = m_clock.now(); }
    void thaw() { m_frozen.reset(); }

private:
    const Clock& m_clock;
    std::optional<MonotonicTime> m_frozen;
};

class CountingObserver final : public PlacementObserver {
public:
    void onLeaseAcquired(uint64_t number) override { epoch = number; }
    void onLeaseLost(uint64_t) override { ++losses; }
    void onOrderSent(const PlacementEndpoint&, const EndpointOrder&) override { ++sent; }
    void onOrderEnded(const PlacementEndpoint&, const EndpointOrder&, OrderOutcome outcome) override
    {
        refused += outcome == OrderOutcome::StaleFencingNumber ? 1 : 0;
    }

    uint64_t epoch { 0 };
    int losses { 0 };
    int sent { 0 };
    int refused { 0 };
};

const Post inlinePost = [](const std::function<void()>& function) { function(); };

struct Fixture;

/// One process with a controller.
struct Process {
    Process(Fixture&, const std::string& name, uint64_t seed);

    ProcessClock clock;
    SeededRandom random;
    FaultInjector faults;
    FaultyTableService table;
    FakeEngines::Client client;
    CountingObserver observer;
    PlacementController controller;
    bool isPaused { false };
};

struct Fixture {
    explicit Fixture(bool checksFencing, int endpoints = 6)
        : isFenced(checksFencing)
    {
        for (int n = 0; n < endpoints; ++n) {
            const std::string id = "e" + std::to_string(n);
            targets.push_back({ id, id + ":8000", "assistant" });
            engines.at(id + ":8000").checksFencing = checksFencing;
        }
    }

    Process& add(const std::string& version)
    {
        processes.push_back(
            std::make_unique<Process>(*this, "p" + std::to_string(processes.size()), processes.size() + 1));
        declare(*processes.back(), version);
        return *processes.back();
    }

    void declare(Process& process, const std::string& version, uint32_t replicas = 0) const
    {
        Configuration configuration;
        configuration.revision = 1;
        configuration.services = { { "assistant", Service::Kind::Engine, isFenced, {}, 1500, 27 } };
        configuration.models = { { "rules", "assistant", version, {}, replicas } };
        process.controller.setConfiguration(std::make_shared<const Configuration>(configuration));
        process.controller.setEndpoints(targets);
    }

    void run(std::chrono::seconds duration)
    {
        const MonotonicTime end = clock.now() + duration;
        while (clock.now() < end) {
            clock.advance(100ms);
            engines.runDue();
            for (const auto& it : processes) {
                if (!it->isPaused)
                    it->controller.tick(it->clock.now());
            }
        }
    }

    bool allHave(const std::string& version)
    {
        const std::vector<LoadedModel> expected { { "rules", version, {} } };
        return std::ranges::all_of(engines.all(), [&](const auto& it) { return it.second.state.models == expected; });
    }

    bool isFenced;
    SimulatedClock clock;
    MemoryTableService memory;
    FakeEngines engines { clock };
    std::vector<PlacementEndpoint> targets;
    std::vector<std::unique_ptr<Process>> processes;
};

Process::Process(Fixture& fixture, const std::string& name, uint64_t seed)
    : clock(fixture.clock)
    , random(seed)
    , faults(seed)
    , table(fixture.memory, faults)
    , client(fixture.engines)
    , controller(clock, random, client, observer, std::make_shared<PlacementLease>(table, clock, "b1", name, 15s),
          inlinePost, inlinePost, {})
{
}

}

// Guards against endpoints that never reach the declared state, against more concurrent loads than the weight store
// supports, and against changes by others that are never repaired.
TEST_CASE("endpoints reach the declared state and are repaired")
{
    Fixture fixture(true, 12);
    Process& process = fixture.add("1");
    fixture.engines.at("e3:8000").state.models = { { "unknown", "7", {} }, { "rules", "0", {} } };
    fixture.run(30s);
    CHECK(fixture.allHave("1"));
    CHECK(process.client.maxInFlight == 4);
    fixture.engines.at("e5:8000").state.models.clear();
    fixture.run(30s);
    CHECK(fixture.allHave("1"));
    fixture.declare(process, "2");
    fixture.run(30s);
    CHECK(fixture.allHave("2"));
}

// Guards against orders from a process that does not hold the lease, or cannot know whether it still does.
TEST_CASE("without a lease no orders are sent")
{
    Fixture fixture(true);
    Process& process = fixture.add("1");
    process.faults.setOutage(true);
    fixture.run(60s);
    CHECK(process.observer.sent == 0);
    process.faults.setOutage(false);
    fixture.run(30s);
    CHECK(fixture.allHave("1"));
    Process& other = fixture.add("1");
    fixture.run(60s);
    CHECK(other.observer.epoch == 0);

    // During an outage of the store the lease expires, and a change is not applied until the store is reachable again.
    process.faults.setOutage(true);
    other.faults.setOutage(true);
    fixture.run(20s);
    const int sent = process.observer.sent;
    fixture.declare(process, "2");
    fixture.run(60s);
    CHECK(process.observer.sent == sent);
    process.faults.setOutage(false);
    fixture.run(60s);
    CHECK(fixture.allHave("2"));
}

// Guards against a lost response to the write of the lease that leaves the domain without a holder or with two.
TEST_CASE("lost responses to the lease do not stop the placement")
{
    Fixture fixture(true);
    fixture.add("1").faults.setLostResponseShare(0.5);
    fixture.add("1").faults.setLostResponseShare(0.5);
    fixture.run(120s);
    CHECK(fixture.allHave("1"));
    const bool first = fixture.processes[0]->controller.holdsLease();
    const bool second = fixture.processes[1]->controller.holdsLease();
    CHECK_FALSE((first && second));
}

// Guards against a holder that was paused beyond the end of its lease and then resumes sending orders.
TEST_CASE("a paused holder sends no orders after its lease has ended")
{
    const bool isFenced = GENERATE(true, false);
    Fixture fixture(isFenced);
    Process& paused = fixture.add("1");
    fixture.run(30s);
    REQUIRE(fixture.allHave("1"));
    paused.isPaused = true;
    Process& next = fixture.add("2");
    fixture.run(200s);
    CHECK(next.observer.epoch == 2);
    CHECK(fixture.allHave("2"));
    const int sent = paused.observer.sent;
    // Without the store, only its own clock can show that the lease has expired.
    paused.faults.setOutage(true);
    fixture.declare(paused, "3");
    paused.isPaused = false;
    fixture.run(60s);
    CHECK(paused.observer.sent == sent);
    CHECK(paused.observer.losses == 1);
    CHECK(fixture.allHave("2"));
}

// Guards against two processes that both believe that they hold the lease: the clock of the first one is frozen, so
// its lease never expires for it, and it cannot reach the store.
TEST_CASE("two controllers that both believe that they hold the lease reach the declared state")
{
    const bool isFenced = GENERATE(true, false);
    Fixture fixture(isFenced);
    Process& old = fixture.add("1");
    fixture.run(30s);
    REQUIRE(fixture.allHave("1"));
    old.clock.freeze();
    old.faults.setOutage(true);
    Process& next = fixture.add("2");
    fixture.run(30s);
    // Its configuration changes while it believes that it holds the lease.
    fixture.declare(old, "3");
    fixture.run(170s);
    CHECK(next.observer.epoch == 2);
    if (isFenced)
        CHECK(old.observer.refused + old.observer.losses > 0);
    old.clock.thaw();
    old.faults.setOutage(false);
    fixture.run(60s);
    CHECK_FALSE(old.controller.holdsLease());
    CHECK(fixture.allHave("2"));
}

// Guards against an order that arrives long after it was sent and stays in effect.
TEST_CASE("endpoints reach the declared state although an order arrives late")
{
    const bool isFenced = GENERATE(true, false);
    Fixture fixture(isFenced);
    Process& old = fixture.add("1");
    fixture.run(30s);
    old.client.orderDelay = 100s;
    fixture.declare(old, "0");
    fixture.run(2s);
    CHECK(old.observer.sent > 6);
    old.isPaused = true;
    Process& next = fixture.add("2");
    fixture.run(60s);
    // The new holder sends no orders to endpoints that do not check the fencing number while late orders may arrive.
    CHECK((next.observer.sent > 0) == isFenced);
    fixture.run(140s);
    CHECK(fixture.allHave("2"));
    if (!isFenced)
        CHECK(next.observer.sent == 6);
}

// Guards against a planned stop that leaves the domain without a holder for the rest of the lease.
TEST_CASE("a stopping holder releases the lease")
{
    Fixture fixture(true);
    Process& first = fixture.add("1");
    fixture.run(30s);
    first.controller.stop();
    fixture.run(1s);
    Process& second = fixture.add("2");
    fixture.run(13s);
    CHECK(second.observer.epoch == 2);
    CHECK(fixture.allHave("2"));
    CHECK_FALSE(first.controller.holdsLease());
}

// Guards against replicas that wait for an endpoint that does not answer.
TEST_CASE("replicas go to endpoints that answer")
{
    Fixture fixture(true);
    Process& process = fixture.add("1");
    fixture.declare(process, "1", 1);
    fixture.run(30s);
    const auto holder = [&] {
        for (const auto& [address, engine] : fixture.engines.all()) {
            if (engine.isReachable && !engine.state.models.empty())
                return address;
        }
        return std::string {};
    };
    const std::string first = holder();
    REQUIRE(!first.empty());
    fixture.engines.at(first).isReachable = false;
    fixture.run(90s);
    CHECK(!holder().empty());
    // The choice depends only on the endpoints that answer, so the replica returns, and the replacement is unloaded.
    fixture.engines.at(first).isReachable = true;
    fixture.run(60s);
    CHECK(holder() == first);
    CHECK(std::ranges::count_if(fixture.engines.all(), [](const auto& it) { return !it.second.state.models.empty(); })
        == 1);
}

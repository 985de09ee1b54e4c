#include <LibGateway/DecisionFields.h>
#include <LibGateway/SlotScheduler.h>

#include "SlotSimulation.h"

#include <catch2/catch.hpp>

#include <limits>
#include <set>

using namespace Chicorydock;
using Kind = SlotDecision::Kind;

namespace {

const SlotScheduler::Location ownLocation { "n1", "z1", { { "z1", "r1" }, { "z2", "r1" }, { "z3", "r2" } } };

EndpointRecord makeEndpoint(const std::string& id, const std::string& domain = "z1", uint32_t slotCount = 2)
{
    return { id, "10.0.0.1:80", "lm", domain, slotCount, false, 1 };
}

struct Fixture {
    SimulatedClock clock;
    SeededRandom random { 1 };
    SlotScheduler scheduler { ownLocation, random };
    uint64_t lastWork { 0 };

    uint64_t submitOnline(Milliseconds target = Milliseconds { 200 }, bool isLastAttempt = false)
    {
        const MonotonicTime now = clock.now();
        scheduler.submit(
            OnlineWork { ++lastWork, "lm", 0, now + target, now + std::chrono::seconds { 5 }, isLastAttempt, {} }, now);
        return lastWork;
    }

    uint64_t submitBatch(Milliseconds due = std::chrono::seconds { 18 })
    {
        scheduler.submit(BatchWork { ++lastWork, "lm", clock.now() + due, {} });
        return lastWork;
    }

    std::vector<SlotDecision> poll() { return scheduler.poll(clock.now()); }

    void setPeer(const std::string& node, SlotUse use, const std::string& endpoint = "a", uint32_t waiting = 0)
    {
        scheduler.setPeerUse(node, { "z1", { { SlotPeers::endpointKey(endpoint), use } }, waiting }, clock.now());
    }
};

size_t count(const std::vector<SlotDecision>& decisions, Kind kind)
{
    return static_cast<size_t>(std::ranges::count(decisions, kind, &SlotDecision::kind));
}

}

// Guards against a log line that states the age of a change that never was.
TEST_CASE("a decision states the age of the latest change of the slots, and none if there was no change")
{
    Fixture fixture;
    fixture.scheduler.setEndpoints({ makeEndpoint("a") });
    fixture.submitOnline();
    const auto first = fixture.poll();
    REQUIRE(first.size() == 1);
    CHECK_FALSE(first[0].view.age);
    QJsonObject details;
    addDecisionFields(details, first[0].view);
    CHECK_FALSE(details.contains("slots_age_ms"));
    CHECK(details["slots"].toInt() == 2);
    fixture.clock.advance(Milliseconds { 10 });
    fixture.submitOnline();
    const auto second = fixture.poll();
    REQUIRE(second.size() == 1);
    CHECK(second[0].view.age == Milliseconds { 10 });
    addDecisionFields(details, second[0].view);
    CHECK(details["slots_age_ms"].toInt() == 10);
}

// Guards against queues at endpoints, where work cannot be reordered any more.
TEST_CASE("no more online work starts at an endpoint than it has slots, over all nodes")
{
    Fixture fixture;
    fixture.scheduler.setEndpoints({ makeEndpoint("a") });
    fixture.setPeer("n2", { 1, 0 });
    fixture.submitOnline();
    fixture.submitOnline();
    const auto decisions = fixture.poll();
    CHECK(count(decisions, Kind::Start) == 1);
    CHECK(fixture.scheduler.waitingOnline() == 1);
    fixture.setPeer("n2", { 0, 0 });
    CHECK(count(fixture.poll(), Kind::Start) == 1);
}

// Guards against slots that remain occupied by a node that has died.
TEST_CASE("the slot usage of a peer without reports expires")
{
    Fixture fixture;
    fixture.scheduler.setEndpoints({ makeEndpoint("a") });
    fixture.setPeer("n2", { 2, 0 });
    fixture.submitOnline(std::chrono::seconds { 10 });
    CHECK(count(fixture.poll(), Kind::Start) == 0);
    fixture.clock.advance(std::chrono::seconds { 2 });
    CHECK(count(fixture.poll(), Kind::Start) == 1);
}

// Guards against online requests that wait for batch items to end.
TEST_CASE("an item of this node yields to an online request immediately, the one that is due last first")
{
    Fixture fixture;
    fixture.scheduler.setEndpoints({ makeEndpoint("a") });
    fixture.submitBatch();
    fixture.poll();
    fixture.clock.advance(Milliseconds { 10 });
    const uint64_t latest = fixture.submitBatch();
    fixture.poll();
    const uint64_t online = fixture.submitOnline();
    const auto decisions = fixture.poll();
    REQUIRE(decisions.size() == 2);
    CHECK(decisions[0] == SlotDecision { Kind::Yield, latest, "a", {}, { 0, 2, 2, Milliseconds { 0 } } });
    CHECK(decisions[1].kind == Kind::Start);
    CHECK(decisions[1].work == online);
}

// Guards against nodes that all preempt an item for the same request, and against nodes that each leave it to the
// others.
TEST_CASE("nodes that see the same overload together stop exactly as many items as needed")
{
    SeededRandom random(1);
    SimulatedClock clock;
    std::map<std::string, std::unique_ptr<SlotScheduler>> nodes;
    for (const char* name : { "n1", "n2", "n3" }) {
        nodes[name]
            = std::make_unique<SlotScheduler>(SlotScheduler::Location { name, "z1", ownLocation.regions }, random);
        nodes[name]->setEndpoints({ makeEndpoint("a", "z1", 6) });
    }
    // n1 and n2 run two items each, n3 runs four online requests: two more than the endpoint has slots.
    for (const char* name : { "n1", "n2" }) {
        for (uint64_t n = 1; n <= 2; ++n)
            nodes[name]->submit(BatchWork { n, "lm", clock.now() + std::chrono::seconds { 9 }, {} });
        CHECK(nodes[name]->poll(clock.now()).size() == 2);
    }
    const uint32_t key = SlotPeers::endpointKey("a");
    nodes["n1"]->setPeerUse("n2", { "z1", { { key, { 0, 2 } } } }, clock.now());
    nodes["n1"]->setPeerUse("n3", { "z1", { { key, { 4, 0 } } } }, clock.now());
    nodes["n2"]->setPeerUse("n1", { "z1", { { key, { 0, 2 } } } }, clock.now());
    nodes["n2"]->setPeerUse("n3", { "z1", { { key, { 4, 0 } } } }, clock.now());
    CHECK(count(nodes["n1"]->poll(clock.now()), Kind::Yield) + count(nodes["n2"]->poll(clock.now()), Kind::Yield) == 2);
}

// Guards against requests that queue at an endpoint which reports that it is full while reports of peers are delayed.
TEST_CASE("work that only the endpoint has reported counts for a short time")
{
    Fixture fixture;
    fixture.scheduler.setEndpoints({ makeEndpoint("a"), makeEndpoint("b", "z3") });
    fixture.scheduler.observe("a", { 2, 1, 100 }, fixture.clock.now());
    fixture.submitOnline();
    CHECK(fixture.poll()[0].endpoint == "b");
    fixture.clock.advance(Milliseconds { 200 });
    fixture.submitOnline();
    CHECK(fixture.poll()[0].endpoint == "a");
}

// Guards against traffic over the billed link between regions while the local region has free slots.
TEST_CASE("work goes to the local region first and to others when that is full")
{
    Fixture fixture;
    fixture.scheduler.setEndpoints({ makeEndpoint("far", "z3", 8), makeEndpoint("near", "z2", 2) });
    for (int n = 0; n < 3; ++n)
        fixture.submitOnline();
    std::map<std::string, int> starts;
    for (const SlotDecision& it : fixture.poll())
        ++starts[it.endpoint];
    CHECK(starts["near"] == 2);
    CHECK(starts["far"] == 1);
}

// Guards against a request that stays queued although it cannot be served in time.
TEST_CASE("a request that cannot start in time is refused immediately with a retry delay")
{
    Fixture fixture;
    fixture.scheduler.setEndpoints({ makeEndpoint("a") });
    fixture.setPeer("n2", { 2, 0 }, "a", 4);
    const uint64_t first = fixture.submitOnline();
    const auto decisions = fixture.poll();
    REQUIRE(decisions.size() == 1);
    CHECK(decisions[0].kind == Kind::Refuse);
    CHECK(decisions[0].work == first);
    CHECK(decisions[0].retryAfter > Milliseconds { 0 });

    // For a caller that will not retry, a late response is better than none.
    fixture.submitOnline(Milliseconds { 200 }, true);
    CHECK(fixture.poll().empty());
    CHECK(fixture.scheduler.waitingOnline() == 1);
}

// Guards against refused callers that all retry at the same time.
TEST_CASE("the retry delays of refused callers are spread over time")
{
    Fixture fixture;
    fixture.scheduler.setEndpoints({ makeEndpoint("a") });
    fixture.setPeer("n2", { 2, 0 }, "a", 4);
    std::set<Milliseconds> delays;
    for (int n = 0; n < 20; ++n)
        fixture.submitOnline();
    for (const SlotDecision& it : fixture.poll())
        delays.insert(it.retryAfter);
    CHECK(delays.size() > 10);
}

// Guards against late requests that delay all others until those are late too.
TEST_CASE("requests that can be on time are served before late ones")
{
    Fixture fixture;
    fixture.scheduler.setEndpoints({ makeEndpoint("a", "z1", 1) });
    fixture.setPeer("n2", { 1, 0 });
    fixture.submitOnline(Milliseconds { 100 }, true);
    CHECK(fixture.poll().empty());
    fixture.clock.advance(Milliseconds { 300 });
    const uint64_t inTime = fixture.submitOnline(Milliseconds { 2'000 }, true);
    fixture.setPeer("n2", { 0, 0 });
    const auto decisions = fixture.poll();
    REQUIRE(decisions.size() == 1);
    CHECK(decisions[0].work == inTime);
}

// Guards against requests to an endpoint that keeps failing, and against an endpoint that is never probed again.
TEST_CASE("an endpoint that failed is avoided, then probed with one request, then used again")
{
    Fixture fixture;
    fixture.scheduler.setEndpoints({ makeEndpoint("a", "z1", 8), makeEndpoint("b", "z3", 8) });
    const uint64_t work = fixture.submitOnline();
    CHECK(fixture.poll()[0].endpoint == "a");
    fixture.scheduler.finish(work, EndpointOutcome::Failed, fixture.clock.now());
    fixture.submitOnline();
    CHECK(fixture.poll()[0].endpoint == "b");
    fixture.clock.advance(Milliseconds { 300 });
    const uint64_t probe = fixture.submitOnline();
    fixture.submitOnline();
    const auto decisions = fixture.poll();
    REQUIRE(decisions.size() == 2);
    CHECK(decisions[0].endpoint == "a");
    CHECK(decisions[1].endpoint == "b");
    fixture.scheduler.finish(probe, EndpointOutcome::Answered, fixture.clock.now());
    fixture.submitOnline();
    fixture.submitOnline();
    for (const SlotDecision& it : fixture.poll())
        CHECK(it.endpoint == "a");
}

// Guards against items that use the last slot of an endpoint, so that each online request has to wait for a yield.
TEST_CASE("items leave a slot free at endpoints with several slots")
{
    Fixture fixture;
    fixture.scheduler.setEndpoints({ makeEndpoint("a", "z1", 4) });
    for (int n = 0; n < 6; ++n)
        fixture.submitBatch();
    CHECK(count(fixture.poll(), Kind::Start) == 3);
    CHECK(fixture.scheduler.waitingBatch() == 3);
}

// Guards against items that run before those of a more urgent job.
TEST_CASE("the items that are due first run first")
{
    Fixture fixture;
    fixture.scheduler.setEndpoints({ makeEndpoint("a", "z1", 1) });
    fixture.submitBatch(std::chrono::seconds { 18 });
    const uint64_t urgent = fixture.submitBatch(std::chrono::seconds { 5 });
    const auto decisions = fixture.poll();
    REQUIRE(decisions.size() == 1);
    CHECK(decisions[0].work == urgent);
}

// Guards against items that are all late when there are more items than slots.
TEST_CASE("an item that can no longer be on time waits behind those that can, and yields first")
{
    Fixture fixture;
    fixture.scheduler.setEndpoints({ makeEndpoint("a", "z1", 1) });
    const uint64_t sample = fixture.submitBatch();
    fixture.poll();
    fixture.clock.advance(std::chrono::seconds { 5 });
    fixture.scheduler.finish(sample, EndpointOutcome::Answered, fixture.clock.now());
    // An item takes 5 s, so one that is due in 4 s or less cannot be on time unless most of it has run already.
    fixture.submitBatch(std::chrono::seconds { 4 });
    const uint64_t feasible = fixture.submitBatch(std::chrono::seconds { 7 });
    auto decisions = fixture.poll();
    REQUIRE(decisions.size() == 1);
    CHECK(decisions[0].work == feasible);
    fixture.scheduler.finish(feasible, EndpointOutcome::Cancelled, fixture.clock.now());

    fixture.scheduler.submit(BatchWork {
        ++fixture.lastWork, "lm", fixture.clock.now() + std::chrono::seconds { 3 }, {}, std::chrono::seconds { 3 } });
    decisions = fixture.poll();
    REQUIRE(decisions.size() == 1);
    CHECK(decisions[0].work == fixture.lastWork);
}

// Guards against new work at removed endpoints, and against losing count of the work that still runs there.
TEST_CASE("a removed endpoint is given no new work, and its running work ends as usual")
{
    Fixture fixture;
    fixture.scheduler.setEndpoints({ makeEndpoint("a") });
    const uint64_t work = fixture.submitOnline();
    fixture.poll();
    fixture.scheduler.setEndpoints({});
    fixture.submitOnline(std::chrono::seconds { 3 });
    CHECK(count(fixture.poll(), Kind::Start) == 0);
    CHECK(fixture.scheduler.ownUse().size() == 1);
    fixture.scheduler.finish(work, EndpointOutcome::Answered, fixture.clock.now());
    CHECK(fixture.scheduler.ownUse().empty());
}

// Load, from the co-operative's load profile: peaks of 154 streams/s for 2.4 s, then 32 streams/s for 3.4 s, with
// items always queued. Guards against online requests that wait for items when a peak begins, and against slots that
// stay empty between the peaks. Target: 95 % of the online requests on time, and items in at least 0.85 of the slot
// time that online requests leave.
TEST_CASE("12 nodes serve load peaks on time and fill the time between them with items")
{
    SlotSimulation::Options options;
    options.seed = GENERATE(1, 2, 3);
    SlotSimulation simulation(options);
    simulation.run(Milliseconds { 3'400 }, 32, 8);
    simulation.resetTotals();
    Milliseconds duration { 0 };
    for (int n = 0; n < 3; ++n) {
        simulation.run(Milliseconds { 2'400 }, 154, 8);
        simulation.run(Milliseconds { 3'400 }, 32, 8);
        duration += Milliseconds { 5'800 };
    }
    const SlotSimulation::Totals& totals = simulation.totals();
    INFO("on time " << totals.onlineOnTime << " of " << totals.onlineArrivals << ", late " << totals.onlineLate
                    << ", refused " << totals.onlineRefused << ", longest wait " << totals.longestOnlineWait.count()
                    << " ms, yields " << totals.yields);
    CHECK(totals.onlineOnTime >= totals.onlineArrivals * 95 / 100);
    const double all = static_cast<double>(duration.count()) * options.endpoints * options.slotCount;
    const double online = static_cast<double>(totals.onlineArrivals) * options.onlineHold.count();
    const double share = static_cast<double>(totals.batchSlotTime.count()) / (all - online);
    INFO("share of the slot time left by online requests: " << share);
    CHECK(share >= 0.85);
}

// Load: 1.5 times as many streams as the endpoints can serve, for 4 s. Guards against a queue in which all requests are
// late: served requests must be on time, and the others must be refused immediately.
TEST_CASE("under overload the endpoints stay busy with requests that are on time")
{
    SlotSimulation::Options options;
    options.seed = GENERATE(1, 2, 3);
    SlotSimulation simulation(options);
    simulation.run(Milliseconds { 1'000 }, 100, 0);
    simulation.resetTotals();
    simulation.run(Milliseconds { 4'000 }, 290, 0);
    const SlotSimulation::Totals& totals = simulation.totals();
    INFO("on time " << totals.onlineOnTime << " of " << totals.onlineArrivals << ", late " << totals.onlineLate
                    << ", refused " << totals.onlineRefused);
    const double capacity = 4'000.0 / options.onlineHold.count() * options.endpoints * options.slotCount;
    CHECK(totals.onlineOnTime >= 0.85 * capacity);
    CHECK(totals.onlineLate <= totals.onlineArrivals / 20);
}

// Load: the peaks of the load profile, with a third of the endpoints lost and more items than there are slots for.
// Guards against items that are all late: 95 % of the completed items must be on time.
TEST_CASE("with more items than slots, most completed items are on time")
{
    SlotSimulation::Options options;
    options.endpoints = 12;
    options.seed = GENERATE(1, 2, 3);
    SlotSimulation simulation(options);
    for (int n = 0; n < 12; ++n) {
        simulation.runWithItems(Milliseconds { 2'400 }, 115, 18);
        simulation.runWithItems(Milliseconds { 3'400 }, 24, 18);
    }
    const SlotSimulation::Totals& totals = simulation.totals();
    INFO("items on time " << totals.itemsOnTime << ", late " << totals.itemsLate);
    CHECK(totals.itemsLate * 20 <= totals.itemsOnTime);
}

// Load, from the load profile of the larger deployment: 70 nodes in six failure domains with 89 endpoints, 880
// streams/s at peak (760 here) and 180 streams/s between the peaks, with items always queued. Guards against nodes that
// start items on the same slot before they receive each other's reports: such a start costs a connection and the
// prefill of a prompt without any progress. Target: 90 % of the starts of items get a slot, and 95 % of the online
// requests are on time while there are enough slots for them.
TEST_CASE("70 nodes do not claim the same slots for their items")
{
    SlotSimulation::Options options;
    options.nodes = 70;
    options.endpoints = 89;
    options.slotCount = 7;
    options.domains = 6;
    options.domainsPerRegion = 3;
    options.onlineHold = Milliseconds { 700 };
    options.seed = GENERATE(1, 2);
    SlotSimulation simulation(options);
    simulation.run(Milliseconds { 3'400 }, 180, 8);
    simulation.resetTotals();
    simulation.run(Milliseconds { 2'400 }, 760, 8);
    simulation.run(Milliseconds { 3'400 }, 180, 8);
    const SlotSimulation::Totals& totals = simulation.totals();
    INFO("on time " << totals.onlineOnTime << " of " << totals.onlineArrivals << ", late " << totals.onlineLate
                    << ", refused " << totals.onlineRefused << ", yields " << totals.yields << ", wasted starts "
                    << totals.wastedStarts << " of " << totals.itemStarts << ", datagrams per node and second "
                    << totals.datagrams * 1000 / options.nodes / 5'800);
    CHECK(totals.wastedStarts * 10 <= totals.itemStarts);
    CHECK(totals.onlineOnTime >= totals.onlineArrivals * 95 / 100);
    CHECK(totals.batchSlotTime.count() > 0);
}

// Guards against requests that wait behind a younger one: only a request that has waited for a report from there may
// use an endpoint of another failure domain.
TEST_CASE("a request that has waited long enough uses another failure domain although a younger one in front may not")
{
    Fixture fixture;
    fixture.scheduler.setEndpoints({ makeEndpoint("near", "z1", 1), makeEndpoint("far", "z2", 3) });
    // More than half of the far endpoint is in use.
    fixture.setPeer("n2", { 2, 0 }, "far");
    fixture.submitOnline();
    CHECK(count(fixture.poll(), Kind::Start) == 1);
    const uint64_t old = fixture.submitOnline(Milliseconds { 20 });
    fixture.poll();
    // The old request can no longer be on time, so it is ordered behind the young one.
    fixture.clock.advance(Milliseconds { 50 });
    fixture.submitOnline(Milliseconds { 200 });
    const auto decisions = fixture.poll();
    const auto start = std::ranges::find(decisions, Kind::Start, &SlotDecision::kind);
    REQUIRE(start != decisions.end());
    CHECK(start->work == old);
    CHECK(start->endpoint == "far");
}

// Guards against work for which no service is known and that waits in the queue for ever.
TEST_CASE("work without a service is refused")
{
    Fixture fixture;
    fixture.scheduler.setEndpoints({ makeEndpoint("a") });
    const MonotonicTime now = fixture.clock.now();
    fixture.scheduler.submit(
        OnlineWork { 1, "", 0, now + Milliseconds { 200 }, now + std::chrono::seconds { 5 }, true, {} }, now);
    fixture.scheduler.submit(BatchWork { 2, "", now + std::chrono::seconds { 5 }, {} });
    const auto decisions = fixture.poll();
    CHECK(count(decisions, Kind::Refuse) == 2);
    CHECK(decisions.size() == 2);
}

// Guards against services with many slots that seem to have few.
TEST_CASE("the slots of a service are summed up without overflow")
{
    constexpr uint64_t most = std::numeric_limits<uint32_t>::max();
    ServiceCapacity capacity;
    for (int n = 0; n < 3; ++n)
        capacity.addEndpoint("lm", most, true);
    CHECK(capacity.domainSlots("lm") == 3 * most);
    CHECK(capacity.usableSlots("lm") == Approx(3.0 * most));
}

// Guards against an endpoint that seems empty because the load that it reports overflows.
TEST_CASE("no online work starts at an endpoint that reports an excessive load")
{
    const auto load = GENERATE(ObservedLoad { 4'294'967'295, 1, 100 }, ObservedLoad { 4'294'967'295, 0, 100 });
    Fixture fixture;
    fixture.scheduler.setEndpoints({ makeEndpoint("a") });
    fixture.scheduler.observe("a", load, fixture.clock.now());
    fixture.setPeer("n2", { 1, 0 });
    fixture.clock.advance(Milliseconds { 60 });
    fixture.submitOnline();
    CHECK(count(fixture.poll(), Kind::Start) == 0);
}

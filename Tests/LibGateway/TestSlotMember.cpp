#include <LibGateway/SlotMember.h>

#include <LibCore/SeededRandom.h>
#include <Tests/Support/SimulatedClock.h>
#include <catch2/catch.hpp>

using namespace Chicorydock;
using Kind = SlotDecision::Kind;

namespace {

/// A node that can be member and coordinator.
struct Node {
    SeededRandom random { 1 };
    SlotScheduler scheduler;
    SlotCoordinator coordinator { scheduler };
    SlotMember member;

    explicit Node(const std::string& name, uint32_t slotCount = 1)
        : scheduler({ name, "z1", { { "z1", "r1" } } }, random)
        , member(name, coordinator)
    {
        scheduler.setEndpoints({ { "e", "10.0.0.1:80", "lm", "z1", slotCount, false, 1 } });
    }

    uint32_t usedSlots() const
    {
        uint32_t used = 0;
        for (const auto& [endpoint, use] : scheduler.ownUse())
            used += use.online + use.batch;
        return used;
    }
};

/// Two members `a` and `b`, which use `c` as coordinator and `d` as the second choice.
struct Fixture {
    SimulatedClock clock;
    std::map<std::string, std::unique_ptr<Node>> nodes;
    uint64_t lastWork { 0 };

    explicit Fixture(uint32_t slotCount = 1)
    {
        for (const char* it : { "a", "b", "c", "d" })
            nodes[it] = std::make_unique<Node>(it, slotCount);
        for (const char* it : { "a", "b" })
            at(it).member.setCandidates({ "c", "d" }, clock.now());
    }

    Node& at(const std::string& name) { return *nodes.at(name); }

    uint64_t submitOnline(const std::string& node)
    {
        const MonotonicTime now = clock.now();
        at(node).member.submit(
            OnlineWork { ++lastWork, "lm", 0, now + Milliseconds { 200 }, now + std::chrono::seconds { 5 } }, now);
        return lastWork;
    }

    uint64_t submitItem(const std::string& node)
    {
        at(node).member.submit(BatchWork { ++lastWork, "lm", clock.now() + std::chrono::seconds { 18 }, {} });
        return lastWork;
    }

    std::vector<SlotMember::OutgoingReport> takeReports(const std::string& node)
    {
        at(node).member.checkCoordinator(clock.now());
        return at(node).member.takeReports(clock.now());
    }

    /// Delivers the reports that are due and returns the replies to the node.
    std::vector<std::pair<std::string, SlotReply>> report(const std::string& node)
    {
        std::vector<std::pair<std::string, SlotReply>> replies;
        for (const SlotMember::OutgoingReport& it : takeReports(node)) {
            SlotCoordinator& coordinator = at(it.coordinator).coordinator;
            coordinator.receive(node, it.report, clock.now());
            coordinator.poll(clock.now());
            for (auto& [to, reply] : coordinator.takeReplies(clock.now())) {
                if (to == node)
                    replies.emplace_back(it.coordinator, reply);
            }
        }
        return replies;
    }

    /// Exchanges messages without loss and returns the decisions about the work of the node.
    std::vector<SlotDecision> exchange(const std::string& node)
    {
        clock.advance(Milliseconds { 10 });
        for (const auto& [from, reply] : report(node))
            at(node).member.receive(from, reply, clock.now());
        return at(node).member.poll(clock.now());
    }

    /// Exchanges messages until there is a decision about the work of the node, for up to a second.
    std::vector<SlotDecision> exchangeUntilDecision(const std::string& node)
    {
        std::vector<SlotDecision> decisions;
        for (int n = 0; n < 100 && decisions.empty(); ++n)
            decisions = exchange(node);
        return decisions;
    }
};

}

// Load: more items than a report holds that cannot start, because their service has no endpoint, their version is full
// or online requests wait before them. Guards against items behind them that are never started although endpoints that
// may run them are idle (LOST, review/3).
TEST_CASE("items that cannot start keep no items of another kind from starting")
{
    Fixture fixture(4);
    const bool hasCoordinator = GENERATE(true, false);
    if (!hasCoordinator)
        fixture.at("a").member.setCandidates({}, fixture.clock.now());
    SlotMember& member = fixture.at("a").member;
    const MonotonicTime dueAt = fixture.clock.now() + std::chrono::seconds { 18 };
    const int kind = GENERATE(0, 1, 2);
    for (int n = 0; n < 60; ++n) {
        if (kind == 2)
            member.submit(OnlineWork { .id = ++fixture.lastWork,
                              .service = "lm",
                              .startBy = dueAt,
                              .deadline = dueAt,
                              .isLastAttempt = true,
                              .excluded = { "e" } },
                fixture.clock.now());
        else
            member.submit(BatchWork { .id = ++fixture.lastWork,
                .service = kind == 0 ? "lost" : "lm",
                .dueAt = dueAt,
                .excluded = kind == 0 ? std::vector<std::string>() : std::vector<std::string> { "e" },
                .softwareVersion = kind == 0 ? std::nullopt : std::optional<std::string>("") });
    }
    // The coordinator acknowledges those that it knows.
    CHECK(fixture.exchangeUntilDecision("a").empty());
    const uint64_t item = fixture.submitItem("a");
    std::vector<SlotDecision> decisions;
    for (int n = 0; n < 100 && decisions.empty(); ++n) {
        decisions = fixture.exchange("a");
        std::erase_if(decisions, [](const SlotDecision& it) { return it.kind != Kind::Start; });
    }
    REQUIRE(decisions.size() == 1);
    CHECK(decisions[0].work == item);
}

// Guards against reports that grow with the items that wait at a node.
TEST_CASE("a report holds a limited number of items")
{
    Fixture fixture;
    for (int n = 0; n < 500; ++n)
        fixture.submitItem("a");
    const auto reports = fixture.takeReports("a");
    REQUIRE(reports.size() == 1);
    CHECK(reports[0].report.items.size() == 24);
}

// Guards against two nodes that use the same slot, and against a slot that stays taken after its work has ended.
TEST_CASE("a slot is granted to one member at a time")
{
    Fixture fixture;
    const uint64_t first = fixture.submitOnline("a");
    auto decisions = fixture.exchange("a");
    REQUIRE(decisions.size() == 1);
    CHECK(decisions[0].kind == Kind::Start);
    CHECK(decisions[0].work == first);
    CHECK(decisions[0].endpoint == "e");
    fixture.submitOnline("b");
    CHECK(fixture.exchange("b").empty());
    fixture.at("a").member.finish(first, EndpointOutcome::Answered, fixture.clock.now());
    fixture.exchange("a");
    // The coordinator decides when the report of `a` arrives; its reply to `b` is not delivered here but sent again.
    decisions = fixture.exchangeUntilDecision("b");
    REQUIRE(decisions.size() == 1);
    CHECK(decisions[0].kind == Kind::Start);
}

// Guards against work whose start, or whose preemption after a lost start, the member never learns of.
TEST_CASE("decisions are repeated until the member has acknowledged them")
{
    Fixture fixture(4);
    const uint64_t item = fixture.submitItem("a");
    fixture.clock.advance(Milliseconds { 10 });
    // This reply with the start of the item is lost.
    REQUIRE(fixture.report("a").size() == 1);
    CHECK(fixture.at("c").usedSlots() == 1);
    const bool isPreempted = GENERATE(true, false);
    if (isPreempted) {
        std::vector<uint64_t> requests;
        for (int n = 0; n < 4; ++n)
            requests.push_back(fixture.submitOnline("b"));
        CHECK(fixture.exchange("b").size() == 4);
        for (const uint64_t it : requests)
            fixture.at("b").member.finish(it, EndpointOutcome::Answered, fixture.clock.now());
        fixture.exchange("b");
    }
    const std::vector<SlotDecision> decisions = fixture.exchangeUntilDecision("a");
    REQUIRE(decisions.size() == 1);
    CHECK(decisions[0].kind == Kind::Start);
    CHECK(decisions[0].work == item);
    fixture.exchange("a");
    CHECK(fixture.at("c").usedSlots() == 1);
}

// Guards against a slot that stays allocated because the caller left before the grant arrived.
TEST_CASE("work that was withdrawn while its start was in transit frees its slot")
{
    Fixture fixture;
    const uint64_t work = fixture.submitOnline("a");
    fixture.clock.advance(Milliseconds { 10 });
    const auto replies = fixture.report("a");
    REQUIRE(replies.size() == 1);
    fixture.at("a").member.withdraw(work);
    fixture.at("a").member.receive(replies[0].first, replies[0].second, fixture.clock.now());
    CHECK(fixture.exchange("a").empty());
    CHECK(fixture.at("c").usedSlots() == 0);
}

// Guards against requests that wait for a coordinator that is dead or out of reach.
TEST_CASE("a silent coordinator is replaced by the next candidate, and in the end by the node itself")
{
    Fixture fixture;
    fixture.submitOnline("a");
    const MonotonicTime start = fixture.clock.now();
    std::map<std::string, MonotonicTime> asked;
    while (!fixture.at("a").member.isIndependent() && fixture.clock.now() < start + std::chrono::seconds { 5 }) {
        fixture.clock.advance(Milliseconds { 10 });
        for (const SlotMember::OutgoingReport& it : fixture.takeReports("a"))
            asked.try_emplace(it.coordinator, fixture.clock.now());
    }
    CHECK(asked.size() == 2);
    CHECK(asked["d"] - start <= Milliseconds { 300 });
    CHECK(fixture.clock.now() - start <= Milliseconds { 600 });
    const auto decisions = fixture.at("a").member.poll(fixture.clock.now());
    REQUIRE(decisions.size() == 1);
    CHECK(decisions[0].kind == Kind::Start);
    // Later the preferred coordinator is tried again, and learns of the slot in use.
    fixture.clock.advance(Milliseconds { 3'100 });
    CHECK(fixture.exchange("a").empty());
    CHECK(fixture.at("a").member.coordinator() == "c");
    CHECK(fixture.at("c").usedSlots() == 1);
    CHECK(fixture.at("a").usedSlots() == 0);
}

// Guards against running work that is stopped or counted twice when its node was only silent for a while, or when the
// coordinator has forgotten it.
TEST_CASE("a member that was silent for a while keeps its running work")
{
    Fixture fixture(2);
    const uint64_t running = fixture.submitOnline("a");
    REQUIRE(fixture.exchange("a").size() == 1);
    fixture.clock.advance(std::chrono::seconds { 2 });
    fixture.at("c").coordinator.poll(fixture.clock.now());
    CHECK(fixture.at("c").usedSlots() == 0);
    for (int n = 0; n < 20; ++n)
        CHECK(fixture.exchange("a").empty());
    CHECK(fixture.at("c").usedSlots() == 1);
    fixture.at("a").member.finish(running, EndpointOutcome::Answered, fixture.clock.now());
    fixture.exchange("a");
    CHECK(fixture.at("c").usedSlots() == 0);
}

// Guards against a delayed copy of an old message that brings back work that has ended.
TEST_CASE("repeated and overtaken messages change nothing")
{
    Fixture fixture;
    const uint64_t work = fixture.submitOnline("a");
    fixture.clock.advance(Milliseconds { 10 });
    const auto reports = fixture.takeReports("a");
    REQUIRE(reports.size() == 1);
    SlotCoordinator& coordinator = fixture.at("c").coordinator;
    coordinator.receive("a", reports[0].report, fixture.clock.now());
    coordinator.poll(fixture.clock.now());
    const auto replies = coordinator.takeReplies(fixture.clock.now());
    REQUIRE(replies.size() == 1);
    SlotMember& member = fixture.at("a").member;
    member.receive("c", replies[0].second, fixture.clock.now());
    CHECK(member.poll(fixture.clock.now()).size() == 1);
    member.finish(work, EndpointOutcome::Answered, fixture.clock.now());
    fixture.exchange("a");
    coordinator.receive("a", reports[0].report, fixture.clock.now());
    member.receive("c", replies[0].second, fixture.clock.now());
    CHECK(fixture.exchange("a").empty());
    CHECK(fixture.at("c").usedSlots() == 0);
}

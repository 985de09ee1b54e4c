#include <LibGateway/SlotExchange.h>

#include <LibCore/SeededRandom.h>
#include <LibGateway/SlotBroker.h>
#include <Tests/Support/SimulatedClock.h>
#include <Tests/Support/WaitFor.h>
#include <catch2/catch.hpp>

using namespace Chicorydock;

namespace {

class RecordingClient final : public SlotClient {
public:
    void onSlotGranted(const std::string& endpoint, const SlotView&) override { grants.push_back(endpoint); }
    void onRefused(RefusalReason, Milliseconds, const SlotView&) override { ++refusals; }
    void onYield(const SlotView&) override { ++yields; }

    std::vector<std::string> grants;
    int refusals { 0 };
    int yields { 0 };
};

/// A node whose messages are kept for the test.
struct Node {
    SeededRandom random { 1 };
    SlotScheduler scheduler;
    SlotCoordinator coordinator { scheduler };
    SlotMember member;
    SlotExchange exchange;
    SlotBroker broker;
    std::vector<SlotReport> reports;
    std::vector<SlotReply> replies;

    Node(const std::string& name, const Clock& clock)
        : scheduler({ name, "z1", { { "z1", "r1" } } }, random)
        , member(name, coordinator)
        , exchange(name, member, coordinator, clock,
              { [this](const std::string&, const SlotReport& it) { reports.push_back(it); },
                  [this](const std::string&, const SlotReply& it) { replies.push_back(it); },
                  [this] { broker.schedulePoll(); }, [] {} })
        , broker(member, clock, [this] { exchange.schedule(); })
    {
        broker.setEndpoints({ { "e", "10.0.0.1:80", "lm", "z1", 2, false, 1 } });
    }
};

OnlineWork makeWork(const Clock& clock)
{
    OnlineWork work;
    work.service = "lm";
    work.startBy = clock.now() + Milliseconds { 200 };
    work.deadline = clock.now() + std::chrono::seconds { 5 };
    return work;
}

}

// Guards against requests that wait for the next periodic report: with a clock that stands still, only the submission
// itself can have caused the report, the grant and the report of the end.
TEST_CASE("a request is reported to the coordinator at once, and so are its end and its withdrawal")
{
    SimulatedClock clock;
    Node member("a", clock);
    Node coordinator("c", clock);
    member.member.setCandidates({ "c" }, clock.now());
    clock.advance(Milliseconds { 10 });
    member.exchange.schedule();
    REQUIRE(waitFor([&] { return member.reports.size() == 1; }));

    clock.advance(Milliseconds { 10 });
    RecordingClient client;
    const uint64_t work = member.broker.submit(makeWork(clock), client);
    REQUIRE(waitFor([&] { return member.reports.size() == 2; }));
    CHECK(member.reports[1].requests.size() == 1);
    coordinator.exchange.receive("a", member.reports[1]);
    REQUIRE(waitFor([&] { return coordinator.replies.size() == 1; }));
    member.exchange.receive("c", coordinator.replies[0]);
    REQUIRE(waitFor([&] { return client.grants.size() == 1; }));

    clock.advance(Milliseconds { 10 });
    member.broker.finish(work, EndpointOutcome::Answered);
    REQUIRE(waitFor([&] { return member.reports.size() == 3; }));
    CHECK(member.reports[2].finished.size() == 1);

    clock.advance(Milliseconds { 10 });
    const uint64_t abandoned = member.broker.submit(makeWork(clock), client);
    REQUIRE(waitFor([&] { return member.reports.size() == 4; }));
    clock.advance(Milliseconds { 10 });
    member.broker.withdraw(abandoned);
    REQUIRE(waitFor([&] { return member.reports.size() == 5; }));
    CHECK(member.reports[4].requests.empty());
}

// Guards against a node that does not serve itself while it allocates its own slots.
TEST_CASE("a node without a coordinator grants its own requests without any message")
{
    SimulatedClock clock;
    Node node("a", clock);
    RecordingClient client;
    node.broker.submit(makeWork(clock), client);
    REQUIRE(waitFor([&] { return client.grants.size() == 1; }));
    CHECK(node.reports.empty());
    CHECK(node.replies.empty());
}

#include <LibCore/SeededRandom.h>
#include <LibGateway/WorkspaceQuota.h>
#include <Tests/Support/SimulatedClock.h>

#include <catch2/catch.hpp>

#include <optional>
#include <vector>

using namespace Chicorydock;
using std::chrono::seconds;

namespace {

constexpr Milliseconds lifetime { 1'200 };

/// An allocator that hears one other, `p`.
struct Node {
    explicit Node(const std::vector<WorkspaceLimits>& limits, Milliseconds age = seconds { 60 })
    {
        quota.setWorkspaces(limits);
        quota.setKnownNodes(2);
        pass(age);
    }

    void pass(Milliseconds time)
    {
        const MonotonicTime end = clock.now() + time;
        while (clock.now() < end) {
            clock.advance(Milliseconds { 100 });
            if (isHearing)
                hear();
            quota.update(clock.now());
        }
    }

    void hear()
    {
        ReportedQuotas all;
        if (reported)
            all[WorkspaceQuota::key("w")] = *reported;
        quota.receive("p", nodes, lifetime, all, clock.now());
    }

    /// Returns how many of the requests may run.
    size_t charge(size_t requests)
    {
        size_t charged = 0;
        for (size_t n = 0; n < requests; ++n)
            charged += quota.charge(++lastWork, "w", false, clock.now()) ? 0 : 1;
        return charged;
    }

    SeededRandom random { 1 };
    SimulatedClock clock;
    WorkspaceQuota quota { random };
    uint64_t lastWork { 0 };
    bool isHearing { false };
    uint32_t nodes { 1 };
    /// What the other one reports of the workspace.
    std::optional<ReportedQuota> reported;
};

size_t roomAfterPeerCharged(bool isSilentOnce)
{
    Node node({ { "w", 10, 40 } });
    node.isHearing = true;
    node.pass(seconds { 2 });
    node.reported = ReportedQuota { 25, -2 };
    node.pass(Milliseconds { 200 });
    node.isHearing = !isSilentOnce;
    node.pass(Milliseconds { 900 });
    node.isHearing = true;
    node.pass(Milliseconds { 500 });
    return node.charge(1);
}

}

// Guards against charges of a process that has just started which are drawn again when it was silent for a moment.
TEST_CASE("charges of a starting allocator are drawn once")
{
    CHECK(roomAfterPeerCharged(true) == roomAfterPeerCharged(false));
}

// Guards against a workspace with a low rate that is shut out for minutes by a debt.
TEST_CASE("a debt is repaid within a window")
{
    Node node({ { "w", 0.2, 2 } });
    node.isHearing = true;
    node.reported = ReportedQuota { 0, 1 };
    node.pass(seconds { 2 });
    node.reported = ReportedQuota { 500'000, 1 };
    node.pass(Milliseconds { 300 });
    double waited = 0;
    while (node.charge(1) == 0 && waited < 600) {
        node.pass(seconds { 1 });
        waited += 1;
    }
    CHECK(waited <= 11);
}

// Guards against accepted requests without a floor of the level.
TEST_CASE("accepted requests leave no more debt than a window repays")
{
    Node node({ { "w", 4, 5 } });
    for (int n = 0; n < 500; ++n)
        node.quota.charge(++node.lastWork, "w", true, node.clock.now());
    double waited = 0;
    while (node.charge(1) == 0 && waited < 600) {
        node.pass(seconds { 1 });
        waited += 1;
    }
    CHECK(waited <= 6);
}

// Guards against charges from before a pause that are given back to the bucket that knows nothing of them.
TEST_CASE("refunds after a pause do not fill the bucket")
{
    const auto chargedAfterPause = [](bool isRefunded) {
        Node node({ { "w", 20, 200 } });
        node.isHearing = true;
        node.nodes = 89;
        node.quota.setKnownNodes(90);
        node.pass(seconds { 60 });
        node.charge(150);
        node.isHearing = false;
        node.clock.advance(seconds { 2 });
        node.quota.update(node.clock.now());
        for (uint64_t id = 1; isRefunded && id <= node.lastWork; ++id)
            node.quota.refund(id);
        return node.charge(1'000);
    };
    const size_t after = chargedAfterPause(true);
    const size_t fresh = chargedAfterPause(false);
    CHECK(after <= fresh + 1);
}

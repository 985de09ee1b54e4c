#include <LibCore/SystemClock.h>
#include <LibGateway/PeerGroup.h>

#include <Tests/Support/SimulatedClock.h>
#include <Tests/Support/WaitFor.h>
#include <catch2/catch.hpp>

using namespace Chicorydock;

namespace {

/// Returns a free UDP port of the loopback address.
uint16_t freePort()
{
    QUdpSocket socket;
    socket.bind(QHostAddress::LocalHost);
    return socket.localPort();
}

/// A node that stores the reports it receives.
struct PeerNode {
    std::string address;
    PeerReport ownReport;
    std::map<std::string, PeerReport> received;
    std::map<std::string, Milliseconds> lifetimes;
    std::vector<SlotReport> slotReports;
    std::vector<SlotReply> replies;
    PeerGroup group;

    PeerNode(
        const std::string& name, const std::string& domain, const Clock& clock, const std::string& usedAddress = {})
        : address(usedAddress.empty() ? "127.0.0.1:" + std::to_string(freePort()) : usedAddress)
        , group(
              { name, domain, address, { { "z1", "r1" }, { "z2", "r1" }, { "z3", "r2" } } }, clock,
              [this] { return ownReport; },
              [this](const PeerReport& report, Milliseconds lifetime) { receive(report, lifetime); })
    {
        group.start();
    }

    void receive(const PeerReport& report, Milliseconds lifetime)
    {
        received[report.node] = report;
        lifetimes[report.node] = lifetime;
        if (report.slotReport)
            slotReports.push_back(*report.slotReport);
        if (report.slotReply)
            replies.push_back(*report.slotReply);
    }
};

}

// Guards against nodes that do not discover each other when only one of them knows the other's address.
TEST_CASE("a node replies to the reports of an unknown node with its own")
{
    SystemClock clock;
    PeerNode first("n1", "z1", clock);
    PeerNode second("n2", "z3", clock);
    second.ownReport.waiting = 7;
    second.ownReport.isStoreReachable = true;
    second.ownReport.storeReachableFor = Milliseconds { 60'000 };
    first.group.addAddress("n2", second.address);
    REQUIRE(waitFor([&] { return first.group.isAlive("n2") && second.group.isAlive("n1"); }));
    CHECK(first.received["n2"].waiting == 7);
    CHECK(first.received["n2"].failureDomain == "z3");
    CHECK(first.group.canRunJobs("n2"));
    CHECK(first.group.nodesForJobs() == std::vector<std::string> { "n2" });
    CHECK_FALSE(second.group.canRunJobs("n1"));
    CHECK(first.group.storeAvailableSince() < clock.now() - Milliseconds { 30'000 });
    CHECK_FALSE(second.group.storeAvailableSince());

    // A node that has just lost the endpoints forwards nothing, and keeps its jobs for a while.
    second.ownReport.configurationVersion = 3;
    second.group.announce();
    CHECK(waitFor([&] { return first.group.relayPeers().size() == 1; }));
    second.ownReport.endpointsLostFor = Milliseconds { 1 };
    second.group.announce();
    CHECK(waitFor([&] { return first.group.relayPeers().empty(); }));
    CHECK(first.group.canRunJobs("n2"));
    second.ownReport.endpointsLostFor = jobEndpointLossTolerance;
    second.group.announce();
    CHECK(waitFor([&] { return !first.group.canRunJobs("n2"); }));
    second.ownReport.endpointsLostFor = {};

    // A change is reported without waiting for the next heartbeat.
    second.ownReport.isLeaving = true;
    second.group.scheduleReports();
    CHECK(waitFor([&] { return first.received["n2"].isLeaving; }));
    CHECK_FALSE(first.group.canRunJobs("n2"));
}

// Guards against a node that counts as alive although its reports have stopped or none was ever received.
TEST_CASE("a node without recent reports is not alive")
{
    SimulatedClock clock;
    PeerNode first("n1", "z1", clock);
    PeerNode second("n2", "z1", clock);
    CHECK_FALSE(first.group.isAlive("n2"));
    first.group.addAddress("n2", second.address);
    CHECK_FALSE(first.group.isAlive("n2"));
    second.group.addAddress("n1", first.address);
    REQUIRE(waitFor([&] {
        clock.advance(Milliseconds { 1 });
        return first.group.isAlive("n2");
    }));
    clock.advance(first.lifetimes["n2"] + Milliseconds { 1 });
    CHECK_FALSE(first.group.isAlive("n2"));
    CHECK_FALSE(first.group.canRunJobs("n2"));
}

// Guards against reports of slot use that grow with the square of the number of nodes: a node that does not allocate
// slots is sent signs of life and slot messages only.
TEST_CASE("changes of the slot use are sent to nodes that allocate slots")
{
    SystemClock clock;
    PeerNode first("n1", "z1", clock);
    PeerNode second("n2", "z1", clock);
    PeerNode third("n3", "z1", clock);
    first.group.setCoordinating(true);
    second.group.setCoordinating(true);
    first.group.addAddress("n2", second.address);
    first.group.addAddress("n3", third.address);
    REQUIRE(waitFor([&] {
        return first.group.domainPeers().size() == 2 && first.received["n2"].isCoordinating
            && second.group.isAlive("n1") && third.group.isAlive("n1");
    }));
    first.ownReport.waiting = 9;
    first.group.scheduleReports();
    const uint64_t before = third.received["n1"].sequence;
    REQUIRE(waitFor([&] { return second.received["n1"].waiting == 9; }));
    CHECK(third.received["n1"].sequence == before);

    first.group.send("n3", SlotReply { 4, 3, false, {} });
    REQUIRE(waitFor([&] { return third.received["n1"].slotReply.has_value(); }));
    CHECK(third.received["n1"].slotReply->sequence == 4);
    first.ownReport.isLeaving = true;
    first.group.announce();
    CHECK(waitFor([&] { return third.received["n1"].isLeaving && second.received["n1"].isLeaving; }));
    CHECK(third.group.domainPeers().empty());
}

// Guards against decisions about the work of a process that has ended, which its successor would take for its own.
TEST_CASE("a node that starts at the address of another one is given none of its slot messages")
{
    SystemClock clock;
    PeerNode coordinator("c", "z1", clock);
    auto predecessor = std::make_unique<PeerNode>("a.1", "z1", clock);
    const std::string address = predecessor->address;
    coordinator.group.addAddress("a.1", address);
    REQUIRE(waitFor([&] { return coordinator.group.isAlive("a.1") && predecessor->group.isAlive("c"); }));
    predecessor.reset();
    PeerNode successor("a.2", "z1", clock, address);
    successor.group.addAddress("c", coordinator.address);
    REQUIRE(waitFor([&] { return successor.group.isAlive("c") && coordinator.group.isAlive("a.2"); }));

    coordinator.group.send("a.1", SlotReply { 4, 3, false, {} });
    coordinator.group.send("a.1", SlotReport { .sequence = 4 });
    coordinator.group.send("a.2", SlotReply { 5, 3, false, {} });
    // Datagrams between two sockets of one machine keep their order.
    REQUIRE(waitFor([&] { return !successor.replies.empty() && successor.replies.back().sequence == 5; }));
    CHECK(successor.replies.size() == 1);
    CHECK(successor.slotReports.empty());
}

#include <LibGateway/SlotPeers.h>

#include <Tests/Support/SimulatedClock.h>
#include <catch2/catch.hpp>

using namespace Chicorydock;

namespace {

SlotPeers makePeers(const std::string& node, const std::string& domain)
{
    return SlotPeers({ node, domain, { { "z1", "r1" }, { "z2", "r1" }, { "z3", "r2" } } });
}

}

// Guards against sums that drift from the reports, so that slots stay taken or are granted twice.
TEST_CASE("the use of all peers is the sum of their latest reports")
{
    SimulatedClock clock;
    SlotPeers peers = makePeers("n1", "z1");
    const uint32_t key = SlotPeers::endpointKey("e");
    CHECK(peers.set("n2", { "z1", { { key, { 2, 1 } } }, 3 }, clock.now()) == PeerUse {});
    peers.set("n3", { "z2", { { key, { 1, 0 } } }, 4 }, clock.now());
    CHECK(peers.useOf(key) == SlotUse { 3, 1 });
    CHECK(peers.waiting() == 7);
    CHECK(peers.countAt(PeerDistance::FailureDomain) == 1);
    CHECK(peers.countAt(PeerDistance::Region) == 1);

    const uint64_t generation = peers.generation();
    peers.set("n2", { "z1", {}, 1 }, clock.now());
    CHECK(peers.useOf(key) == SlotUse { 1, 0 });
    CHECK(peers.waiting() == 5);
    CHECK(peers.generation() == generation);
    CHECK(peers.remove("n3")->waiting == 4);
    CHECK_FALSE(peers.remove("n3"));
    CHECK(peers.useOf(key) == SlotUse {});
    CHECK(peers.generation() != generation);
    clock.advance(std::chrono::seconds { 2 });
    CHECK(peers.silentPeers(clock.now()) == std::vector<std::string> { "n2" });
}

// Guards against nodes that disagree on the order in which they claim a slot.
TEST_CASE("all nodes agree on the order for an endpoint, those of its failure domain first")
{
    SimulatedClock clock;
    const std::map<std::string, std::string> nodes { { "a", "z1" }, { "b", "z1" }, { "c", "z2" }, { "d", "z3" } };
    std::map<uint32_t, std::string> order;
    for (const auto& [node, domain] : nodes) {
        SlotPeers peers = makePeers(node, domain);
        for (const auto& [other, otherDomain] : nodes) {
            if (other != node)
                peers.set(other, { otherDomain, {}, 0 }, clock.now());
        }
        const PrecedingNodes before = peers.precedingNodes("e", "z1");
        order[before.inDomain + before.elsewhere] = node;
    }
    REQUIRE(order.size() == 4);
    CHECK(nodes.at(order[0]) == "z1");
    CHECK(nodes.at(order[1]) == "z1");
}

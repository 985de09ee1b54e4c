#include <LibDispatch/Topology.h>

#include <catch2/catch.hpp>

#include <set>

using namespace Chicorydock;

namespace {

EndpointSet makeEndpoints(int count, const std::string& domain, const std::string& region)
{
    EndpointSet set;
    for (int n = 0; n < count; ++n) {
        const std::string id = domain + "-e" + std::to_string(n);
        set.endpoints[id] = { id, "127.0.0.1:1", "engine", region, domain, false };
    }
    return set;
}

std::vector<MemberUpdate> makeMembers(int count, const std::string& domain)
{
    std::vector<MemberUpdate> members;
    for (int n = 0; n < count; ++n)
        members.push_back({ domain + "-n" + std::to_string(n), {}, "r", domain, 1, MemberUpdate::State::Alive });
    return members;
}

}

// Guards against an endpoint that gets batch work from two nodes, or from none.
TEST_CASE("exactly one node owns the batch work of each endpoint")
{
    const EndpointSet set = makeEndpoints(30, "d", "r");
    const auto members = makeMembers(6, "d");
    std::multiset<std::string> owned;
    for (const MemberUpdate& member : members) {
        const NodeLocation self { member.nodeId, "r", "d" };
        const auto plan = planEndpoints(set, members, self).at("engine");
        for (const SchedulerEndpoint& endpoint : plan) {
            if (endpoint.ownsBatch)
                owned.insert(endpoint.id);
            const KnownEndpoint* known = set.find(endpoint.id);
            CHECK((batchOwner(*known, members, self) == self.id) == endpoint.ownsBatch);
        }
    }
    CHECK(owned.size() == set.endpoints.size());
    CHECK(std::set<std::string>(owned.begin(), owned.end()).size() == set.endpoints.size());
}

// Guards against state that grows with the product of nodes and endpoints.
TEST_CASE("each node uses a bounded subset that covers every endpoint")
{
    const EndpointSet set = makeEndpoints(678, "d", "r");
    const auto members = makeMembers(38, "d");
    std::set<std::string> covered;
    for (const MemberUpdate& member : members) {
        const auto plan = planEndpoints(set, members, { member.nodeId, "r", "d" }).at("engine");
        CHECK(plan.size() < 320);
        for (const SchedulerEndpoint& endpoint : plan)
            covered.insert(endpoint.id);
    }
    CHECK(covered.size() == set.endpoints.size());
}

// Guards against a node that owns batch work in a failure domain from which it may become disconnected.
TEST_CASE("endpoints of other failure domains are used only to spill over")
{
    EndpointSet set = makeEndpoints(2, "d", "r");
    set.endpoints.merge(makeEndpoints(10, "far", "s").endpoints);
    const auto plan = planEndpoints(set, {}, { "d-n0", "r", "d" }).at("engine");
    CHECK(plan.size() == 6);
    for (const SchedulerEndpoint& endpoint : plan) {
        CHECK(endpoint.isRemote == (endpoint.failureDomain == "far"));
        CHECK(endpoint.ownsBatch == (endpoint.failureDomain == "d"));
    }
}

// Guards against batch work that stays assigned to a leaving or dead node.
TEST_CASE("nodes that are leaving or dead own nothing")
{
    auto members = makeMembers(3, "d");
    members[0].state = MemberUpdate::State::Leaving;
    members[1].state = MemberUpdate::State::Dead;
    CHECK(activeNodesInDomain(members, { "d-n2", "r", "d" }, "d") == std::vector<std::string> { "d-n2" });
}

#include <LibRouting/PrefixKeys.h>
#include <LibRouting/Rendezvous.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>

using namespace Chicorydock;

namespace {

std::vector<std::string> names(const std::string& prefix, size_t count)
{
    std::vector<std::string> list;
    for (size_t n = 0; n < count; ++n)
        list.push_back(prefix + std::to_string(n));
    return list;
}

}

// Guards against ownership that moves between nodes which neither joined nor left; every move stops batch work.
TEST_CASE("a node that leaves hands over only its own keys")
{
    const std::vector<std::string> nodes = names("node", 10);
    std::vector<std::string> remaining = nodes;
    remaining.erase(remaining.begin() + 3);
    for (const std::string& key : names("endpoint", 200)) {
        const std::string owner = rendezvousOwner(key, nodes);
        if (owner != "node3")
            CHECK(rendezvousOwner(key, remaining) == owner);
    }
    CHECK(rendezvousOwner("endpoint0", {}).empty());
}

// Guards against an endpoint that no node uses and against a node with more endpoints than its state is sized for.
TEST_CASE("at scale every endpoint has twelve nodes and a node a few hundred endpoints")
{
    const std::vector<std::string> nodes = names("node", 40);
    const std::vector<std::string> endpoints = names("endpoint", 700);
    std::map<std::string, size_t> uses;
    for (const std::string& node : nodes) {
        const std::vector<std::string> subset = rendezvousSubset(node, nodes, endpoints);
        CHECK(subset.size() > 140);
        CHECK(subset.size() < 280);
        for (const std::string& endpoint : subset)
            ++uses[endpoint];
    }
    for (const std::string& endpoint : endpoints)
        CHECK(uses[endpoint] == defaultNodesPerEndpoint);
}

// Guards against a node without a choice of endpoints in a small failure domain.
TEST_CASE("a node uses the minimum number of endpoints if there are as many")
{
    const std::vector<std::string> nodes = names("node", 300);
    CHECK(rendezvousSubset("node7", nodes, names("endpoint", 100)).size() == defaultMinEndpointsPerNode);
    CHECK(rendezvousSubset("node7", nodes, names("endpoint", 5)).size() == 5);
}

// Guards against cached prefixes that are not found because a prompt with the same beginning has other keys.
TEST_CASE("prompts with a common beginning share the keys of the common prefixes")
{
    const std::string beginning(1024, 'a');
    const std::vector<uint64_t> first = prefixKeys("m", beginning + std::string(1024, 'b'));
    const std::vector<uint64_t> second = prefixKeys("m", beginning + std::string(1024, 'c'));
    REQUIRE(first.size() == 4);
    REQUIRE(second.size() == 4);
    CHECK(std::equal(first.begin(), first.begin() + 3, second.begin()));
    CHECK(first[3] != second[3]);
    CHECK(prefixKeys("other", beginning)[0] != first[0]);
    CHECK(prefixKeys("m", "short").empty());
}

// Guards against two nodes that take the same place in the order for a key.
TEST_CASE("the nodes rank in one order for a key, with the owner first")
{
    const std::vector<std::string> nodes = names("node", 20);
    for (const std::string& key : names("job", 20)) {
        std::vector<std::string> order(nodes.size());
        for (const std::string& it : nodes)
            order.at(rendezvousRank(key, it, nodes)) = it;
        CHECK(std::ranges::count(order, std::string()) == 0);
        CHECK(order.front() == rendezvousOwner(key, nodes));
        // The rank of a node does not depend on whether it is in the list itself.
        std::vector<std::string> others = nodes;
        std::erase(others, order[7]);
        CHECK(rendezvousRank(key, order[7], others) == 7);
    }
}

#include <LibGateway/CoordinatorChoice.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>

using namespace Chicorydock;

namespace {

std::vector<std::string> makeNodes(size_t count)
{
    std::vector<std::string> nodes;
    for (size_t n = 0; n < count; ++n)
        nodes.push_back("n" + std::to_string(n));
    return nodes;
}

std::vector<std::string> chooseFor(
    const std::string& node, const std::string& domain, const std::vector<std::string>& nodes)
{
    std::vector<CoordinatorCandidate> peers;
    for (const std::string& it : nodes) {
        if (it != node)
            peers.push_back({ it });
    }
    return chooseCoordinators({ node }, domain, peers);
}

}

// Guards against nodes that know of each other and nevertheless use different coordinators.
TEST_CASE("all nodes of a failure domain choose the same coordinators")
{
    const std::vector<std::string> nodes = makeNodes(50);
    const std::vector<std::string> chosen = chooseFor("n0", "z1", nodes);
    REQUIRE(chosen.size() == 2);
    CHECK(chosen[0] != chosen[1]);
    for (const std::string& it : nodes)
        CHECK(chooseFor(it, "z1", nodes) == chosen);
    // When the first one is lost, the second one takes its place.
    std::vector<std::string> remaining = nodes;
    std::erase(remaining, chosen[0]);
    CHECK(chooseFor(remaining.front(), "z1", remaining).front() == chosen[1]);
}

// Guards against one node that coordinates all failure domains with many services at once.
TEST_CASE("different failure domains have different coordinators")
{
    std::map<std::string, int> uses;
    for (int n = 0; n < 20; ++n)
        ++uses[chooseFor("n0", "z" + std::to_string(n), makeNodes(50)).front()];
    CHECK(uses.size() > 10);
}

// Guards against a gap in service when one of few nodes is lost.
TEST_CASE("each node of a small failure domain allocates its own slots")
{
    CHECK(chooseFor("n3", "z1", makeNodes(6)) == std::vector<std::string> { "n3" });
    CHECK(chooseFor("n3", "z1", makeNodes(7)).size() == 2);
}

// Guards against a coordinator on a small VM while larger ones are there.
TEST_CASE("nodes on the VMs with the highest capacity are preferred as coordinators")
{
    std::vector<CoordinatorCandidate> peers;
    for (const std::string& it : makeNodes(50))
        peers.push_back({ it, it == "n7" || it == "n8" || it == "n9" ? 50U : 12U });
    const std::vector<std::string> chosen = chooseCoordinators({ "own", 12 }, "z1", peers);
    REQUIRE(chosen.size() == 2);
    for (const std::string& it : chosen)
        CHECK((it == "n7" || it == "n8" || it == "n9"));
}

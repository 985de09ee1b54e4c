#include "TestSystem.h"

#include <LibCore/Error.h>

#include <Tests/Support/WaitFor.h>
#include <catch2/catch.hpp>

using namespace Chicorydock;

namespace {

Configuration change(const std::string& requestId, const std::string& author)
{
    Configuration configuration = TestSystem::configuration();
    configuration.requestId = requestId;
    configuration.author = author;
    return configuration;
}

uint64_t revisionOf(TestSystem& system, const std::string& node) { return system.operatorOf(node).status().revision; }

}

// Guards against an operator who overwrites a change without having seen it.
TEST_CASE("of two concurrent changes one is accepted, and the other fails with the current revision")
{
    TestSystem system;
    const std::string first = system.addNode();
    const std::string second = system.addNode();
    CHECK(system.operatorOf(first).apply(change("a", "anna"), 1) == 2);
    try {
        system.operatorOf(second).apply(change("b", "bert"), 1);
        FAIL("both changes were accepted");
    } catch (const Error& error) {
        CHECK(error.kind() == ErrorKind::Conflict);
        CHECK(error.message().find('2') != std::string::npos);
    }
    // A resent change returns its revision and is not applied again.
    CHECK(system.operatorOf(second).apply(change("a", "anna"), 1) == 2);
    CHECK(system.operatorOf(second).history(10).size() == 2);
}

// Guards against a change that reaches only the node that accepted it, or that depends on the platform to spread.
TEST_CASE("a change comes into force at every node, and at a new one while the platform is down")
{
    TestSystem system;
    std::vector<std::string> nodes { system.addNode("d1") };
    nodes.push_back(system.addNode("d2"));
    nodes.push_back(system.addNode("d3"));
    for (const std::string& node : nodes)
        REQUIRE(waitFor([&] { return system.operatorOf(node).status().members.size() == nodes.size(); }));
    REQUIRE(system.operatorOf(nodes[2]).apply(change("a", "anna"), 1) == 2);
    for (const std::string& node : nodes)
        CHECK(waitFor([&] { return revisionOf(system, node) == 2; }));

    system.control({}, { { "outage", true } });
    const std::string late = system.addNode("d1");
    CHECK(waitFor([&] { return revisionOf(system, late) == 2; }));
}

// Guards against a node that reverts to an older configuration after a restart or a freeze.
TEST_CASE("no node reverts to an older configuration")
{
    TestSystem system;
    const std::string first = system.addNode();
    const std::string second = system.addNode();
    REQUIRE(waitFor([&] { return revisionOf(system, second) == 1; }));
    system.process(second).freeze();
    for (uint64_t revision = 1; revision < 6; ++revision)
        REQUIRE(
            system.operatorOf(first).apply(change("r" + std::to_string(revision), "anna"), revision) == revision + 1);
    system.process(second).resume();
    REQUIRE(waitFor([&] { return revisionOf(system, second) == 6; }));
    system.process(first).kill();
    system.restartNode(first);
    REQUIRE(waitFor([&] { return revisionOf(system, first) == 6; }));
    CHECK(revisionOf(system, second) == 6);
}

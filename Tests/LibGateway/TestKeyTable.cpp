#include <LibGateway/KeyTable.h>

#include <LibCore/Digest.h>

#include <catch2/catch.hpp>

using namespace Chicorydock;

namespace {

GatewayWorkspace makeWorkspace(const std::string& name, const std::vector<std::string>& keys)
{
    GatewayWorkspace workspace;
    workspace.limits.name = name;
    for (const std::string& it : keys)
        workspace.keyDigests.push_back(sha256(it));
    return workspace;
}

}

// Guards against keys that are found in the wrong workspace, or only by some salts.
TEST_CASE("a table of many keys finds each key in its workspace and no other key")
{
    std::vector<GatewayWorkspace> workspaces;
    for (int n = 0; n < 100; ++n) {
        std::vector<std::string> keys;
        for (int k = 0; k < 1'000; ++k)
            keys.push_back("key-" + std::to_string(n) + "-" + std::to_string(k));
        workspaces.push_back(makeWorkspace("w" + std::to_string(n), keys));
    }
    workspaces.push_back(makeWorkspace("none", {}));
    workspaces.push_back(makeWorkspace("long", { std::string(100'000, 'x') }));
    const KeyTable table(workspaces, 0x9e3779b97f4a7c15);
    for (int n = 0; n < 100; n += 7) {
        for (int k = 0; k < 1'000; k += 13)
            CHECK(table.find("key-" + QByteArray::number(n) + "-" + QByteArray::number(k)) == static_cast<size_t>(n));
    }
    CHECK(table.find(QByteArray(100'000, 'x')) == 101);
    CHECK_FALSE(table.find(QByteArray(99'999, 'x')));
    CHECK_FALSE(table.find("key-0-1000"));
    CHECK_FALSE(table.find(""));
    CHECK(table.conflicts().empty());
    CHECK_FALSE(KeyTable().find("key-0-0"));
}

// Guards against a contested key that admits the callers of one workspace as another, and a log that does not say so.
TEST_CASE("a key of two workspaces is found in neither and reported once")
{
    const std::vector<GatewayWorkspace> workspaces { makeWorkspace("a", { "k", "k2", "own", "own" }),
        makeWorkspace("b", { "k", "k2" }), makeWorkspace("c", { "k" }) };
    const KeyTable table(workspaces, 1);
    CHECK_FALSE(table.find("k"));
    CHECK_FALSE(table.find("k2"));
    CHECK(table.find("own") == 0);
    CHECK(table.conflicts() == std::vector<KeyTable::Conflict> { { "a", "b" }, { "a", "c" } });
}

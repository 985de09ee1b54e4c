#include <LibGateway/EndpointRegistrations.h>

#include "GatewayFixture.h"

#include <catch2/catch.hpp>

using namespace Chicorydock;

namespace {

const QByteArray unreadable = R"({"service":"lm","address":"10.0.0.1:80","zone":"z1","slots":"many","state":"ready"})";

QByteArray registration(int slotCount = 8)
{
    return R"({"service":"lm","address":"10.0.0.1:80","zone":"z1","state":"ready","slots":)"
        + QByteArray::number(slotCount) + '}';
}

StoredRow row(const std::string& id, uint64_t version, const QByteArray& value)
{
    return { { "servers", "", id }, value, version, false };
}

struct Fixture {
    SimulatedClock clock;
    PlatformWireFormat wire;
    MemoryEventLog log;
    EndpointDirectory directory;
    MemoryRowStore store { clock };
    StreamOrigins origins { store, clock };
    int changes { 0 };
    EndpointRegistrations registrations { wire, directory, origins, clock, log, [this] { ++changes; } };

    Fixture()
    {
        registrations.onReachableChanged(true);
        clock.advance(std::chrono::seconds { 10 });
        registrations.onTableListed({ { row("a", 1, registration()), row("b", 2, registration()) }, 2 });
    }
};

}

// Guards against registrations that are listed, changed or removed without an effect on the directory.
TEST_CASE("the directory follows the registrations of endpoints")
{
    Fixture fixture;
    CHECK(fixture.directory.usable().size() == 2);
    fixture.registrations.onRowsChanged({ row("a", 3, registration(4)), { { "servers", "", "b" }, {}, 4, true } });
    REQUIRE(fixture.directory.usable().size() == 1);
    CHECK(fixture.directory.find("a")->slotCount == 4);
    CHECK(fixture.directory.find("a")->version == 3);
    CHECK(fixture.changes == 2);
    CHECK(fixture.registrations.reachableFor() == std::chrono::seconds { 10 });
    fixture.registrations.onReachableChanged(false);
    CHECK(fixture.registrations.reachableFor() == Milliseconds { 0 });
}

// Guards against an endpoint that stays in use, or is given up, depending on how the node learned of its odd entry.
TEST_CASE("an entry that cannot be read names no endpoint, whether it is listed or reported as a change")
{
    Fixture fixture;
    const bool isListed = GENERATE(true, false);
    const bool isOutage = GENERATE(true, false);
    CAPTURE(isListed, isOutage);
    if (isOutage) {
        fixture.registrations.onReachableChanged(false);
        fixture.registrations.onReachableChanged(true);
    }
    if (isListed)
        fixture.registrations.onTableListed({ { row("a", 5, unreadable), row("b", 2, registration()) }, 5 });
    else
        fixture.registrations.onRowsChanged({ row("a", 5, unreadable) });
    CHECK_FALSE(fixture.directory.find("a"));
    CHECK(fixture.directory.find("b"));

    // A listing that is behind still contains the earlier entry.
    fixture.registrations.onTableListed({ { row("a", 1, registration()), row("b", 2, registration()) }, 2 });
    CHECK_FALSE(fixture.directory.find("a"));
    fixture.registrations.onRowsChanged({ row("a", 6, registration()) });
    CHECK(fixture.directory.find("a"));
}

// Guards against an endpoint that is given up because a listing is behind its present entry.
TEST_CASE("an unreadable entry of a listing that is behind has no effect")
{
    Fixture fixture;
    fixture.registrations.onRowsChanged({ row("a", 5, unreadable) });
    fixture.registrations.onRowsChanged({ row("a", 6, registration()) });
    fixture.registrations.onTableListed({ { row("a", 5, unreadable), row("b", 2, registration()) }, 9 });
    CHECK(fixture.directory.find("a"));
    CHECK(fixture.directory.find("b"));
}

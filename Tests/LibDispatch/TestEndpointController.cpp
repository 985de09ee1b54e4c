#include <LibCore/Error.h>
#include <LibDispatch/EndpointController.h>

#include <Tests/Support/MemoryEventLog.h>
#include <catch2/catch.hpp>

using namespace Chicorydock;

namespace {

struct Fixture {
    MemoryEventLog eventLog;
    std::vector<GossipRecord> published;
    int changes { 0 };
    EndpointController controller { "d", eventLog, [this](const GossipRecord& it) { published.push_back(it); },
        [this] { ++changes; } };

    const KnownEndpoint* find(const std::string& id)
    {
        set = controller.endpoints().read();
        return set->find(id);
    }

    std::shared_ptr<const EndpointSet> set;
};

KnownEndpoint endpoint(const std::string& id, bool isLeaving = false)
{
    return { id, "127.0.0.1:1", "engine", "r", "d", isLeaving };
}

VmEntry listed(const std::string& id, bool isLeaving = false)
{
    return { id, VmEntry::Role::Endpoint, "127.0.0.1:1", "r", "d", "engine", isLeaving };
}

}

// Guards against a late VM list that reverts the leaving state reported by a peer.
TEST_CASE("leaving is final, whichever source reports it first")
{
    Fixture fixture;
    fixture.controller.applyVmList({ listed("a") });
    fixture.controller.applyRecord(EndpointController::toRecord(endpoint("a", true)));
    CHECK(fixture.find("a")->isLeaving);
    fixture.controller.applyVmList({ listed("a") });
    fixture.controller.applyRecord(EndpointController::toRecord(endpoint("a")));
    CHECK(fixture.find("a")->isLeaving);
}

// Guards against a removed endpoint that is added again by a peer that does not know of its removal yet.
TEST_CASE("an endpoint that disappears from the list is removed for good")
{
    Fixture fixture;
    fixture.controller.applyVmList({ listed("a"), listed("b") });
    fixture.controller.applyVmList({ listed("b") });
    CHECK(fixture.find("a") == nullptr);
    fixture.controller.applyRecord(EndpointController::toRecord(endpoint("a")));
    CHECK(fixture.find("a") == nullptr);
    CHECK(fixture.find("b") != nullptr);
}

// Guards against losing configured endpoints, and those that only peers know, when the list does not contain them.
TEST_CASE("endpoints from the settings and from peers do not depend on the list")
{
    Fixture fixture;
    fixture.controller.addConfigured({ endpoint("configured") });
    fixture.controller.applyRecord(EndpointController::toRecord(endpoint("from-peer")));
    fixture.controller.applyVmList({});
    CHECK(fixture.find("configured") != nullptr);
    CHECK(fixture.find("from-peer") != nullptr);
}

// Guards against a drain that is not published to the peers.
TEST_CASE("a drained endpoint is published as leaving")
{
    Fixture fixture;
    fixture.controller.addConfigured({ endpoint("a") });
    fixture.published.clear();
    fixture.controller.drain("a");
    REQUIRE(fixture.published.size() == 1);
    CHECK(fixture.published[0] == EndpointController::toRecord(endpoint("a", true)));
    CHECK_THROWS_AS(fixture.controller.drain("unknown"), Error);
}

// Guards against control traffic that grows with the endpoints of all failure domains, and against nodes of other
// domains that keep spilling work over to an endpoint that is leaving.
TEST_CASE("endpoints of other failure domains are published only when they are leaving")
{
    Fixture fixture;
    KnownEndpoint far = endpoint("far");
    far.failureDomain = "other";
    fixture.controller.addConfigured({ far });
    CHECK(fixture.published.empty());
    fixture.controller.drain("far");
    REQUIRE(fixture.published.size() == 1);
    CHECK(EndpointController::isLeavingRecord(fixture.published[0]));
}

// Guards against peers that publish each other's records again endlessly.
TEST_CASE("a record that is already known changes nothing and is not published again")
{
    Fixture fixture;
    fixture.controller.applyRecord(EndpointController::toRecord(endpoint("a")));
    const int changes = fixture.changes;
    fixture.controller.applyRecord(EndpointController::toRecord(endpoint("a")));
    CHECK(fixture.changes == changes);
    CHECK(fixture.published.empty());
}

// Guards against a crash or an incomplete endpoint from a malformed record.
TEST_CASE("malformed records are ignored")
{
    Fixture fixture;
    fixture.controller.applyRecord({ "endpoint/a", 1, "not JSON" });
    fixture.controller.applyRecord({ "endpoint/a", 1, "{\"address\": 5}" });
    fixture.controller.applyRecord({ "head", 1, "7" });
    CHECK(fixture.controller.endpoints().read()->endpoints.empty());
}

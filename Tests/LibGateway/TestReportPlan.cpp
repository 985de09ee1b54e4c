#include <LibGateway/ReportPlan.h>

#include <catch2/catch.hpp>

using namespace Chicorydock;

// Guards against two nodes that compute different distances, and so different report intervals, for each other.
TEST_CASE("the regions of two failure domains determine their distance")
{
    const std::map<std::string, std::string> regions { { "z1", "r1" }, { "z2", "r1" }, { "z3", "r2" } };
    CHECK(distanceBetween("z1", "z1", regions) == PeerDistance::FailureDomain);
    CHECK(distanceBetween("z1", "z2", regions) == PeerDistance::Region);
    CHECK(distanceBetween("z1", "z3", regions) == PeerDistance::OtherRegion);
    CHECK(distanceBetween("z1", "unknown", regions) == PeerDistance::OtherRegion);
    CHECK(distanceBetween("unknown", "z1", regions) == PeerDistance::OtherRegion);
    CHECK(distanceBetween("z1", "z2", {}) == PeerDistance::Region);
}

// Guards against a cost of reports that grows with the size of the deployment.
TEST_CASE("with more peers each is sent fewer reports, and their total rate is bounded")
{
    for (const auto distance : { PeerDistance::FailureDomain, PeerDistance::Region, PeerDistance::OtherRegion }) {
        const auto perSecond = [&](size_t peers) { return peers * 1'000.0 / reportInterval(distance, peers).count(); };
        CHECK(reportInterval(distance, 300) > reportInterval(distance, 30));
        CHECK(heartbeatInterval(distance, 300) >= reportInterval(distance, 300));
        CHECK(perSecond(300) <= perSecond(100) * 1.05);
    }
}

// Guards against signs of life whose cost grows with the deployment until their upper interval, and against nodes that
// are considered dead because of one lost datagram.
TEST_CASE("signs of life are bounded in rate and interval")
{
    for (const auto distance : { PeerDistance::FailureDomain, PeerDistance::Region, PeerDistance::OtherRegion }) {
        CHECK(livenessInterval(distance, 3) == Milliseconds { 300 });
        CHECK(livenessInterval(distance, 60) > livenessInterval(distance, 30));
        CHECK(livenessInterval(distance, 10'000) == Milliseconds { 8'000 });
    }
    CHECK(livenessTimeout(Milliseconds { 300 }) == Milliseconds { 1'200 });
    CHECK(livenessTimeout(Milliseconds { 5'000 }) == Milliseconds { 10'000 });
    for (int n = 300; n < 5'000; n += 100)
        CHECK(livenessTimeout(Milliseconds { n + 100 }) >= livenessTimeout(Milliseconds { n }));
}

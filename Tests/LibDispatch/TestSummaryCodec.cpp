#include <LibDispatch/SummaryCodec.h>

#include <catch2/catch.hpp>

using namespace Chicorydock;

// Guards against durations that are lost or distorted when they are sent to a peer.
TEST_CASE("summaries survive packing with a rounding of at most one percent")
{
    const std::vector<EndpointSummary> summaries { { "a", 3, 70000, 0.25, 0.012, 0.0004 }, { "b", 0, 0, 0, 0, 0 } };
    const auto unpacked = unpackSummaries(packSummaries(summaries), { "b", "a" });
    REQUIRE(unpacked.size() == 2);
    CHECK(unpacked[0].endpoint == "a");
    CHECK(unpacked[0].onlineInFlight == 3);
    CHECK(unpacked[0].batchInFlight == 65535);
    CHECK(unpacked[0].firstTokenSeconds == Approx(0.25).epsilon(0.01));
    CHECK(unpacked[0].gapBaseSeconds == Approx(0.012).epsilon(0.01));
    CHECK(unpacked[0].gapSlopeSeconds == Approx(0.0004).epsilon(0.01));
    CHECK(unpacked[1] == summaries[1]);
}

// Guards against reading past the end of a malformed message, and against endpoints that this node does not know.
TEST_CASE("malformed summaries and unknown endpoints are left out")
{
    const std::string packed = packSummaries({ { "a", 1, 1, 1, 1, 1 } });
    CHECK(unpackSummaries(packed.substr(1), { "a" }).empty());
    CHECK(unpackSummaries(packed, { "b" }).empty());
    CHECK(unpackSummaries({}, { "a" }).empty());
}

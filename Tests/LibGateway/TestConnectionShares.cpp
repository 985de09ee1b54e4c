#include <LibGateway/ConnectionShares.h>

#include <catch2/catch.hpp>

using namespace Chicorydock;

// Guards against shares that use more descriptors or memory than there are, on the smallest and the largest machines.
TEST_CASE("the connections of a node fit in its descriptors and in its memory")
{
    const uint64_t descriptors = GENERATE(128, 400, 1'024, 4'100, 8'200, 1'048'576);
    const uint64_t memoryMb = GENERATE(16, 88, 160, 512, 4'096);
    const ConnectionShares shares = ConnectionShares::of(descriptors, memoryMb);
    // Listening sockets, timers, the store and a few calls to peers.
    constexpr uint64_t others = 32;
    CHECK(shares.callers + shares.endpoints + shares.peers + shares.status + others <= descriptors);
    constexpr uint64_t bytesPerConnection = 32 * 1024;
    CHECK(shares.callers * bytesPerConnection <= memoryMb * 1024 * 1024 / 6);
    CHECK(shares.callers >= std::min<uint64_t>(24, memoryMb * 5));
    CHECK(shares.endpoints >= shares.callers);
}

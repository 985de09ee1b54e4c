#pragma once

#include <LibCore/Clock.h>

#include <cstddef>
#include <cstdint>

namespace Chicorydock {

/// How far away a peer is. The farther, the fewer reports it gets.
enum class PeerDistance : uint8_t {
    FailureDomain,
    Region,
    OtherRegion,
};

constexpr size_t peerDistanceCount = 3;

/// Returns the shortest time between two reports to one peer at that distance while loads change, with so many peers
/// there. The datagrams that a node sends in a second are bounded, so with more peers each hears less often. May be
/// called from any thread.
Milliseconds reportInterval(PeerDistance, size_t peers);

/// Returns the time between two reports to one peer without a change. May be called from any thread.
Milliseconds heartbeatInterval(PeerDistance, size_t peers);

}

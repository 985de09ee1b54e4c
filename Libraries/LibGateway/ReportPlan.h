#pragma once

#include <LibCore/Clock.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace Chicorydock {

/// How far away a peer is. The farther, the fewer reports it gets.
enum class PeerDistance : uint8_t {
    FailureDomain,
    Region,
    OtherRegion,
};

constexpr size_t peerDistanceCount = 3;

/// Returns how far a failure domain is from the own one. `regions` holds the region of each failure domain; those
/// without one are in one region. May be called from any thread.
PeerDistance distanceBetween(
    const std::string& own, const std::string& other, const std::map<std::string, std::string>& regions);

/// Returns the shortest time between two reports to one peer at that distance while loads change, with so many peers
/// there. The datagrams that a node sends in a second are bounded, so with more peers each hears less often. May be
/// called from any thread.
Milliseconds reportInterval(PeerDistance, size_t peers);

/// Returns the time between two reports to one peer without a change. May be called from any thread.
Milliseconds heartbeatInterval(PeerDistance, size_t peers);

}

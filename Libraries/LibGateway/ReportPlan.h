#pragma once

#include <LibCore/Clock.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace Chicorydock {

/// Topological distance of a peer. More distant peers are sent fewer reports.
enum class PeerDistance : uint8_t {
    FailureDomain,
    Region,
    OtherRegion,
};

constexpr size_t peerDistanceCount = 3;

/// Returns the distance between this node's failure domain and another one. `regions` maps failure domains to regions;
/// all failure domains that it does not contain form one region. May be called from any thread.
PeerDistance distanceBetween(
    const std::string& own, const std::string& other, const std::map<std::string, std::string>& regions);

/// Returns the minimum time between two reports to one peer while loads change, with `peers` peers at that distance.
/// The number of datagrams that a node sends per second is bounded, so the interval grows with the number of peers. May
/// be called from any thread.
Milliseconds reportInterval(PeerDistance, size_t peers);

/// Returns the time between two reports to one peer while nothing changes. May be called from any thread.
Milliseconds heartbeatInterval(PeerDistance, size_t peers);

/// Returns the time between two reports to one peer that only show that this node is alive, because one of the two does
/// not allocate slots. `peers` is the number of all peers at that distance. May be called from any thread.
Milliseconds livenessInterval(PeerDistance, size_t peers);

/// Returns the time without a report after which a node is considered dead that announced its next report within
/// `nextWithin`. May be called from any thread.
Milliseconds livenessTimeout(Milliseconds nextWithin);

}

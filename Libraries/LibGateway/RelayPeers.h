#pragma once

#include <LibCore/Random.h>
#include <LibGateway/ReportPlan.h>

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Chicorydock {

/// A live peer that reaches the endpoints and can forward requests for a node that does not.
struct RelayPeer {
    std::string node;
    /// `HOST:PORT` at which the peer takes calls of other nodes.
    std::string address;
    PeerDistance distance { PeerDistance::OtherRegion };
    /// Version of the configuration that the peer has in force.
    uint64_t configurationVersion { 0 };

    auto operator<=>(const RelayPeer&) const = default;
};

/// Reports which live peers can forward requests.
class RelayPeers {
public:
    virtual ~RelayPeers() = default;

    virtual std::vector<RelayPeer> relayPeers() const = 0;
};

/// Chooses a peer at random among the nearest ones that have at least that version of the configuration, or among the
/// nearest ones of all if none is known to have it. `excluded` are names of nodes. Load: the requests of all nodes that
/// lost their endpoints, up to most of a deployment.
std::optional<RelayPeer> chooseRelayPeer(
    const std::vector<RelayPeer>&, uint64_t configurationVersion, const std::vector<std::string>& excluded, Random&);

}

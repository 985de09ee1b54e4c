#pragma once

#include <LibConfiguration/Configuration.h>
#include <LibDispatch/EndpointSet.h>
#include <LibMembership/PeerMessage.h>
#include <LibRouting/Scheduler.h>

#include <map>
#include <string>
#include <vector>

namespace Chicorydock {

/// The region and failure domain of a node.
struct NodeLocation {
    std::string id;
    std::string region;
    std::string failureDomain;

    auto operator<=>(const NodeLocation&) const = default;
};

/// Returns the ids of the alive and suspect nodes in `failureDomain`, including this node if it belongs to it.
std::vector<std::string> activeNodesInDomain(
    const std::vector<MemberUpdate>& members, const NodeLocation& self, const std::string& failureDomain);

/// Returns, by service, the endpoints that the node's schedulers use: a bounded subset of its own failure domain, and a
/// few endpoints of each other domain to spill over to. If the nodes of a failure domain have the same view of the
/// members, exactly one of them owns the batch work of each endpoint there. Endpoints of a domain without live nodes
/// have no owner.
/// May be called from any thread.
std::map<std::string, std::vector<SchedulerEndpoint>> planEndpoints(
    const EndpointSet&, const std::vector<MemberUpdate>& members, const NodeLocation& self);

/// Returns the live node that owns the batch work of the endpoint, or an empty string.
std::string batchOwner(const KnownEndpoint&, const std::vector<MemberUpdate>& members, const NodeLocation& self);

}

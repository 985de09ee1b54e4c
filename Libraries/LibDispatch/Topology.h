#pragma once

#include <LibConfiguration/Configuration.h>
#include <LibDispatch/EndpointSet.h>
#include <LibMembership/PeerMessage.h>
#include <LibRouting/Scheduler.h>

#include <map>
#include <string>
#include <vector>

namespace Chicorydock {

/// Where a node stands.
struct NodeLocation {
    std::string id;
    std::string region;
    std::string failureDomain;

    auto operator<=>(const NodeLocation&) const = default;
};

/// Returns the ids of the nodes of `failureDomain` that take part in its work, this node included.
std::vector<std::string> activeNodesInDomain(
    const std::vector<MemberUpdate>& members, const NodeLocation& self, const std::string& failureDomain);

/// Returns, by service, the endpoints that the node's schedulers use: a bounded subset of its own failure domain, and
/// of the other domains a few to spill to. Exactly one node of each failure domain that has the same view of the
/// members owns the batch work of an endpoint there; endpoints of a domain without live nodes are owned by none.
/// May be called from any thread.
std::map<std::string, std::vector<SchedulerEndpoint>> planEndpoints(
    const EndpointSet&, const std::vector<MemberUpdate>& members, const NodeLocation& self);

/// Returns the live node that owns the batch work of the endpoint, or an empty string.
std::string batchOwner(const KnownEndpoint&, const std::vector<MemberUpdate>& members, const NodeLocation& self);

}

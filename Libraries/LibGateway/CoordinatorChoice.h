#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace Chicorydock {

/// A live node of a failure domain.
struct CoordinatorCandidate {
    std::string node;
    /// Processor capacity of its VM in percent of a core, 0 if unknown.
    uint32_t capacityPercent { 0 };

    auto operator<=>(const CoordinatorCandidate&) const = default;
};

/// Returns the nodes that may allocate the slots for a node, in order of preference. All nodes of a failure domain that
/// know of each other compute the same order. Nodes on VMs with the highest capacity come first, because a coordinator
/// answers for all requests of its failure domain. In a small failure domain each node allocates its own slots, because
/// reports between few nodes arrive sooner than a coordinator that was lost is replaced.
///
/// `domainPeers` are the other live nodes of the failure domain. May be called from any thread.
std::vector<std::string> chooseCoordinators(const CoordinatorCandidate& self, const std::string& failureDomain,
    const std::vector<CoordinatorCandidate>& domainPeers);

}

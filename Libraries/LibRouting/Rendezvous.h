#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace Chicorydock {

/// Number of nodes that use one endpoint when there are many nodes.
constexpr size_t defaultNodesPerEndpoint = 12;
/// Minimum number of endpoints that a node uses, if there are as many.
constexpr size_t defaultMinEndpointsPerNode = 20;

/// Returns the node that owns `key` by rendezvous hashing, or an empty string if there are no nodes. The order of
/// `nodes` does not matter. When a node joins or leaves, only the keys that it gains or loses change their owner.
/// May be called from any thread.
std::string rendezvousOwner(std::string_view key, const std::vector<std::string>& nodes);

/// Returns how many of the nodes rank higher than `node` for the key; the owner ranks 0. `nodes` may contain `node`.
/// May be called from any thread.
size_t rendezvousRank(std::string_view key, std::string_view node, const std::vector<std::string>& nodes);

/// Returns the endpoints that `node` uses, in the order of `endpoints`: those for which it is among the
/// `nodesPerEndpoint` highest ranked nodes. If these are fewer than `minEndpoints`, the endpoints that rank the node
/// highest are added. `nodes` contains `node`. May be called from any thread.
std::vector<std::string> rendezvousSubset(std::string_view node, const std::vector<std::string>& nodes,
    const std::vector<std::string>& endpoints, size_t nodesPerEndpoint = defaultNodesPerEndpoint,
    size_t minEndpoints = defaultMinEndpointsPerNode);

}

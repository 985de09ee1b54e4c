#pragma once

#include <LibGateway/BatchReserve.h>

namespace Chicorydock {

/// Decides whether it is this node's turn to claim a free slot. Nodes claim in turns so that they do not claim the same
/// slot before they know of each other's claims: all nodes compute the same order for an endpoint, and a node waits
/// until the claims of the nodes before it would have been reported.
///
/// Load: nodes that share endpoints without a coordinator at peak load, when several of them see the same few free
/// slots.
///
/// Thread safety: none.
class SlotTurns {
public:
    /// The arguments outlive the turns.
    SlotTurns(const SlotEndpoints&, const SlotPeers&);

    /// Returns whether the request may spill over to the failure domain of the endpoint, given the age of the reports
    /// from there.
    bool isSpilloverAllowed(const SlotEndpoint&, const OnlineWork&, MonotonicTime now) const;

    /// Returns whether this node may claim one of `free` slots for a request. Precondition: `free` is not 0.
    bool isOnlineTurn(SlotEndpoint&, uint32_t free, MonotonicTime now) const;
    /// Returns whether this node may claim one of `free` slots for an item. Precondition: `free` is not 0.
    bool isBatchTurn(SlotEndpoint&, uint32_t free, MonotonicTime now) const;

private:
    const PrecedingNodes& precedingNodes(SlotEndpoint&) const;

    const SlotEndpoints& m_endpoints;
    const SlotPeers& m_peers;
};

}

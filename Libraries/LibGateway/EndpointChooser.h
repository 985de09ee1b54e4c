#pragma once

#include <LibCore/Random.h>
#include <LibGateway/PromptPlacement.h>
#include <LibGateway/SlotTurns.h>

namespace Chicorydock {

/// Decides at which endpoint a request or an item starts: at the one of lowest cost among those that may run it, have a
/// free slot and on which it is this node's turn. The cost is the load of the endpoint, and adds its distance, its
/// slowness, its rate limit and the items that would have to yield there, less what it keeps of the prompt, in units of
/// the load of an endpoint (1 is full).
///
/// Load: requests and items of nodes in several failure domains, some of which are full, far away or slow.
///
/// Thread safety: none.
class EndpointChooser {
public:
    /// The arguments outlive the chooser.
    EndpointChooser(SlotEndpoints&, const SlotPeers&, const BatchReserve&, Random&);

    /// Sets whether work prefers endpoints that keep parts of its prompt, see `PromptPlacement`.
    void setPlacingByPrompt(bool isPlacing) { m_isPlacingByPrompt = isPlacing; }

    /// Records that work with the profile starts at the endpoint.
    void recordStart(const WorkProfile&, const SlotEndpoint&, MonotonicTime now);

    /// Returns the endpoint at which the work starts now, or null if it has to wait.
    SlotEndpoint* chooseForOnline(const OnlineWork&, MonotonicTime now);
    SlotEndpoint* chooseForBatch(const BatchWork&, MonotonicTime now);

private:
    double distanceCost(const SlotEndpoint&) const;
    double promptGain(const PromptPlacement::Matches&, const SlotEndpoint&) const;
    double slownessCost(const SlotEndpoint&, MonotonicTime now) const;

    SlotEndpoints& m_endpoints;
    const SlotPeers& m_peers;
    const BatchReserve& m_reserve;
    Random& m_random;
    SlotTurns m_turns;
    bool m_isPlacingByPrompt { false };
    PromptPlacement m_prompts;
};

}

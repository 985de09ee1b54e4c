#pragma once

#include <LibCore/Random.h>
#include <LibGateway/PromptPlacement.h>
#include <LibGateway/SlotTurns.h>

#include <vector>

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

    /// Returns how the endpoints of the service of a request or an item are judged now, those of lowest cost first and
    /// those with an obstacle last. Changes nothing and draws no random numbers.
    std::vector<EndpointEvaluation> evaluate(const OnlineWork&, MonotonicTime now);
    std::vector<EndpointEvaluation> evaluate(const BatchWork&, MonotonicTime now);

private:
    /// Returns why the work does not start at the endpoint now.
    EndpointObstacle onlineObstacle(SlotEndpoint&, const OnlineWork&, MonotonicTime now) const;
    /// Returns why the item may not start at the endpoint, whether or not a slot is free there.
    EndpointObstacle eligibilityForBatch(
        const SlotEndpoint&, const BatchWork&, bool isPoolExhausted, MonotonicTime now) const;
    /// Returns why no item starts at the endpoint now that may run there.
    EndpointObstacle batchLoadObstacle(SlotEndpoint&, MonotonicTime now) const;
    /// Returns the cost of the endpoint. `draw` in [0, 1) is the random part.
    EndpointCost onlineCost(const SlotEndpoint&, const PromptPlacement::Matches&, double draw, MonotonicTime now) const;
    EndpointCost batchCost(const SlotEndpoint&, const PromptPlacement::Matches&, double draw, MonotonicTime now) const;
    PromptPlacement::Matches findPrompt(const WorkProfile&, MonotonicTime now) const;
    static EndpointEvaluation makeEvaluation(const SlotEndpoint&, EndpointObstacle, MonotonicTime now);
    static void sortByCost(std::vector<EndpointEvaluation>&);
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

#include <LibGateway/SlotTurns.h>

#include <algorithm>

namespace Chicorydock {

namespace {

    /// Time within which the online use of a slot becomes known to the peers that rank first for its endpoint.
    constexpr Milliseconds onlineTurnTime { 30 };

    /// Turns after which a slot that stays free is open to the online requests of all nodes, however many there are.
    constexpr uint32_t maxOnlineTurns = 4;

    /// A slot that stays free for this long, and for this many turns at the node's distance from the endpoint, is open
    /// to the items of all nodes. Items can wait for seconds.
    constexpr Milliseconds maxBatchTurnTime { 1'000 };
    constexpr int maxBatchTurns = 4;

}

SlotTurns::SlotTurns(const SlotEndpoints& endpoints, const SlotPeers& peers)
    : m_endpoints(endpoints)
    , m_peers(peers)
{
}

bool SlotTurns::isSpilloverAllowed(const SlotEndpoint& endpoint, const OnlineWork& work, MonotonicTime now) const
{
    const PeerDistance distance = m_peers.distanceTo(endpoint.record.failureDomain);
    if (distance == PeerDistance::FailureDomain || m_endpoints.capacity().domainSlots(work.service) == 0)
        return true;
    // At peak load, most slots that appear free in another failure domain are taken before the request arrives there,
    // and a local slot usually becomes free sooner than the report of that.
    if (endpoint.total() * 2 <= endpoint.record.slotCount)
        return true;
    return now - work.submittedAt >= m_peers.turnTime(distance);
}

bool SlotTurns::isOnlineTurn(SlotEndpoint& endpoint, uint32_t free, MonotonicTime now) const
{
    // All nodes compute the same order for this endpoint. As many nodes as there are free slots may claim one
    // immediately. The next ones may follow if the slots are still free when those claims would have been reported.
    const PrecedingNodes& before = precedingNodes(endpoint);
    uint32_t turns = std::min((before.inDomain + before.elsewhere) / free, maxOnlineTurns);
    if (!endpoint.limiter.isLimited())
        return now - endpoint.onlineChangedAt >= onlineTurnTime * turns;
    // The requests that a limit allows are few, so a node leaves a turn to the others after each of its own.
    turns += endpoint.limiter.isSlowerThan(onlineTurnTime) ? 1 : 0;
    return now - endpoint.limiter.availableSince(1, now) >= onlineTurnTime * turns;
}

bool SlotTurns::isBatchTurn(SlotEndpoint& endpoint, uint32_t free, MonotonicTime now) const
{
    const PrecedingNodes& before = precedingNodes(endpoint);
    const PeerDistance distance = m_peers.distanceTo(endpoint.record.failureDomain);
    const Milliseconds domainTurn = m_peers.turnTime(PeerDistance::FailureDomain);
    const Milliseconds ownTurn = m_peers.turnTime(distance);
    Milliseconds turn = domainTurn * (before.inDomain / free) + ownTurn * (before.elsewhere / free);
    // A node in another domain first waits until a claim by a node of the endpoint's domain would have been reported.
    if (distance != PeerDistance::FailureDomain)
        turn += ownTurn;
    MonotonicTime since = endpoint.freeForBatchSince;
    if (endpoint.limiter.isLimited())
        since = std::max(since, endpoint.limiter.availableSince(1 + BatchReserve::rateReserve, now));
    return now - since >= std::min(turn, std::max(maxBatchTurnTime, ownTurn * maxBatchTurns));
}

const PrecedingNodes& SlotTurns::precedingNodes(SlotEndpoint& endpoint) const
{
    if (endpoint.precedingNodesGeneration != m_peers.generation()) {
        endpoint.precedingNodes = m_peers.precedingNodes(endpoint.record.id, endpoint.record.failureDomain);
        endpoint.precedingNodesGeneration = m_peers.generation();
    }
    return endpoint.precedingNodes;
}

}

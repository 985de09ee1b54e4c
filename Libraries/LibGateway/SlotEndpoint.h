#pragma once

#include <LibGateway/EndpointEvaluation.h>
#include <LibGateway/EndpointLoadProfile.h>
#include <LibGateway/EndpointRecord.h>
#include <LibGateway/RateLimiter.h>
#include <LibGateway/SlotPeers.h>

#include <string>
#include <vector>

namespace Chicorydock {

/// State of an endpoint at a `SlotScheduler`: its slots in use, its health, its speed and its rate limit. Decides for
/// how long an endpoint that failed is avoided.
///
/// Load: endpoints that fail, restart or leave while work is sent to them.
///
/// Thread safety: none.
struct SlotEndpoint {
    EndpointRecord record;
    /// Identifies the endpoint in the reports between nodes, see `SlotPeers::endpointKey()`.
    uint32_t key { 0 };
    /// Whether the endpoint is in the current set. Endpoints outside it are kept while work of this node runs there.
    bool isUsable { false };
    /// Slots used by the work of this scheduler.
    SlotUse own;
    /// Slots used by the peers, according to their latest reports.
    SlotUse peers;
    /// Failures since the last response.
    uint32_t failures { 0 };
    MonotonicTime avoidedUntil;
    /// Last change of the online usage by any node.
    MonotonicTime onlineChangedAt;
    /// Last change of any usage by any node.
    MonotonicTime changedAt;
    /// Whether a slot is free for batch items, and since when.
    bool isFreeForBatch { false };
    MonotonicTime freeForBatchSince;
    /// Cached for the generation of the peers in `precedingNodesGeneration`; 0 if not yet.
    PrecedingNodes precedingNodes;
    uint64_t precedingNodesGeneration { 0 };
    /// Preference of this node for the endpoint, from 0 to 1; lower is preferred.
    double preference { 0 };
    /// Last time at which online work of this node ended here.
    MonotonicTime ownEndedAt;
    /// Duration of work as the endpoint last reported it, in percent of the normal duration.
    uint32_t workTimePercent { 100 };
    /// Time of the endpoint's last load report.
    MonotonicTime observedAt;
    /// Time at which work of this scheduler was last answered here.
    MonotonicTime respondedAt;

    /// Work that the endpoint reported in excess of the usage known from the nodes.
    uint32_t unattributed { 0 };

    RateLimiter limiter;
    EndpointLoadProfile loadProfile;
    /// Number of slots that work of all nodes should use at most, from the load profile.
    uint32_t slotLimit { 0 };
    MonotonicTime slotLimitChangedAt;
    /// Time that work takes at most endpoints of the service, 0 if unknown.
    std::chrono::duration<double> normalDuration { 0 };
    /// Work that this scheduler has started here.
    uint32_t starts { 0 };

    /// Returns the slots that online work of all nodes uses, as far as known.
    uint32_t online() const { return own.online + peers.online + unattributed; }
    /// Returns all slots in use, as far as known. More than there are if nodes claimed the same slot.
    uint32_t total() const { return online() + own.batch + peers.batch; }

    /// Adapts the limit on the slots in use to what has been learned. Must be called several times a second.
    void updateSlotLimit(MonotonicTime now);

    /// Records work that has ended here. `relativeSize` is its size relative to other work of the service.
    void recordDuration(const RunningWork&, double relativeSize, MonotonicTime now);

    /// Returns the state of the slots that is recorded with a decision.
    SlotView view(MonotonicTime now) const;

    /// Returns the number of slots that online work may take now. They may be in use by items.
    uint32_t freeForOnline(MonotonicTime now) const;

    /// Records that the endpoint failed: it is avoided for a time that grows with the number of failures.
    void recordFailure(MonotonicTime now);
    void recordResponse(MonotonicTime now);

    /// Returns whether the endpoint has left, or is one of the excluded ones.
    bool isExcluded(const std::vector<std::string>& excluded) const;
    /// Returns whether work must not start here because the endpoint has failed lately.
    bool isAvoided(MonotonicTime now) const;

    /// Returns why the endpoint may not run the request or item, apart from its load.
    template <typename Work> EndpointObstacle obstacleFor(const Work& work, MonotonicTime now) const
    {
        if (record.service != work.service)
            return EndpointObstacle::OtherService;
        if (work.softwareVersion && record.softwareVersion != *work.softwareVersion)
            return EndpointObstacle::OtherVersion;
        if (isExcluded(work.excluded))
            return EndpointObstacle::Excluded;
        return isAvoided(now) ? EndpointObstacle::Avoided : EndpointObstacle::None;
    }
};

}

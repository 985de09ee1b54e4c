#pragma once

#include <LibCore/Random.h>
#include <LibGateway/HoldTimeEstimator.h>
#include <LibGateway/RateLimiter.h>
#include <LibGateway/ServiceCapacity.h>
#include <LibGateway/SlotAllocator.h>
#include <LibGateway/SlotPeers.h>

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace Chicorydock {

/// Shares the slots of endpoints between the nodes of a deployment without a coordinator: each node adds the slots that
/// it uses itself to those in the latest reports of its peers. Engines have no priorities and admit work in order of
/// arrival, so work is queued at the nodes and not at the endpoints.
///
/// Online work may use every slot. Batch items that hold the slots it needs are preempted (they yield): those of this
/// node immediately, those of peers once the peers receive this node's report. Batch items start only on slots above a
/// reserve, so that most online requests find a free slot. The reserve is one slot of each endpoint, because nodes
/// learn late of the slots that their peers take. A scheduler that is the only one in its failure domain knows the use
/// there exactly, so it needs only a small share of all slots together; with hundreds of slots, one of each endpoint
/// would leave a seventh of the fleet idle between the peaks of online load.
///
/// Endpoints that state a rate limit are sent no more requests than it allows, by all nodes together: the nodes report
/// the work that they start there. Items go to such endpoints first, because they make the most of each request, and
/// online work goes to the others while these have slots.
///
/// Deterministic: the decisions depend only on the calls, the times passed in and the random numbers.
///
/// Thread safety: none.
class SlotScheduler final : public SlotAllocator {
public:
    using Location = SlotPeers::Location;

    SlotScheduler(Location, Random&);

    void setEndpoints(const std::vector<EndpointRecord>&) override;
    void submit(const OnlineWork&, MonotonicTime now) override;
    void submit(const BatchWork&) override;
    void withdraw(uint64_t work) override;
    void finish(uint64_t work, EndpointOutcome, MonotonicTime now) override;

    /// Counts work that another scheduler has started. It holds its slot from now on. Work at an unknown endpoint is
    /// ignored.
    void adopt(const RunningWork&, MonotonicTime now);

    /// Replaces the slot usage of a peer by that of its latest report.
    void setPeerUse(const std::string& node, const PeerUse&, MonotonicTime now);
    void removePeer(const std::string& node);

    /// Work at the endpoint that no node has reported yet counts as online work for a short time.
    void observe(const std::string& endpoint, const ObservedLoad&, MonotonicTime now) override;

    void observeRate(const std::string& endpoint, const RateStatement&, MonotonicTime now) override;

    std::vector<SlotDecision> poll(MonotonicTime now) override;
    bool needsPolling() const override { return !m_online.empty() || !m_batch.empty(); }

    /// Returns the work if it holds a slot, or null. Valid until the next call of another method.
    const RunningWork* findRunning(uint64_t work) const;
    /// Returns when the endpoint last responded to a node that this scheduler works for.
    MonotonicTime lastResponse(const std::string& endpoint) const;

    /// Returns the slots that this node uses, by endpoint key, without endpoints that it does not use.
    std::unordered_map<uint32_t, SlotUse> ownUse() const;
    /// Returns the endpoints whose rate is limited, or was until lately, by endpoint key.
    std::unordered_map<uint32_t, ReportedRate> ownRates(MonotonicTime now) const;
    /// Returns whether the endpoint is known and has a rate limit.
    bool isRateLimited(const std::string& endpoint) const;
    /// Returns the number of usable endpoints with a rate limit.
    size_t limitedEndpoints() const;
    /// Returns a number that changes whenever the slots in use by this node change.
    uint64_t useVersion() const { return m_useVersion; }
    uint32_t waitingOnline() const { return static_cast<uint32_t>(m_online.size()); }
    uint32_t waitingBatch() const { return static_cast<uint32_t>(m_batch.size()); }

    /// Returns whether work is queued or may have to yield, so that a change of the peers' usage can lead to decisions.
    bool dependsOnPeers() const { return !m_online.empty() || !m_batch.empty() || m_ownBatch > 0; }

private:
    struct Endpoint {
        EndpointRecord record;
        uint32_t key { 0 };
        bool isUsable { false };
        SlotUse own;
        SlotUse peers;
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
        uint32_t workTimePercent { 100 };
        MonotonicTime observedAt;
        MonotonicTime respondedAt;

        /// Work that the endpoint reported in excess of the usage known from the nodes.
        uint32_t unattributed { 0 };

        RateLimiter limiter;
        /// Work that this scheduler has started here.
        uint32_t starts { 0 };

        uint32_t online() const { return own.online + peers.online + unattributed; }
        uint32_t total() const { return online() + own.batch + peers.batch; }
    };

    /// Adds the usage of a peer to the totals of the endpoints, or subtracts it if `isAdded` is false.
    void addPeerUse(const PeerUse&, bool isAdded);
    /// Applies the rate limits that a peer reported, and counts the work that it has started since its previous report.
    void addPeerRates(const PeerUse& before, const PeerUse& after, MonotonicTime now);
    void recordChanges(const PeerUse& before, const PeerUse& after, MonotonicTime now);
    /// Removes peers without recent reports and outdated load reports of endpoints.
    void expire(MonotonicTime now);
    void expirePeers(MonotonicTime now);
    void expireObservations(MonotonicTime now);
    void updateBatchAvailability(Endpoint&, MonotonicTime now) const;
    static SlotView viewOf(const Endpoint&, MonotonicTime now);
    Endpoint* findEndpoint(const std::string& id);
    Endpoint* findEndpointByKey(uint32_t key);
    void decideOnline(std::vector<SlotDecision>&, MonotonicTime now);
    void decideYields(std::vector<SlotDecision>&, MonotonicTime now);
    void decideBatch(std::vector<SlotDecision>&, MonotonicTime now);
    Endpoint* chooseForOnline(const OnlineWork&, MonotonicTime now);
    Endpoint* chooseForBatch(const BatchWork&, MonotonicTime now);
    /// Returns whether the request may spill over to the failure domain of the endpoint, given the age of the reports
    /// from there.
    bool isSpilloverAllowed(const Endpoint&, const OnlineWork&, MonotonicTime now) const;
    /// Returns whether this scheduler is the only one in its failure domain, so that it knows the use of the slots
    /// there exactly and at once.
    bool isSoleInDomain() const { return m_peers.countAt(PeerDistance::FailureDomain) == 0; }
    /// Returns whether the reserve of the endpoint is a share of all slots of its service in this failure domain.
    bool hasPooledReserve(const Endpoint&) const;
    /// Returns the slots of the endpoint that items may use.
    uint32_t batchCapacity(const Endpoint&) const;
    /// Returns whether so many slots of the service are free in this failure domain that items may take more of them.
    bool hasSlotsAboveReserve(const std::string& service, MonotonicTime now) const;
    /// Returns whether the endpoint may run the request or item, apart from its load.
    template <typename Work> static bool isEligible(const Endpoint&, const Work&, MonotonicTime now);
    static bool isAvoided(const Endpoint&, const std::vector<std::string>& excluded, MonotonicTime now);
    /// Returns whether the request or item must wait for a software version that no endpoint has any more.
    template <typename Work> bool isVersionGone(const Work&) const;
    /// Returns whether it is this node's turn to claim a free slot. Nodes claim in turns so that they do not claim the
    /// same slot before they know of each other's claims.
    bool isOnlineTurn(Endpoint&, uint32_t free, MonotonicTime now) const;
    bool isBatchTurn(Endpoint&, uint32_t free, MonotonicTime now) const;
    const PrecedingNodes& precedingNodes(Endpoint&) const;
    /// Returns the number of slots that online work may take now. They may be in use by items.
    static uint32_t freeForOnline(const Endpoint&, MonotonicTime now);
    /// Returns the number of items that may start now.
    uint32_t freeForBatch(const Endpoint&, MonotonicTime now) const;
    /// The costs are in units of the load of an endpoint (1 is full).
    double distanceCost(const Endpoint&) const;
    double slownessCost(const Endpoint&, MonotonicTime now) const;
    /// Starts work of which the identifier and the fields of items are set.
    void startWork(std::vector<SlotDecision>&, RunningWork, Endpoint&, MonotonicTime now);
    void addOwnWork(const RunningWork&, Endpoint&, MonotonicTime now);
    void yieldOne(std::vector<SlotDecision>&, Endpoint&, MonotonicTime now);
    /// Returns whether an item can no longer be completed by the time it is due.
    bool isTooLate(const std::string& service, MonotonicTime dueAt, Milliseconds slotTimeUsed, MonotonicTime now) const;
    /// Returns how many items of this node have to yield so that all nodes together free `excess` slots.
    uint32_t ownShareOfYields(const Endpoint&, uint32_t excess) const;
    /// Returns the expected time in the queue behind `ahead` requests of this node.
    Milliseconds expectedWait(const std::string& service, size_t ahead) const;
    void countSlots();
    /// Updates what the rate limits leave of the capacity.
    void updateLimits(MonotonicTime now);
    Milliseconds retryAfter(const std::string& service, size_t ahead);
    bool shouldRefuse(const OnlineWork&, size_t ahead, MonotonicTime now) const;

    Random& m_random;
    std::map<std::string, Endpoint> m_endpoints;
    /// Pointers into `m_endpoints`.
    std::unordered_map<uint32_t, Endpoint*> m_endpointsByKey;
    ServiceCapacity m_capacity;
    SlotPeers m_peers;
    MonotonicTime m_lastExpiryAt;
    uint32_t m_ownBatch { 0 };
    uint64_t m_useVersion { 0 };
    std::vector<OnlineWork> m_online;
    std::vector<BatchWork> m_batch;
    std::unordered_map<uint64_t, RunningWork> m_running;
    HoldTimeEstimator m_holdTimes;
};

}

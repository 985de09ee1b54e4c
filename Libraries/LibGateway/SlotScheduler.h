#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Random.h>
#include <LibGateway/EndpointRecord.h>
#include <LibGateway/ReportPlan.h>

#include <array>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace Chicorydock {

/// A request that waits for a slot of an endpoint.
struct OnlineWork {
    uint64_t id { 0 };
    std::string service;
    /// 0 is the highest.
    uint32_t priority { 0 };
    /// Latest start with which the answer has its full worth.
    MonotonicTime startBy;
    /// Latest time at which an answer is of use.
    MonotonicTime deadline;
    /// Whether the caller was probably refused before and has no further attempt.
    bool isLastAttempt { false };
    /// Endpoints that must not be used, because an earlier attempt failed there.
    std::vector<std::string> excluded;
    /// Whether the scheduler has decided once to let it wait.
    bool isAccepted { false };
    /// Set by the scheduler.
    MonotonicTime submittedAt;

    bool operator==(const OnlineWork&) const = default;
};

/// An item of a job that waits for a slot.
struct BatchWork {
    uint64_t id { 0 };
    std::string service;
    /// When the item should be done to have its full worth.
    MonotonicTime dueAt;
    std::vector<std::string> excluded;
    /// Time for which earlier runs of the item have held a slot.
    Milliseconds slotTimeUsed { 0 };

    bool operator==(const BatchWork&) const = default;
};

/// What a decision about a piece of work went by.
struct SlotView {
    /// Use of the endpoint before the decision, by all nodes, as far as known.
    uint32_t online { 0 };
    uint32_t batch { 0 };
    uint32_t slotCount { 0 };
    /// Time since this node last learned of a change of that use.
    Milliseconds age { 0 };
    /// For refusals: the expected time in the queue.
    Milliseconds expectedWait { 0 };

    auto operator<=>(const SlotView&) const = default;
};

/// What to do with a piece of work.
struct SlotDecision {
    enum class Kind : uint8_t {
        /// Run it at the endpoint.
        Start,
        /// Refuse the request.
        Refuse,
        /// Stop the running item; it goes on later, at any endpoint.
        Yield,
    };

    Kind kind { Kind::Start };
    uint64_t work { 0 };
    std::string endpoint;
    /// When the caller should come back, for a refusal.
    Milliseconds retryAfter { 0 };
    SlotView view {};

    bool operator==(const SlotDecision&) const = default;
};

/// Work that one node runs at one endpoint.
struct SlotUse {
    uint32_t online { 0 };
    uint32_t batch { 0 };

    auto operator<=>(const SlotUse&) const = default;
};

/// What a peer says of itself.
struct PeerUse {
    std::string failureDomain;
    /// Slots in use, by endpoint key.
    std::unordered_map<uint32_t, SlotUse> use;
    /// Online requests that wait there.
    uint32_t waiting { 0 };
    /// Time after which the peer is taken to be gone, and its work with it, unless it says more.
    Milliseconds lifetime { 1'500 };

    bool operator==(const PeerUse&) const = default;
};

/// What an endpoint said of its load when it answered.
struct ObservedLoad {
    uint32_t running { 0 };
    uint32_t waiting { 0 };
    /// How long work takes on its machine, in percent of the usual.
    uint32_t workTimePercent { 100 };

    auto operator<=>(const ObservedLoad&) const = default;
};

/// How an endpoint treated a piece of work, as far as its reputation is concerned.
enum class EndpointOutcome : uint8_t {
    Answered,
    /// It did not answer, or broke the answer off.
    Failed,
    /// The work was given up for other reasons.
    Cancelled,
};

/// Shares the slots of endpoints between the nodes of a deployment, without a coordinator: each node counts what it
/// runs itself and what its peers last said. Engines have no priorities and admit in order of arrival, so work waits
/// here and not there.
///
/// Online work may take every slot. Where batch items hold the slots that it needs, they yield: those of this node at
/// once, those of peers when they hear of it. Batch items start only on slots above a reserve, so that most online
/// requests find a free slot.
///
/// Deterministic: a function of the calls, the times passed in and the random numbers.
///
/// Thread safety: none.
class SlotScheduler {
public:
    struct Location {
        std::string node;
        std::string failureDomain;
        /// Region of each failure domain.
        std::map<std::string, std::string> regions;
    };

    SlotScheduler(Location, Random&);

    /// Replaces the endpoints that may be used. Work that runs at others goes on.
    void setEndpoints(const std::vector<EndpointRecord>&);

    void submit(const OnlineWork&, MonotonicTime now);
    void submit(const BatchWork&);
    /// Takes back work that waits.
    void withdraw(uint64_t work);

    /// Notes that work which was started has ended.
    void ended(uint64_t work, EndpointOutcome, MonotonicTime now);

    /// Replaces what a peer said last.
    void setPeerUse(const std::string& node, const PeerUse&, MonotonicTime now);
    void removePeer(const std::string& node);

    /// Notes what the endpoint said of its load. Work there that no node has told of yet counts as online work for a
    /// short time.
    void observe(const std::string& endpoint, const ObservedLoad&, MonotonicTime now);

    /// Returns what is to be done now. Started work counts at once, work told to yield no longer counts.
    std::vector<SlotDecision> poll(MonotonicTime now);

    /// Returns what this node runs, by endpoint key, without idle endpoints.
    std::unordered_map<uint32_t, SlotUse> ownUse() const;
    uint32_t waitingOnline() const { return static_cast<uint32_t>(m_online.size()); }
    uint32_t waitingBatch() const { return static_cast<uint32_t>(m_batch.size()); }

    /// Returns whether work waits or might have to yield, so that the use by peers matters now.
    bool dependsOnPeers() const { return !m_online.empty() || !m_batch.empty() || m_ownBatch > 0; }

    /// Returns the key under which nodes tell each other of an endpoint.
    static uint32_t endpointKey(const std::string& id);

private:
    /// The nodes that come before this one in the order for an endpoint.
    struct NodesBefore {
        /// In the failure domain of the endpoint.
        uint32_t inDomain { 0 };
        uint32_t elsewhere { 0 };
    };

    struct Endpoint {
        EndpointRecord record;
        uint32_t key { 0 };
        bool isUsable { false };
        SlotUse own;
        SlotUse peers;
        uint32_t failures { 0 };
        MonotonicTime avoidedUntil;
        /// When the online use by any node changed last.
        MonotonicTime onlineChangedAt;
        /// When any use by any node changed last.
        MonotonicTime changedAt;
        /// Whether there is a slot for items, and since when.
        bool isFreeForBatch { false };
        MonotonicTime freeForBatchSince;
        /// As of a generation of the peers.
        NodesBefore nodesBefore;
        uint64_t nodesBeforeGeneration { 0 };
        /// This node's own preference, from 0 to 1; lower comes first.
        double preference { 0 };
        /// When online work of this node ended here last.
        MonotonicTime ownEndedAt;
        uint32_t workTimePercent { 100 };
        MonotonicTime observedAt;

        /// Work that the endpoint reported beyond what is known from the nodes.
        uint32_t unexplained { 0 };

        uint32_t online() const { return own.online + peers.online + unexplained; }
        uint32_t total() const { return online() + own.batch + peers.batch; }
    };

    struct Running {
        std::string endpoint;
        bool isBatch { false };
        std::string service;
        MonotonicTime startedAt;
        /// For items: when they are due, and how long earlier runs held a slot.
        MonotonicTime dueAt;
        Milliseconds slotTimeUsed { 0 };
    };

    struct Peer {
        PeerUse said;
        MonotonicTime heardAt;
    };

    void addPeerUse(const PeerUse&, bool isAdded);
    void noteChanges(const PeerUse& before, const PeerUse& after, MonotonicTime now);
    /// Removes silent peers, and what endpoints said too long ago.
    void expire(MonotonicTime now);
    void expirePeers(MonotonicTime now);
    void expireObservations(MonotonicTime now);
    void countPeers();
    PeerDistance distanceTo(const std::string& failureDomain) const;
    /// Returns how old reports over that distance may be.
    Milliseconds reportAge(PeerDistance) const;
    Milliseconds turnTime(PeerDistance) const;
    static void noteBatchSlots(Endpoint&, MonotonicTime now);
    static SlotView viewOf(const Endpoint&, MonotonicTime now);
    Endpoint* endpoint(const std::string& id);
    Endpoint* endpointOf(uint32_t key);
    void decideOnline(std::vector<SlotDecision>&, MonotonicTime now);
    void decideYields(std::vector<SlotDecision>&, MonotonicTime now);
    void decideBatch(std::vector<SlotDecision>&, MonotonicTime now);
    Endpoint* chooseForOnline(const OnlineWork&, MonotonicTime now);
    Endpoint* chooseForBatch(const BatchWork&, MonotonicTime now);
    /// Returns whether the request may go to the failure domain of the endpoint, as far as the age of the reports from
    /// there allows.
    bool isWithinReach(const Endpoint&, const OnlineWork&, MonotonicTime now) const;
    bool isAvoided(const Endpoint&, const std::vector<std::string>& excluded, MonotonicTime now) const;
    /// Returns whether it is this node's turn to take a slot that has just become free.
    bool isOnlineTurn(Endpoint&, uint32_t free, MonotonicTime now) const;
    bool isBatchTurn(Endpoint&, uint32_t free, MonotonicTime now) const;
    const NodesBefore& nodesBefore(Endpoint&) const;
    double distance(const Endpoint&) const;
    double slowness(const Endpoint&, MonotonicTime now) const;
    void startWork(std::vector<SlotDecision>&, uint64_t work, Endpoint&, bool isBatch, MonotonicTime now);
    void startItem(std::vector<SlotDecision>&, const BatchWork&, Endpoint&, MonotonicTime now);
    void yieldOne(std::vector<SlotDecision>&, Endpoint&, MonotonicTime now);
    /// Returns whether an item can no longer be done when it is due.
    bool isTooLate(const std::string& service, MonotonicTime dueAt, Milliseconds slotTimeUsed, MonotonicTime now) const;
    void learnHoldTime(std::map<std::string, Milliseconds>&, const std::string& service, Milliseconds held);
    uint32_t ownShareOfYields(const Endpoint&, uint32_t excess) const;
    Milliseconds expectedWait(const std::string& service, size_t ahead) const;
    void countSlots();
    Milliseconds retryAfter(const std::string& service, size_t ahead);
    bool isHopeless(const OnlineWork&, size_t ahead, MonotonicTime now) const;

    const Location m_location;
    Random& m_random;
    std::map<std::string, Endpoint> m_endpoints;
    /// Pointers into `m_endpoints`.
    std::unordered_map<uint32_t, Endpoint*> m_endpointsByKey;
    /// Slots of the usable endpoints of each service.
    std::map<std::string, uint32_t> m_serviceSlots;
    /// Services with usable endpoints in the own failure domain.
    std::set<std::string> m_nearbyServices;
    std::map<std::string, Peer> m_peers;
    /// Rises when a peer comes or goes.
    uint64_t m_peerGeneration { 1 };
    uint32_t m_peersWaiting { 0 };
    std::array<size_t, peerDistanceCount> m_peerCounts {};
    MonotonicTime m_expiredAt;
    uint32_t m_ownBatch { 0 };
    std::vector<OnlineWork> m_online;
    std::vector<BatchWork> m_batch;
    std::unordered_map<uint64_t, Running> m_running;
    /// Mean time that online work of a service holds a slot.
    std::map<std::string, Milliseconds> m_holdTimes;
    /// Mean time that an item of a service holds slots, over all its runs.
    std::map<std::string, Milliseconds> m_itemTimes;
};

}

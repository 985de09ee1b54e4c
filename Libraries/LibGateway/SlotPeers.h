#pragma once

#include <LibGateway/ReportPlan.h>
#include <LibGateway/ReportedQuota.h>
#include <LibGateway/SlotTypes.h>

#include <array>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace Chicorydock {

/// What a node knows about an endpoint with a rate limit.
struct ReportedRate {
    /// Requests per second, `unlimitedRate` if the limit has ended.
    double perSecond { unlimitedRate };
    /// Time since the endpoint stated it.
    Milliseconds age { 0 };
    /// Requests that the node has sent to the endpoint, counted since its start.
    uint32_t starts { 0 };

    auto operator<=>(const ReportedRate&) const = default;
};

/// Slot usage that a peer reported.
struct PeerUse {
    std::string failureDomain;
    /// Slots that the peer uses, by endpoint key.
    std::unordered_map<uint32_t, SlotUse> use;
    /// Online requests queued at the peer.
    uint32_t waiting { 0 };
    /// Time after which the peer and its usage are removed if it sends no further report.
    Milliseconds lifetime { 1'500 };
    /// Endpoints with rate limits, by endpoint key.
    std::unordered_map<uint32_t, ReportedRate> rates;
    /// Number of nodes that the peer serves.
    uint32_t servedNodes { 1 };
    ReportedQuotas quotas {};

    bool operator==(const PeerUse&) const = default;
};

/// Number of nodes that rank before a node in the order for an endpoint.
struct PrecedingNodes {
    /// Nodes in the failure domain of the endpoint.
    uint32_t inDomain { 0 };
    uint32_t elsewhere { 0 };

    auto operator<=>(const PrecedingNodes&) const = default;
};

/// The other schedulers with which a `SlotScheduler` shares endpoints: what they reported, how old their reports may
/// be, and the order in which they and this one claim slots.
///
/// Thread safety: none.
class SlotPeers {
public:
    struct Location {
        std::string node;
        std::string failureDomain;
        /// Region of each failure domain of the deployment.
        std::map<std::string, std::string> regions;
    };

    explicit SlotPeers(Location);

    const Location& location() const { return m_location; }

    /// Replaces the usage of a peer and returns the previous one, which is empty for a new peer.
    PeerUse set(const std::string& node, const PeerUse&, MonotonicTime now);
    /// Removes a peer and returns its usage, or nothing if there is no such peer.
    std::optional<PeerUse> remove(const std::string& node);
    /// Returns the peers that have sent no report within the lifetime of their latest one.
    std::vector<std::string> silentPeers(MonotonicTime now) const;

    /// Returns the slots that all peers use at an endpoint.
    SlotUse useOf(uint32_t endpointKey) const;
    /// Returns the online requests that are queued at all peers.
    uint32_t waiting() const { return m_waiting; }
    size_t countAt(PeerDistance distance) const { return m_counts.at(static_cast<size_t>(distance)); }
    /// Returns a number that changes when a peer is added, removed or changes its failure domain. It is never 0.
    uint64_t generation() const { return m_generation; }

    PeerDistance distanceTo(const std::string& failureDomain) const;
    /// Returns how old the reports of peers at that distance may be.
    Milliseconds reportAge(PeerDistance) const;
    /// Returns the time within which the claim of a slot by a node at that distance is reported here.
    Milliseconds turnTime(PeerDistance) const;

    PrecedingNodes precedingNodes(const std::string& endpoint, const std::string& failureDomain) const;
    /// Returns how many of `excess` items remain for this node to preempt at an endpoint, after the peers that come
    /// first in the order have preempted theirs.
    uint32_t excessAfterPeers(uint32_t endpointKey, uint32_t excess) const;

    /// Returns the rank of a node in the order for an endpoint; a lower rank comes first. The order differs between
    /// endpoints (rendezvous hashing). May be called from any thread.
    static uint32_t nodeRank(const std::string& endpoint, const std::string& node);
    /// Returns the key that identifies an endpoint in the reports between nodes. May be called from any thread.
    static uint32_t endpointKey(const std::string& id);

private:
    struct Peer {
        PeerUse usage;
        MonotonicTime reportedAt;
    };

    void countPeers();

    const Location m_location;
    std::map<std::string, Peer> m_peers;
    uint64_t m_generation { 1 };
    uint32_t m_waiting { 0 };
    std::array<size_t, peerDistanceCount> m_counts {};
};

}

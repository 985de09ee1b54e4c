#pragma once

#include <LibGateway/BatchReserve.h>

#include <optional>
#include <string>
#include <unordered_map>

namespace Chicorydock {

/// Counts the slots that this scheduler and its peers use at each endpoint.
///
/// Thread safety: none.
class SlotUsage {
public:
    /// The arguments outlive the usage.
    SlotUsage(SlotEndpoints&, SlotPeers&, const BatchReserve&);

    /// Counts work that holds a slot of the endpoint from now on. Precondition: no work with its identifier does.
    void add(const RunningWork&, SlotEndpoint&, MonotonicTime now);
    /// Frees the slot of the work and returns the work, or nothing if it holds none.
    std::optional<RunningWork> remove(uint64_t work, MonotonicTime now);

    /// Returns the work if it holds a slot, or null. Valid until the next call of `add()` or `remove()`.
    const RunningWork* find(uint64_t work) const;
    /// Returns the work of this scheduler that holds slots, by identifier.
    const std::unordered_map<uint64_t, RunningWork>& running() const { return m_running; }
    /// Returns the number of items of this scheduler that hold slots.
    uint32_t ownBatch() const { return m_ownBatch; }

    /// Replaces the slot usage of a peer by that of its latest report.
    void setPeerUse(const std::string& node, const PeerUse&, MonotonicTime now);
    void removePeer(const std::string& node);
    /// Removes peers without recent reports.
    void removeSilentPeers(MonotonicTime now);

    /// Returns the slots that this node uses, by endpoint key, without endpoints that it does not use.
    std::unordered_map<uint32_t, SlotUse> ownUse() const;
    /// Returns a number that changes whenever there is something new to report to the peers: the slots in use by this
    /// node, or the rate limit of an endpoint.
    uint64_t version() const { return m_version; }
    /// Records that a rate limit has changed, which the peers must know because they send requests there too.
    void recordRateChange() { ++m_version; }

private:
    /// Adds the usage of a peer to the totals of the endpoints, or subtracts it if `isAdded` is false.
    void addPeerUse(const PeerUse&, bool isAdded);
    /// Applies the rate limits that a peer reported, and counts the work that it has started since its previous report.
    void addPeerRates(const PeerUse& before, const PeerUse& after, MonotonicTime now);
    void recordChanges(const PeerUse& before, const PeerUse& after, MonotonicTime now);

    SlotEndpoints& m_endpoints;
    SlotPeers& m_peers;
    const BatchReserve& m_reserve;
    std::unordered_map<uint64_t, RunningWork> m_running;
    uint32_t m_ownBatch { 0 };
    uint64_t m_version { 0 };
};

}

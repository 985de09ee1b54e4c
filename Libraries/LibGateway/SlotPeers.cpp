#include <LibGateway/SlotPeers.h>

#include <algorithm>
#include <utility>

namespace Chicorydock {

namespace {

    /// Time for the transfer and processing of a report, in addition to the interval between two reports.
    constexpr Milliseconds reportLatency { 10 };

}

SlotPeers::SlotPeers(Location location)
    : m_location(std::move(location))
{
}

uint32_t SlotPeers::endpointKey(const std::string& id)
{
    // FNV-1a, because std::hash may differ between the standard libraries of the nodes.
    uint32_t hash = 2166136261U;
    for (const char c : id)
        hash = (hash ^ static_cast<uint8_t>(c)) * 16777619U;
    return hash;
}

uint32_t SlotPeers::nodeRank(const std::string& endpoint, const std::string& node)
{
    // The finalizer of MurmurHash3 gives unrelated ranks to names that differ only in the last character.
    uint32_t hash = endpointKey(endpoint + '/' + node);
    hash = (hash ^ (hash >> 16)) * 0x85ebca6bU;
    hash = (hash ^ (hash >> 13)) * 0xc2b2ae35U;
    return hash ^ (hash >> 16);
}

PeerUse SlotPeers::set(const std::string& node, const PeerUse& usage, MonotonicTime now)
{
    const auto [it, isNew] = m_peers.try_emplace(node);
    Peer& peer = it->second;
    peer.reportedAt = now;
    const bool isMoved = isNew || peer.usage.failureDomain != usage.failureDomain;
    m_waiting += usage.waiting - peer.usage.waiting;
    PeerUse before = std::exchange(peer.usage, usage);
    if (isMoved)
        countPeers();
    return before;
}

std::optional<PeerUse> SlotPeers::remove(const std::string& node)
{
    const auto it = m_peers.find(node);
    if (it == m_peers.end())
        return {};
    PeerUse usage = std::move(it->second.usage);
    m_waiting -= usage.waiting;
    m_peers.erase(it);
    countPeers();
    return usage;
}

std::vector<std::string> SlotPeers::silentPeers(MonotonicTime now) const
{
    std::vector<std::string> silent;
    for (const auto& [node, peer] : m_peers) {
        if (now - peer.reportedAt > peer.usage.lifetime)
            silent.push_back(node);
    }
    return silent;
}

SlotUse SlotPeers::useOf(uint32_t endpointKey) const
{
    SlotUse sum;
    for (const auto& [node, peer] : m_peers) {
        if (const auto it = peer.usage.use.find(endpointKey); it != peer.usage.use.end()) {
            sum.online += it->second.online;
            sum.batch += it->second.batch;
        }
    }
    return sum;
}

PeerDistance SlotPeers::distanceTo(const std::string& failureDomain) const
{
    return distanceBetween(m_location.failureDomain, failureDomain, m_location.regions);
}

void SlotPeers::countPeers()
{
    ++m_generation;
    m_counts = {};
    for (const auto& [node, peer] : m_peers)
        ++m_counts.at(static_cast<size_t>(distanceTo(peer.usage.failureDomain)));
}

Milliseconds SlotPeers::reportAge(PeerDistance distance) const { return reportInterval(distance, countAt(distance)); }

Milliseconds SlotPeers::turnTime(PeerDistance distance) const { return reportAge(distance) + reportLatency; }

PrecedingNodes SlotPeers::precedingNodes(const std::string& endpoint, const std::string& failureDomain) const
{
    // The nodes of the endpoint's failure domain come first, because they receive each other's reports soonest.
    const bool isOwnDomain = failureDomain == m_location.failureDomain;
    const uint32_t own = nodeRank(endpoint, m_location.node);
    PrecedingNodes preceding;
    for (const auto& [node, peer] : m_peers) {
        const bool isPeerOfDomain = peer.usage.failureDomain == failureDomain;
        const bool isBefore = isPeerOfDomain == isOwnDomain ? nodeRank(endpoint, node) < own : isPeerOfDomain;
        if (isBefore)
            ++(isPeerOfDomain ? preceding.inDomain : preceding.elsewhere);
    }
    return preceding;
}

uint32_t SlotPeers::excessAfterPeers(uint32_t endpointKey, uint32_t excess) const
{
    // All nodes assign the yields to nodes in the same order, so that together they stop as many items as needed.
    for (const auto& [node, peer] : m_peers) {
        if (node > m_location.node)
            break;
        if (const auto it = peer.usage.use.find(endpointKey); it != peer.usage.use.end())
            excess -= std::min(excess, it->second.batch);
    }
    return excess;
}

}

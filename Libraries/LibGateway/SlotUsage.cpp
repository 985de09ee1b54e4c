#include <LibGateway/SlotUsage.h>

namespace Chicorydock {

SlotUsage::SlotUsage(SlotEndpoints& endpoints, SlotPeers& peers, const BatchReserve& reserve)
    : m_endpoints(endpoints)
    , m_peers(peers)
    , m_reserve(reserve)
{
}

void SlotUsage::add(const RunningWork& work, SlotEndpoint& endpoint, MonotonicTime now)
{
    ++(work.isBatch ? endpoint.own.batch : endpoint.own.online);
    m_ownBatch += work.isBatch ? 1 : 0;
    ++m_version;
    endpoint.changedAt = now;
    m_reserve.updateAvailability(endpoint, now);
    m_running[work.id] = work;
}

std::optional<RunningWork> SlotUsage::remove(uint64_t work, MonotonicTime now)
{
    const auto it = m_running.find(work);
    if (it == m_running.end())
        return std::nullopt;
    RunningWork removed = it->second;
    m_running.erase(it);
    ++m_version;
    m_ownBatch -= removed.isBatch ? 1 : 0;
    SlotEndpoint* endpoint = m_endpoints.find(removed.endpoint);
    if (!endpoint)
        return removed;
    --(removed.isBatch ? endpoint->own.batch : endpoint->own.online);
    endpoint->changedAt = now;
    if (!removed.isBatch)
        endpoint->ownEndedAt = endpoint->onlineChangedAt = now;
    m_reserve.updateAvailability(*endpoint, now);
    return removed;
}

const RunningWork* SlotUsage::find(uint64_t work) const
{
    const auto it = m_running.find(work);
    return it == m_running.end() ? nullptr : &it->second;
}

void SlotUsage::addPeerUse(const PeerUse& usage, bool isAdded)
{
    for (const auto& [key, use] : usage.use) {
        SlotEndpoint* endpoint = m_endpoints.findByKey(key);
        if (!endpoint)
            continue;
        endpoint->peers.online += isAdded ? use.online : -use.online;
        endpoint->peers.batch += isAdded ? use.batch : -use.batch;
    }
}

void SlotUsage::addPeerRates(const PeerUse& before, const PeerUse& after, MonotonicTime now)
{
    for (const auto& [key, rate] : after.rates) {
        SlotEndpoint* endpoint = m_endpoints.findByKey(key);
        if (!endpoint)
            continue;
        endpoint->limiter.update({ rate.perSecond, now - rate.age }, now);
        // Without an earlier report, or after a restart of the peer, it is unknown when its requests were sent.
        const auto known = before.rates.find(key);
        if (known != before.rates.end() && rate.starts > known->second.starts)
            endpoint->limiter.recordStarts(rate.starts - known->second.starts, now);
    }
}

void SlotUsage::setPeerUse(const std::string& node, const PeerUse& usage, MonotonicTime now)
{
    const PeerUse before = m_peers.set(node, usage, now);
    if (before == usage)
        return;
    addPeerUse(before, false);
    addPeerUse(usage, true);
    addPeerRates(before, usage, now);
    recordChanges(before, usage, now);
}

void SlotUsage::recordChanges(const PeerUse& before, const PeerUse& after, MonotonicTime now)
{
    const auto record = [&](uint32_t key, const SlotUse& from, const SlotUse& to) {
        SlotEndpoint* endpoint = from == to ? nullptr : m_endpoints.findByKey(key);
        if (!endpoint)
            return;
        m_reserve.updateAvailability(*endpoint, now);
        endpoint->changedAt = now;
        if (from.online != to.online)
            endpoint->onlineChangedAt = now;
    };
    for (const auto& [key, use] : before.use) {
        const auto it = after.use.find(key);
        record(key, use, it == after.use.end() ? SlotUse {} : it->second);
    }
    for (const auto& [key, use] : after.use) {
        if (!before.use.contains(key))
            record(key, {}, use);
    }
}

void SlotUsage::removePeer(const std::string& node)
{
    if (const auto usage = m_peers.remove(node))
        addPeerUse(*usage, false);
}

void SlotUsage::removeSilentPeers(MonotonicTime now)
{
    for (const std::string& it : m_peers.silentPeers(now))
        removePeer(it);
}

std::unordered_map<uint32_t, SlotUse> SlotUsage::ownUse() const
{
    std::unordered_map<uint32_t, SlotUse> use;
    for (const auto& [id, it] : m_endpoints) {
        if (it.own != SlotUse {})
            use[it.key] = it.own;
    }
    return use;
}

}

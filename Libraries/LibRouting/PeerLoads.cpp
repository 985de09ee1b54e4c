#include <LibRouting/PeerLoads.h>

#include <algorithm>
#include <utility>

namespace Chicorydock {

std::vector<PeerLoads::Load> PeerLoads::replace(const std::string& node, std::vector<Load> loads, MonotonicTime now)
{
    std::vector<Load> previous;
    if (const auto it = m_peers.find(node); it != m_peers.end())
        previous = std::move(it->second.loads);
    if (loads.empty())
        m_peers.erase(node);
    else
        m_peers[node] = { now, std::move(loads) };
    updateOldest();
    return previous;
}

std::vector<PeerLoads::Load> PeerLoads::expire(MonotonicTime oldest)
{
    std::vector<Load> expired;
    std::erase_if(m_peers, [&](const auto& it) {
        if (it.second.receivedAt >= oldest)
            return false;
        expired.insert(expired.end(), it.second.loads.begin(), it.second.loads.end());
        return true;
    });
    updateOldest();
    return expired;
}

void PeerLoads::updateOldest()
{
    m_oldest = MonotonicTime::max();
    for (const auto& [node, peer] : m_peers)
        m_oldest = std::min(m_oldest, peer.receivedAt);
}

}

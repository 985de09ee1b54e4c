#include <LibGateway/RelayPeers.h>

#include <algorithm>
#include <utility>

namespace Chicorydock {

std::optional<RelayPeer> chooseRelayPeer(const std::vector<RelayPeer>& peers, uint64_t configurationVersion,
    const std::vector<std::string>& excluded, Random& random)
{
    const auto rank
        = [&](const RelayPeer& it) { return std::pair(it.configurationVersion < configurationVersion, it.distance); };
    std::vector<const RelayPeer*> best;
    for (const RelayPeer& it : peers) {
        if (std::ranges::find(excluded, it.node) != excluded.end())
            continue;
        if (!best.empty() && rank(it) > rank(*best.front()))
            continue;
        if (!best.empty() && rank(it) < rank(*best.front()))
            best.clear();
        best.push_back(&it);
    }
    if (best.empty())
        return {};
    return *best[random.below(best.size())];
}

}

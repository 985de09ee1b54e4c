#include <LibGateway/ConfigurationPlan.h>

#include <LibRouting/Rendezvous.h>

#include <algorithm>

namespace Chicorydock {

namespace {

    /// Number of nodes up to which all may read the store at once.
    constexpr size_t maxNodesWithoutDelay = 24;

    /// Time between two nodes that start to read, and the upper limit for the last one. A node that has the
    /// configuration offers it to its failure domain within this order of time.
    constexpr Milliseconds delayPerNode { 50 };
    constexpr Milliseconds maxDelay { 4'000 };

    bool isOfOwnDomain(const ConfigurationOffer& offer) { return offer.distance == PeerDistance::FailureDomain; }

}

bool mustFollowStore(bool isSource, const std::vector<ConfigurationOffer>& offers)
{
    return isSource || std::ranges::none_of(offers, [](const auto& it) { return it.isSource && isOfOwnDomain(it); });
}

std::optional<ConfigurationOffer> chooseOffer(const std::vector<ConfigurationOffer>& offers, uint64_t version,
    const std::set<std::string>& excluded, Random& random)
{
    std::vector<const ConfigurationOffer*> nearest;
    for (const ConfigurationOffer& it : offers) {
        if (it.version <= version || excluded.contains(it.node))
            continue;
        if (!nearest.empty() && it.distance < nearest.front()->distance)
            nearest.clear();
        if (nearest.empty() || it.distance == nearest.front()->distance)
            nearest.push_back(&it);
    }
    if (nearest.empty())
        return {};
    return *nearest[random.below(nearest.size())];
}

Milliseconds storeReadDelay(const std::string& own, const std::set<std::string>& addresses)
{
    if (addresses.size() <= maxNodesWithoutDelay)
        return Milliseconds { 0 };
    const size_t rank = rendezvousRank("configuration", own, { addresses.begin(), addresses.end() });
    return std::min(maxDelay, delayPerNode * static_cast<int64_t>(rank));
}

}

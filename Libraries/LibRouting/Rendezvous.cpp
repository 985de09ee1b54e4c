#include <LibRouting/Rendezvous.h>

#include <LibCore/Digest.h>

#include <algorithm>
#include <cstdint>
#include <utility>

namespace Chicorydock {

namespace {

    uint64_t weight(uint64_t keyHash, std::string_view node) { return stableHash(node, keyHash); }

}

size_t rendezvousRank(std::string_view key, std::string_view node, const std::vector<std::string>& nodes)
{
    const uint64_t keyHash = stableHash(key);
    const std::pair own { weight(keyHash, node), node };
    return static_cast<size_t>(std::ranges::count_if(nodes, [&](const std::string& other) {
        return std::pair { weight(keyHash, other), std::string_view { other } } > own;
    }));
}

std::string rendezvousOwner(std::string_view key, const std::vector<std::string>& nodes)
{
    const uint64_t keyHash = stableHash(key);
    std::pair<uint64_t, std::string_view> best;
    for (const std::string& node : nodes)
        best = std::max(best, std::pair { weight(keyHash, node), std::string_view { node } });
    return std::string { best.second };
}

std::vector<std::string> rendezvousSubset(std::string_view node, const std::vector<std::string>& nodes,
    const std::vector<std::string>& endpoints, size_t nodesPerEndpoint, size_t minEndpoints)
{
    std::vector<std::pair<size_t, size_t>> ranked;
    ranked.reserve(endpoints.size());
    for (size_t n = 0; n < endpoints.size(); ++n)
        ranked.emplace_back(rendezvousRank(endpoints[n], node, nodes), n);
    std::ranges::sort(ranked);

    std::vector<size_t> chosen;
    for (const auto& [nodeRank, n] : ranked) {
        if (nodeRank < nodesPerEndpoint || chosen.size() < minEndpoints)
            chosen.push_back(n);
    }
    std::ranges::sort(chosen);

    std::vector<std::string> subset;
    subset.reserve(chosen.size());
    for (const size_t n : chosen)
        subset.push_back(endpoints[n]);
    return subset;
}

}

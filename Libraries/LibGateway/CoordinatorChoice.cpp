#include <LibGateway/CoordinatorChoice.h>

#include <LibRouting/Rendezvous.h>

#include <algorithm>

namespace Chicorydock {

namespace {

    /// Number of nodes of a failure domain up to which each allocates its own slots.
    constexpr size_t maxIndependentNodes = 6;

    /// Number of candidates; the chance that all of them are lost at once is small, and a node that reaches none of
    /// them is probably cut off.
    constexpr size_t maxCandidates = 2;

    /// Precondition: `nodes` is not empty.
    std::vector<std::string> strongestNodes(const std::vector<CoordinatorCandidate>& nodes)
    {
        const uint32_t highest = std::ranges::max(nodes, {}, &CoordinatorCandidate::capacityPercent).capacityPercent;
        std::vector<std::string> names;
        for (const CoordinatorCandidate& it : nodes) {
            if (it.capacityPercent == highest)
                names.push_back(it.node);
        }
        return names;
    }

}

std::vector<std::string> chooseCoordinators(const CoordinatorCandidate& self, const std::string& failureDomain,
    const std::vector<CoordinatorCandidate>& domainPeers)
{
    if (domainPeers.size() < maxIndependentNodes)
        return { self.node };
    std::vector<CoordinatorCandidate> nodes = domainPeers;
    nodes.push_back(self);
    std::vector<std::string> chosen;
    while (chosen.size() < maxCandidates && !nodes.empty()) {
        chosen.push_back(rendezvousOwner(failureDomain, strongestNodes(nodes)));
        std::erase_if(nodes, [&](const CoordinatorCandidate& it) { return it.node == chosen.back(); });
    }
    return chosen;
}

}

#include <LibDispatch/Topology.h>

#include <LibCore/Digest.h>
#include <LibRouting/Rendezvous.h>

#include <algorithm>
#include <set>

namespace Chicorydock {

namespace {

    // Endpoints in each other failure domain to which a node spills over, for each service.
    constexpr size_t spillEndpointsPerDomain = 4;

    using Group = std::vector<const KnownEndpoint*>;

    std::vector<std::string> idsOf(const Group& group)
    {
        std::vector<std::string> ids;
        ids.reserve(group.size());
        for (const KnownEndpoint* endpoint : group)
            ids.push_back(endpoint->id);
        return ids;
    }

    std::vector<std::string> spillSubset(const Group& group, const NodeLocation& self)
    {
        std::vector<std::string> ids = idsOf(group);
        if (ids.size() <= spillEndpointsPerDomain)
            return ids;
        // Nodes choose different endpoints to spill over to, so that these share the load.
        std::vector<std::pair<uint64_t, std::string>> ranked;
        for (std::string& id : ids) {
            const uint64_t rank = stableHash(id + '/' + self.id);
            ranked.emplace_back(rank, std::move(id));
        }
        std::ranges::nth_element(ranked, ranked.begin() + spillEndpointsPerDomain);
        ids.clear();
        for (size_t n = 0; n < spillEndpointsPerDomain; ++n)
            ids.push_back(std::move(ranked[n].second));
        return ids;
    }

}

std::vector<std::string> activeNodesInDomain(
    const std::vector<MemberUpdate>& members, const NodeLocation& self, const std::string& failureDomain)
{
    std::vector<std::string> nodes;
    if (self.failureDomain == failureDomain)
        nodes.push_back(self.id);
    for (const MemberUpdate& member : members) {
        // A suspect may only be slow to answer; changing owners twice would cost more than waiting for its next state.
        const bool isActive
            = member.state == MemberUpdate::State::Alive || member.state == MemberUpdate::State::Suspect;
        if (isActive && member.failureDomain == failureDomain && member.nodeId != self.id)
            nodes.push_back(member.nodeId);
    }
    return nodes;
}

std::string batchOwner(
    const KnownEndpoint& endpoint, const std::vector<MemberUpdate>& members, const NodeLocation& self)
{
    return rendezvousOwner(endpoint.id, activeNodesInDomain(members, self, endpoint.failureDomain));
}

std::map<std::string, std::vector<SchedulerEndpoint>> planEndpoints(
    const EndpointSet& set, const std::vector<MemberUpdate>& members, const NodeLocation& self)
{
    std::map<std::pair<std::string, std::string>, Group> groups;
    for (const auto& [id, endpoint] : set.endpoints)
        groups[{ endpoint.service, endpoint.failureDomain }].push_back(&endpoint);

    const std::vector<std::string> localNodes = activeNodesInDomain(members, self, self.failureDomain);
    std::map<std::string, std::vector<SchedulerEndpoint>> plan;
    for (const auto& [key, group] : groups) {
        const bool isLocal = key.second == self.failureDomain;
        const std::vector<std::string> ids
            = isLocal ? rendezvousSubset(self.id, localNodes, idsOf(group)) : spillSubset(group, self);
        const std::set<std::string> chosen(ids.begin(), ids.end());
        auto& list = plan[key.first];
        for (const KnownEndpoint* endpoint : group) {
            const bool ownsBatch = isLocal && rendezvousOwner(endpoint->id, localNodes) == self.id;
            if (!ownsBatch && !chosen.contains(endpoint->id))
                continue;
            list.push_back({ endpoint->id, endpoint->failureDomain, endpoint->region != self.region,
                endpoint->isLeaving, ownsBatch, {} });
        }
    }
    return plan;
}

}

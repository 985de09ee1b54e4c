#include <LibGateway/ReportPlan.h>

#include <algorithm>
#include <array>

namespace Chicorydock {

namespace {

    /// Reports without a change, so that peers know that the node is alive.
    constexpr Milliseconds minHeartbeatInterval { 300 };

    /// What is special about a distance.
    struct DistancePlan {
        /// Shortest time between two reports to one peer.
        Milliseconds minInterval;
        /// Datagrams a second to all peers at that distance while loads change. With more peers each hears less often,
        /// so that the cost of a node does not grow with the deployment.
        size_t datagramsPerSecond;
    };

    /// The link between regions is slow and billed by volume.
    constexpr std::array<DistancePlan, peerDistanceCount> plans { {
        { Milliseconds { 20 }, 400 },
        { Milliseconds { 20 }, 60 },
        { Milliseconds { 100 }, 40 },
    } };

    std::string regionOf(const std::string& failureDomain, const std::map<std::string, std::string>& regions)
    {
        const auto it = regions.find(failureDomain);
        return it == regions.end() ? std::string() : it->second;
    }

}

PeerDistance distanceBetween(
    const std::string& own, const std::string& other, const std::map<std::string, std::string>& regions)
{
    if (own == other)
        return PeerDistance::FailureDomain;
    return regionOf(own, regions) == regionOf(other, regions) ? PeerDistance::Region : PeerDistance::OtherRegion;
}

Milliseconds reportInterval(PeerDistance distance, size_t peers)
{
    const DistancePlan& plan = plans.at(static_cast<size_t>(distance));
    return std::max(plan.minInterval, Milliseconds { peers * 1000 / plan.datagramsPerSecond });
}

Milliseconds heartbeatInterval(PeerDistance distance, size_t peers)
{
    return std::max(minHeartbeatInterval, reportInterval(distance, peers));
}

}

#include <LibGateway/ReportPlan.h>

#include <algorithm>
#include <array>

namespace Chicorydock {

namespace {

    /// Interval of reports while nothing changes, which show the peers that the node is alive.
    constexpr Milliseconds minHeartbeatInterval { 300 };

    /// Limits on the reports to peers at one distance.
    struct ReportLimits {
        /// Minimum time between two reports to one peer.
        Milliseconds minInterval;
        /// Datagrams per second to all peers at that distance while loads change. The bound keeps the cost of a node
        /// independent of the size of the deployment.
        size_t datagramsPerSecond;
    };

    /// The link between regions is slow and billed by volume.
    constexpr std::array<ReportLimits, peerDistanceCount> reportLimits { {
        { Milliseconds { 20 }, 400 },
        { Milliseconds { 20 }, 60 },
        { Milliseconds { 100 }, 40 },
    } };

    /// Maximum number of reports per second to all peers at a distance that only show that this node is alive.
    constexpr std::array<size_t, peerDistanceCount> livenessReportsPerSecond { 20, 10, 10 };

    /// Upper limit of the interval between such reports, so that the jobs of a lost node are taken over in time.
    constexpr Milliseconds maxLivenessInterval { 8'000 };

    /// Number of missed heartbeats after which a node is considered dead.
    constexpr int maxMissedHeartbeats = 4;

    /// With intervals above `longInterval`, a node is considered dead after fewer missed heartbeats.
    constexpr Milliseconds longInterval { 1'000 };
    constexpr int maxMissedLongHeartbeats = 2;

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
    const ReportLimits& limits = reportLimits.at(static_cast<size_t>(distance));
    return std::max(limits.minInterval, Milliseconds { peers * 1000 / limits.datagramsPerSecond });
}

Milliseconds heartbeatInterval(PeerDistance distance, size_t peers)
{
    return std::max(minHeartbeatInterval, reportInterval(distance, peers));
}

Milliseconds livenessInterval(PeerDistance distance, size_t peers)
{
    const size_t perSecond = livenessReportsPerSecond.at(static_cast<size_t>(distance));
    return std::clamp(Milliseconds { peers * 1000 / perSecond }, minHeartbeatInterval, maxLivenessInterval);
}

Milliseconds livenessTimeout(Milliseconds nextWithin)
{
    return nextWithin <= longInterval
        ? nextWithin * maxMissedHeartbeats
        : std::max(longInterval * maxMissedHeartbeats, nextWithin * maxMissedLongHeartbeats);
}

}

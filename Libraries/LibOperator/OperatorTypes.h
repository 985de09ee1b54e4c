#pragma once

#include <LibCore/Clock.h>
#include <LibMembership/PeerMessage.h>
#include <LibRouting/Scheduler.h>

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace Chicorydock {

/// Queues and counters of one service at one node.
struct ServiceStatus {
    std::string name;
    SchedulerCounters counters;

    auto operator<=>(const ServiceStatus&) const = default;
};

/// Status of one node.
struct NodeStatus {
    std::string nodeId;
    std::string region;
    std::string failureDomain;
    /// Configuration revision in force; 0 if none is.
    uint64_t revision { 0 };
    /// Whether the load balancer should send requests here.
    bool isReady { false };
    /// Whether the node is draining before it exits.
    bool isStopping { false };
    bool isPlatformReachable { false };
    Milliseconds uptime { 0 };
    /// Members of the cluster as known to the node, including itself.
    std::vector<MemberUpdate> members;
    std::vector<ServiceStatus> services;
    uint32_t claimedChunks { 0 };
    bool holdsPlacementLease { false };

    auto operator<=>(const NodeStatus&) const = default;
};

/// Status of one endpoint as known to one node.
struct EndpointStatus {
    enum class State : uint8_t {
        Live,
        /// Receives no new work.
        Leaving,
        Unreachable,
    };

    std::string id;
    std::string address;
    std::string service;
    std::string region;
    std::string failureDomain;
    State state { State::Live };
    /// Work in flight from this node and, as reported by gossip, from its peers.
    uint32_t onlineInFlight { 0 };
    uint32_t batchInFlight { 0 };
    /// Learned concurrency limit.
    uint32_t limit { 0 };
    /// Recent speed relative to the learned speed; below 1 while the endpoint is slow.
    double health { 1 };
    /// Learned time to first token without load, and learned gap between tokens at the current concurrency.
    double firstTokenMs { 0 };
    double tokenGapMs { 0 };

    auto operator<=>(const EndpointStatus&) const = default;
};

}

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

/// What an operator sees of one node.
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
    /// The nodes that it knows, itself included.
    std::vector<MemberUpdate> members;
    std::vector<ServiceStatus> services;
    uint32_t claimedChunks { 0 };
    bool holdsPlacementLease { false };

    auto operator<=>(const NodeStatus&) const = default;
};

/// What an operator sees of one endpoint at one node.
struct EndpointStatus {
    enum class State : uint8_t {
        Live,
        /// Gets no new work.
        Leaving,
        Unreachable,
    };

    std::string id;
    std::string address;
    std::string service;
    std::string region;
    std::string failureDomain;
    State state { State::Live };
    /// Work of this node and, as far as gossip tells, of its peers.
    uint32_t onlineInFlight { 0 };
    uint32_t batchInFlight { 0 };
    /// Learned concurrency limit.
    uint32_t limit { 0 };
    /// Recent speed relative to the learned one; below 1 while slowed.
    double health { 1 };
    /// Learned time to first token without load, and gap between tokens at the present concurrency.
    double firstTokenMs { 0 };
    double tokenGapMs { 0 };

    auto operator<=>(const EndpointStatus&) const = default;
};

}

#pragma once

#include <LibCore/Clock.h>

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Chicorydock {

/// Settings of one process, read from a TOML file. The member names are the keys of the file in camel case.
struct Settings {
    /// `[node]`: identity and location of this process.
    struct Node {
        std::string id;
        std::string region;
        std::string failureDomain;

        auto operator<=>(const Node&) const = default;
    };

    /// `[http]`: the port for callers.
    struct Http {
        /// `HOST:PORT`, the host as an IP address.
        std::string address;
        uint32_t ioThreads { 2 };
        uint64_t maxBodyBytes { 8 * 1024 * 1024 };
        uint64_t maxHeaderBytes { 32 * 1024 };
        /// Time in which a complete request must arrive.
        Milliseconds requestTimeoutMs { 15'000 };
        /// Deadline of requests that set none.
        Milliseconds defaultDeadlineMs { 60'000 };
        /// Time between the first termination signal and the refusal of new connections, in which the load balancer
        /// detects that the node is not ready.
        Milliseconds drainDelayMs { 1'000 };
        /// Longest time that a planned stop waits for requests in flight.
        Milliseconds drainTimeoutMs { 120'000 };

        auto operator<=>(const Http&) const = default;
    };

    /// `[rpc]`: the port for peers and operators.
    struct Rpc {
        std::string address;
        /// RPC addresses of some other nodes, used to join when the platform's list of VMs is not available.
        std::vector<std::string> seeds;

        auto operator<=>(const Rpc&) const = default;
    };

    /// `[platform]`: access to the platform's services.
    struct Platform {
        std::string address;
        Milliseconds timeoutMs { 2'000 };

        auto operator<=>(const Platform&) const = default;
    };

    /// `[batch]`: batch processing.
    struct Batch {
        uint32_t chunkItems { 200 };
        Milliseconds leaseMs { 15'000 };
        uint32_t maxClaimedChunks { 4 };
        /// Attempts after which an item is recorded as failed.
        uint32_t maxItemAttempts { 3 };

        auto operator<=>(const Batch&) const = default;
    };

    /// `[log]`: logs and the timeline.
    struct Log {
        /// `debug`, `info`, `warning` or `error`.
        std::string level { "info" };
        /// File for the timeline's events; empty keeps them in memory only.
        std::string eventFile;
        /// Number of events kept in memory.
        uint32_t recentEvents { 20'000 };

        auto operator<=>(const Log&) const = default;
    };

    /// `[[endpoint]]`: an endpoint that is not on the platform's list of VMs.
    struct Endpoint {
        std::string id;
        std::string address;
        std::string service;
        std::string region;
        std::string failureDomain;

        auto operator<=>(const Endpoint&) const = default;
    };

    /// `[scheduler]`: scheduling on the request path.
    struct Scheduling {
        /// `learned` or `naive`.
        std::string policy { "learned" };
        /// Bytes per second that this node may send to and receive from other regions for spilled requests.
        uint64_t regionBytesPerSecond { 200'000 };
        /// Largest increase of the gap between the tokens of online work that batch work may cause, as a fraction of
        /// that gap. A larger value increases the throughput of batch work and the tail latency of online responses.
        double batchGapAllowance { 0.08 };

        auto operator<=>(const Scheduling&) const = default;
    };

    /// `[gateway]`: present on a platform whose own protocol the node implements.
    struct Gateway {
        /// `HOST:PORT` for the load balancer's readiness checks and for metrics.
        std::string statusAddress;
        /// `HOST:PORT` on which other nodes report their load, over UDP, and get the configuration, over TCP.
        std::string peerAddress;
        /// Region of each failure domain.
        std::map<std::string, std::string> regions;

        /// Share of a processor core that the VM provides. VMs with more take on more of the work for others.
        double cpuShare { 1 };

        /// Memory of the VM in megabytes. A part of it is for the requests in progress.
        uint64_t memoryMb { 256 };

        /// Descriptors that the process may open, 0 for the limit that the system sets.
        uint64_t maxDescriptors { 0 };

        /// Whether the node learns how much load each endpoint takes well, and limits its use to that.
        bool learnEndpointLoad { false };

        /// Whether requests and items prefer endpoints that keep parts of their prompt.
        bool placeByPrompt { false };

        /// Whether operators may call the node over RPC, on the address of `Rpc`.
        bool servesOperators { false };

        /// What the deployment tolerates of the rate limits of workspaces: in any window no more requests of a
        /// workspace start than (rate x window + burst) x (1 + overshoot) + slack.
        double quotaWindowS { 5 };
        double quotaOvershoot { 0.1 };
        double quotaSlack { 20 };

        auto operator<=>(const Gateway&) const = default;
    };

    Node node;
    Http http;
    Rpc rpc;
    Platform platform;
    Batch batch;
    Log log;
    Scheduling scheduler;
    std::vector<Endpoint> endpoints;
    std::optional<Gateway> gateway;

    auto operator<=>(const Settings&) const = default;
};

}

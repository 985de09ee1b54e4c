#pragma once

#include <algorithm>
#include <compare>
#include <cstddef>
#include <cstdint>

namespace Chicorydock {

/// Shares out the descriptors that the process may open, and bounds the connections by the memory of the machine. Each
/// request in progress needs a connection of its caller and one to an endpoint, so these have the same share. Nodes
/// that have lost the endpoints hand requests over on the port for peers. The rest is for files, the store, the status
/// port and calls to peers.
///
/// Load: callers that open connections and send nothing, or reset them as soon as they have sent a request.
///
/// Thread safety: immutable.
struct ConnectionShares {
    /// Largest numbers of open connections of callers, of peers, to the status port, and to endpoints.
    size_t callers { 0 };
    size_t peers { 0 };
    size_t status { 0 };
    size_t endpoints { 0 };

    /// Returns the shares of a process that may open that many descriptors, on a machine with that many megabytes.
    static constexpr ConnectionShares of(uint64_t descriptors, uint64_t memoryMb)
    {
        const uint64_t reserved = std::min(descriptors / 2, reservedDescriptors);
        const uint64_t eighth = (descriptors - reserved) / 8;
        const uint64_t memory = memoryMb * bytesPerMegabyte / memoryParts / bytesPerConnection;
        const uint64_t callers = std::min(3 * eighth, memory);
        return { .callers = callers,
            .peers = std::min(eighth, callers),
            .status = std::clamp<uint64_t>(eighth / 4, minStatusConnections, maxStatusConnections),
            .endpoints = 3 * eighth };
    }

    auto operator<=>(const ConnectionShares&) const = default;

private:
    /// Descriptors that a process without any connection of a caller uses, and some for calls to peers.
    static constexpr uint64_t reservedDescriptors = 64;
    static constexpr uint64_t bytesPerMegabyte = 1024 * 1024;
    /// Memory of the objects and socket buffers of a connection on which nothing is in progress.
    static constexpr uint64_t bytesPerConnection = 32 * 1024;
    /// Share of the memory for that, as a divisor. Requests and responses have a third of the memory apart from it.
    static constexpr uint64_t memoryParts = 6;
    /// The load balancer checks once a second, and metrics are read now and then.
    static constexpr uint64_t minStatusConnections = 8;
    static constexpr uint64_t maxStatusConnections = 32;
};

}

#pragma once

#include <LibCore/Clock.h>

#include <cstdint>
#include <limits>
#include <optional>

namespace Chicorydock {

/// Faults that a test has enabled.
struct EngineFaults {
    static constexpr uint64_t allConnections = std::numeric_limits<uint64_t>::max();

    double slowFactor { 1 };
    MonotonicTime slowUntil;
    bool refuse { false };
    /// Number of tokens after which the connection of a failing stream is closed.
    std::optional<uint32_t> failAfterTokens;
    /// Number of further streams to close.
    uint32_t failingStreams { 0 };
    /// Number of further requests that get an error response.
    uint32_t failingRequests { 0 };
    int failingStatus { 500 };
    /// Connections numbered up to this one get no further data.
    uint64_t lastSilentConnection { 0 };

    double slowFactorAt(MonotonicTime now) const { return now < slowUntil ? slowFactor : 1; }
};

}

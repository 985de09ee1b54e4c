#pragma once

#include <LibCore/Clock.h>

#include <cstdint>
#include <limits>
#include <optional>

namespace Chicorydock {

/// The faults that a test switched on.
struct EngineFaults {
    static constexpr uint64_t allConnections = std::numeric_limits<uint64_t>::max();

    double slowFactor { 1 };
    MonotonicTime slowUntil;
    bool refuse { false };
    /// Close the connection of a stream after this many of its tokens.
    std::optional<uint32_t> failAfterTokens;
    /// Number of streams that are still to be closed.
    uint32_t failingStreams { 0 };
    /// Requests that are still to be answered with an error.
    uint32_t failingRequests { 0 };
    int failingStatus { 500 };
    /// Connections up to this number send no byte anymore.
    uint64_t silentUpTo { 0 };

    double slowFactorAt(MonotonicTime now) const { return now < slowUntil ? slowFactor : 1; }
};

}

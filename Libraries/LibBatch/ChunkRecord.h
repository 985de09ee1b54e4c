#pragma once

#include <LibBatch/IndexSet.h>
#include <LibCore/Clock.h>

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Chicorydock {

/// A committed result object and the items whose results it contains.
struct Segment {
    std::string object;
    IndexSet succeeded;
    IndexSet failed;

    auto operator<=>(const Segment&) const = default;
};

/// The durable state of a chunk, stored in a row of table `chunks`. A chunk without a row was never claimed.
struct ChunkRecord {
    enum class State : uint8_t {
        /// Not claimed; may have committed segments.
        Open,
        /// Claimed by `holder` until `expires`.
        Claimed,
        /// Every item has a committed result. This state is final.
        Done,
    };

    uint32_t first { 0 };
    uint32_t count { 0 };
    State state { State::Open };
    /// Identifies one run of the node that claimed the chunk.
    std::string holder;
    /// Incremented by each claim; part of the name of the claim's result object.
    uint64_t epoch { 0 };
    /// When other nodes may claim the chunk. Clocks may differ between nodes: a claim that is made too early repeats
    /// work but cannot duplicate a result, because every write is conditional on the version of the row.
    WallTime expires;
    /// Claims that ended neither with a commit nor with a release; includes the current claim.
    uint32_t lostClaims { 0 };
    /// Whether the chunk results from splitting a chunk with too many lost claims.
    bool isSplit { false };
    std::vector<Segment> segments;
    /// Unique token of the write that produced this row.
    std::string writeToken;

    uint32_t end() const { return first + count; }
    bool hasResult(uint32_t index) const;
    uint32_t succeeded() const;
    uint32_t failed() const;
    /// Returns whether an earlier holder was lost, which one of the items may have caused.
    bool isSuspect() const { return isSplit || lostClaims > 0; }
    /// Returns whether the chunk may be claimed at the given time.
    bool isClaimable(WallTime) const;

    std::string serialize() const;
    /// Throws Error(Internal) if the text is not a chunk record.
    static ChunkRecord parse(std::string_view text);

    auto operator<=>(const ChunkRecord&) const = default;
};

}

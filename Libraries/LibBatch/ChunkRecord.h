#pragma once

#include <LibBatch/IndexSet.h>
#include <LibCore/Clock.h>

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Chicorydock {

/// A committed object with results, and the items that have their result in it.
struct Segment {
    std::string object;
    IndexSet succeeded;
    IndexSet failed;

    auto operator<=>(const Segment&) const = default;
};

/// The durable state of a chunk: the value of its row in table `chunks`. A chunk without a row was never claimed.
struct ChunkRecord {
    enum class State : uint8_t {
        /// Free, with or without committed segments.
        Open,
        /// Held by `holder` until `expires`.
        Claimed,
        /// Every item has a committed result. Final.
        Done,
    };

    uint32_t first { 0 };
    uint32_t count { 0 };
    State state { State::Open };
    /// Identifies one run of one node.
    std::string holder;
    /// Raised with each claim; names the result object of the claim.
    uint64_t epoch { 0 };
    /// When others may claim the chunk. Clocks may differ between nodes: a claim that comes too early costs repeated
    /// work, but no duplicate result, because every write is conditional on the version of the row.
    WallTime expires;
    /// Claims that ended neither with a commit nor with a hand-back; the claim in force counts.
    uint32_t lostClaims { 0 };
    /// Whether the chunk is a part of one that was lost too often.
    bool isSplit { false };
    std::vector<Segment> segments;
    /// Identifies the write that made this row.
    std::string writer;

    uint32_t end() const { return first + count; }
    bool hasResult(uint32_t index) const;
    uint32_t succeeded() const;
    uint32_t failed() const;
    /// Returns whether an earlier holder was lost, so that an item may have been the cause.
    bool isSuspect() const { return isSplit || lostClaims > 0; }
    /// Returns whether the chunk may be claimed at that time.
    bool isClaimable(WallTime) const;

    std::string serialize() const;
    /// Throws Error(Internal) if the text is not a chunk record.
    static ChunkRecord parse(std::string_view text);

    auto operator<=>(const ChunkRecord&) const = default;
};

}

#pragma once

#include <LibCore/Clock.h>

#include <cstdint>
#include <string>

namespace Chicorydock {

/// Settings of a batch controller.
struct BatchOptions {
    std::string nodeId;
    Milliseconds lease { 15'000 };
    /// Bounds the memory for items and results: each chunk holds up to the job's chunk size of items.
    uint32_t maxClaimedChunks { 4 };
    /// Attempts after which an item ends as failed; also the number of lost claims of a chunk with a single item.
    uint32_t maxItemAttempts { 3 };
    /// Lost claims after which a chunk is split.
    uint32_t maxLostClaims { 3 };
    /// Unrepeatable items that get their intent record in one transaction, at least. After a crash, those that did not
    /// start yet also end as `may_have_run`, so a larger group saves writes and costs results.
    uint32_t intentGroup { 16 };
    /// Time between looks for work: the first after a success, and the longest while there is none.
    Milliseconds minPoll { 500 };
    Milliseconds maxPoll { 5'000 };
    /// Time between reads of the rows of jobs with claimed chunks, to notice a cancellation.
    Milliseconds cancelCheck { 2'000 };
    /// Time without a running item after which a chunk is handed back: the endpoints that this node may use for batch
    /// work can all pass to other nodes while it holds the chunk.
    Milliseconds maxIdle { 5'000 };
    /// Delay before an item whose attempt failed or did not run is tried again.
    Milliseconds retryDelay { 1'000 };

    auto operator<=>(const BatchOptions&) const = default;
};

/// What a batch controller has done so far.
struct BatchCounters {
    uint64_t claims { 0 };
    uint64_t claimConflicts { 0 };
    uint64_t commits { 0 };
    uint64_t lostChunks { 0 };
    uint64_t handedBack { 0 };
    uint64_t splits { 0 };
    uint64_t itemsStarted { 0 };
    uint64_t itemsEnded { 0 };

    auto operator<=>(const BatchCounters&) const = default;
};

}

#pragma once

#include <LibCore/Clock.h>

#include <cstdint>
#include <string>

namespace Chicorydock {

/// Settings of a batch controller.
struct BatchOptions {
    std::string nodeId;
    Milliseconds lease { 15'000 };
    /// Limits the memory for items and results. A chunk has at most as many items as the chunk size of its job.
    uint32_t maxClaimedChunks { 4 };
    /// Attempts after which an item ends as failed. Also the number of lost claims after which the item of a
    /// single-item chunk does.
    uint32_t maxItemAttempts { 3 };
    /// Lost claims after which a chunk is split.
    uint32_t maxLostClaims { 3 };
    /// Minimum number of unrepeatable items whose intent records are written in one transaction, if that many are
    /// waiting. After a crash, items that have an intent record but did not start also end as `may_have_run`, so larger
    /// groups save writes at the cost of results.
    uint32_t minIntentGroupSize { 16 };
    /// Interval between polls for work: the minimum after a claim, and the maximum of the backoff while no work is
    /// found.
    Milliseconds minPollInterval { 500 };
    Milliseconds maxPollInterval { 5'000 };
    /// Interval between reads of the rows of jobs with claimed chunks, to detect cancellations.
    Milliseconds cancelCheckInterval { 2'000 };
    /// Time without a running item after which a chunk is released. While a node holds a chunk, all endpoints that it
    /// may use for batch work can be reassigned to other nodes.
    Milliseconds maxIdleTime { 5'000 };
    /// Delay before an item is retried whose attempt failed or did not run.
    Milliseconds retryDelay { 1'000 };

    auto operator<=>(const BatchOptions&) const = default;
};

/// Totals since the batch controller was created.
struct BatchCounters {
    uint64_t claims { 0 };
    uint64_t claimConflicts { 0 };
    uint64_t commits { 0 };
    uint64_t lostChunks { 0 };
    uint64_t releases { 0 };
    uint64_t splits { 0 };
    uint64_t itemsStarted { 0 };
    uint64_t itemsEnded { 0 };

    auto operator<=>(const BatchCounters&) const = default;
};

}

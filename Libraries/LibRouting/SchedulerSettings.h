#pragma once

#include <LibCore/Clock.h>

#include <compare>
#include <cstdint>
#include <string>

namespace Chicorydock {

/// Targets, budgets and limits of one scheduler.
struct SchedulerSettings {
    /// Failure domain of this node. Endpoints of other failure domains are used only when the own one cannot meet a
    /// deadline. Empty: every endpoint that is not remote counts as local.
    std::string failureDomain;

    /// Target for the time to the first token of online work.
    Milliseconds firstTokenTarget { 1'500 };
    /// Target for the gap between tokens of online work.
    Milliseconds tokenGapTarget { 27 };
    /// Longest predicted time in the online queue; work that would wait longer is refused.
    Milliseconds maxQueueWait { 1'000 };

    /// Concurrency limit of an endpoint of which nothing is known.
    uint32_t initialConcurrency { 8 };
    /// Concurrency limit that no endpoint exceeds.
    uint32_t maxConcurrency { 64 };
    /// Concurrency limit of every endpoint under the naive policy.
    uint32_t fixedConcurrency { 32 };
    /// Share of an endpoint's concurrency limit that batch work leaves free for online work.
    double onlineReserve { 0.1 };
    /// How much longer batch work may make the token gap that the online work of an endpoint would have without it.
    double batchGapAllowance { 0.08 };
    /// Share of an endpoint's slots that long work never takes.
    double shortSlots { 0.25 };

    uint32_t maxOnlineQueued { 2'000 };
    uint32_t maxBatchQueued { 20'000 };

    /// Retries and hedges per started request.
    double retryBudget { 0.10 };
    double hedgeBudget { 0.05 };
    /// Retries that may happen at once after a quiet time or a start. All streams of a lost endpoint are resumed at
    /// once, and an endpoint runs up to `maxConcurrency` of them.
    double retryBurst { 64 };
    /// Hedges that may happen at once after a quiet time. There are none at the start, because no speed is known yet.
    double hedgeBurst { 10 };

    /// Bytes a second for work sent to other regions.
    uint64_t regionBytesPerSecond { 200'000 };
    /// Bytes that a prompt token and a generated token take on the link between regions.
    uint32_t bytesPerPromptToken { 5 };
    uint32_t bytesPerGeneratedToken { 220 };

    /// How long batch work stays off an endpoint after online work needed its slot.
    Milliseconds yieldHold { 300 };
    /// How long a peer's summary counts; peers send one a second.
    Milliseconds peerSummaryLife { 5'000 };

    auto operator<=>(const SchedulerSettings&) const = default;
};

}

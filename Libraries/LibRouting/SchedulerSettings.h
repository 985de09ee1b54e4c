#pragma once

#include <LibCore/Clock.h>

#include <compare>
#include <cstdint>
#include <string>

namespace Chicorydock {

/// Targets, budgets and limits of one scheduler.
struct SchedulerSettings {
    /// Failure domain of this node. Endpoints of other failure domains are used only if its own endpoints cannot meet a
    /// deadline. If empty, every endpoint that is not remote counts as local.
    std::string failureDomain;

    /// Target for the time to the first token of online work.
    Milliseconds firstTokenTarget { 1'500 };
    /// Target for the gap between tokens of online work.
    Milliseconds tokenGapTarget { 27 };
    /// Longest predicted time in the online queue; work that would wait longer is refused.
    Milliseconds maxQueueWait { 1'000 };

    /// Concurrency limit from which an endpoint ramps up once its first estimates are known.
    uint32_t initialConcurrency { 8 };
    /// Upper bound of the concurrency limit of every endpoint.
    uint32_t maxConcurrency { 64 };
    /// Concurrency limit of every endpoint in `NaiveScheduler`.
    uint32_t fixedConcurrency { 32 };
    /// Share of an endpoint's concurrency limit that batch work leaves free for online work.
    double onlineReserve { 0.1 };
    /// Relative increase of an endpoint's online token gap that batch work may cause.
    double batchGapAllowance { 0.08 };
    /// Share of an endpoint's slots that long work may not use.
    double shortSlotShare { 0.25 };

    uint32_t maxOnlineQueued { 2'000 };
    uint32_t maxBatchQueued { 20'000 };

    /// Retries and hedges allowed per online request.
    double retryBudget { 0.10 };
    double hedgeBudget { 0.05 };
    /// Maximum number of retries or hedges that accumulate during quiet times.
    double budgetBurst { 10 };
    /// Additional retries for work whose endpoint failed, available from the start. All streams of a lost endpoint are
    /// resumed at once, and an endpoint runs up to `maxConcurrency` of them. Refusals never use this budget, because
    /// overloaded endpoints refuse requests by the thousand.
    double failoverBudget { 64 };
    /// Refill rate of the failover budget: about one lost endpoint in ten minutes.
    double failoverBudgetPerSecond { 0.1 };

    /// Bytes per second for work that is sent to other regions.
    uint64_t regionBytesPerSecond { 200'000 };
    /// Bytes that a prompt token and a generated token take on the link between regions.
    uint32_t bytesPerPromptToken { 5 };
    uint32_t bytesPerGeneratedToken { 220 };

    /// How long no new batch work starts on an endpoint after online work needed its slots.
    Milliseconds yieldHold { 300 };
    /// How long a peer's summary is valid; peers send one per second.
    Milliseconds peerSummaryLifetime { 5'000 };

    auto operator<=>(const SchedulerSettings&) const = default;
};

}

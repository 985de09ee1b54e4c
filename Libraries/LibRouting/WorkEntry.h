#pragma once

#include <LibRouting/BatchQueue.h>
#include <LibRouting/OnlineQueue.h>
#include <LibRouting/Work.h>

#include <algorithm>
#include <optional>
#include <vector>

namespace Chicorydock {

/// One attempt at a work on one endpoint, from its start until `Scheduler::finishAttempt()`.
struct Attempt {
    uint32_t endpoint { 0 };
    MonotonicTime started;
    MonotonicTime lastTokens;
    uint32_t tokens { 0 };
    /// Prompt tokens that the endpoint has to process, without those that a warm prefix saves.
    double promptTokens { 0 };
    bool isCancelled { false };
    /// Whether it counts as long at the endpoint.
    bool isLong { false };
};

/// What the learned policy keeps for one work, from `submit()` until its last attempt ended.
struct WorkEntry {
    enum class State : uint8_t {
        /// Submitted, and not looked at yet.
        Arrived,
        Queued,
        InFlight,
        /// Ended for the caller; cancelled attempts are still to report.
        Ended,
    };

    Work work;
    State state { State::Arrived };
    uint32_t lane { 0 };
    MonotonicTime submitted;
    double expectedTokens { 0 };
    bool isLong { false };
    bool isWithdrawn { false };
    bool isHedged { false };
    bool hasStarted { false };
    /// Rank of its worth among recent requests.
    double worthRank { 1 };
    std::vector<uint32_t> excluded;
    std::vector<Attempt> attempts;
    OnlineQueue::Place onlinePlace;
    BatchQueue::Place batchPlace;
    /// While queued: when it is refused. In flight: when it is hedged.
    std::optional<MonotonicTime> timer;

    bool isOnline() const { return work.workClass == WorkClass::Online; }

    bool mayRunOn(uint32_t endpoint) const
    {
        const auto runsThere = [&](const Attempt& attempt) { return attempt.endpoint == endpoint; };
        return std::ranges::find(excluded, endpoint) == excluded.end() && std::ranges::none_of(attempts, runsThere);
    }

    bool hasLiveAttempt() const
    {
        return std::ranges::any_of(attempts, [](const Attempt& attempt) { return !attempt.isCancelled; });
    }
};

}

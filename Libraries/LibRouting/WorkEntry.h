#pragma once

#include <LibRouting/BatchQueue.h>
#include <LibRouting/OnlineQueue.h>
#include <LibRouting/Work.h>

#include <algorithm>
#include <optional>
#include <vector>

namespace Chicorydock {

/// One attempt to run a work on one endpoint, from its start until `Scheduler::finishAttempt()`.
struct Attempt {
    uint32_t endpoint { 0 };
    MonotonicTime started;
    MonotonicTime lastTokens;
    uint32_t tokens { 0 };
    /// Prompt tokens that the endpoint has to process, without those of a cached prefix.
    double promptTokens { 0 };
    bool isCancelled { false };
    /// Whether the endpoint counts it as long work.
    bool isLong { false };
};

/// State of one work in the learned scheduler, from `submit()` until its last attempt has ended.
struct WorkEntry {
    enum class State : uint8_t {
        /// Submitted, but not yet admitted.
        Arrived,
        Queued,
        InFlight,
        /// Ended for the caller, but some cancelled attempts have not been reported as ended yet.
        Ended,
    };

    Work work;
    State state { State::Arrived };
    uint32_t pool { 0 };
    MonotonicTime submitted;
    double expectedTokens { 0 };
    bool isLong { false };
    bool isWithdrawn { false };
    bool isHedged { false };
    bool hasStarted { false };
    /// Rank of its worth among recent requests, in [0, 1].
    double worthRank { 1 };
    std::vector<uint32_t> excluded;
    std::vector<Attempt> attempts;
    OnlineQueue::Key onlineKey;
    BatchQueue::Key batchKey;
    /// When queued work is refused, or when work in flight is hedged.
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

#pragma once

#include <LibRouting/Work.h>

namespace Chicorydock {

/// What a node tells its peers about one endpoint, and hears from them.
struct EndpointSummary {
    std::string endpoint;
    uint32_t onlineInFlight { 0 };
    uint32_t batchInFlight { 0 };
    /// Learned time to first token without load, in seconds; 0 if not learned.
    double firstTokenSeconds { 0 };
    /// Learned gap between tokens at concurrency 0 and its slope per concurrent stream, in seconds.
    double gapBaseSeconds { 0 };
    double gapSlopeSeconds { 0 };

    auto operator<=>(const EndpointSummary&) const = default;
};

/// Counters of one service, for status and metrics.
struct SchedulerCounters {
    uint32_t onlineQueued { 0 };
    uint32_t batchQueued { 0 };
    uint32_t onlineInFlight { 0 };
    uint32_t batchInFlight { 0 };
    uint64_t refused { 0 };
    uint64_t yielded { 0 };
    uint64_t hedged { 0 };

    auto operator<=>(const SchedulerCounters&) const = default;
};

/// What an operator sees of one endpoint.
struct EndpointView {
    SchedulerEndpoint endpoint;
    EndpointSummary summary;
    /// Learned concurrency limit.
    uint32_t limit { 0 };
    /// Recent speed relative to the learned one; below 1 while slowed.
    double health { 1 };
};

/// Decides which work runs where and when, for one service at one node. Deterministic: the same calls with the same
/// times give the same decisions.
///
/// Thread safety: none; the caller guards each scheduler with a mutex.
class Scheduler {
public:
    virtual ~Scheduler() = default;

    /// Replaces the endpoints. Work in flight on an endpoint that is gone stays in flight until `finishAttempt()`.
    virtual void setEndpoints(const std::vector<SchedulerEndpoint>&, MonotonicTime now) = 0;

    /// Queues work. Precondition: the id is not in use. Refusals come from `poll()`, at the same time.
    virtual void submit(const Work&, MonotonicTime now) = 0;

    /// Forgets queued work, or notes that work in flight no longer has a caller: it is neither hedged nor started
    /// again. No Cancel decision follows; the owner of the attempts ends them, and they are still reported to
    /// `finishAttempt()`. Unknown ids are ignored.
    virtual void withdraw(WorkId, MonotonicTime now) = 0;

    /// Returns what to do now. Called after every other call and at `nextPoll()`.
    virtual std::vector<Decision> poll(MonotonicTime now) = 0;

    /// Returns when `poll()` has to be called even if nothing happens.
    virtual MonotonicTime nextPoll(MonotonicTime now) const = 0;

    /// Tokens arrived on an attempt; the first call for an attempt marks its first token.
    virtual void recordTokens(WorkId, const std::string& endpoint, uint32_t count, MonotonicTime now) = 0;

    /// An attempt ended. After `Failed` or `Refused` the scheduler may start online work again within the retry budget
    /// if it is repeatable and `mayRetry` says so; otherwise it forgets the work, and the caller answers it. Batch work
    /// that was cancelled to give way is queued again; failed batch work is not, because its job counts the attempts.
    /// Returns whether the work is queued again. If another attempt of the work runs, the result is false, and the work
    /// goes on there.
    virtual bool finishAttempt(WorkId, const std::string& endpoint, AttemptOutcome, bool mayRetry, MonotonicTime now)
        = 0;

    /// Takes in an endpoint's late report of its own load.
    virtual void recordLoadReport(
        const std::string& endpoint, uint32_t running, uint32_t waiting, Milliseconds age, MonotonicTime now)
        = 0;

    /// Takes in cache events; `gap` says that some before them were lost.
    virtual void recordCacheEvents(const std::string& endpoint, const std::vector<uint64_t>& stored,
        const std::vector<uint64_t>& evicted, bool gap, MonotonicTime now)
        = 0;

    /// Takes in what a peer says about the endpoints that it uses; an empty list means that the peer is gone.
    virtual void recordPeerSummary(const std::string& node, const std::vector<EndpointSummary>&, MonotonicTime now) = 0;

    /// A peer asks this node to take batch work off the endpoint for a moment, because online work waits.
    virtual void yieldBatch(const std::string& endpoint, MonotonicTime now) = 0;

    /// Returns the endpoints that a peer should take batch work off, because online work waits here; clears the list.
    virtual std::vector<std::string> takeYieldRequests() = 0;

    /// Returns how many more batch items could run now, for the batch controller.
    virtual uint32_t batchRoom(MonotonicTime now) const = 0;

    virtual std::vector<EndpointSummary> summary(MonotonicTime now) const = 0;
    virtual std::vector<EndpointView> view(MonotonicTime now) const = 0;
    virtual SchedulerCounters counters() const = 0;
};

}

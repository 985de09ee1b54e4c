#pragma once

#include <LibRouting/Work.h>

namespace Chicorydock {

/// In-flight counts and learned speed of one endpoint, as nodes send them to their peers.
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

/// State of one endpoint, for operators.
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

    /// Replaces the endpoints. Work in flight on a removed endpoint stays in flight until `finishAttempt()`.
    virtual void setEndpoints(const std::vector<SchedulerEndpoint>&, MonotonicTime now) = 0;

    /// Queues work. Precondition: the id is not in use. If the work cannot be accepted, the next `poll()` refuses it.
    virtual void submit(const Work&, MonotonicTime now) = 0;

    /// Removes queued work, or marks work in flight as abandoned by its caller: it is neither hedged nor started again.
    /// No Cancel decision follows; the owner of the attempts cancels them and still reports their end to
    /// `finishAttempt()`. Unknown ids are ignored.
    virtual void withdraw(WorkId, MonotonicTime now) = 0;

    /// Returns the decisions that are due. To be called after every other call and at `nextPoll()`.
    virtual std::vector<Decision> poll(MonotonicTime now) = 0;

    /// Returns when `poll()` has to be called even if no other call is made until then.
    virtual MonotonicTime nextPoll(MonotonicTime now) const = 0;

    /// Records that tokens arrived on an attempt. The first call for an attempt marks its first token.
    virtual void recordTokens(WorkId, const std::string& endpoint, uint32_t count, MonotonicTime now) = 0;

    /// Records the end of an attempt. After `Failed` or `Refused` the scheduler may start online work again within the
    /// retry budget if the work is repeatable and `mayRetry` is true; otherwise it stops tracking the work, and the
    /// caller has to answer it. Preempted batch work is queued again; failed batch work is not, because its job counts
    /// the attempts. Returns whether the work is queued again. If another attempt of the work is running, the result is
    /// false, and the work continues there.
    virtual bool finishAttempt(WorkId, const std::string& endpoint, AttemptOutcome, bool mayRetry, MonotonicTime now)
        = 0;

    /// Records the load that an endpoint reported `age` ago.
    virtual void recordLoadReport(
        const std::string& endpoint, uint32_t running, uint32_t waiting, Milliseconds age, MonotonicTime now)
        = 0;

    /// Records cache events of an endpoint; `gap` means that events before them were lost.
    virtual void recordCacheEvents(const std::string& endpoint, const std::vector<uint64_t>& stored,
        const std::vector<uint64_t>& evicted, bool gap, MonotonicTime now)
        = 0;

    /// Records a peer's summary of the endpoints that it uses. An empty list means that the peer has left.
    virtual void recordPeerSummary(const std::string& node, const std::vector<EndpointSummary>&, MonotonicTime now) = 0;

    /// Handles a peer's request to free slots for waiting online work: cancels part of this node's batch work on the
    /// endpoint and starts no new batch work there for a short time.
    virtual void yieldBatch(const std::string& endpoint, MonotonicTime now) = 0;

    /// Returns the endpoints on which peers should cancel batch work in favour of online work of this node, and clears
    /// the list.
    virtual std::vector<std::string> takeYieldRequests() = 0;

    /// Returns how many more batch items could run now, for the batch controller.
    virtual uint32_t batchRoom(MonotonicTime now) const = 0;

    virtual std::vector<EndpointSummary> summary(MonotonicTime now) const = 0;
    virtual std::vector<EndpointView> view(MonotonicTime now) const = 0;
    virtual SchedulerCounters counters() const = 0;
};

}

#pragma once

#include <LibCore/Post.h>
#include <LibCore/RcuCell.h>
#include <LibDispatch/EndpointSet.h>
#include <LibRouting/Scheduler.h>

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace Chicorydock {

/// Hears what the scheduler decided about one piece of work, on the thread that submitted it.
class DispatchListener {
public:
    virtual ~DispatchListener() = default;

    /// Send the work to the endpoint, and report the attempt's end with `Dispatcher::finished()`. If another attempt is
    /// in flight, this one is a hedge.
    virtual void onStart(const KnownEndpoint&) = 0;

    /// Cancel the attempt on the endpoint and report its end as `Cancelled`. Batch work may be started again later.
    virtual void onCancel(const std::string& endpoint) = 0;

    /// The work is refused: answer it at once. Nothing more comes.
    virtual void onRefuse(const Error&) = 0;
};

/// Holds one scheduler for each service, guards it with a mutex, and carries its decisions to the threads that own the
/// work.
///
/// Thread safety: all methods may be called from any thread.
class Dispatcher {
public:
    using SchedulerFactory = std::function<std::unique_ptr<Scheduler>(const std::string& service)>;
    using YieldCallback = std::function<void(const std::string& service, const std::string& endpoint)>;

    /// `wake` is called when a poll is due earlier than `nextPoll()` last said. `yield` is called when a peer should
    /// take batch work off an endpoint, because online work waits here. Both are called on any thread, under the mutex
    /// of a service, so they must not call back.
    Dispatcher(const Clock&, SchedulerFactory, std::function<void()> wake, YieldCallback yield);
    ~Dispatcher();

    /// Replaces the endpoints of each service. Work on endpoints that are gone ends by itself.
    void setEndpoints(const EndpointSet&, const std::map<std::string, std::vector<SchedulerEndpoint>>& byService);

    /// Queues work and returns its id; the id inside `work` is ignored. `post` reaches the thread of the listener,
    /// which is never called before this returns.
    WorkId submit(const std::string& service, Work work, std::weak_ptr<DispatchListener>, Post post);

    /// Gives the work up: nothing more comes except starts already under way, which the listener ends as `Cancelled`.
    void withdraw(const std::string& service, WorkId);

    void tokens(const std::string& service, WorkId, const std::string& endpoint, uint32_t count);

    /// Reports the end of an attempt; see `Scheduler::finishAttempt()`. Returns whether the work is queued again.
    bool finished(const std::string& service, WorkId, const std::string& endpoint, AttemptOutcome, bool mayRetry);

    void loadReport(
        const std::string& service, const std::string& endpoint, uint32_t running, uint32_t waiting, Milliseconds age);
    void cacheEvents(const std::string& service, const std::string& endpoint, const std::vector<uint64_t>& stored,
        const std::vector<uint64_t>& evicted, bool gap);
    void peerSummary(const std::string& service, const std::string& node, const std::vector<EndpointSummary>&);
    void yieldBatch(const std::string& service, const std::string& endpoint);

    uint32_t batchRoom(const std::string& service) const;
    std::map<std::string, std::vector<EndpointSummary>> summaries() const;
    std::map<std::string, std::vector<EndpointView>> views() const;
    /// Returns the endpoints of one service; none if it has no scheduler.
    std::vector<EndpointView> view(const std::string& service) const;
    std::map<std::string, SchedulerCounters> counters() const;

    /// Returns whether the service has a scheduler, that is, whether any endpoint of it was ever known.
    bool hasService(const std::string& service) const;

    /// Lets the schedulers act on the passing of time. Called at `nextPoll()`.
    void poll();
    MonotonicTime nextPoll() const;

private:
    struct Entry {
        std::weak_ptr<DispatchListener> listener;
        Post post;
        uint32_t attempts { 0 };
        bool isEnded { false };
    };

    struct Lane {
        std::string service;
        std::mutex mutex;
        std::unique_ptr<Scheduler> scheduler;
        std::unordered_map<WorkId, Entry> entries;
        MonotonicTime nextPoll;
    };

    using Lanes = std::map<std::string, std::shared_ptr<Lane>>;

    std::shared_ptr<Lane> lane(const std::string& service) const;
    void pollLane(Lane&);
    void deliver(Lane&, const Decision&);
    static void forgetIfDone(Lane&, std::unordered_map<WorkId, Entry>::iterator);

    const Clock& m_clock;
    SchedulerFactory m_factory;
    std::function<void()> m_wake;
    YieldCallback m_yield;
    RcuCell<Lanes> m_lanes;
    RcuCell<EndpointSet> m_endpoints;
    std::atomic<WorkId> m_lastId { 0 };
};

}

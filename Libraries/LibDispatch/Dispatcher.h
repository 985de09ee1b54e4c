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

/// Receives the scheduler's decisions about one piece of work, on the thread that submitted it.
class DispatchListener {
public:
    virtual ~DispatchListener() = default;

    /// Sends the work to the endpoint and reports the end of the attempt with `Dispatcher::finishAttempt()`. If another
    /// attempt is in flight, this one is a hedge.
    virtual void onStart(const KnownEndpoint&) = 0;

    /// Cancels the attempt on the endpoint and reports its end as `Cancelled`. Batch work may be started again later.
    virtual void onCancel(const std::string& endpoint) = 0;

    /// The work is refused and has to be answered at once. No further calls follow.
    virtual void onRefuse(const Error&) = 0;
};

/// Holds one scheduler for each service, guards it with a mutex, and delivers its decisions to the threads that own the
/// work.
///
/// Thread safety: all methods may be called from any thread.
class Dispatcher {
public:
    using SchedulerFactory = std::function<std::unique_ptr<Scheduler>(const std::string& service)>;
    using YieldCallback = std::function<void(const std::string& service, const std::string& endpoint)>;

    /// `wake` is called when a poll becomes due earlier than the last result of `nextPoll()`. `yield` is called when a
    /// peer should cancel batch work on an endpoint because online work is waiting at this node. Both are called on any
    /// thread, with the mutex of a service held, so they must not call the dispatcher.
    Dispatcher(const Clock&, SchedulerFactory, std::function<void()> wake, YieldCallback yield);
    ~Dispatcher();

    /// Replaces the endpoints of each service. Attempts on removed endpoints are not cancelled.
    void setEndpoints(const EndpointSet&, const std::map<std::string, std::vector<SchedulerEndpoint>>& byService);

    /// Queues work and returns its id; the id inside `work` is ignored. `post` runs functions on the thread of the
    /// listener, which is never called before this method returns.
    WorkId submit(const std::string& service, Work work, std::weak_ptr<DispatchListener>, Post post);

    /// Withdraws the work. Only starts that were already posted still reach the listener, which reports their end as
    /// `Cancelled`.
    void withdraw(const std::string& service, WorkId);

    void recordTokens(const std::string& service, WorkId, const std::string& endpoint, uint32_t count);

    /// Reports the end of an attempt; see `Scheduler::finishAttempt()`. Returns whether the work is queued again.
    bool finishAttempt(const std::string& service, WorkId, const std::string& endpoint, AttemptOutcome, bool mayRetry);

    void recordLoadReport(
        const std::string& service, const std::string& endpoint, uint32_t running, uint32_t waiting, Milliseconds age);
    void recordCacheEvents(const std::string& service, const std::string& endpoint, const std::vector<uint64_t>& stored,
        const std::vector<uint64_t>& evicted, bool gap);
    void recordPeerSummary(const std::string& service, const std::string& node, const std::vector<EndpointSummary>&);
    void yieldBatch(const std::string& service, const std::string& endpoint);

    uint32_t batchRoom(const std::string& service) const;
    std::map<std::string, std::vector<EndpointSummary>> summaries() const;
    std::map<std::string, std::vector<EndpointView>> views() const;
    /// Returns the endpoints of one service; none if it has no scheduler.
    std::vector<EndpointView> view(const std::string& service) const;
    std::map<std::string, SchedulerCounters> counters() const;

    /// Returns whether the service has a scheduler, that is, whether it has ever had a known endpoint.
    bool hasService(const std::string& service) const;

    /// Polls the schedulers that are due. Called at `nextPoll()`.
    void poll();
    MonotonicTime nextPoll() const;

private:
    struct Entry {
        std::weak_ptr<DispatchListener> listener;
        Post post;
        uint32_t attemptsInFlight { 0 };
        bool isEnded { false };
    };

    struct ServiceState {
        std::string service;
        std::mutex mutex;
        std::unique_ptr<Scheduler> scheduler;
        std::unordered_map<WorkId, Entry> entries;
        MonotonicTime nextPoll;
    };

    using Services = std::map<std::string, std::shared_ptr<ServiceState>>;

    std::shared_ptr<ServiceState> findService(const std::string& service) const;
    void pollService(ServiceState&);
    void deliver(ServiceState&, const Decision&);
    static void eraseIfDone(ServiceState&, std::unordered_map<WorkId, Entry>::iterator);

    const Clock& m_clock;
    SchedulerFactory m_factory;
    std::function<void()> m_wake;
    YieldCallback m_yield;
    RcuCell<Services> m_services;
    RcuCell<EndpointSet> m_endpoints;
    std::atomic<WorkId> m_lastId { 0 };
};

}

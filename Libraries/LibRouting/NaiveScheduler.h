#pragma once

#include <LibRouting/Scheduler.h>
#include <LibRouting/SchedulerSettings.h>

#include <deque>
#include <map>
#include <unordered_map>

namespace Chicorydock {

/// Baseline for comparison with `LearnedScheduler`: round robin over the endpoints, one queue in arrival order for
/// online and batch work, a fixed concurrency limit per endpoint, no reserve for online work, retries without a budget,
/// no hedges.
///
/// Thread safety: none, as for every scheduler.
class NaiveScheduler final : public Scheduler {
public:
    explicit NaiveScheduler(const SchedulerSettings&);

    void setEndpoints(const std::vector<SchedulerEndpoint>&, MonotonicTime now) override;
    void submit(const Work&, MonotonicTime now) override;
    void withdraw(WorkId, MonotonicTime now) override;
    std::vector<Decision> poll(MonotonicTime now) override;
    MonotonicTime nextPoll(MonotonicTime now) const override;
    void recordTokens(WorkId, const std::string& endpoint, uint32_t count, MonotonicTime now) override;
    bool finishAttempt(WorkId, const std::string& endpoint, AttemptOutcome, bool mayRetry, MonotonicTime now) override;
    void recordLoadReport(
        const std::string& endpoint, uint32_t running, uint32_t waiting, Milliseconds age, MonotonicTime now) override;
    void recordCacheEvents(const std::string& endpoint, const std::vector<uint64_t>& stored,
        const std::vector<uint64_t>& evicted, bool gap, MonotonicTime now) override;
    void recordPeerSummary(const std::string& node, const std::vector<EndpointSummary>&, MonotonicTime now) override;
    void yieldBatch(const std::string& endpoint, MonotonicTime now) override;
    std::vector<std::string> takeYieldRequests() override;
    uint32_t batchRoom(MonotonicTime now) const override;
    std::vector<EndpointSummary> summary(MonotonicTime now) const override;
    std::vector<EndpointView> view(MonotonicTime now) const override;
    SchedulerCounters counters() const override;

private:
    struct Entry {
        Work work;
        std::string endpoint;
        bool isInFlight { false };
        bool isWithdrawn { false };
    };

    struct Endpoint {
        SchedulerEndpoint endpoint;
        bool isPresent { true };
        uint32_t online { 0 };
        uint32_t batch { 0 };
    };

    uint32_t& queued(const Work&);
    void push(const Work&);
    void pop();
    bool mayRun(const Endpoint&, const Work&) const;
    bool hasCandidate(const Work&) const;
    Endpoint* nextEndpoint(const Work&);
    void start(Entry&, Endpoint&);
    uint32_t& inFlight(Endpoint&, const Work&);
    void refuse(WorkId, ErrorKind, const char* message, std::vector<Decision>&);

    SchedulerSettings m_settings;
    std::map<std::string, Endpoint> m_endpoints;
    std::unordered_map<WorkId, Entry> m_entries;
    std::deque<WorkId> m_queue;
    std::string m_lastEndpoint;
    SchedulerCounters m_counters;
};

}

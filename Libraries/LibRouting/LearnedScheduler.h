#pragma once

#include <LibCore/Random.h>
#include <LibRouting/NaiveScheduler.h>

namespace Chicorydock {

/// Schedules by learned endpoint speeds, online work before batch work.
///
/// FIXME: Decisions still come from the naive policy; the learned one follows behind this interface.
///
/// Thread safety: none, as for every scheduler. `Random` must outlive the scheduler and is used by no one else
/// meanwhile.
class LearnedScheduler final : public Scheduler {
public:
    LearnedScheduler(const SchedulerSettings& settings, Random& random)
        : m_naive(settings)
        , m_random(random)
    {
    }

    void setEndpoints(const std::vector<SchedulerEndpoint>& endpoints, MonotonicTime now) override
    {
        m_naive.setEndpoints(endpoints, now);
    }
    void submit(const Work& work, MonotonicTime now) override { m_naive.submit(work, now); }
    void withdraw(WorkId id, MonotonicTime now) override { m_naive.withdraw(id, now); }
    std::vector<Decision> poll(MonotonicTime now) override { return m_naive.poll(now); }
    MonotonicTime nextPoll(MonotonicTime now) const override { return m_naive.nextPoll(now); }
    void tokens(WorkId id, const std::string& endpoint, uint32_t count, MonotonicTime now) override
    {
        m_naive.tokens(id, endpoint, count, now);
    }
    bool finished(
        WorkId id, const std::string& endpoint, AttemptOutcome outcome, bool mayRetry, MonotonicTime now) override
    {
        return m_naive.finished(id, endpoint, outcome, mayRetry, now);
    }
    void loadReport(const std::string&, uint32_t, uint32_t, Milliseconds, MonotonicTime) override { }
    void cacheEvents(
        const std::string&, const std::vector<uint64_t>&, const std::vector<uint64_t>&, bool, MonotonicTime) override
    {
    }
    void peerSummary(const std::string&, const std::vector<EndpointSummary>&, MonotonicTime) override { }
    void yieldBatch(const std::string&, MonotonicTime) override { }
    std::vector<std::string> takeYieldRequests() override { return {}; }
    uint32_t batchRoom(MonotonicTime now) const override { return m_naive.batchRoom(now); }
    std::vector<EndpointSummary> summary(MonotonicTime now) const override { return m_naive.summary(now); }
    std::vector<EndpointView> view(MonotonicTime now) const override { return m_naive.view(now); }
    SchedulerCounters counters() const override { return m_naive.counters(); }

private:
    NaiveScheduler m_naive;
    [[maybe_unused]] Random& m_random;
};

}

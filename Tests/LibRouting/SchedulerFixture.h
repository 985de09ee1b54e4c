#pragma once

#include <LibCore/SeededRandom.h>
#include <LibRouting/LearnedScheduler.h>
#include <Tests/Support/SimulatedClock.h>

#include <algorithm>

namespace Chicorydock {

/// A learned scheduler on a simulated clock, with endpoints whose speed a peer has already estimated.
class SchedulerFixture {
public:
    explicit SchedulerFixture(const SchedulerSettings& settings = {})
        : scheduler(settings, m_random)
    {
    }

    /// Sets endpoints `e0`, `e1`, ... with the speed 10 ms + 0.5 ms per stream, so that the limit starts at
    /// `initialConcurrency`.
    void setEndpoints(size_t count)
    {
        endpoints.clear();
        for (size_t n = 0; n < count; ++n)
            endpoints.push_back({ "e" + std::to_string(n), "domain", false, false, true, {} });
        update();
    }

    /// Passes changes of `endpoints` to the scheduler.
    void update()
    {
        scheduler.setEndpoints(endpoints, clock.now());
        std::vector<EndpointSummary> summaries;
        for (const SchedulerEndpoint& it : endpoints)
            summaries.push_back({ it.id, 0, 0, 0.05, 0.010, 0.0005 });
        scheduler.recordPeerSummary("peer", summaries, clock.now());
    }

    Work online(double deadlineSeconds = 60)
    {
        Work work;
        work.id = ++m_lastId;
        work.model = "m";
        work.workspace = "w";
        work.promptTokens = 100;
        work.maxTokens = 400;
        work.deadline = clock.now() + fromSeconds(deadlineSeconds);
        return work;
    }

    Work batch()
    {
        Work work = online(3'600);
        work.workClass = WorkClass::Batch;
        return work;
    }

    std::vector<Decision> submit(const Work& work)
    {
        scheduler.submit(work, clock.now());
        return poll();
    }

    std::vector<Decision> poll() { return scheduler.poll(clock.now()); }

    bool finish(WorkId id, const std::string& endpoint, AttemptOutcome outcome, bool mayRetry = true)
    {
        return scheduler.finishAttempt(id, endpoint, outcome, mayRetry, clock.now());
    }

    /// Submits short batch work until there is no room for more, and returns its ids.
    std::vector<WorkId> fillWithBatch()
    {
        std::vector<WorkId> ids;
        while (scheduler.batchRoom(clock.now()) > 0) {
            const Work work = batch();
            ids.push_back(work.id);
            submit(work);
        }
        return ids;
    }

    static size_t count(const std::vector<Decision>& decisions, Decision::Kind kind)
    {
        return static_cast<size_t>(std::ranges::count(decisions, kind, &Decision::kind));
    }

    SimulatedClock clock;
    std::vector<SchedulerEndpoint> endpoints;

private:
    SeededRandom m_random { 1 };
    WorkId m_lastId { 0 };

public:
    LearnedScheduler scheduler;
};

}

#pragma once

#include <LibCore/Random.h>
#include <LibRouting/ByteBudget.h>
#include <LibRouting/EndpointModel.h>
#include <LibRouting/Lane.h>
#include <LibRouting/LengthPredictor.h>
#include <LibRouting/LossReserve.h>
#include <LibRouting/PeerLoads.h>
#include <LibRouting/PrefixAffinity.h>
#include <LibRouting/RetryBudget.h>
#include <LibRouting/Scheduler.h>
#include <LibRouting/SchedulerSettings.h>
#include <LibRouting/WorkEntry.h>
#include <LibRouting/WorthWindow.h>

#include <memory>
#include <set>
#include <unordered_map>

namespace Chicorydock {

/// Schedules by learned endpoint speeds. Online work never waits behind batch work; work that cannot meet its deadline
/// is refused at once.
///
/// No call looks at the whole queue or at all endpoints, except `setEndpoints()`, `batchRoom()`, `summary()` and
/// `view()`.
///
/// Thread safety: none, as for every scheduler. `Random` must outlive the scheduler and is used by no one else
/// meanwhile.
class LearnedScheduler final : public Scheduler {
public:
    LearnedScheduler(const SchedulerSettings&, Random&);

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
    struct Choice {
        uint32_t endpoint { 0 };
        double seconds { 0 };
        /// Share of the prompt that is warm there.
        double warmShare { 0 };
    };

    /// Where online work starts now; without a choice it waits, or is refused if no endpoint is fast enough.
    struct Plan {
        std::optional<Choice> choice;
        bool isHopeless { false };
    };

    using Matches = std::vector<PrefixAffinity::Match>;

    std::optional<uint32_t> indexOf(const std::string& endpoint) const;
    uint32_t intern(const SchedulerEndpoint&);
    Locality localityOf(const SchedulerEndpoint&) const;
    uint32_t laneOf(const std::string& model, MonotonicTime now);
    static bool serves(const EndpointModel&, const std::string& model);

    // Endpoints and the sets of the lanes that they are in.
    void touch(uint32_t endpoint, MonotonicTime now);
    void updateMembership(uint32_t lane, uint32_t endpoint);
    void markDirty(uint32_t lane);
    void markBatchDirty();
    void setEndpointTimer(uint32_t endpoint, MonotonicTime);
    void applyPeerLoads(const std::vector<PeerLoads::Load>&, bool isAdded, MonotonicTime now);
    void noteSample(uint32_t endpoint, MonotonicTime now);

    // Timers of works.
    void setTimer(WorkEntry&, std::optional<MonotonicTime>);
    void runWorkTimers(MonotonicTime now);
    void runEndpointTimers(MonotonicTime now);

    // Online work.
    void admit(WorkEntry&, MonotonicTime now);
    Plan plan(const WorkEntry&, MonotonicTime now);
    std::optional<Choice> planSpill(const WorkEntry&, double localSeconds, MonotonicTime now);
    void enqueueOnline(WorkEntry&, MonotonicTime now);
    void dequeue(WorkEntry&);
    void dispatchQueue(Lane&, bool isLong, MonotonicTime now);
    void hedge(WorkEntry&, MonotonicTime now);
    std::optional<Choice> choose(const EndpointIndexSet&, const WorkEntry&, const Matches&, MonotonicTime now);
    std::optional<Choice> chooseAmongAll(const EndpointIndexSet&, const WorkEntry&, MonotonicTime now) const;
    Choice rate(uint32_t endpoint, const WorkEntry&, double warmShare, MonotonicTime now) const;
    bool canRunSomewhere(const WorkEntry&) const;
    bool takeRegionBytes(const WorkEntry&, MonotonicTime now);
    double predictedWaitSeconds(const Lane&, size_t ahead) const;
    Milliseconds retryAfter(const Lane&);

    // Batch work.
    void dispatchBatch(Lane&, MonotonicTime now);
    bool isBlockedByOnline(const EndpointModel&) const;
    void makeRoom(uint32_t endpoint, MonotonicTime now);
    uint32_t cancelBatch(uint32_t endpoint, uint32_t count, MonotonicTime now);

    // Attempts.
    void start(WorkEntry&, const Choice&, MonotonicTime now);
    void release(WorkEntry&, Attempt&, MonotonicTime now);
    void cancel(WorkEntry&, Attempt&, MonotonicTime now);
    void cancelOthers(WorkEntry&, uint32_t winner, MonotonicTime now);
    bool tryRetry(WorkEntry&, uint32_t failedEndpoint, bool mayRetry, bool hasRefused, MonotonicTime now);
    void learnFromCompletion(const WorkEntry&, const Attempt&, MonotonicTime now);
    void refuse(WorkEntry&, ErrorKind, const char* message);

    SchedulerSettings m_settings;
    Random& m_random;

    std::vector<std::unique_ptr<EndpointModel>> m_endpoints;
    std::unordered_map<std::string, uint32_t> m_indexes;
    std::vector<std::unique_ptr<Lane>> m_lanes;
    std::unordered_map<std::string, uint32_t> m_laneIndexes;
    std::unordered_map<WorkId, WorkEntry> m_entries;

    std::vector<WorkId> m_arrivals;
    std::vector<uint32_t> m_dirtyLanes;
    std::vector<Decision> m_decisions;
    std::set<std::pair<MonotonicTime, WorkId>> m_workTimers;
    std::set<std::pair<MonotonicTime, uint32_t>> m_endpointTimers;
    std::vector<std::optional<MonotonicTime>> m_endpointTimerAt;
    std::vector<std::string> m_yieldRequests;

    LengthPredictor m_lengths;
    PrefixAffinity m_affinity;
    PeerLoads m_peers;
    RetryBudget m_retries;
    RetryBudget m_hedges;
    LossReserve m_lossReserve;
    ByteBudget m_regionBytes;
    WorthWindow m_worths;
    SchedulerCounters m_counters;
    uint32_t m_presentCount { 0 };
    uint32_t m_suspectCount { 0 };
};

}

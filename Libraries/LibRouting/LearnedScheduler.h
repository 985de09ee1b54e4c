#pragma once

#include <LibCore/Random.h>
#include <LibRouting/ByteBudget.h>
#include <LibRouting/EndpointModel.h>
#include <LibRouting/EndpointPool.h>
#include <LibRouting/FailoverBudget.h>
#include <LibRouting/LengthPredictor.h>
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

/// Schedules work by the learned speed of each endpoint. Online work never waits behind batch work, and work that
/// cannot meet its deadline is refused at once.
///
/// No call iterates over the whole queue or all endpoints, except `setEndpoints()`, `batchRoom()`, `summary()` and
/// `view()`.
///
/// Thread safety: none, as for every scheduler. `Random` must outlive the scheduler and must not be used elsewhere
/// during that time.
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
        /// Share of the prompt that the endpoint holds in its prefix cache.
        double cachedShare { 0 };
    };

    /// Where online work starts now. Without a choice the work waits, or is refused if no endpoint is fast enough for
    /// its deadline.
    struct Plan {
        std::optional<Choice> choice;
        bool isUnattainable { false };
    };

    using Matches = std::vector<PrefixAffinity::Match>;

    std::optional<uint32_t> indexOf(const std::string& endpoint) const;
    uint32_t intern(const SchedulerEndpoint&);
    Locality localityOf(const SchedulerEndpoint&) const;
    uint32_t findOrAddPool(const std::string& model, MonotonicTime now);
    static bool serves(const EndpointModel&, const std::string& model);

    // Endpoints and their membership in the sets of the pools.
    void refreshEndpoint(uint32_t endpoint, MonotonicTime now);
    void updateMembership(uint32_t pool, uint32_t endpoint);
    void markDirty(uint32_t pool);
    void markBatchDirty();
    void setEndpointTimer(uint32_t endpoint, MonotonicTime);
    void applyPeerLoads(const std::vector<PeerLoads::Load>&, bool isAdded, MonotonicTime now);
    /// Returns how many endpoints may be suspect for slowness.
    double maxSuspectCount() const;
    /// Counts the endpoints that accept new work, and dismisses slowness if too many of them are suspect.
    void countUsableEndpoints();
    /// Counts a change of whether the endpoint is suspect.
    void updateSuspectCount(const EndpointModel&, bool wasSuspect);
    void applySample(uint32_t endpoint, MonotonicTime now);

    // Timers of queued and in-flight work, and of endpoints.
    void setTimer(WorkEntry&, std::optional<MonotonicTime>);
    void runWorkTimers(MonotonicTime now);
    void runEndpointTimers(MonotonicTime now);

    // Online work.
    void admit(WorkEntry&, MonotonicTime now);
    Plan plan(const WorkEntry&, MonotonicTime now);
    std::optional<Choice> planSpill(const WorkEntry&, double localSeconds, MonotonicTime now);
    void enqueueOnline(WorkEntry&, MonotonicTime now);
    void dequeue(WorkEntry&);
    void dispatchQueue(EndpointPool&, bool isLong, MonotonicTime now);
    void hedge(WorkEntry&, MonotonicTime now);
    std::optional<Choice> choose(const EndpointIndexSet&, const WorkEntry&, const Matches&, MonotonicTime now);
    std::optional<Choice> chooseAmongAll(const EndpointIndexSet&, const WorkEntry&, MonotonicTime now) const;
    Choice evaluate(uint32_t endpoint, const WorkEntry&, double cachedShare, MonotonicTime now) const;
    bool hasEligibleEndpoint(const WorkEntry&) const;
    bool acquireRegionBytes(const WorkEntry&, MonotonicTime now);
    double predictedWaitSeconds(const EndpointPool&, size_t ahead) const;
    Milliseconds retryAfter(const EndpointPool&);

    // Batch work.
    void dispatchBatch(EndpointPool&, MonotonicTime now);
    bool isBlockedByOnline(const EndpointModel&) const;
    void preemptBatch(uint32_t endpoint, MonotonicTime now);
    uint32_t cancelBatch(uint32_t endpoint, uint32_t count, MonotonicTime now);

    // Attempts.
    void start(WorkEntry&, const Choice&, MonotonicTime now);
    void release(WorkEntry&, Attempt&, MonotonicTime now);
    void cancel(WorkEntry&, Attempt&, MonotonicTime now);
    void cancelOthers(WorkEntry&, uint32_t winner, MonotonicTime now);
    bool tryRetry(WorkEntry&, uint32_t failedEndpoint, bool mayRetry, bool wasRefused, MonotonicTime now);
    void learnFromCompletion(const WorkEntry&, const Attempt&, MonotonicTime now);
    void refuse(WorkEntry&, ErrorKind, const char* message);

    SchedulerSettings m_settings;
    Random& m_random;

    std::vector<std::unique_ptr<EndpointModel>> m_endpoints;
    std::unordered_map<std::string, uint32_t> m_endpointIndexes;
    std::vector<std::unique_ptr<EndpointPool>> m_pools;
    std::unordered_map<std::string, uint32_t> m_poolIndexes;
    std::unordered_map<WorkId, WorkEntry> m_entries;

    std::vector<WorkId> m_arrivals;
    std::vector<uint32_t> m_dirtyPools;
    std::vector<Decision> m_decisions;
    std::set<std::pair<MonotonicTime, WorkId>> m_workTimers;
    std::set<std::pair<MonotonicTime, uint32_t>> m_endpointTimers;
    std::vector<std::optional<MonotonicTime>> m_endpointTimerAt;
    std::vector<std::string> m_yieldRequests;

    LengthPredictor m_lengthPredictor;
    PrefixAffinity m_affinity;
    PeerLoads m_peerLoads;
    RetryBudget m_retryBudget;
    RetryBudget m_hedgeBudget;
    FailoverBudget m_failoverBudget;
    ByteBudget m_regionByteBudget;
    WorthWindow m_recentWorths;
    SchedulerCounters m_counters;
    /// Endpoints that accept new work, and those of them that are suspect.
    uint32_t m_usableCount { 0 };
    uint32_t m_suspectCount { 0 };
};

}

#pragma once

#include "FakeJobPeers.h"
#include "GatewayFixture.h"

#include <LibGateway/JobController.h>
#include <Tests/Support/MemoryRowStore.h>
#include <Tests/Support/SimulatedEventLoop.h>

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Chicorydock {

/// Simulates several nodes, with their real job code, that share one store. Replies of the store are late or lost,
/// writes without a reply are applied later or never, nodes freeze, restart and wrongly suspect each other, and
/// endpoints abort runs. Callers submit, resubmit, read and cancel jobs. Their observations are checked against the
/// guarantees of the job interface, and violations are collected. The simulation is deterministic for a seed.
class JobWorld final {
public:
    struct Options {
        uint64_t seed { 1 };
        size_t nodes { 3 };
        size_t jobs { 3 };
        size_t itemsPerJob { 4 };
        Milliseconds faultTime { 12'000 };
        /// Time after the last fault in which all jobs must be done.
        Milliseconds recoveryTime { 25'000 };
    };

    JobWorld(const Options&, SimulatedEventLoop&);
    ~JobWorld();

    void run();

    const std::vector<std::string>& violations() const { return m_violations; }
    /// Counts of simulated events, so that a test can check that the faults occurred.
    struct Counts {
        size_t accepted { 0 };
        size_t cancelled { 0 };
        size_t done { 0 };
        size_t lateWrites { 0 };
        size_t lostAnswers { 0 };
        size_t restarts { 0 };
        size_t freezes { 0 };
        size_t ownerChanges { 0 };
        /// Runs that continued an output that had events.
        size_t resumedRuns { 0 };
    };
    const Counts& counts() const { return m_counts; }

private:
    class NodeStore;
    struct Node;

    /// State of the caller of a job.
    struct Caller {
        SubmittedJob job;
        bool isAccepted { false };
        /// Whether the caller does not know if the job exists, because a reply was inconclusive or lost.
        bool isOutcomeUnknown { false };
        bool isCancelAcknowledged { false };
        /// Number of stored results when the cancellation was acknowledged.
        size_t resultsAtCancel { 0 };
        std::vector<JobResult> seenResults;
        std::string lastOwner;
    };

    /// One incarnation of a node, or no node for events in the store itself.
    struct Process {
        int node { -1 };
        uint64_t incarnation { 0 };
    };

    struct Task {
        MonotonicTime at;
        Process process;
        std::function<void()> run;
    };

    bool chance(double probability) { return m_isFaulty && m_random.unit() < probability; }
    /// Runs the function after the delay, unless the process has ended by then.
    void schedule(Milliseconds delay, Process, std::function<void()>);
    void runTasks();
    void startNode(size_t n);
    void stepNode(size_t n);
    void stepEndpoints(Node&);
    /// Checks that each output went on with a run that was asked with its last event.
    void checkResumptions(Node&);
    void injectFaults(size_t n);
    void stepCaller(Caller&);
    void submit(Caller&, size_t n);
    void read(Caller&, size_t n);
    void cancel(Caller&, size_t n);
    void checkPage(Caller&, size_t after, const JobResultPage&);
    void checkStore(Caller&);
    void checkFinalState();
    void reportViolation(const Caller&, const std::string& what);

    const Options m_options;
    SimulatedEventLoop& m_loop;
    SeededRandom m_random;
    SimulatedClock m_clock;
    MemoryRowStore m_table;
    bool m_isFaulty { true };
    std::vector<std::unique_ptr<Node>> m_nodes;
    std::vector<uint64_t> m_incarnations;
    std::vector<MonotonicTime> m_thawAt;
    std::vector<Task> m_tasks;
    std::vector<Caller> m_callers;
    std::vector<std::string> m_violations;
    Counts m_counts;
};

}

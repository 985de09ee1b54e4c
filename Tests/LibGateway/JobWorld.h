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

/// Several nodes with their real job code on simulated time, in front of one store. Answers of the store are late or
/// lost, writes without an answer are applied later or never, nodes freeze, restart and take each other for dead,
/// endpoints break runs off. Callers submit, repeat, read and end jobs. What they see is checked against the promises
/// of the job interface; broken ones are collected. A function of the seed.
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
    /// What happened, so that a test can tell whether the faults were played.
    struct Counts {
        size_t accepted { 0 };
        size_t ended { 0 };
        size_t done { 0 };
        size_t lateWrites { 0 };
        size_t lostAnswers { 0 };
        size_t restarts { 0 };
        size_t freezes { 0 };
        size_t ownersChanged { 0 };
    };
    const Counts& counts() const { return m_counts; }

private:
    class NodeStore;
    struct Node;

    /// What the caller of a job knows.
    struct Caller {
        SubmittedJob job;
        bool isAccepted { false };
        /// Whether some answer left it open whether the job exists.
        bool isUnknown { false };
        bool isEndAcknowledged { false };
        /// Results when the end was acknowledged.
        size_t resultsAtEnd { 0 };
        std::vector<JobResult> seen;
        std::string lastOwner;
    };

    /// One run of a node; no node for what happens in the store itself.
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
    void later(Milliseconds delay, Process, std::function<void()>);
    void runTasks();
    void startNode(size_t n);
    void stepNode(size_t n);
    void stepEndpoints(Node&);
    void injectFaults(size_t n);
    void stepCaller(Caller&);
    void submit(Caller&, size_t n);
    void read(Caller&, size_t n);
    void end(Caller&, size_t n);
    void checkPage(Caller&, size_t after, const JobResultPage&);
    void checkStore(Caller&);
    void checkEnd();
    void violate(const Caller&, const std::string& what);

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

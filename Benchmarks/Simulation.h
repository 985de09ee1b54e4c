#pragma once

#include "EngineModel.h"

#include <LibCore/SeededRandom.h>
#include <LibRouting/Scheduler.h>
#include <LibRouting/SchedulerSettings.h>

#include <memory>
#include <optional>

namespace Chicorydock {

enum class Policy : uint8_t {
    Naive,
    Learned,
};

/// Setup of one run.
struct SimulationOptions {
    Policy policy { Policy::Learned };
    uint64_t seed { 1 };
    uint32_t nodes { 4 };
    uint32_t endpoints { 20 };
    /// Endpoints from this index on are in another region.
    uint32_t firstRemoteEndpoint { UINT32_MAX };
    /// Speed factors are spread log-uniformly over [1 / spread, spread].
    double spread { 2 };
    EngineSpeed speed;
    double reportDelaySeconds { 3 };
    /// Number of prefix keys that the cache of an endpoint holds; 0 means no cache.
    size_t cacheKeys { 0 };
    double cacheEventDelaySeconds { 2 };
    /// Share of cache reports that are lost.
    double lostCacheEvents { 0 };
    SchedulerSettings settings;
};

/// Times and outcome of one request.
struct RequestRecord {
    WorkClass workClass { WorkClass::Online };
    MonotonicTime submitted;
    std::optional<MonotonicTime> started;
    std::optional<MonotonicTime> firstToken;
    std::optional<MonotonicTime> completed;
    std::optional<MonotonicTime> refused;
    bool hasFailed { false };
    uint32_t length { 0 };
    double worth { 1 };
    MonotonicTime deadline;
    bool isStraggler { false };
    /// Endpoint of the first attempt.
    uint32_t firstEndpoint { 0 };
    uint32_t attempts { 0 };
};

/// Several nodes, each with its own scheduler, that share model engines on a simulated clock. Measures scheduling
/// decisions only: no network is simulated except for a delay of one millisecond for messages between nodes.
class Simulation {
public:
    explicit Simulation(const SimulationOptions&);

    EventQueue& events() { return m_events; }
    SeededRandom& random() { return m_random; }
    const SimulationOptions& options() const { return m_options; }

    /// Submits a request to a node now. Assigns its id and starts its record.
    void submit(uint32_t node, Work, uint32_t length, bool isStraggler = false);

    /// Keeps every node supplied with batch work. `make` returns an item and its length in tokens.
    void supplyBatch(std::function<std::pair<Work, uint32_t>()> make);

    void runFor(double seconds) { m_events.runUntil(m_events.now() + fromSeconds(seconds)); }

    size_t endpointCount() const { return m_engines.size(); }
    EngineModel& engine(uint32_t index) { return *m_engines[index]; }
    Scheduler& scheduler(uint32_t node) { return *m_nodes[node].scheduler; }
    const std::vector<RequestRecord>& records() const { return m_records; }
    uint64_t attempts() const { return m_attempts; }

    /// Returns the tokens per second of the endpoints in [begin, end) at the largest concurrency that meets the token
    /// gap target.
    double capacity(uint32_t begin = 0, uint32_t end = UINT32_MAX) const;

    /// Returns the longest time in which online work was queued at a node while batch work ran on an endpoint.
    double longestYieldSeconds() const { return m_longestYield; }

    /// Returns the bytes that crossed the region link in each second since the start.
    const std::vector<double>& regionBytes() const { return m_regionBytes; }

    /// Returns the real time spent in scheduler calls.
    double schedulerSeconds() const { return m_schedulerSeconds; }

private:
    struct Node {
        std::unique_ptr<SeededRandom> random;
        std::unique_ptr<Scheduler> scheduler;
        MonotonicTime nextPoll { MonotonicTime::max() };
    };

    /// Runs a scheduler call and adds its duration to `schedulerSeconds()`.
    template <typename Call> auto timed(Call&&);

    void pollScheduler(uint32_t node);
    void apply(uint32_t node, const Decision&);
    void refillBatch(uint32_t node);
    void exchangeSummaries();
    void reportLoads();
    void reportCaches();
    void measureYield();
    void countRegionBytes(uint32_t endpoint, double bytes);
    std::string endpointName(uint32_t index) const;

    SimulationOptions m_options;
    EventQueue m_events;
    SeededRandom m_random;
    MonotonicTime m_begin;
    EngineModel::Observer m_observer;
    std::vector<std::unique_ptr<EngineModel>> m_engines;
    std::unordered_map<std::string, uint32_t> m_engineIndexes;
    std::vector<Node> m_nodes;
    std::vector<RequestRecord> m_records;
    std::vector<Work> m_works;
    std::function<std::pair<Work, uint32_t>()> m_makeBatch;
    uint64_t m_attempts { 0 };
    /// Start of the current period with queued online work and running batch work.
    std::optional<MonotonicTime> m_yieldSince;
    double m_longestYield { 0 };
    std::vector<double> m_regionBytes;
    double m_schedulerSeconds { 0 };
};

}

#pragma once

#include "Simulation.h"

namespace Chicorydock {

/// Shape of the online requests of one run.
struct WorkloadOptions {
    /// Requests a second over all nodes.
    double rate { 10 };
    double medianTokens { 120 };
    double sigma { 0.7 };
    uint32_t maxTokens { 1'000 };
    /// Share of requests that are `stragglerFactor` times as long.
    double stragglers { 0 };
    double stragglerFactor { 50 };
    double deadlineSeconds { 60 };
    /// Deadlines are spread uniformly over this share of themselves.
    double deadlineSpread { 0 };
    bool hasWorths { false };
    /// Number of shared prompt beginnings; 0 means none.
    uint32_t prefixes { 0 };
    bool announcesPrefixes { true };
    uint32_t promptTokens { 500 };
};

/// Creates requests with seeded random lengths, prompts and arrival times.
class Workload {
public:
    Workload(Simulation&, const WorkloadOptions&);

    /// Starts Poisson arrivals at random nodes, until `stop()`.
    void start();
    void stop() { m_isRunning = false; }
    void setRate(double rate) { m_options.rate = rate; }

    /// Returns the mean number of generated tokens of a request.
    static double meanTokens(const WorkloadOptions&);

    /// Creates one batch item and its length.
    static std::pair<Work, uint32_t> makeBatchItem(Simulation&, const WorkloadOptions&);

private:
    void arrive();
    void scheduleNext();

    Simulation& m_simulation;
    /// Own source, so that runs with the same seed get the same requests whatever else happens in them.
    SeededRandom m_random;
    WorkloadOptions m_options;
    bool m_isRunning { false };
};

}

#pragma once

#include "Simulation.h"

namespace Chicorydock {

/// Rate, lengths and deadlines of the online requests of one run.
struct WorkloadOptions {
    /// Requests per second, over all nodes.
    double rate { 10 };
    /// Generated tokens of a request are distributed log-normally, with these parameters.
    double medianTokens { 120 };
    double sigma { 0.7 };
    uint32_t maxTokens { 1'000 };
    /// Share of requests that are `stragglerFactor` times as long.
    double stragglerShare { 0 };
    double stragglerFactor { 50 };
    double deadlineSeconds { 60 };
    /// Deadlines vary uniformly by up to this share of `deadlineSeconds` in both directions.
    double deadlineSpread { 0 };
    bool hasRandomWorth { false };
    /// Number of shared prompt prefixes; 0 means none.
    uint32_t prefixes { 0 };
    /// Whether requests carry the keys of their prefixes.
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

    /// Returns a batch item and its length in tokens.
    static std::pair<Work, uint32_t> makeBatchItem(Simulation&, const WorkloadOptions&);

private:
    void arrive();
    void scheduleNext();

    Simulation& m_simulation;
    /// Separate from the simulation's generator, so that runs with the same seed get the same requests regardless of
    /// other random decisions.
    SeededRandom m_random;
    WorkloadOptions m_options;
    bool m_isRunning { false };
};

}

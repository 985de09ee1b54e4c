#pragma once

#include <LibRouting/BatchQueue.h>
#include <LibRouting/EndpointIndexSet.h>
#include <LibRouting/EndpointModel.h>
#include <LibRouting/OnlineQueue.h>

#include <array>
#include <string>

namespace Chicorydock {

/// The queues of one model and the endpoints that can run it, sorted by what they have room for.
///
/// Thread safety: none.
struct Lane {
    std::string model;
    /// Endpoints that are present, not leaving and have the model.
    EndpointIndexSet members;
    /// Members whose batch work this node dispatches.
    EndpointIndexSet batchMembers;
    /// Members with room for online work, by locality.
    std::array<EndpointIndexSet, 3> open;
    /// Members of the own domain with room for long online work.
    EndpointIndexSet openLong;
    EndpointIndexSet openBatch;
    /// Suspect members that may be probed now.
    EndpointIndexSet probes;

    OnlineQueue shortQueue;
    OnlineQueue longQueue;
    BatchQueue batchQueue;
    /// Whether the lane is in the list of lanes to look at.
    bool isDirty { false };

    /// Own online attempts in flight, and moving averages over those that completed.
    uint32_t onlineInFlight { 0 };
    double meanServiceSeconds { 0 };
    double meanTokens { 0 };

    OnlineQueue& queue(bool isLong) { return isLong ? longQueue : shortQueue; }
    const OnlineQueue& queue(bool isLong) const { return isLong ? longQueue : shortQueue; }
    size_t onlineQueued() const { return shortQueue.size() + longQueue.size(); }
    bool hasQueued() const { return onlineQueued() > 0 || !batchQueue.isEmpty(); }

    const EndpointIndexSet& localOpen(bool isLong) const { return isLong ? openLong : open[0]; }

    /// An attempt completed with that many tokens, or as many as expected if they were not reported one by one.
    void noteCompleted(double seconds, double tokens)
    {
        constexpr double weight = 0.05;
        const double counted = std::max(1.0, tokens);
        if (meanServiceSeconds == 0) {
            meanServiceSeconds = seconds;
            meanTokens = counted;
        }
        meanServiceSeconds += weight * (seconds - meanServiceSeconds);
        meanTokens += weight * (counted - meanTokens);
    }

    /// Returns the predicted time of an attempt with that many tokens, or 0 before the first one completed.
    double serviceSeconds(double tokens) const
    {
        return meanTokens > 0 ? meanServiceSeconds / meanTokens * std::max(1.0, tokens) : 0;
    }

    /// Returns the predicted time between two starts while the queue is not empty.
    double drainSeconds() const { return meanServiceSeconds / std::max(1U, onlineInFlight); }
};

}

#pragma once

#include <LibRouting/BatchQueue.h>
#include <LibRouting/EndpointIndexSet.h>
#include <LibRouting/EndpointModel.h>
#include <LibRouting/OnlineQueue.h>

#include <array>
#include <string>

namespace Chicorydock {

/// The endpoints that serve one model, grouped by what they have room for, and the queues of work for that model.
///
/// Thread safety: none.
struct EndpointPool {
    std::string model;
    /// Endpoints that are present, not leaving and serve the model.
    EndpointIndexSet members;
    /// Members to which this node may dispatch batch work.
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
    /// Whether the pool is in the scheduler's list of pools to dispatch.
    bool isDirty { false };

    /// Online attempts of this node in flight, and moving averages over completed ones.
    uint32_t onlineInFlight { 0 };
    double meanServiceSeconds { 0 };
    double meanTokens { 0 };

    OnlineQueue& queue(bool isLong) { return isLong ? longQueue : shortQueue; }
    const OnlineQueue& queue(bool isLong) const { return isLong ? longQueue : shortQueue; }
    size_t onlineQueued() const { return shortQueue.size() + longQueue.size(); }
    bool hasQueued() const { return onlineQueued() > 0 || !batchQueue.isEmpty(); }

    const EndpointIndexSet& localOpen(bool isLong) const { return isLong ? openLong : open[0]; }

    /// Records a completed attempt. `tokens` is the number of generated tokens, or the expected number if the endpoint
    /// does not report tokens.
    void recordCompletion(double seconds, double tokens)
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

    /// Returns the predicted duration of an attempt that generates `tokens` tokens, or 0 before any attempt has
    /// completed.
    double serviceSeconds(double tokens) const
    {
        return meanTokens > 0 ? meanServiceSeconds / meanTokens * std::max(1.0, tokens) : 0;
    }

    /// Returns the predicted time between two starts while the queue is not empty.
    double drainIntervalSeconds() const { return meanServiceSeconds / std::max(1U, onlineInFlight); }
};

}

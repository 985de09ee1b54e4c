#pragma once

#include <LibRouting/ConcurrencyLimit.h>
#include <LibRouting/Scheduler.h>
#include <LibRouting/SpeedEstimator.h>

namespace Chicorydock {

/// Location of an endpoint relative to this node, nearest first.
enum class Locality : uint8_t {
    OwnDomain,
    OtherDomain,
    OtherRegion,
};

/// State of one endpoint in the learned scheduler.
///
/// Thread safety: none.
class EndpointModel {
public:
    EndpointModel(const SchedulerEndpoint&, const SchedulerSettings&);

    SchedulerEndpoint info;
    Locality locality { Locality::OwnDomain };
    bool isPresent { true };
    SpeedEstimator speed;
    ConcurrencyLimit limit;

    /// Attempts of this node in flight on the endpoint, without cancelled ones.
    uint32_t online { 0 };
    uint32_t longOnline { 0 };
    uint32_t batch { 0 };
    /// Attempts of this node that have received their first token.
    uint32_t streaming { 0 };
    /// Attempts of all peers, from their latest summaries.
    uint32_t peerOnline { 0 };
    uint32_t peerBatch { 0 };
    /// Batch work of this node in flight on the endpoint.
    std::vector<WorkId> batchWorkIds;
    /// Indexes of the pools of the models that the endpoint serves.
    std::vector<uint32_t> pools;

    /// No batch work starts before this time.
    MonotonicTime batchHoldUntil;
    /// When the peers were last requested to cancel batch work on the endpoint.
    MonotonicTime yieldRequestedAt;

    bool acceptsNewWork() const { return isPresent && !info.isLeaving; }
    uint32_t allOnline() const { return online + peerOnline; }
    uint32_t total() const { return allOnline() + batch + peerBatch; }

    /// Returns the concurrency for speed predictions: the known attempts, corrected by the delayed load reports.
    double concurrency() const { return total() + m_unaccountedLoad; }
    void applyLoadReport(uint32_t running);

    /// Whether online work may start. A suspect endpoint gets only probes, one attempt at a time.
    bool hasOnlineRoom() const { return acceptsNewWork() && !m_isSuspect && allOnline() < limit.value(); }
    bool hasLongRoom() const;
    bool isProbeDue(MonotonicTime now) const;

    /// Returns how many more batch attempts may start now.
    uint32_t batchRoom(MonotonicTime now) const;

    /// Returns the recent speed relative to the learned one.
    double health(MonotonicTime now) const { return streaming > 0 ? speed.healthWhileStreaming(now) : speed.health(); }

    /// Predicts the time in seconds to complete an answer of `tokens` tokens that starts now.
    double predictedSeconds(double promptTokens, double tokens, MonotonicTime now) const;

    /// Updates the concurrency limit and the suspect state after new estimates. `maySuspect` is false if too many
    /// endpoints would be suspect.
    void updateAfterSample(bool maySuspect, MonotonicTime now);

    void recordFailure(MonotonicTime now);
    void recordSuccess();
    void recordProbeStart(MonotonicTime now);
    /// Ends a suspicion that no failures caused.
    void dismissSlowness();

    bool isSuspect() const { return m_isSuspect; }
    /// Returns when the next probe may start. Precondition: `isSuspect()`.
    MonotonicTime probeAt() const { return m_probeAt; }

    /// Updates the moving average of the online attempts. To be called before each change of `online` or `peerOnline`.
    void updateOnlineMean(MonotonicTime now);

    /// Whether no online work runs, but some did too recently for the endpoint to count as idle.
    bool isWaitingForIdle() const;

private:
    void markSuspect(MonotonicTime now);
    /// Returns the total concurrency up to which batch work may start.
    double batchLimit() const;

    const SchedulerSettings& m_settings;
    double m_unaccountedLoad { 0 };
    double m_onlineMean { 0 };
    MonotonicTime m_onlineMeanAt;
    uint32_t m_consecutiveFailures { 0 };
    bool m_isSuspect { false };
    MonotonicTime m_probeAt;
    MonotonicTime::duration m_probeDelay {};
};

}

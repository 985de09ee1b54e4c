#pragma once

#include <LibRouting/ConcurrencyLimit.h>
#include <LibRouting/Scheduler.h>
#include <LibRouting/SpeedEstimator.h>

namespace Chicorydock {

/// Where an endpoint is as seen from this node, nearest first.
enum class Locality : uint8_t {
    OwnDomain,
    OtherDomain,
    OtherRegion,
};

/// What the learned policy keeps for one endpoint.
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

    /// Attempts of this node that run there; cancelled ones no longer count.
    uint32_t online { 0 };
    uint32_t longOnline { 0 };
    uint32_t batch { 0 };
    /// Own attempts that are past their first token.
    uint32_t streaming { 0 };
    /// Sums over the peers' summaries.
    uint32_t peerOnline { 0 };
    uint32_t peerBatch { 0 };
    /// Own batch work that runs there.
    std::vector<WorkId> batchWorks;
    /// Lanes that the endpoint serves.
    std::vector<uint32_t> lanes;

    /// No batch work starts before.
    MonotonicTime batchHoldUntil;
    /// When a peer was last asked to take its batch work off.
    MonotonicTime yieldAskedAt;

    bool takesNewWork() const { return isPresent && !info.isLeaving; }
    uint32_t allOnline() const { return online + peerOnline; }
    uint32_t total() const { return allOnline() + batch + peerBatch; }

    /// Returns the concurrency to predict speeds with: the known one, corrected by the late load reports.
    double concurrency() const { return total() + m_unknownLoad; }
    void noteLoadReport(uint32_t running);

    /// Whether online work may start there. While suspect, one attempt at a time may, as a probe.
    bool hasOnlineRoom() const { return takesNewWork() && !m_isSuspect && allOnline() < limit.value(); }
    bool hasLongRoom() const;
    bool isProbeDue(MonotonicTime now) const;

    /// Returns how many more batch attempts may start there.
    uint32_t batchRoom(MonotonicTime now) const;

    /// Returns the recent speed relative to the learned one.
    double health(MonotonicTime now) const { return streaming > 0 ? speed.healthWhileStreaming(now) : speed.health(); }

    /// Predicts when an answer of `tokens` tokens would be complete if it started now.
    double predictedSeconds(double promptTokens, double tokens, MonotonicTime now) const;

    /// Updates the limit and the suspicion after new estimates. `maySuspect` is false when too many endpoints are
    /// suspect for slowness to mean anything.
    void updateAfterSample(bool maySuspect, MonotonicTime now);

    void noteFailure(MonotonicTime now);
    void noteSuccess();
    void noteProbeStarted(MonotonicTime now);

    bool isSuspect() const { return m_isSuspect; }
    /// Returns when the next probe may start. Precondition: `isSuspect()`.
    MonotonicTime probeAt() const { return m_probeAt; }

    /// Updates the moving average of online work there; to be called before each change of `online` or `peerOnline`.
    void updateOnlineMean(MonotonicTime now);

    /// Whether no online work runs there, but some did a moment ago.
    bool isWaitingForIdle() const;

private:
    void suspect(MonotonicTime now);
    /// Concurrency up to which batch work may fill the endpoint.
    double batchLimit() const;

    const SchedulerSettings& m_settings;
    double m_unknownLoad { 0 };
    double m_onlineMean { 0 };
    MonotonicTime m_onlineMeanAt;
    uint32_t m_failures { 0 };
    bool m_isSuspect { false };
    MonotonicTime m_probeAt;
    MonotonicTime::duration m_probeDelay {};
};

}

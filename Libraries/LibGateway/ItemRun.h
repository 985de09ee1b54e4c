#pragma once

#include <LibGateway/EventStreamReader.h>
#include <LibGateway/GatewayEnvironment.h>
#include <LibGateway/JobTypes.h>
#include <LibGateway/SlotHandle.h>

#include <QTimer>

#include <functional>
#include <memory>

namespace Chicorydock {

/// Runs one item of a job until it has a result. When it has to yield its slot, or an endpoint fails, it keeps what it
/// received and goes on behind the last event.
///
/// Thread safety: used on the I/O thread.
class ItemRun final : private SlotClient, private HttpCallObserver {
public:
    struct Job {
        std::string id;
        std::string route;
        std::string host;
        /// When the item should be done to have its full worth, and when it may be given up.
        MonotonicTime dueAt;
        MonotonicTime giveUpAt;
    };

    /// `job` outlives the run. `onDone` is called once; it must not destroy the run at once.
    ItemRun(GatewayEnvironment&, const Job& job, JobItem, std::function<void(JobResult)> onDone);
    ~ItemRun() override;

    void start();

    /// Goes on behind what another node received. Called before `start()`.
    void resume(const ItemProgress&);

    /// Returns what was received since the last call, or nothing if that is nothing.
    std::optional<ItemProgress> takeProgress();

    /// Leaves the endpoint or the queue, until `start()` is called again.
    void suspend();

    /// Stops for good, without a result.
    void stop();

    bool isDone() const { return m_isDone; }
    const JobItem& item() const { return m_item; }

private:
    void onSlotGranted(const std::string& endpoint, const SlotView&) override;
    void onRefused(Milliseconds retryAfter, const SlotView&) override;
    void onYield(const SlotView&) override;

    void onHandedOver() override { }
    void onHeaders(int status, const HttpHeaders&) override;
    void onData(const QByteArray&) override;
    void onFinished() override;
    void onFailed(const HttpFailure&) override;

    void requestSlot();
    void requestSlotLater();
    void releaseSlot(EndpointOutcome);
    void countSlotTime();
    void handleFailure(const std::string& reason);
    void finish(bool isCompleted, const std::string& reason);
    void logStep(std::string_view action, const std::string& reason) const;

    GatewayEnvironment& m_environment;
    const Job& m_job;
    const JobItem m_item;
    const std::function<void(JobResult)> m_onDone;
    SlotHandle m_slot;
    bool m_isDone { false };
    std::string m_endpoint;
    std::unique_ptr<HttpCall> m_call;
    EndpointAnswerHead m_head;
    EventStreamReader m_events;
    QByteArray m_output;
    bool m_hasOutput { false };
    uint64_t m_lastEventId { 0 };
    /// Up to where `takeProgress()` has returned the output.
    uint64_t m_takenEventId { 0 };
    qsizetype m_takenBytes { 0 };
    /// Runs that the endpoint itself called failed.
    uint32_t m_failedRuns { 0 };
    MonotonicTime m_slotTakenAt;
    /// Time for which runs of the item have held a slot.
    Milliseconds m_slotTimeUsed { 0 };
    QTimer m_retryTimer;
};

}

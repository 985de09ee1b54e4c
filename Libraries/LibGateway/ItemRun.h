#pragma once

#include <LibGateway/EventSequence.h>
#include <LibGateway/EventStreamReader.h>
#include <LibGateway/GatewayEnvironment.h>
#include <LibGateway/JobTypes.h>
#include <LibGateway/PromptAttempts.h>
#include <LibGateway/ResponseHead.h>
#include <LibGateway/SlotHandle.h>

#include <QJsonObject>
#include <QTimer>

#include <functional>
#include <memory>

namespace Chicorydock {

/// Runs one item of a job until it has a result. If the item must yield its slot or its endpoint fails, the run keeps
/// the output received so far and resumes after the last event.
///
/// Thread safety: used on the I/O thread.
class ItemRun final : private SlotClient, private HttpCallObserver {
public:
    /// Properties of the job that its items share.
    struct Job {
        std::string id;
        std::string route;
        std::string host;
        /// When the item should be completed to have its full value, and when it fails if it still waits for a slot.
        MonotonicTime dueAt;
        MonotonicTime expiresAt;
        /// Empty for the job of an anonymous caller, and in deployments without workspaces.
        std::string workspace {};
    };

    /// `job` outlives the run. `onDone` is called at most once and must not destroy the run synchronously.
    ItemRun(GatewayEnvironment&, const Job& job, JobItem, std::function<void(JobResult)> onDone);
    ~ItemRun() override;

    void start();

    /// Adapts an item that waits for a slot to the present configuration and endpoints: it waits for another service,
    /// or fails because its route is gone or its time is over. Must be called several times a second.
    void update();

    /// Continues after the output that another node received. Must be called before `start()`.
    void resume(const ItemProgress&);

    /// Returns the output received and the runs that have failed since the last call, or nothing if there were none.
    std::optional<ItemProgress> collectProgress();

    /// Cancels the call in progress and releases the slot or the position in the queue, until `start()` is called
    /// again.
    void suspend();

    /// Stops permanently, without a result.
    void stop();

    bool isDone() const { return m_isDone; }
    const JobItem& item() const { return m_item; }

private:
    void onSlotGranted(const std::string& endpoint, const SlotView&) override;
    void onRefused(RefusalReason, Milliseconds retryAfter, const SlotView&) override;
    void onYield(const SlotView&) override;

    void onHandedOver() override { }
    void onHeaders(int status, const HttpHeaders&) override;
    void onData(const QByteArray&) override;
    void onFinished() override;
    void onFailed(const HttpFailure&) override;

    void requestSlot();
    /// Returns the workspace that endpoints are told, nothing if the deployment has none.
    std::optional<std::string> workspace() const;
    /// Returns what the item waits for, according to the endpoints known now.
    BatchWork makeWork() const;
    /// Returns whether the item may go on waiting for what it was queued for.
    bool isQueueEntryCurrent(const GatewayRoute&) const;
    /// Returns whether the output received so far can be continued.
    bool canResume(const GatewayRoute&) const;
    /// Discards the output received so far, so that the item starts anew.
    void discardOutput(const std::string& reason);
    /// Records how many bytes of the output are held, and discards them if they do not fit.
    void countHeldBytes();
    void handleMemoryRevoked();
    void requestSlotLater();
    /// Keeps the item back until it may be tried again, and logs why if that has changed.
    void waitForPrompt(const PromptDecision&);
    /// Sends the item to the endpoint of the slot.
    void startCall(const EndpointRecord&);
    void endCall();
    /// Handles an event stream that ended in order.
    void handleStreamEnd();
    /// Handles a run that was asked to repeat the last event and brought the next one, too.
    void handleIncompleteOutput();
    /// Sends the item to the same endpoint once more, in the slot that it has. Returns whether it did. There are two
    /// such runs in a slot at most: one that is asked to repeat the last event, and one that is asked for the next.
    bool askAgain(const std::string& reason);
    /// Ends the call because the endpoint is not sound, and retries elsewhere.
    void abandonCall(const std::string& reason);
    void releaseSlot(EndpointOutcome);
    void countSlotTime();
    void handleFailure(const std::string& reason);
    void finishFailedItem();
    void finish(bool isCompleted, const std::string& reason);
    /// Returns the endpoint of the slot that was just granted, if the item may run there.
    std::optional<EndpointRecord> findGrantedEndpoint() const;
    /// Returns the details that all log events of the item have.
    QJsonObject logDetails(std::optional<uint64_t> lastEventId) const;
    /// Logs that the current run brought the next event of an output that had begun before it.
    void logResumption() const;
    void logPlacement(const EndpointRecord*) const;
    void logStep(std::string_view action, const std::string& reason) const;

    GatewayEnvironment& m_environment;
    const Job& m_job;
    const JobItem m_item;
    const WorkProfile m_profile;
    const std::function<void(JobResult)> m_onDone;
    SlotHandle m_slot;
    PromptAttempts m_prompt;
    bool m_isDone { false };
    std::string m_endpoint;
    /// Endpoint of the latest slot at which the item could not run. It is excluded for as long as that is so.
    std::optional<std::string> m_unusedEndpoint;
    /// What the item waits for or has waited for.
    BatchWork m_queuedWork;
    /// Version of the software at the endpoint of the latest run.
    std::string m_softwareVersion;
    /// Service of the latest run.
    std::string m_service;
    /// Where the output received so far comes from, empty if there is none.
    std::optional<StreamOrigin> m_origin;
    std::unique_ptr<HttpCall> m_call;
    EndpointAnswerHead m_head;
    /// Head of the response to the latest run that has one.
    ResponseHead m_answer;
    EventStreamReader m_events;
    QByteArray m_output;
    bool m_hasOutput { false };
    MemoryBudget::Account m_memory;
    /// Bytes of the body that this run has received.
    qsizetype m_receivedBytes { 0 };
    /// Events that were received. Decides what the next run is asked for.
    EventSequence m_sequence;
    /// Last event and size of the output that `collectProgress()` has returned.
    uint64_t m_collectedEventId { 0 };
    qsizetype m_collectedBytes { 0 };
    /// Failed runs that `collectProgress()` has returned.
    uint32_t m_collectedFailedRuns { 0 };
    /// Runs that endpoints reported as failed, at all nodes.
    uint32_t m_failedRuns { 0 };
    MonotonicTime m_slotAcquiredAt;
    /// When the latest run began.
    MonotonicTime m_startedAt;
    /// Total time for which runs of the item have held a slot.
    Milliseconds m_slotTimeUsed { 0 };
    /// Delay after the latest refusal, 0 if another response came since.
    Milliseconds m_refusalDelay { 0 };
    /// The latest refusal that was logged while a part of the prompt keeps the item back.
    std::optional<PromptDecision> m_promptRefusal;
    QTimer m_retryTimer;
    /// Runs while the endpoint has not sent the next event.
    QTimer m_idleTimer;
    /// Time without a new event after which the item moves to another endpoint.
    Milliseconds m_idleTimeout { 0 };
};

}

#pragma once

#include <LibGateway/CallerStream.h>
#include <LibGateway/EventSequence.h>
#include <LibGateway/EventStreamReader.h>
#include <LibGateway/GatewayEnvironment.h>
#include <LibGateway/OriginLookup.h>
#include <LibGateway/PromptAttempts.h>
#include <LibGateway/ResponseHead.h>
#include <LibGateway/SlotHandle.h>
#include <LibGateway/StreamFlow.h>
#include <LibHTTP/HttpExchange.h>

#include <QJsonObject>
#include <QTimer>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace Chicorydock {

/// Delay after which the caller of a request that a stopping node did not run is served by another node.
constexpr Milliseconds stoppingRetryAfter { 100 };

/// Forwards one request of a caller: waits for a slot, sends the request to an endpoint and returns the response to the
/// caller. If the route allows it, the request is retried, or its stream resumed, at another endpoint after a failure.
/// While this node does not reach the endpoints, a peer forwards the request and takes the place of the endpoint.
///
/// Thread safety: used on the I/O thread.
class ForwardedCall final : private SlotClient, private HttpCallObserver {
public:
    /// `route` belongs to `configuration`. `onDone` is called once, when the call has ended, and must not destroy the
    /// call synchronously.
    ForwardedCall(GatewayEnvironment&, std::shared_ptr<HttpExchange>, ForwardRequest,
        std::shared_ptr<const GatewayConfiguration> configuration, const GatewayRoute& route,
        std::function<void()> onDone);
    ~ForwardedCall() override;

    void start();

    /// Ends the call by that time at the latest, because the process stops.
    void endBy(MonotonicTime);

    /// Records that the process ends before the request has a response. The call is destroyed next.
    void cutOff();

    bool isRelayed() const { return m_isRelayed; }
    bool isFromPeer() const { return m_isFromPeer; }

    /// Adapts a request that waits for an endpoint to the present configuration and endpoints: it moves to another
    /// service of its route if endpoints offer only that, and may use an endpoint that has come back.
    void updateQueueEntry();

    /// Moves the request to a peer if it waits for an endpoint, because this node has lost the endpoints. Frees the
    /// slot of a request that gets no response.
    void handleLostEndpoints();

private:
    // SlotClient
    void onSlotGranted(const std::string& endpoint, const SlotView&) override;
    void onRefused(RefusalReason, Milliseconds retryAfter, const SlotView&) override;
    void onYield(const SlotView&) override;

    // HttpCallObserver
    void onHandedOver() override;
    void onHeaders(int status, const HttpHeaders&) override;
    void onData(const QByteArray&) override;
    void onFinished() override;
    void onFailed(const HttpFailure&) override;

    /// Returns whether the caller resumes a stream that an earlier attempt began.
    bool resumesStream() const;
    /// Returns the attempt that brought the first event of the stream to other nodes, empty if there has been none.
    std::string firstAttempt() const;
    /// Finds out where the stream began that the caller resumes, and requests a slot there.
    void findOrigin();
    void handleOrigin(const OriginResult&);
    void requestSlot();
    /// Returns whether the request was queued without an endpoint that this node no longer excludes.
    bool hasExclusionEnded() const;
    /// Looks at the caller's key again if the configuration has changed since, and refuses a request that has not run
    /// yet if the key is no longer valid. Returns whether the request goes on.
    bool updateCaller();
    /// Returns the workspace that endpoints and peers are told, nothing if the deployment has none.
    std::optional<std::string> workspace() const;
    /// Adds the workspace of the caller to the details of a log line.
    void addWorkspace(QJsonObject& details) const;
    void send(const EndpointRecord&);
    /// Has a peer forward the request if this node cannot reach the endpoints. Returns whether it does.
    bool relayIfEndpointsAreLost();
    void relay(const RelayPeer&);
    /// Resets what belongs to an earlier attempt.
    void beginAttempt(const std::string& target, bool isRelayed);
    /// Records that no byte has come from the endpoint.
    void recordSilentEndpoint();
    /// Passes on that a peer did not run the request.
    void handlePeerRefusal();
    bool isStreaming() const;
    void forwardEvent(const StreamEvent&);
    /// Forwards an event that carries nothing, which is no progress of the stream.
    void forwardEmptyEvent(const StreamEvent&);
    /// Records where the stream began, now that its first event has arrived. Events are held back meanwhile.
    void recordOrigin();
    /// Returns the default version of the service if endpoints have it: a stream without a record is taken for one of
    /// it.
    std::optional<std::string> defaultVersion() const;
    /// Returns the version at which the request must run although no stream has begun. Empty for any.
    std::optional<std::string> requiredVersion() const;
    void handleHoldTimeout();
    void releaseEvents();
    void handleCompleteAnswer();
    /// Handles a complete response to the request to continue a stream that has events. It is no part of the stream.
    void handleAnswerToResumedStream();
    void handleStreamEnd();
    /// Handles a stream that ended in order without an event. Only if the endpoint may be asked again is it asked to
    /// repeat the last event.
    void handleEmptyStream(bool mayAskAgain);
    /// Handles a run that was asked to repeat the last event and brought the next one, too.
    void handleIncompleteStream();
    /// Sends the request to the same endpoint once more, in the slot that it has, so that no attempt of the route is
    /// used. Returns whether it did. There are two such runs in a slot at most: one that is asked to repeat the last
    /// event, and one that is asked for the next.
    bool askAgain(const std::string& reason);
    /// Handles a stream that ended in order but too early.
    void handleBrokenStream(const std::string& reason);
    /// Handles a response that states that the endpoint did not run the request.
    void handleNotRun();
    /// Handles a failure after the request was sent to the endpoint: retries it or reports the error.
    void handleFailedAttempt(const std::string& reason);
    /// Ends the call because the endpoint is not sound, and retries the request or reports the error.
    void abandonCall(const std::string& reason);
    /// Records how many bytes of the response are held, and ends the attempt if they do not fit.
    void countHeldBytes();
    /// Frees what is held of the response of the latest attempt.
    void dropAnswer();
    void handleMemoryRevoked();
    /// Stops reading from the endpoint while the caller does not take what it is sent.
    void updateFlow();
    bool canRetryElsewhere() const;
    /// Refuses the request if endpoints crash on a part of its prompt. Returns whether it did.
    bool refuseIfQuarantined();
    void handleIdleTimeout();
    /// Starts the timer that ends the call at its time limit, never before it.
    void startDeadlineTimer();
    void handleDeadline();
    void handleCallerDisconnected();
    /// Restarts the timer that moves the request to another endpoint when this one sends nothing.
    void restartIdleTimer();
    Milliseconds idleTimeout() const;
    Milliseconds timeLeft() const;
    /// Ends the call with an error, or aborts the stream if it has begun.
    void refuse(ErrorKind, const std::string& reason, std::optional<Milliseconds> retryAfter = {});
    /// Returns what the request waits for, for the log.
    std::string_view phase() const;
    /// Logs that the current attempt brought the next event of a stream that had begun before it.
    void logResumption() const;
    void logPlacement(const EndpointRecord*, const SlotView&) const;
    void finish(const std::string& outcome, const std::string& reason);
    void logEnd(const std::string& outcome, const std::string& reason, MonotonicTime now) const;
    /// Adds the time from the arrival to the end of a phase to the metrics, if the phase has ended.
    void recordPhaseDuration(const std::string& phase, const std::optional<MonotonicTime>& end);

    GatewayEnvironment& m_environment;
    const std::shared_ptr<HttpExchange> m_exchange;
    ForwardRequest m_request;
    const std::shared_ptr<const GatewayConfiguration> m_configuration;
    /// Configuration by which the key was looked at.
    std::shared_ptr<const GatewayConfiguration> m_keyCheckedBy;
    const GatewayRoute& m_route;
    const std::function<void()> m_onDone;
    const MonotonicTime m_arrival;
    /// The earliest of the caller's deadline, the limit in the operator's configuration and the end of the process.
    MonotonicTime m_deadline;
    /// Whether the process ends before the request would have to.
    bool m_isCutShort { false };
    /// What the request waited for when a stop ended it. Empty for other requests.
    std::string m_phaseAtStop;
    std::string m_service;

    SlotHandle m_slot;
    /// Workspace whose rate limit an earlier run of the request was charged to.
    std::optional<std::string> m_chargedWorkspace;
    const std::string m_fingerprint;
    PromptAttempts m_prompt;
    std::string m_endpoint;
    /// Version of the software at the endpoint of the latest attempt.
    std::string m_softwareVersion;
    /// Where the stream began. Empty until its first event, unless the caller resumes it.
    std::optional<StreamOrigin> m_origin;
    std::vector<std::string> m_excluded;
    /// Endpoints that this node excluded for all requests when this one was queued.
    std::vector<std::string> m_excludedWhenQueued;
    std::unique_ptr<HttpCall> m_call;
    /// Whether the request comes from a peer that has lost the endpoints.
    const bool m_isFromPeer;
    /// Whether the latest attempt was made through a peer.
    bool m_isRelayed { false };
    /// Peers that could not be reached.
    std::vector<std::string> m_failedPeers;
    /// Number of endpoints and peers that the request was sent to.
    uint32_t m_attempts { 0 };
    /// Number of connections that could not be opened.
    uint32_t m_failedConnections { 0 };
    /// Whether any attempt may have run, including the one in progress.
    bool m_mayHaveRun { false };
    /// Whether any attempt before the one in progress may have run.
    bool m_mayHaveRunBefore { false };
    bool m_isDone { false };

    EndpointAnswerHead m_head;
    /// Head of the response to the latest attempt, as it is passed on to the caller.
    ResponseHead m_answer;
    QByteArray m_body;
    MemoryBudget::Account m_memory;
    StreamFlow m_flow;
    EventStreamReader m_events;
    /// Bytes of the body that this attempt has received.
    qsizetype m_receivedBytes { 0 };
    /// Events that were received, also if they are held back. Decides what the next attempt is asked for.
    EventSequence m_sequence;
    /// Empty events that this attempt has brought before its first new one. They leave together with that.
    QByteArray m_leadingEmptyEvents;
    /// Its events are held back until the store knows where the stream began.
    CallerStream m_stream;
    std::optional<MonotonicTime> m_sentAt;
    /// When the latest attempt began, and whether its request was handed to a connection.
    MonotonicTime m_attemptedAt;
    bool m_isHandedOver { false };
    /// Whether the latest attempt is another run at the endpoint of the one before it.
    bool m_isFurtherRun { false };
    MonotonicTime m_receivedAt;
    std::optional<MonotonicTime> m_firstByteAt;
    /// State of the slots on which the scheduler based its refusal.
    std::optional<SlotView> m_refusal;
    std::optional<Milliseconds> m_retryAfter;
    /// Set if a part of the prompt kept the request from being sent.
    std::optional<PromptDecision> m_promptRefusal;
    QTimer m_deadlineTimer;
    QTimer m_idleTimer;
    QTimer m_holdTimer;
    std::shared_ptr<bool> m_lifetime { std::make_shared<bool>(true) };
};

}

#pragma once

#include <LibGateway/EventStreamReader.h>
#include <LibGateway/GatewayEnvironment.h>
#include <LibGateway/SlotHandle.h>
#include <LibHTTP/HttpExchange.h>

#include <QTimer>

#include <functional>
#include <memory>

namespace Chicorydock {

/// One request of a caller on its way through the system: it waits for a slot, goes to an endpoint, and the answer goes
/// back. Where the route allows it, it goes on at another endpoint after a failure.
///
/// Thread safety: used on the I/O thread.
class ForwardedCall final : private SlotClient, private HttpCallObserver {
public:
    /// `route` belongs to `configuration`. `onDone` is called once, when the call has ended; it must not destroy the
    /// call at once.
    ForwardedCall(GatewayEnvironment&, std::shared_ptr<HttpExchange>, ForwardRequest,
        std::shared_ptr<const GatewayConfiguration> configuration, const GatewayRoute& route,
        std::function<void()> onDone);
    ~ForwardedCall() override;

    void start();

private:
    // SlotClient
    void onSlotGranted(const std::string& endpoint, const SlotView&) override;
    void onRefused(Milliseconds retryAfter, const SlotView&) override;
    void onYield(const SlotView&) override;

    // HttpCallObserver
    void onHandedOver() override;
    void onHeaders(int status, const HttpHeaders&) override;
    void onData(const QByteArray&) override;
    void onFinished() override;
    void onFailed(const HttpFailure&) override;

    void requestSlot();
    void send(const EndpointRecord&);
    bool isStreaming() const;
    void forwardEvent(const StreamEvent&);
    void beginStream();
    void handleWholeAnswer();
    void handleStreamEnd();
    void handleNotRun();
    /// The attempt failed after the request was handed to the endpoint.
    void handleFailedAttempt(const std::string& reason);
    bool mayGoOnElsewhere() const;
    void handleSilence();
    void handleTimeLimit();
    void handleCallerGone();
    void armSilenceTimer();
    Milliseconds timeLeft() const;
    void refuse(ErrorKind, const std::string& reason, std::optional<Milliseconds> retryAfter = {});
    void logPlace(const SlotView&) const;
    void finish(const std::string& outcome, const std::string& reason);
    /// Counts the time from the arrival to the end of a phase, if it has ended.
    void measure(const std::string& phase, const std::optional<MonotonicTime>& end);

    GatewayEnvironment& m_environment;
    const std::shared_ptr<HttpExchange> m_exchange;
    const ForwardRequest m_request;
    const std::shared_ptr<const GatewayConfiguration> m_configuration;
    const GatewayRoute& m_route;
    const std::function<void()> m_onDone;
    const MonotonicTime m_arrival;
    /// When an answer is of no more use to the caller, or the operator's limit is reached.
    const MonotonicTime m_answerBy;
    std::string m_service;

    SlotHandle m_slot;
    std::string m_endpoint;
    std::vector<std::string> m_excluded;
    std::unique_ptr<HttpCall> m_call;
    /// Endpoints that the request was handed to.
    uint32_t m_attempts { 0 };
    /// Connections that could not be opened.
    uint32_t m_failedConnections { 0 };
    /// Whether an attempt may have run, the one in progress included.
    bool m_mayHaveRun { false };
    /// Whether one of the attempts that ended may have run.
    bool m_mayHaveRunBefore { false };
    bool m_isDone { false };

    EndpointAnswerHead m_head;
    HttpHeaders m_headers;
    QByteArray m_body;
    EventStreamReader m_events;
    bool m_hasStreamBegun { false };
    uint64_t m_lastEventId { 0 };
    std::optional<MonotonicTime> m_sentAt;
    std::optional<MonotonicTime> m_firstByteAt;
    /// What the scheduler went by when it refused the request.
    std::optional<SlotView> m_refusal;
    std::optional<Milliseconds> m_retryAfter;
    QTimer m_limitTimer;
    QTimer m_silenceTimer;
};

}

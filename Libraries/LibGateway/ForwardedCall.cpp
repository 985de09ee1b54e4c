#include <LibGateway/ForwardedCall.h>

#include <LibGateway/DecisionFields.h>

#include <algorithm>
#include <utility>

namespace Chicorydock {

namespace {

    /// Assumed for a caller that does not say how long it waits.
    constexpr Milliseconds defaultDeadline { 30'000 };

    /// Time that an endpoint needs from the request to the first byte when it has a free slot.
    constexpr Milliseconds usualFirstByteTime { 80 };

    /// A caller whose deadline is this much shorter than the route's timeout has used an attempt before.
    constexpr Milliseconds usedAttemptMargin { 60 };

    constexpr uint32_t maxFailedConnections = 4;

    /// Silence of an endpoint after which a repeatable stream goes on elsewhere: before the first event, in which a
    /// prompt is read, and between events.
    constexpr Milliseconds firstEventSilence { 900 };
    constexpr Milliseconds eventSilence { 700 };

    /// Silence of an endpoint after which a repeatable request is sent elsewhere, as a multiple of the route's target.
    constexpr double wholeAnswerSilence = 1.5;

    /// What is left after an attempt failed must suffice for another one.
    constexpr Milliseconds minTimeForAttempt { 50 };

    MonotonicTime answerLimit(const ForwardRequest& request, const GatewayRoute& route, MonotonicTime arrival)
    {
        Milliseconds limit = request.deadline.value_or(defaultDeadline);
        if (route.timeout.count() > 0)
            limit = std::min(limit, route.timeout);
        return arrival + limit;
    }

    /// Returns whether callers take the status for a promise that the request did not run.
    bool promisesNotRun(int status) { return status == 408 || status == 421 || status == 429 || status == 503; }

    Milliseconds milliseconds(MonotonicTime::duration duration)
    {
        return std::chrono::duration_cast<Milliseconds>(duration);
    }

}

ForwardedCall::ForwardedCall(GatewayEnvironment& environment, std::shared_ptr<HttpExchange> exchange,
    ForwardRequest request, std::shared_ptr<const GatewayConfiguration> configuration, const GatewayRoute& route,
    std::function<void()> onDone)
    : m_environment(environment)
    , m_exchange(std::move(exchange))
    , m_request(std::move(request))
    , m_configuration(std::move(configuration))
    , m_route(route)
    , m_onDone(std::move(onDone))
    , m_arrival(environment.clock.now())
    , m_answerBy(answerLimit(m_request, route, m_arrival))
    , m_slot(environment.broker)
    , m_lastEventId(m_request.lastEventId.value_or(0))
{
    for (QTimer* it : { &m_limitTimer, &m_silenceTimer })
        it->setSingleShot(true);
    QObject::connect(&m_limitTimer, &QTimer::timeout, &m_limitTimer, [this] { handleTimeLimit(); });
    QObject::connect(&m_silenceTimer, &QTimer::timeout, &m_silenceTimer, [this] { handleSilence(); });
}

ForwardedCall::~ForwardedCall()
{
    m_exchange->setCallerGoneHandler(nullptr);
    m_call.reset();
    m_slot.release(EndpointOutcome::Cancelled);
}

void ForwardedCall::start()
{
    m_service = chooseService(m_route, m_environment.random.unit());
    m_exchange->setCallerGoneHandler([this] { handleCallerGone(); });
    m_limitTimer.start(std::max(Milliseconds { 0 }, timeLeft()));
    requestSlot();
}

Milliseconds ForwardedCall::timeLeft() const { return milliseconds(m_answerBy - m_environment.clock.now()); }

void ForwardedCall::requestSlot()
{
    OnlineWork work;
    work.service = m_service;
    work.priority = m_route.priority;
    work.startBy = m_arrival + std::max(Milliseconds { 0 }, m_route.latencyTarget - usualFirstByteTime);
    work.deadline = m_answerBy;
    const bool hasUsedAttempt = m_request.deadline && *m_request.deadline + usedAttemptMargin < m_route.timeout;
    work.isLastAttempt = hasUsedAttempt || m_mayHaveRun || m_hasStreamBegun;
    work.excluded = m_excluded;
    m_slot.request(std::move(work), *this);
}

void ForwardedCall::onSlotGranted(const std::string& endpoint, const SlotView& view)
{
    m_slot.markStarted();
    m_endpoint = endpoint;
    logPlace(view);
    const auto record = m_environment.directory.find(endpoint);
    if (!record) {
        m_slot.release(EndpointOutcome::Cancelled);
        requestSlot();
        return;
    }
    send(*record);
}

void ForwardedCall::logPlace(const SlotView& view) const
{
    // Also the only trace of a request whose node is lost before its end.
    QJsonObject details {
        { "endpoint", QString::fromStdString(m_endpoint) },
        { "configuration", static_cast<qint64>(m_configuration->version) },
        { "queued_ms", static_cast<qint64>(milliseconds(m_environment.clock.now() - m_arrival).count()) },
        { "left_ms", static_cast<qint64>(timeLeft().count()) },
    };
    addDecisionFields(details, view);
    m_environment.log.record("request", "placed", m_request.id, {}, details);
}

void ForwardedCall::send(const EndpointRecord& endpoint)
{
    const HttpRequest& request = m_exchange->request();
    m_events = {};
    m_head = {};
    m_body.clear();
    HttpCallRequest call { .address = endpoint.address,
        .method = request.method,
        .target = request.target,
        .headers = m_environment.wire.endpointHeaders(
            request.headers, endpoint.id, timeLeft(), m_lastEventId > 0 ? std::optional(m_lastEventId) : std::nullopt),
        .body = request.body,
        .progressTimeout = timeLeft() + endpointConnectTimeout,
        .connectTimeout = endpointConnectTimeout,
        .echoedField = m_environment.wire.requestIdField() };
    m_call = m_environment.http.start(call, *this);
}

void ForwardedCall::onHandedOver()
{
    ++m_attempts;
    m_mayHaveRun = true;
    m_sentAt = m_environment.clock.now();
    armSilenceTimer();
}

void ForwardedCall::armSilenceTimer()
{
    if (!m_route.isRepeatable())
        return;
    if (m_route.kind == RouteKind::Stream)
        m_silenceTimer.start(m_firstByteAt ? eventSilence : firstEventSilence);
    else
        m_silenceTimer.start(Milliseconds { static_cast<int64_t>(m_route.latencyTarget.count() * wholeAnswerSilence) });
}

bool ForwardedCall::isStreaming() const { return m_route.kind == RouteKind::Stream && m_head.status == 200; }

void ForwardedCall::onHeaders(int status, const HttpHeaders& headers)
{
    m_head = m_environment.processAnswerHead(m_endpoint, status, headers);
    if (m_head.isUnsignedSuccess()) {
        m_call.reset();
        handleFailedAttempt("the answer has no signature of the endpoint");
        return;
    }
    // A stream keeps the headers of its first endpoint.
    if (!m_hasStreamBegun)
        m_headers = headers;
}

void ForwardedCall::onData(const QByteArray& data)
{
    if (!isStreaming()) {
        m_body += data;
        return;
    }
    for (const StreamEvent& it : m_events.consume(data)) {
        if (it.id && m_lastEventId > 0 && *it.id > m_lastEventId + 1) {
            m_call.reset();
            handleFailedAttempt("an event is missing in the stream of the endpoint");
            return;
        }
        forwardEvent(it);
    }
}

void ForwardedCall::forwardEvent(const StreamEvent& event)
{
    armSilenceTimer();
    // The endpoint repeats events that were delivered before.
    if (event.id && *event.id <= m_lastEventId)
        return;
    beginStream();
    m_exchange->sendChunk(event.bytes);
    if (event.id)
        m_lastEventId = *event.id;
}

void ForwardedCall::beginStream()
{
    if (!m_firstByteAt)
        m_firstByteAt = m_environment.clock.now();
    if (std::exchange(m_hasStreamBegun, true))
        return;
    m_exchange->startStream(m_head.status, m_headers);
}

void ForwardedCall::onFinished()
{
    m_silenceTimer.stop();
    m_call.reset();
    if (m_head.isNotRun)
        handleNotRun();
    else if (isStreaming())
        handleStreamEnd();
    else
        handleWholeAnswer();
}

void ForwardedCall::handleNotRun()
{
    m_mayHaveRun = m_mayHaveRunBefore;
    m_environment.log.record("request", "not_run", m_request.id, {},
        { { "endpoint", QString::fromStdString(m_endpoint) }, { "status", m_head.status } });
    if (m_head.isMisdirected)
        m_environment.directory.markReplaced(m_endpoint);
    m_slot.release(EndpointOutcome::Cancelled);
    m_excluded.push_back(m_endpoint);
    if (m_attempts < m_route.maxAttempts && timeLeft() > minTimeForAttempt) {
        requestSlot();
        return;
    }
    if (m_mayHaveRun)
        refuse(ErrorKind::EndpointFailed, "the endpoints did not run the request again");
    else
        refuse(ErrorKind::NoEndpoint, "the endpoint did not run the request", m_route.latencyTarget);
}

void ForwardedCall::handleStreamEnd()
{
    if (m_events.hasPartialEvent()) {
        handleFailedAttempt("the stream of the endpoint ended in the middle of an event");
        return;
    }
    m_slot.release(EndpointOutcome::Answered);
    beginStream();
    m_exchange->finishStream();
    finish("answered", "");
}

void ForwardedCall::handleWholeAnswer()
{
    const bool isFailure = m_head.status >= 500;
    if (isFailure && m_head.status != 504 && mayGoOnElsewhere()) {
        handleFailedAttempt("the endpoint answered " + std::to_string(m_head.status));
        return;
    }
    m_slot.release(EndpointOutcome::Answered);
    m_firstByteAt = m_environment.clock.now();
    if (m_hasStreamBegun) {
        // The stream cannot go on: the endpoint answered the resumed run with a whole answer.
        m_exchange->abortStream();
        finish("broken", "the endpoint answered a resumed stream with " + std::to_string(m_head.status));
        return;
    }
    if (promisesNotRun(m_head.status)) {
        // The endpoint did not state that it did not run the request, so the caller must not be told so.
        refuse(ErrorKind::EndpointFailed, "the endpoint answered " + std::to_string(m_head.status));
        return;
    }
    m_exchange->answer({ .status = m_head.status, .headers = m_headers, .body = m_body });
    finish(isFailure ? "failed" : "answered", isFailure ? "the endpoint failed" : "");
}

void ForwardedCall::onFailed(const HttpFailure& failure)
{
    m_silenceTimer.stop();
    m_call.reset();
    if (failure.phase != HttpFailure::Phase::NotSent) {
        handleFailedAttempt(failure.message);
        return;
    }
    // The endpoint saw nothing of the request, so this is no attempt.
    m_slot.release(EndpointOutcome::Failed);
    m_excluded.push_back(m_endpoint);
    if (++m_failedConnections < maxFailedConnections && timeLeft() > minTimeForAttempt) {
        requestSlot();
        return;
    }
    refuse(m_mayHaveRun ? ErrorKind::EndpointFailed : ErrorKind::NoEndpoint, failure.message, m_route.latencyTarget);
}

bool ForwardedCall::mayGoOnElsewhere() const
{
    return m_route.isRepeatable() && m_attempts < m_route.maxAttempts && timeLeft() > minTimeForAttempt;
}

void ForwardedCall::handleFailedAttempt(const std::string& reason)
{
    m_mayHaveRunBefore = true;
    m_slot.release(EndpointOutcome::Failed);
    m_excluded.push_back(m_endpoint);
    if (mayGoOnElsewhere()) {
        m_environment.log.record("request", "moved", m_request.id, {},
            { { "endpoint", QString::fromStdString(m_endpoint) }, { "reason", QString::fromStdString(reason) },
                { "last_event", static_cast<qint64>(m_lastEventId) } });
        requestSlot();
        return;
    }
    refuse(ErrorKind::EndpointFailed, reason);
}

void ForwardedCall::handleSilence()
{
    if (!m_call || !mayGoOnElsewhere())
        return;
    m_call.reset();
    handleFailedAttempt("the endpoint was silent");
}

void ForwardedCall::onRefused(Milliseconds retryAfter, const SlotView& view)
{
    m_slot.markReleased();
    m_refusal = view;
    m_retryAfter = retryAfter;
    if (m_mayHaveRun)
        refuse(ErrorKind::EndpointFailed, "no endpoint is free for another attempt");
    else
        refuse(ErrorKind::DeadlineUnattainable, "no endpoint is free in time", retryAfter);
}

// Only work of jobs is told to yield.
void ForwardedCall::onYield(const SlotView&) { }

void ForwardedCall::handleTimeLimit()
{
    m_call.reset();
    m_slot.release(EndpointOutcome::Cancelled);
    refuse(m_mayHaveRun ? ErrorKind::DeadlineExceeded : ErrorKind::DeadlineUnattainable, "the time limit was reached");
}

void ForwardedCall::handleCallerGone()
{
    m_call.reset();
    m_slot.release(EndpointOutcome::Cancelled);
    finish("cancelled", "the caller closed the connection");
}

void ForwardedCall::refuse(ErrorKind kind, const std::string& reason, std::optional<Milliseconds> retryAfter)
{
    if (m_hasStreamBegun) {
        m_exchange->abortStream();
        finish("broken", reason);
        return;
    }
    const Error error(kind, reason, retryAfter);
    m_exchange->answer(m_environment.wire.errorAnswer(error, m_request.id));
    const std::string_view name = errorRow(kind).name;
    finish(std::string(name), reason);
}

void ForwardedCall::finish(const std::string& outcome, const std::string& reason)
{
    if (std::exchange(m_isDone, true))
        return;
    m_limitTimer.stop();
    m_silenceTimer.stop();
    const MonotonicTime now = m_environment.clock.now();
    QJsonObject details {
        { "outcome", QString::fromStdString(outcome) },
        { "route", QString::fromStdString(m_route.name) },
        { "service", QString::fromStdString(m_service) },
        { "configuration", static_cast<qint64>(m_configuration->version) },
        { "endpoint", QString::fromStdString(m_endpoint) },
        { "attempts", static_cast<qint64>(m_attempts) },
        { "status", m_head.status },
        { "total_ms", static_cast<qint64>(milliseconds(now - m_arrival).count()) },
    };
    if (m_sentAt)
        details["queued_ms"] = static_cast<qint64>(milliseconds(*m_sentAt - m_arrival).count());
    if (m_firstByteAt)
        details["first_byte_ms"] = static_cast<qint64>(milliseconds(*m_firstByteAt - m_arrival).count());
    if (!reason.empty())
        details["reason"] = QString::fromStdString(reason);
    if (m_refusal)
        addDecisionFields(details, *m_refusal);
    if (m_retryAfter)
        details["retry_after_ms"] = static_cast<qint64>(m_retryAfter->count());
    m_environment.log.record("request", "finished", m_request.id, {}, details);
    m_environment.metrics
        .counter("chicorydock_requests_total", "Requests by route and outcome.",
            { { "route", m_route.name }, { "outcome", outcome } })
        .add(1);
    measure("queue", m_sentAt);
    measure("first_byte", m_firstByteAt);
    measure("total", now);
    m_onDone();
}

void ForwardedCall::measure(const std::string& phase, const std::optional<MonotonicTime>& end)
{
    if (!end)
        return;
    m_environment.metrics
        .histogram("chicorydock_request_seconds", "Time from the arrival of a request to the end of a phase.",
            { { "route", m_route.name }, { "phase", phase } })
        .observe(toSeconds(*end - m_arrival));
}

}

#include <LibGateway/ForwardedCall.h>

#include <LibGateway/CallerAuthentication.h>
#include <LibGateway/DecisionFields.h>
#include <LibGateway/FurtherRun.h>
#include <LibGateway/RequestFingerprint.h>
#include <LibGateway/RequestWork.h>
#include <LibGateway/ServiceChoice.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace Chicorydock {

namespace {

    constexpr uint32_t maxFailedConnections = 4;

    /// Minimum time without data after which a repeatable stream moves to another endpoint. The first event takes
    /// longer, because the endpoint reads the prompt before it.
    constexpr Milliseconds minFirstEventTimeout { 900 };
    constexpr Milliseconds minEventIdleTimeout { 700 };

    /// The same times as multiples of the route's targets: a stream that is slow but sound must not be moved, because
    /// the next endpoint may be as slow.
    constexpr int firstEventTimeoutFactor = 3;
    constexpr int eventIdleTimeoutFactor = 2;

    /// Time without a response after which a repeatable request is sent to another endpoint, as a multiple of the
    /// route's latency target.
    constexpr double answerIdleTimeoutFactor = 1.5;

    /// Time for which the first events of a stream wait for the record of where it began. A stream without one cannot
    /// be resumed by its caller, which is better than one that is late.
    constexpr Milliseconds maxHoldTime { 200 };

    /// The same time if the stream would be resumed at another version without the record. It must then not begin.
    constexpr Milliseconds maxRequiredHoldTime { 800 };

    /// Number of endpoints that could not be connected to after which a peer is asked.
    constexpr uint32_t maxFailedConnectionsBeforeRelay = 2;

    /// A peer may queue the request for an endpoint, and moves it to another one by itself if that is silent.
    constexpr Milliseconds relayedIdleAllowance { 1'000 };

    /// Time without data after which a stream no longer occupies a slot, if this node has lost the endpoints.
    constexpr Milliseconds lostStreamTimeout { 500 };

    /// Another attempt is made only if more than this is left before the deadline.
    constexpr Milliseconds minTimeForAttempt { 50 };

    /// Returns whether callers may conclude from the status that the request was not executed.
    bool impliesNotExecuted(int status) { return status == 408 || status == 421 || status == 429 || status == 503; }

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
    , m_keyCheckedBy(m_configuration)
    , m_route(route)
    , m_onDone(std::move(onDone))
    , m_arrival(environment.clock.now())
    , m_deadline(m_arrival + timeLimit(m_request, route))
    , m_slot(environment.broker)
    , m_fingerprint(requestFingerprint(m_exchange->request(), m_request.caller.workspace))
    , m_prompt(environment.quarantine, environment.clock, m_request.promptParts, m_fingerprint)
    , m_isFromPeer(m_request.isFromPeer)
    , m_memory(&environment.responseMemory, [this] { handleMemoryRevoked(); })
    , m_sequence(m_request.lastEventId.value_or(0) > 0 ? m_request.lastEventId : std::nullopt)
    , m_stream(*m_exchange)
{
    for (QTimer* it : { &m_deadlineTimer, &m_idleTimer, &m_holdTimer })
        it->setSingleShot(true);
    // A coarse timer may be late by 5%, which is longer than a process that stops leaves for the last responses.
    m_deadlineTimer.setTimerType(Qt::PreciseTimer);
    QObject::connect(&m_deadlineTimer, &QTimer::timeout, &m_deadlineTimer, [this] { handleDeadline(); });
    QObject::connect(&m_idleTimer, &QTimer::timeout, &m_idleTimer, [this] { handleIdleTimeout(); });
    QObject::connect(&m_holdTimer, &QTimer::timeout, &m_holdTimer, [this] { handleHoldTimeout(); });
}

ForwardedCall::~ForwardedCall()
{
    *m_lifetime = false;
    m_exchange->setCallerDisconnectedHandler(nullptr);
    m_exchange->setBytesWrittenHandler(nullptr);
    m_call.reset();
    m_slot.release(EndpointOutcome::Cancelled);
}

void ForwardedCall::start()
{
    m_service = chooseOfferedService(m_route, m_environment.directory, m_environment.random.unit());
    m_exchange->setCallerDisconnectedHandler([this] { handleCallerDisconnected(); });
    m_exchange->setBytesWrittenHandler([this] { updateFlow(); });
    if (refuseIfQuarantined())
        return;
    startDeadlineTimer();
    requestSlot();
}

void ForwardedCall::endBy(MonotonicTime time)
{
    if (m_isDone || m_deadline <= time)
        return;
    m_deadline = time;
    m_isCutShort = true;
    startDeadlineTimer();
}

void ForwardedCall::cutOff()
{
    m_phaseAtStop = phase();
    finish("cut_off", "the process ends");
}

std::string_view ForwardedCall::phase() const
{
    if (m_stream.isHolding())
        return "held";
    if (!m_call)
        return m_slot.isQueued() ? "queued" : "origin";
    if (m_head.status != 0)
        return "answering";
    return m_isHandedOver ? "sent" : "connecting";
}

void ForwardedCall::startDeadlineTimer()
{
    const auto left = std::chrono::ceil<Milliseconds>(m_deadline - m_environment.clock.now());
    m_deadlineTimer.start(std::max(Milliseconds { 0 }, left));
}

bool ForwardedCall::resumesStream() const
{
    const bool hasBegun = !m_request.resumes.empty() || m_sequence.lastId();
    return hasBegun && m_route.kind == RouteKind::Stream && m_route.isResumable;
}

std::string ForwardedCall::firstAttempt() const
{
    if (!m_request.resumes.empty())
        return m_request.resumes;
    const bool hasBegun = m_sequence.lastId().value_or(0) > m_request.lastEventId.value_or(0);
    return hasBegun ? m_request.id : std::string();
}

void ForwardedCall::findOrigin()
{
    lookUpOrigin(m_environment, m_route, m_service, firstAttempt(), [this, lifetime = m_lifetime](const auto& result) {
        if (*lifetime && !m_isDone)
            handleOrigin(result);
    });
}

void ForwardedCall::handleOrigin(const OriginResult& result)
{
    if (const auto* error = std::get_if<Error>(&result)) {
        m_retryAfter = error->retryAfter();
        refuse(m_mayHaveRun ? ErrorKind::EndpointFailed : error->kind(), error->message(), error->retryAfter());
        return;
    }
    m_origin = std::get<StreamOrigin>(result);
    m_service = m_origin->service;
    requestSlot();
}

bool ForwardedCall::refuseIfQuarantined()
{
    m_promptRefusal = m_prompt.refusal();
    if (!m_promptRefusal)
        return false;
    refuse(m_mayHaveRun ? ErrorKind::EndpointFailed : ErrorKind::PromptQuarantined,
        "endpoints crash on the request or on a part of its prompt", m_promptRefusal->retryAfter);
    return true;
}

Milliseconds ForwardedCall::timeLeft() const { return milliseconds(m_deadline - m_environment.clock.now()); }

bool ForwardedCall::relayIfEndpointsAreLost()
{
    const bool areLost = m_environment.links.areLost() || m_failedConnections >= maxFailedConnectionsBeforeRelay;
    if (m_isFromPeer || !areLost)
        return false;
    const auto peer = chooseRelayPeer(
        m_environment.relayPeers.relayPeers(), m_configuration->version, m_failedPeers, m_environment.random);
    if (!peer)
        return false;
    relay(*peer);
    return true;
}

void ForwardedCall::relay(const RelayPeer& peer)
{
    beginAttempt(peer.node, true);
    m_environment.log.record("request", "relayed", m_request.id, {},
        { { "peer", QString::fromStdString(peer.node) }, { "left_ms", static_cast<qint64>(timeLeft().count()) },
            { "last_event", static_cast<qint64>(m_sequence.resumeAfter().value_or(0)) } });
    const HttpRequest& request = m_exchange->request();
    m_call = m_environment.http.start({ .address = peer.address,
                                          .method = request.method,
                                          .target = request.target,
                                          .headers = m_environment.wire.peerHeaders(request.headers, timeLeft(),
                                              m_sequence.run().askedAfter, firstAttempt(), workspace()),
                                          .body = request.body,
                                          .progressTimeout = timeLeft() + endpointConnectTimeout,
                                          .connectTimeout = endpointConnectTimeout,
                                          .echoedField = m_environment.wire.requestIdField() },
        *this);
}

void ForwardedCall::beginAttempt(const std::string& target, bool isRelayed)
{
    m_idleTimer.stop();
    m_endpoint = target;
    m_isRelayed = isRelayed;
    m_isHandedOver = false;
    m_isFurtherRun = false;
    m_attemptedAt = m_environment.clock.now();
    m_head = {};
    m_answer = {};
    m_receivedBytes = 0;
    m_sequence.beginRun();
    m_flow = {};
    dropAnswer();
}

void ForwardedCall::dropAnswer()
{
    m_events = {};
    m_body = {};
    m_leadingEmptyEvents = {};
    countHeldBytes();
}

void ForwardedCall::countHeldBytes()
{
    const qsizetype bytes
        = m_body.capacity() + m_events.heldBytes() + m_leadingEmptyEvents.capacity() + m_stream.heldBytes();
    if (m_memory.resize(static_cast<size_t>(bytes)))
        return;
    m_memory.clear();
    handleMemoryRevoked();
}

void ForwardedCall::handleMemoryRevoked()
{
    if (m_isDone)
        return;
    const std::string reason = "the node has no memory for the answer";
    if (m_stream.isEndHeld()) {
        releaseEvents();
    } else if (m_stream.heldBytes() > 0) {
        m_call.reset();
        m_slot.release(EndpointOutcome::Failed);
        m_stream.discard();
        dropAnswer();
        refuse(ErrorKind::EndpointFailed, reason);
    } else {
        abandonCall(reason);
    }
}

void ForwardedCall::updateFlow()
{
    if (!m_call || !m_flow.update(m_exchange->bytesToWrite()))
        return;
    m_call->setPaused(m_flow.isPaused());
    if (m_flow.isPaused())
        m_idleTimer.stop();
    else
        restartIdleTimer();
}

void ForwardedCall::handleLostEndpoints()
{
    if (m_isDone || m_isRelayed || m_isFromPeer || !m_environment.shouldDeferToPeers())
        return;
    const bool isQueued = !m_call && m_slot.isQueued();
    const bool isConnecting = m_call && !m_isHandedOver;
    if (isQueued || isConnecting) {
        m_call.reset();
        m_slot.release(EndpointOutcome::Cancelled);
        requestSlot();
        return;
    }
    if (!m_call)
        return;
    if (m_head.status == 0 && canRetryElsewhere()) {
        abandonCall("this node has lost the endpoints");
        return;
    }
    const bool isSilent = m_head.status == 0 || m_environment.clock.now() - m_receivedAt > lostStreamTimeout;
    if (isSilent)
        m_slot.release(EndpointOutcome::Cancelled);
}

bool ForwardedCall::updateCaller()
{
    // A request that may have run is continued, and a peer looks at the keys of its own callers.
    if (m_keyCheckedBy == m_environment.configuration || m_mayHaveRun || m_isFromPeer)
        return true;
    m_keyCheckedBy = m_environment.configuration;
    const GatewayRoute* route = m_environment.configuration->findRoute(m_request.host, m_request.path);
    const bool allowsAnonymous = route ? route->allowsAnonymous : m_route.allowsAnonymous;
    const auto result = authenticateCaller(m_environment, m_request.key, allowsAnonymous);
    if (const auto* error = std::get_if<Error>(&result)) {
        m_slot.release(EndpointOutcome::Cancelled);
        refuse(error->kind(), error->message(), error->retryAfter());
        return false;
    }
    m_request.setCaller(std::get<CallerIdentity>(result));
    return true;
}

std::optional<std::string> ForwardedCall::workspace() const
{
    // The key must not be passed on either if workspaces have come into use since the request arrived.
    if (!m_request.caller.workspace && m_environment.configuration->hasWorkspaces)
        return std::string();
    return m_request.caller.workspace;
}

void ForwardedCall::addWorkspace(QJsonObject& details) const
{
    if (const std::string& name = m_request.profile.workspace; !name.empty())
        details["workspace"] = QString::fromStdString(name);
}

void ForwardedCall::requestSlot()
{
    if (!updateCaller())
        return;
    if (relayIfEndpointsAreLost())
        return;
    if (resumesStream() && !m_origin) {
        findOrigin();
        return;
    }
    if (m_origin && !m_environment.directory.canResume(*m_origin)) {
        refuse(m_mayHaveRun ? ErrorKind::EndpointFailed : ErrorKind::StreamNotResumable,
            "no endpoint has the software version that began the stream");
        return;
    }
    OnlineWork work = makeOnlineWork(m_request, m_route, m_service, m_arrival);
    work.deadline = m_deadline;
    // The caller of a stream that has begun waits for its next event.
    if (m_origin)
        work.startBy = latestStart(m_route.gapTarget, m_environment.clock.now());
    work.isLastAttempt = work.isLastAttempt || m_mayHaveRun || m_origin;
    work.excluded = m_excluded;
    // The coordinator may not know yet that these endpoints are leaving or have been replaced.
    m_excludedWhenQueued = m_environment.directory.excluded();
    std::ranges::copy(m_excludedWhenQueued, std::back_inserter(work.excluded));
    work.softwareVersion = requiredVersion();
    work.isCharged = m_chargedWorkspace == work.profile.workspace;
    m_slot.request(std::move(work), *this);
}

void ForwardedCall::updateQueueEntry()
{
    if (m_isDone || !m_slot.isQueued())
        return;
    const CallerIdentity previous = m_request.caller;
    if (!updateCaller())
        return;
    const bool hasNewCaller = m_request.caller != previous;
    const EndpointDirectory& directory = m_environment.directory;
    std::string service = m_service;
    const GatewayRoute* route = m_environment.configuration->findRoute(m_request.host, m_request.path);
    const bool canMove = route && !m_origin && !directory.offers(m_service);
    if (canMove)
        service = chooseOfferedService(*route, directory, m_environment.random.unit());
    const bool hasMoved = service != m_service && directory.offers(service);
    if (!hasMoved && !hasNewCaller && !hasExclusionEnded())
        return;
    if (hasMoved)
        m_service = service;
    m_environment.log.record(
        "request", "requeued", m_request.id, {}, { { "service", QString::fromStdString(m_service) } });
    m_slot.release(EndpointOutcome::Cancelled);
    requestSlot();
}

bool ForwardedCall::hasExclusionEnded() const
{
    const std::vector<std::string> excluded = m_environment.directory.excluded();
    return std::ranges::any_of(
        m_excludedWhenQueued, [&](const std::string& it) { return std::ranges::find(excluded, it) == excluded.end(); });
}

void ForwardedCall::onSlotGranted(const std::string& endpoint, const SlotView& view)
{
    m_slot.markStarted();
    m_chargedWorkspace = m_request.profile.workspace;
    m_endpoint = endpoint;
    const auto known = m_environment.directory.find(endpoint);
    logPlacement(known ? &*known : nullptr, view);
    const auto record = m_environment.directory.findFor(endpoint, m_service, originVersion(m_origin));
    if (!record) {
        m_slot.release(EndpointOutcome::Cancelled);
        m_excluded.push_back(endpoint);
        requestSlot();
        return;
    }
    // The part may have been quarantined while the request was queued.
    if (refuseIfQuarantined()) {
        m_slot.release(EndpointOutcome::Cancelled);
        return;
    }
    send(*record);
}

void ForwardedCall::logPlacement(const EndpointRecord* record, const SlotView& view) const
{
    // If the node fails before the request ends, this line is the only record of the request.
    QJsonObject details {
        { "endpoint", QString::fromStdString(m_endpoint) },
        { "route", QString::fromStdString(m_route.name) },
        { "configuration", static_cast<qint64>(m_configuration->version) },
        { "queued_ms", static_cast<qint64>(milliseconds(m_environment.clock.now() - m_arrival).count()) },
        { "left_ms", static_cast<qint64>(timeLeft().count()) },
    };
    addWorkspace(details);
    addPlacement(details, m_service, record);
    if (const auto id = m_sequence.resumeAfter())
        details["last_event"] = static_cast<qint64>(*id);
    if (!m_request.resumes.empty())
        details["resumes"] = QString::fromStdString(m_request.resumes);
    addDecisionFields(details, view);
    m_environment.log.record("request", "placed", m_request.id, {}, details);
}

void ForwardedCall::logResumption() const
{
    if (!m_sequence.run().lastIdBefore)
        return;
    QJsonObject details { { "endpoint", QString::fromStdString(m_endpoint) } };
    addRun(details, m_sequence.run());
    m_environment.log.record("request", "resumed", m_request.id, {}, details);
}

void ForwardedCall::send(const EndpointRecord& endpoint)
{
    const HttpRequest& request = m_exchange->request();
    beginAttempt(endpoint.id, false);
    m_softwareVersion = endpoint.softwareVersion;
    m_prompt.begin(endpoint);
    HttpCallRequest call { .address = endpoint.address,
        .method = request.method,
        .target = request.target,
        .headers = m_environment.wire.endpointHeaders(
            request.headers, endpoint.id, timeLeft(), m_sequence.run().askedAfter, workspace()),
        .body = request.body,
        .progressTimeout = timeLeft() + endpointConnectTimeout,
        .connectTimeout = endpointConnectTimeout,
        .echoedField = m_environment.wire.requestIdField() };
    m_call = m_environment.http.start(call, *this);
}

void ForwardedCall::onHandedOver()
{
    // An attempt of the route is an endpoint, not a request to it.
    m_attempts += m_isFurtherRun ? 0 : 1;
    m_isHandedOver = true;
    m_mayHaveRun = true;
    m_sentAt = m_environment.clock.now();
    restartIdleTimer();
}

void ForwardedCall::restartIdleTimer()
{
    // The silence of an endpoint is of interest also if the request cannot be moved.
    if ((!m_route.isRepeatable() && m_firstByteAt) || m_flow.isPaused())
        return;
    m_idleTimer.start(idleTimeout() + (m_isRelayed ? relayedIdleAllowance : Milliseconds { 0 }));
}

Milliseconds ForwardedCall::idleTimeout() const
{
    if (m_route.kind != RouteKind::Stream)
        return Milliseconds { static_cast<int64_t>(m_route.latencyTarget.count() * answerIdleTimeoutFactor) };
    return m_firstByteAt ? std::max(minEventIdleTimeout, m_route.gapTarget * eventIdleTimeoutFactor)
                         : std::max(minFirstEventTimeout, m_route.latencyTarget * firstEventTimeoutFactor);
}

bool ForwardedCall::isStreaming() const { return m_route.kind == RouteKind::Stream && m_answer.isEventStream(); }

void ForwardedCall::onHeaders(int status, const HttpHeaders& headers)
{
    m_receivedAt = m_environment.clock.now();
    if (m_isRelayed) {
        m_head = m_environment.processRelayedAnswerHead(status, headers);
    } else {
        m_head = m_environment.processAnswerHead(
            m_endpoint, status, headers, m_sentAt.value_or(m_arrival), m_exchange->request().headers);
        m_environment.links.recordResponse(m_endpoint, m_attemptedAt);
    }
    if (!m_route.isRepeatable())
        m_idleTimer.stop();
    if (m_head.isUnsignedSuccess()) {
        abandonCall("the response lacks the endpoint's signature");
        return;
    }
    m_answer = { status, headers.without(relayedEndpointField) };
    if (m_isFromPeer)
        m_answer.headers.add(relayedEndpointField, QByteArray::fromStdString(m_endpoint));
}

void ForwardedCall::onData(const QByteArray& data)
{
    m_receivedBytes += data.size();
    m_receivedAt = m_environment.clock.now();
    if (m_receivedBytes > maxAnswerBytes) {
        abandonCall("the answer of the endpoint has no end");
        return;
    }
    if (!isStreaming()) {
        m_body += data;
        countHeldBytes();
        return;
    }
    for (const StreamEvent& it : m_events.consume(data)) {
        // What an earlier event made the caller's connection hold may have ended the attempt.
        if (!m_call)
            return;
        if (it.isEmpty()) {
            forwardEmptyEvent(it);
            continue;
        }
        m_prompt.recordEvent();
        const bool hadAdvanced = m_sequence.hasRunAdvanced();
        const EventSequence::Place place = m_sequence.add(it);
        if (place == EventSequence::Place::New && !hadAdvanced)
            logResumption();
        if (place == EventSequence::Place::OutOfOrder) {
            abandonCall("the events of the endpoint are out of order");
            return;
        }
        if (place == EventSequence::Place::NotAsked) {
            handleIncompleteStream();
            return;
        }
        // After a resume, the endpoint may repeat events that the caller has already received. They are no progress.
        if (place == EventSequence::Place::New)
            forwardEvent(it);
    }
    if (m_events.isOversized()) {
        abandonCall("an event of the endpoint has no end");
        return;
    }
    if (!m_call)
        return;
    updateFlow();
    countHeldBytes();
}

void ForwardedCall::forwardEvent(const StreamEvent& event)
{
    if (!m_firstByteAt)
        m_firstByteAt = m_environment.clock.now();
    restartIdleTimer();
    // The peer that forwards the request records where the stream began.
    if (!m_origin && !m_isRelayed)
        recordOrigin();
    const MemoryBudget::Account::Protection protection(m_memory);
    m_stream.send(m_answer, std::exchange(m_leadingEmptyEvents, {}) + event.bytes);
}

void ForwardedCall::forwardEmptyEvent(const StreamEvent& event)
{
    const MemoryBudget::Account::Protection protection(m_memory);
    if (m_sequence.hasRunAdvanced())
        m_stream.send(m_answer, event.bytes);
    else
        m_leadingEmptyEvents += event.bytes;
}

std::optional<std::string> ForwardedCall::defaultVersion() const
{
    const auto version = m_environment.origins.defaultVersion(m_service);
    const bool isInService = version && m_environment.directory.canResume({ m_service, *version });
    return isInService ? version : std::nullopt;
}

std::optional<std::string> ForwardedCall::requiredVersion() const
{
    if (m_origin)
        return m_origin->softwareVersion;
    const bool canBeResumed = m_route.kind == RouteKind::Stream && m_route.isResumable;
    // A stream at another version could not be recorded now.
    return canBeResumed && m_environment.origins.isFailing() ? defaultVersion() : std::nullopt;
}

void ForwardedCall::handleHoldTimeout()
{
    // A complete stream is not resumed.
    if (m_stream.isEndHeld() || !defaultVersion()) {
        releaseEvents();
        return;
    }
    m_call.reset();
    m_slot.release(EndpointOutcome::Cancelled);
    m_stream.discard();
    refuse(ErrorKind::EndpointFailed, "the store does not record where the stream began");
}

void ForwardedCall::recordOrigin()
{
    m_origin = { m_service, m_softwareVersion };
    if (!m_route.isRepeatable())
        return;
    if (m_route.shares.size() == 1 && !m_environment.origins.needsRecord(*m_origin))
        return;
    const bool isRequired = defaultVersion().has_value();
    if (isRequired || !m_environment.origins.isFailing()) {
        m_stream.hold();
        m_holdTimer.start(isRequired ? maxRequiredHoldTime : maxHoldTime);
    }
    m_environment.origins.record(m_request.id, *m_origin, [this, lifetime = m_lifetime] {
        if (*lifetime)
            releaseEvents();
    });
}

void ForwardedCall::releaseEvents()
{
    m_holdTimer.stop();
    if (m_isDone)
        return;
    const MemoryBudget::Account::Protection protection(m_memory);
    if (m_stream.release())
        finish("answered", "");
    else
        countHeldBytes();
}

void ForwardedCall::onFinished()
{
    m_idleTimer.stop();
    m_call.reset();
    if (m_head.isNotRun)
        handleNotRun();
    else if (isStreaming())
        handleStreamEnd();
    else
        handleCompleteAnswer();
}

void ForwardedCall::handleNotRun()
{
    m_mayHaveRun = m_mayHaveRunBefore;
    m_environment.log.record("request", "not_run", m_request.id, {},
        { { "endpoint", QString::fromStdString(m_endpoint) }, { "status", m_head.status } });
    m_slot.release(EndpointOutcome::Cancelled);
    m_excluded.push_back(m_endpoint);
    dropAnswer();
    if (m_attempts < m_route.maxAttempts && timeLeft() > minTimeForAttempt) {
        requestSlot();
        return;
    }
    if (m_mayHaveRun)
        refuse(ErrorKind::EndpointFailed, "the endpoint did not run another attempt");
    else
        refuse(ErrorKind::NoEndpoint, "the endpoint did not run the request", m_route.latencyTarget);
}

void ForwardedCall::handleStreamEnd()
{
    if (m_events.hasPartialEvent()) {
        handleBrokenStream("the event stream of the endpoint ended within an event");
        return;
    }
    const EventSequence::End end = m_sequence.endRun();
    if (end != EventSequence::End::Complete) {
        handleEmptyStream(end == EventSequence::End::Unverified);
        return;
    }
    m_prompt.recordAnswer();
    m_slot.release(EndpointOutcome::Answered);
    if (!m_firstByteAt)
        m_firstByteAt = m_environment.clock.now();
    const MemoryBudget::Account::Protection protection(m_memory);
    if (m_stream.finish(m_answer))
        finish("answered", "");
}

void ForwardedCall::handleEmptyStream(bool mayAskAgain)
{
    const std::string reason = "the event stream of the endpoint ended without an event";
    if (!m_isRelayed)
        m_prompt.recordBrokenStream();
    if (!mayAskAgain || !askAgain(reason))
        handleFailedAttempt(reason);
}

void ForwardedCall::handleIncompleteStream()
{
    // The endpoint must not work on the old run while the next one begins.
    m_call.reset();
    const std::string reason = "the endpoint showed that the stream is not complete";
    if (!askAgain(reason))
        handleFailedAttempt(reason);
}

bool ForwardedCall::askAgain(const std::string& reason)
{
    const bool canBeContinued = m_route.isRepeatable() && m_sequence.canBeResumed();
    if (m_isRelayed || !m_slot.isStarted() || !canBeContinued || timeLeft() <= minTimeForAttempt)
        return false;
    const auto record = endpointForFurtherRun(m_environment, m_endpoint, m_service, originVersion(m_origin), m_head);
    if (!record || m_prompt.refusal())
        return false;
    m_mayHaveRunBefore = true;
    m_environment.log.record("request", "asked_again", m_request.id, {},
        { { "endpoint", QString::fromStdString(m_endpoint) }, { "reason", QString::fromStdString(reason) },
            { "last_event", static_cast<qint64>(m_sequence.resumeAfter().value_or(0)) } });
    send(*record);
    m_isFurtherRun = true;
    return true;
}

void ForwardedCall::handleBrokenStream(const std::string& reason)
{
    if (!m_isRelayed)
        m_prompt.recordBrokenStream();
    handleFailedAttempt(reason);
}

void ForwardedCall::handlePeerRefusal()
{
    m_mayHaveRun = m_mayHaveRunBefore;
    if (m_mayHaveRun || m_stream.hasBegun()) {
        refuse(ErrorKind::EndpointFailed, "the peer refused another attempt");
        return;
    }
    const MemoryBudget::Account::Protection protection(m_memory);
    m_exchange->answer({ .status = m_answer.status, .headers = m_answer.headers, .body = m_body });
    finish("refused_by_peer", "the peer answered " + std::to_string(m_head.status));
}

void ForwardedCall::handleAnswerToResumedStream()
{
    const std::string reason = "the endpoint answered a resumed stream with " + std::to_string(m_head.status);
    // A peer has used the attempts of the route itself.
    if (m_isRelayed)
        refuse(ErrorKind::EndpointFailed, reason);
    else
        handleFailedAttempt(reason);
}

void ForwardedCall::handleCompleteAnswer()
{
    if (m_isRelayed && impliesNotExecuted(m_head.status)) {
        handlePeerRefusal();
        return;
    }
    if (m_stream.hasEvents()) {
        handleAnswerToResumedStream();
        return;
    }
    const bool isFailure = m_head.status >= 500;
    // A peer has used the attempts of the route itself.
    if (isFailure && m_head.status != 504 && !m_isRelayed && canRetryElsewhere()) {
        handleFailedAttempt("the endpoint answered " + std::to_string(m_head.status));
        return;
    }
    if (!isFailure)
        m_prompt.recordAnswer();
    m_slot.release(EndpointOutcome::Answered);
    m_firstByteAt = m_environment.clock.now();
    if (impliesNotExecuted(m_head.status)) {
        // The endpoint did not state that it did not run the request, so the caller must not conclude it from the
        // status.
        refuse(ErrorKind::EndpointFailed, "the endpoint answered " + std::to_string(m_head.status));
        return;
    }
    // From now on the bytes count for the connection of the caller.
    m_memory.clear();
    m_exchange->answer({ .status = m_answer.status, .headers = m_answer.headers, .body = std::exchange(m_body, {}) });
    finish(isFailure ? "failed" : "answered", isFailure ? "the endpoint answered with a server error" : "");
}

void ForwardedCall::onFailed(const HttpFailure& failure)
{
    m_idleTimer.stop();
    m_call.reset();
    if (failure.phase != HttpFailure::Phase::Answering)
        recordSilentEndpoint();
    if (failure.phase != HttpFailure::Phase::NotSent) {
        if (!m_isRelayed)
            m_prompt.recordFailure(failure);
        handleFailedAttempt(failure.message);
        return;
    }
    // The attempt was counted when the endpoint got the request for the first time.
    if (m_isFurtherRun) {
        handleFailedAttempt(failure.message);
        return;
    }
    // The request was not sent, so this does not count as an attempt.
    m_slot.release(EndpointOutcome::Failed);
    (m_isRelayed ? m_failedPeers : m_excluded).push_back(m_endpoint);
    if (++m_failedConnections < maxFailedConnections && timeLeft() > minTimeForAttempt) {
        requestSlot();
        return;
    }
    refuse(m_mayHaveRun ? ErrorKind::EndpointFailed : ErrorKind::NoEndpoint, failure.message, m_route.latencyTarget);
}

void ForwardedCall::recordSilentEndpoint()
{
    if (!m_isRelayed)
        m_environment.links.recordFailure(m_endpoint, m_attemptedAt);
}

void ForwardedCall::abandonCall(const std::string& reason)
{
    m_call.reset();
    handleFailedAttempt(reason);
}

bool ForwardedCall::canRetryElsewhere() const
{
    const bool canBeContinued = m_route.isRepeatable() && m_sequence.canBeResumed();
    return canBeContinued && m_attempts < m_route.maxAttempts && timeLeft() > minTimeForAttempt;
}

void ForwardedCall::handleFailedAttempt(const std::string& reason)
{
    m_mayHaveRunBefore = true;
    m_slot.release(EndpointOutcome::Failed);
    m_excluded.push_back(m_endpoint);
    dropAnswer();
    if (canRetryElsewhere()) {
        m_environment.log.record("request", "moved", m_request.id, {},
            { { "endpoint", QString::fromStdString(m_endpoint) }, { "reason", QString::fromStdString(reason) },
                { "last_event", static_cast<qint64>(m_sequence.lastId().value_or(0)) },
                { "fingerprint", QString::fromStdString(m_fingerprint) } });
        requestSlot();
        return;
    }
    refuse(ErrorKind::EndpointFailed, reason);
}

void ForwardedCall::handleIdleTimeout()
{
    if (!m_call)
        return;
    if (m_head.status == 0)
        recordSilentEndpoint();
    if (!canRetryElsewhere())
        return;
    abandonCall("the endpoint sent no data in time");
}

void ForwardedCall::onRefused(RefusalReason reason, Milliseconds retryAfter, const SlotView& view)
{
    m_slot.markReleased();
    m_refusal = view;
    m_retryAfter = retryAfter;
    if (m_mayHaveRun)
        refuse(ErrorKind::EndpointFailed, "no endpoint is free for another attempt");
    else if (reason == RefusalReason::Quota)
        refuse(ErrorKind::QuotaExceeded, "the workspace has used up its rate limit", retryAfter);
    else
        refuse(ErrorKind::DeadlineUnattainable, "no endpoint is free in time", retryAfter);
}

// Only batch work has to yield.
void ForwardedCall::onYield(const SlotView&) { }

void ForwardedCall::handleDeadline()
{
    if (m_environment.clock.now() < m_deadline) {
        startDeadlineTimer();
        return;
    }
    if (m_isCutShort)
        m_phaseAtStop = phase();
    if (m_stream.isEndHeld()) {
        releaseEvents();
        return;
    }
    m_call.reset();
    m_slot.release(EndpointOutcome::Cancelled);
    if (m_isCutShort && !m_mayHaveRun)
        refuse(ErrorKind::ShuttingDown, "the node stops", stoppingRetryAfter);
    else
        refuse(
            m_mayHaveRun ? ErrorKind::DeadlineExceeded : ErrorKind::DeadlineUnattainable, "the time limit was reached");
}

void ForwardedCall::handleCallerDisconnected()
{
    m_call.reset();
    m_slot.release(EndpointOutcome::Cancelled);
    finish("cancelled", "the caller closed the connection");
}

void ForwardedCall::refuse(ErrorKind kind, const std::string& reason, std::optional<Milliseconds> retryAfter)
{
    if (m_stream.hasBegun()) {
        m_stream.abort();
        finish("broken", reason);
        return;
    }
    const Error error(kind, reason, retryAfter);
    const MemoryBudget::Account::Protection protection(m_memory);
    m_exchange->answer(m_environment.wire.errorAnswer(error, m_request.id));
    const std::string_view name = errorRow(kind).name;
    finish(std::string(name), reason);
}

void ForwardedCall::finish(const std::string& outcome, const std::string& reason)
{
    if (std::exchange(m_isDone, true))
        return;
    for (QTimer* it : { &m_deadlineTimer, &m_idleTimer, &m_holdTimer })
        it->stop();
    m_memory.clear();
    const MonotonicTime now = m_environment.clock.now();
    logEnd(outcome, reason, now);
    m_environment.metrics
        .counter("chicorydock_requests_total", "Requests by route and outcome.",
            { { "route", m_route.name }, { "outcome", outcome } })
        .add(1);
    if (m_request.caller.workspace)
        m_environment.workspaceMetrics.count(m_environment.metrics, *m_request.caller.workspace, outcome);
    recordPhaseDuration("queue", m_sentAt);
    recordPhaseDuration("first_byte", m_firstByteAt);
    recordPhaseDuration("total", now);
    m_onDone();
}

void ForwardedCall::logEnd(const std::string& outcome, const std::string& reason, MonotonicTime now) const
{
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
    addWorkspace(details);
    if (m_sentAt)
        details["queued_ms"] = static_cast<qint64>(milliseconds(*m_sentAt - m_arrival).count());
    if (m_firstByteAt)
        details["first_byte_ms"] = static_cast<qint64>(milliseconds(*m_firstByteAt - m_arrival).count());
    if (!m_phaseAtStop.empty()) {
        details["stopped_in"] = QString::fromStdString(m_phaseAtStop);
        details["received_bytes"] = static_cast<qint64>(m_receivedBytes);
        details["unsent_bytes"] = m_exchange->bytesToWrite();
        details["relayed"] = m_isRelayed;
    }
    if (!reason.empty())
        details["reason"] = QString::fromStdString(reason);
    // Shows whether requests that failed one after the other were the same.
    if (m_attempts > 0 && m_head.status == 0)
        details["fingerprint"] = QString::fromStdString(m_fingerprint);
    if (m_refusal)
        addDecisionFields(details, *m_refusal);
    addRateLimit(details, m_head.rateLimit);
    if (m_retryAfter)
        details["retry_after_ms"] = static_cast<qint64>(m_retryAfter->count());
    if (m_promptRefusal)
        addPromptRefusal(details, *m_promptRefusal);
    m_environment.log.record("request", "finished", m_request.id, {}, details);
}

void ForwardedCall::recordPhaseDuration(const std::string& phase, const std::optional<MonotonicTime>& end)
{
    if (!end)
        return;
    m_environment.metrics
        .histogram("chicorydock_request_seconds", "Time from the arrival of a request to the end of a phase.",
            { { "route", m_route.name }, { "phase", phase } })
        .observe(toSeconds(*end - m_arrival));
}

}

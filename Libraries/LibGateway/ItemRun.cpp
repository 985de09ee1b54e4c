#include <LibGateway/ItemRun.h>

#include <LibGateway/DecisionFields.h>
#include <LibGateway/FurtherRun.h>
#include <LibGateway/ServiceChoice.h>

#include <algorithm>
#include <utility>

namespace Chicorydock {

namespace {

    /// Minimum time without a new event after which the item moves to another endpoint. Reading a prompt takes less,
    /// and so does a preemption on the endpoint.
    constexpr Milliseconds minEventIdleTimeout { 1'500 };

    /// The same time as a multiple of the route's target for the pause between two events, so that a run that is slow
    /// but sound is not moved.
    constexpr int eventIdleTimeoutFactor = 4;

    constexpr Milliseconds retryDelay { 100 };

    /// Limit on the same delay after refusals as misdirected. It doubles with each one, because the next endpoint will
    /// probably refuse the condition of the item too, and each refusal takes a slot from others for a moment.
    constexpr Milliseconds maxRefusalDelay { 5'000 };

    /// A quarantine may end early, and the item may expire during it.
    constexpr Milliseconds maxQuarantineCheckInterval { 1'000 };

    /// Limit on the output of an item, over all its runs. A checkpoint of the job and a result fit in one transaction
    /// of the store with it (1 MB in base64), and in one page of results. A faulty endpoint may send events without
    /// end, and the next one goes on after them.
    constexpr qsizetype maxOutputBytes = 256 * 1024;

    /// Statuses with which the endpoint reports that this run of the item failed, or that no run can succeed.
    constexpr int failedRunStatus = 500;
    constexpr int permanentFailureStatus = 422;

    WorkProfile makeProfile(const WireFormat& wire, const HttpHeaders& headers, const std::string& workspace)
    {
        WorkProfile profile = wire.workProfile(headers);
        profile.workspace = workspace;
        return profile;
    }

}

ItemRun::ItemRun(GatewayEnvironment& environment, const Job& job, JobItem item, std::function<void(JobResult)> onDone)
    : m_environment(environment)
    , m_job(job)
    , m_item(std::move(item))
    , m_profile(makeProfile(environment.wire, m_item.headers, job.workspace))
    , m_onDone(std::move(onDone))
    , m_slot(environment.broker)
    , m_prompt(environment.quarantine, environment.clock, environment.wire.promptParts(m_item.headers))
    , m_memory(&environment.responseMemory, [this] { handleMemoryRevoked(); })
{
    m_retryTimer.setSingleShot(true);
    QObject::connect(&m_retryTimer, &QTimer::timeout, &m_retryTimer, [this] { requestSlot(); });
    m_idleTimer.setSingleShot(true);
    QObject::connect(
        &m_idleTimer, &QTimer::timeout, &m_idleTimer, [this] { abandonCall("the endpoint sent no event in time"); });
}

ItemRun::~ItemRun() { stop(); }

void ItemRun::start() { requestSlot(); }

void ItemRun::resume(const ItemProgress& progress)
{
    m_failedRuns = progress.failedRuns;
    m_collectedFailedRuns = progress.failedRuns;
    // Output of unknown origin cannot be continued.
    if (progress.origin.service.empty())
        return;
    m_origin = progress.origin;
    m_output = progress.output;
    m_hasOutput = progress.lastEventId > 0;
    m_sequence = EventSequence(m_hasOutput ? std::optional(progress.lastEventId) : std::nullopt);
    m_collectedEventId = progress.lastEventId;
    m_collectedBytes = m_output.size();
    countHeldBytes();
}

std::optional<ItemProgress> ItemRun::collectProgress()
{
    const uint64_t lastEventId = m_sequence.lastId().value_or(0);
    const bool hasChanged = lastEventId != m_collectedEventId || m_failedRuns != m_collectedFailedRuns;
    if (m_isDone || !hasChanged)
        return {};
    ItemProgress progress { m_item.id, m_collectedEventId, lastEventId, m_output.mid(m_collectedBytes),
        m_origin.value_or(StreamOrigin {}), m_failedRuns };
    m_collectedEventId = lastEventId;
    m_collectedBytes = m_output.size();
    m_collectedFailedRuns = m_failedRuns;
    return progress;
}

void ItemRun::suspend()
{
    m_retryTimer.stop();
    endCall();
    releaseSlot(EndpointOutcome::Cancelled);
}

void ItemRun::stop()
{
    m_isDone = true;
    suspend();
}

void ItemRun::requestSlot()
{
    if (m_isDone)
        return;
    const GatewayRoute* route = m_environment.configuration->findJobRoute(m_job.route, m_job.host);
    if (!route) {
        if (m_environment.configuration->version > 0)
            finish(false, "the route is no longer in the configuration");
        else
            requestSlotLater();
        return;
    }
    if (m_environment.clock.now() > m_job.expiresAt) {
        finish(false, "the item reached the maximum wait of the route");
        return;
    }
    // The last run may have failed at a node that ended before it could record the result.
    if (m_failedRuns >= route->maxAttempts) {
        finishFailedItem();
        return;
    }
    // The job passes to a node that reaches the endpoints.
    if (m_environment.shouldDeferToPeers()) {
        requestSlotLater();
        return;
    }
    // An item on which endpoints crash waits until it may be tried again, or until it expires.
    if (const auto refusal = m_prompt.refusal()) {
        waitForPrompt(*refusal);
        return;
    }
    m_promptRefusal.reset();
    m_idleTimeout = std::max(minEventIdleTimeout, route->gapTarget * eventIdleTimeoutFactor);
    if (m_origin && !canResume(*route))
        discardOutput("no endpoint can continue the output, because none has the software version that began it");
    m_service = m_origin ? m_origin->service
                         : chooseOfferedService(*route, m_environment.directory, m_environment.random.unit());
    m_queuedWork = makeWork();
    m_slot.request(m_queuedWork, *this);
}

void ItemRun::waitForPrompt(const PromptDecision& refusal)
{
    m_retryTimer.start(std::min(refusal.retryAfter, maxQuarantineCheckInterval));
    const bool isLogged
        = m_promptRefusal && m_promptRefusal->part == refusal.part && m_promptRefusal->crashes == refusal.crashes;
    if (isLogged)
        return;
    m_promptRefusal = refusal;
    QJsonObject details = logDetails(m_sequence.resumeAfter());
    addPromptRefusal(details, refusal);
    m_environment.log.record("item", "held", m_item.id, {}, details);
}

std::optional<std::string> ItemRun::workspace() const
{
    const bool hasWorkspaces = m_environment.configuration->hasWorkspaces || !m_job.workspace.empty();
    return hasWorkspaces ? std::optional(m_job.workspace) : std::nullopt;
}

BatchWork ItemRun::makeWork() const
{
    BatchWork work;
    work.service = m_service;
    work.softwareVersion = originVersion(m_origin);
    work.profile = m_profile;
    work.dueAt = m_job.dueAt;
    work.slotTimeUsed = m_slotTimeUsed;
    // The coordinator may not know yet that these endpoints are leaving or have been replaced.
    work.excluded = m_environment.directory.excluded();
    if (m_unusedEndpoint && !m_environment.directory.findFor(*m_unusedEndpoint, m_service, work.softwareVersion))
        work.excluded.push_back(*m_unusedEndpoint);
    return work;
}

void ItemRun::update()
{
    if (m_isDone || !m_slot.isQueued())
        return;
    const GatewayRoute* route = m_environment.configuration->findJobRoute(m_job.route, m_job.host);
    if (route && isQueueEntryCurrent(*route))
        return;
    logStep("requeued", "what it waited for has changed");
    m_slot.release(EndpointOutcome::Cancelled);
    requestSlot();
}

bool ItemRun::isQueueEntryCurrent(const GatewayRoute& route) const
{
    if (m_environment.clock.now() > m_job.expiresAt)
        return false;
    if (!mayWaitFor(m_service, route, m_environment.directory))
        return false;
    // Without any endpoint of the service, the output is kept: one that can continue it may come back.
    if (m_origin && m_environment.directory.offers(m_service) && !m_environment.directory.canResume(*m_origin))
        return false;
    return makeWork() == m_queuedWork;
}

bool ItemRun::canResume(const GatewayRoute& route) const
{
    return route.leadsTo(m_origin->service) && m_environment.directory.canResume(*m_origin);
}

void ItemRun::discardOutput(const std::string& reason)
{
    logStep("restarted", reason);
    m_origin.reset();
    m_output = {};
    m_hasOutput = false;
    m_sequence = EventSequence();
    m_collectedEventId = 0;
    m_collectedBytes = 0;
    countHeldBytes();
}

void ItemRun::countHeldBytes()
{
    if (m_memory.resize(static_cast<size_t>(m_output.capacity() + m_events.heldBytes())))
        return;
    m_memory.clear();
    handleMemoryRevoked();
}

void ItemRun::handleMemoryRevoked()
{
    if (m_isDone)
        return;
    const std::string reason = "the node has no memory for the output";
    m_events = {};
    discardOutput(reason);
    if (m_call)
        abandonCall(reason);
}

void ItemRun::requestSlotLater() { m_retryTimer.start(retryDelay); }

std::optional<EndpointRecord> ItemRun::findGrantedEndpoint() const
{
    // The route may have moved to another service while the item was queued.
    const GatewayRoute* route = m_environment.configuration->findJobRoute(m_job.route, m_job.host);
    if (!route || !route->leadsTo(m_service))
        return {};
    return m_environment.directory.findFor(m_endpoint, m_service, originVersion(m_origin));
}

void ItemRun::onSlotGranted(const std::string& endpoint, const SlotView&)
{
    m_slot.markStarted();
    m_slotAcquiredAt = m_environment.clock.now();
    m_endpoint = endpoint;
    const auto known = m_environment.directory.find(endpoint);
    logPlacement(known ? &*known : nullptr);
    const auto record = findGrantedEndpoint();
    if (!record) {
        m_unusedEndpoint = endpoint;
        releaseSlot(EndpointOutcome::Cancelled);
        requestSlotLater();
        return;
    }
    // Another item may have been sent on trial while this one was queued.
    if (const auto refusal = m_prompt.refusal()) {
        releaseSlot(EndpointOutcome::Cancelled);
        waitForPrompt(*refusal);
        return;
    }
    startCall(*record);
}

void ItemRun::startCall(const EndpointRecord& endpoint)
{
    m_startedAt = m_environment.clock.now();
    m_events = {};
    m_head = {};
    m_receivedBytes = 0;
    m_sequence.beginRun();
    m_softwareVersion = endpoint.softwareVersion;
    m_prompt.begin(endpoint);
    const HttpCallRequest call { .address = endpoint.address,
        .method = "POST",
        .target = m_item.path,
        .headers
        = m_environment.wire.itemHeaders(m_item, m_job.host, endpoint.id, m_sequence.run().askedAfter, workspace()),
        .body = m_item.body,
        .progressTimeout = m_idleTimeout,
        .connectTimeout = endpointConnectTimeout,
        .echoedField = m_environment.wire.requestIdField() };
    m_call = m_environment.http.start(call, *this);
    m_idleTimer.start(endpointConnectTimeout + m_idleTimeout);
}

bool ItemRun::askAgain(const std::string& reason)
{
    const GatewayRoute* route = m_environment.configuration->findJobRoute(m_job.route, m_job.host);
    if (!m_slot.isStarted() || !route || !route->leadsTo(m_service))
        return false;
    const auto record = endpointForFurtherRun(m_environment, m_endpoint, m_service, originVersion(m_origin), m_head);
    if (!record || m_prompt.refusal())
        return false;
    QJsonObject details = logDetails(m_sequence.resumeAfter());
    details["reason"] = QString::fromStdString(reason);
    m_environment.log.record("item", "asked_again", m_item.id, {}, details);
    startCall(*record);
    return true;
}

void ItemRun::abandonCall(const std::string& reason)
{
    endCall();
    // What was received of an incomplete event is of no use to the next run.
    m_events = {};
    countHeldBytes();
    handleFailure(reason);
}

void ItemRun::endCall()
{
    m_idleTimer.stop();
    m_call.reset();
}

// A refused item keeps waiting for a slot until it expires.
void ItemRun::onRefused(RefusalReason, Milliseconds, const SlotView&)
{
    m_slot.markReleased();
    requestSlotLater();
}

void ItemRun::countSlotTime()
{
    m_slotTimeUsed += std::chrono::duration_cast<Milliseconds>(m_environment.clock.now() - m_slotAcquiredAt);
}

void ItemRun::onYield(const SlotView& view)
{
    QJsonObject details = logDetails(m_sequence.lastId());
    addDecisionFields(details, view);
    m_environment.log.record("item", "yielded", m_item.id, {}, details);
    m_slot.markReleased();
    countSlotTime();
    endCall();
    requestSlot();
}

void ItemRun::onHeaders(int status, const HttpHeaders& headers)
{
    m_head = m_environment.processAnswerHead(m_endpoint, status, headers, m_startedAt, m_item.headers);
    m_answer = { status, headers };
    m_environment.links.recordResponse(m_endpoint, m_startedAt);
    m_idleTimer.start(m_idleTimeout);
    if (m_head.isUnsignedSuccess())
        abandonCall("the response lacks the endpoint's signature");
}

void ItemRun::onData(const QByteArray& data)
{
    m_receivedBytes += data.size();
    if (!m_answer.isEventStream() && m_receivedBytes > maxAnswerBytes)
        abandonCall("the answer of the endpoint has no end");
    if (!m_answer.isEventStream() || !m_call)
        return;
    for (const StreamEvent& it : m_events.consume(data)) {
        if (it.isEmpty())
            continue;
        m_prompt.recordEvent();
        if (it.hasMalformedId) {
            abandonCall("an event of the endpoint has an identifier that is not a number");
            return;
        }
        if (!it.id)
            continue;
        const bool hadAdvanced = m_sequence.hasRunAdvanced();
        const EventSequence::Place place = m_sequence.add(it);
        if (place == EventSequence::Place::OutOfOrder) {
            abandonCall("the events of the endpoint are out of order");
            return;
        }
        if (place == EventSequence::Place::NotAsked) {
            handleIncompleteOutput();
            return;
        }
        if (place == EventSequence::Place::Repeated)
            continue;
        if (!hadAdvanced)
            logResumption();
        if (!m_origin)
            m_origin = { m_service, m_softwareVersion };
        m_idleTimer.start(m_idleTimeout);
        if (std::exchange(m_hasOutput, true))
            m_output += '\n';
        m_output += it.data.value_or(QByteArray());
        if (m_output.size() > maxOutputBytes) {
            const std::string reason = "the output of the item is larger than a result can be";
            discardOutput(reason);
            abandonCall(reason);
            return;
        }
    }
    if (m_events.isOversized())
        abandonCall("an event of the endpoint has no end");
    else if (m_receivedBytes > maxAnswerBytes)
        abandonCall("the answer of the endpoint has no end");
    else
        countHeldBytes();
}

void ItemRun::onFinished()
{
    endCall();
    if (m_head.isNotRun) {
        logStep("not_run", "the endpoint answered " + std::to_string(m_head.status));
        releaseSlot(EndpointOutcome::Cancelled);
        m_refusalDelay
            = m_head.isMisdirected ? std::clamp(m_refusalDelay * 2, retryDelay, maxRefusalDelay) : retryDelay;
        m_retryTimer.start(m_refusalDelay);
        return;
    }
    m_refusalDelay = Milliseconds { 0 };
    if (m_answer.isEventStream()) {
        handleStreamEnd();
        return;
    }
    if (m_head.status != failedRunStatus && m_head.status != permanentFailureStatus) {
        handleFailure("the endpoint answered " + std::to_string(m_head.status));
        return;
    }
    releaseSlot(EndpointOutcome::Answered);
    const GatewayRoute* route = m_environment.configuration->findJobRoute(m_job.route, m_job.host);
    if (m_head.status == permanentFailureStatus)
        finish(false, "the endpoint reports that the item can never succeed");
    else if (++m_failedRuns >= (route ? route->maxAttempts : 1))
        finishFailedItem();
    else
        requestSlotLater();
}

void ItemRun::handleStreamEnd()
{
    if (m_events.hasPartialEvent()) {
        m_prompt.recordBrokenStream();
        handleFailure("the event stream of the endpoint ended within an event");
        return;
    }
    const EventSequence::End end = m_sequence.endRun();
    if (end == EventSequence::End::Complete) {
        m_prompt.recordAnswer();
        releaseSlot(EndpointOutcome::Answered);
        finish(true, "");
        return;
    }
    m_prompt.recordBrokenStream();
    const std::string reason = "the event stream of the endpoint ended without an event";
    if (end != EventSequence::End::Unverified || !askAgain(reason))
        handleFailure(reason);
}

void ItemRun::handleIncompleteOutput()
{
    // The endpoint must not work on the old run while the next one begins.
    endCall();
    const std::string reason = "the endpoint showed that the output is not complete";
    if (!askAgain(reason))
        handleFailure(reason);
}

void ItemRun::onFailed(const HttpFailure& failure)
{
    endCall();
    if (failure.phase != HttpFailure::Phase::NotSent)
        m_prompt.recordFailure(failure);
    handleFailure(failure.message);
}

void ItemRun::handleFailure(const std::string& reason)
{
    if (m_head.status == 0)
        m_environment.links.recordFailure(m_endpoint, m_startedAt);
    logStep("moved", reason);
    releaseSlot(EndpointOutcome::Failed);
    requestSlotLater();
}

void ItemRun::releaseSlot(EndpointOutcome outcome)
{
    if (m_slot.isStarted())
        countSlotTime();
    m_slot.release(outcome);
}

void ItemRun::finishFailedItem() { finish(false, "the item failed in " + std::to_string(m_failedRuns) + " runs"); }

void ItemRun::finish(bool isCompleted, const std::string& reason)
{
    m_isDone = true;
    logStep(isCompleted ? "completed" : "given_up", reason);
    QByteArray output = std::exchange(m_output, {});
    m_memory.clear();
    m_onDone({ m_item.id, isCompleted, isCompleted ? std::move(output) : QByteArray() });
}

QJsonObject ItemRun::logDetails(std::optional<uint64_t> lastEventId) const
{
    return {
        { "job", QString::fromStdString(m_job.id) },
        { "endpoint", QString::fromStdString(m_endpoint) },
        { "last_event", static_cast<qint64>(lastEventId.value_or(0)) },
    };
}

void ItemRun::logPlacement(const EndpointRecord* endpoint) const
{
    QJsonObject details = logDetails(m_sequence.resumeAfter());
    details["route"] = QString::fromStdString(m_job.route);
    if (!m_job.workspace.empty())
        details["workspace"] = QString::fromStdString(m_job.workspace);
    addPlacement(details, m_service, endpoint);
    m_environment.log.record("item", "placed", m_item.id, {}, details);
}

void ItemRun::logResumption() const
{
    if (!m_sequence.run().lastIdBefore)
        return;
    QJsonObject details = logDetails(m_sequence.lastId());
    addRun(details, m_sequence.run());
    m_environment.log.record("item", "resumed", m_item.id, {}, details);
}

void ItemRun::logStep(std::string_view action, const std::string& reason) const
{
    QJsonObject details = logDetails(m_sequence.lastId());
    if (!m_softwareVersion.empty())
        details["software_version"] = QString::fromStdString(m_softwareVersion);
    if (!reason.empty())
        details["reason"] = QString::fromStdString(reason);
    addRateLimit(details, m_head.rateLimit);
    m_environment.log.record("item", action, m_item.id, {}, details);
}

}

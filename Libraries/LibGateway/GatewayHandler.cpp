#include <LibGateway/GatewayHandler.h>

#include <LibGateway/CallerAuthentication.h>
#include <LibGateway/RequestWork.h>
#include <LibGateway/RouteLookup.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace Chicorydock {

namespace {

    /// How often a long poll reads the store, for results of a job that another node runs.
    constexpr Milliseconds storePollInterval { 450 };
    constexpr Milliseconds longPollCheckInterval { 100 };

    /// Upper limit of the wait of a long poll.
    constexpr Milliseconds maxLongPollWait { 2'000 };

    /// Longest time of a call about a job: a long poll, and the calls to the store that follow it.
    constexpr Milliseconds maxJobCallTime { 3'000 };

    constexpr size_t maxJobItems = 200;

    constexpr Milliseconds notReadyRetryAfter { 500 };

    /// A route that cannot be served becomes so only by a new configuration.
    constexpr Milliseconds unservableRetryAfter { 1'500 };

}

GatewayHandler::GatewayHandler(GatewayEnvironment& environment, JobController& jobs)
    : m_environment(environment)
    , m_jobs(jobs)
{
    m_jobs.setResultsCommittedHandler([this](const std::string& jobId) { handleResultsCommitted(jobId); });
    connect(&m_longPollTimer, &QTimer::timeout, this, &GatewayHandler::checkLongPolls);
    m_stopTimer.setSingleShot(true);
    m_stopTimer.setTimerType(Qt::PreciseTimer);
    connect(&m_stopTimer, &QTimer::timeout, this, &GatewayHandler::endJobCalls);
}

GatewayHandler::~GatewayHandler() = default;

std::string GatewayHandler::requestId(const HttpExchange& exchange) const
{
    return m_environment.wire.decodeRequest(exchange.request()).id;
}

void GatewayHandler::handle(std::shared_ptr<HttpExchange> exchange)
{
    if (const auto call = m_environment.wire.decodeJobCall(exchange->request())) {
        if (!refuseIfStopping(exchange, call->jobId, maxJobCallTime))
            handleJobCall(exchange, *call);
        return;
    }
    ForwardRequest request = m_environment.wire.decodeRequest(exchange->request());
    const auto found = findRoute(m_environment, request);
    if (const auto* error = std::get_if<Error>(&found)) {
        answerError(exchange, *error, request.id);
        return;
    }
    const GatewayRoute* route = std::get<const GatewayRoute*>(found);
    if (!authenticate(exchange, request, route->allowsAnonymous))
        return;
    if (!route->isServable())
        refuseUnservable(exchange, request.id);
    else if (route->kind == RouteKind::Batch)
        submitJob(exchange, request, *route);
    else
        forward(exchange, request, *route);
}

bool GatewayHandler::authenticate(
    const std::shared_ptr<HttpExchange>& exchange, ForwardRequest& request, bool allowsAnonymous)
{
    const auto result = authenticateCaller(m_environment, request.key, allowsAnonymous);
    if (const auto* error = std::get_if<Error>(&result)) {
        answerError(exchange, *error, request.id);
        return false;
    }
    request.setCaller(std::get<CallerIdentity>(result));
    return true;
}

bool GatewayHandler::authenticateRelayed(
    const std::shared_ptr<HttpExchange>& exchange, ForwardRequest& request, bool allowsAnonymous)
{
    const auto workspace = m_environment.wire.relayedWorkspace(exchange->request().headers);
    // A peer of an earlier version, or without workspaces in its configuration, passes the key on.
    if (!workspace)
        return authenticate(exchange, request, allowsAnonymous);
    request.setCaller(identityOf(*m_environment.configuration, *workspace));
    return true;
}

void GatewayHandler::handleRelayed(const std::shared_ptr<HttpExchange>& exchange)
{
    ForwardRequest request = m_environment.wire.decodeRequest(exchange->request());
    request.isFromPeer = true;
    const GatewayRoute* route = m_environment.configuration->findRoute(request.host, request.path);
    // The peer found the route, so its configuration is newer than the one here.
    if (!route || route->kind == RouteKind::Batch)
        answerError(
            exchange, Error(ErrorKind::NotReady, "the route is not known here yet", notReadyRetryAfter), request.id);
    else if (!authenticateRelayed(exchange, request, route->allowsAnonymous))
        return;
    else if (!route->isServable())
        refuseUnservable(exchange, request.id);
    else
        forward(exchange, request, *route);
}

void GatewayHandler::refuseUnservable(const std::shared_ptr<HttpExchange>& exchange, const std::string& id)
{
    answerError(exchange,
        Error(ErrorKind::NoEndpoint, "the configuration of the route names no service", unservableRetryAfter), id);
}

void GatewayHandler::beginStop(const StopSchedule& stop)
{
    m_stop = stop;
    for (ForwardedCall* it : calls())
        it->endBy(stop.respondBy());
    for (auto& [number, poll] : m_longPolls)
        poll.expiresAt = std::min(poll.expiresAt, stop.respondBy());
    const auto left = std::chrono::ceil<Milliseconds>(stop.respondBy() - m_environment.clock.now());
    m_stopTimer.start(std::max(Milliseconds { 0 }, left));
}

void GatewayHandler::endJobCalls()
{
    const Error stopping(ErrorKind::ShuttingDown, "the node stops before the store has answered", stoppingRetryAfter);
    for (const auto& [number, poll] : std::exchange(m_longPolls, {}))
        answerError(poll.exchange, stopping, poll.call.jobId);
    for (const auto& [number, call] : std::exchange(m_jobCalls, {})) {
        if (call.isWrite)
            answerError(call.exchange, Error(ErrorKind::MayHaveRun, stopping.message()), call.id);
        else
            answerError(call.exchange, stopping, call.id);
    }
}

bool GatewayHandler::refuseIfStopping(
    const std::shared_ptr<HttpExchange>& exchange, const std::string& id, Milliseconds timeLimit)
{
    if (!m_stop || m_stop->admits(timeLimit, m_environment.clock.now()))
        return false;
    answerError(exchange,
        Error(ErrorKind::ShuttingDown, "the node stops before the request would have to end", stoppingRetryAfter), id);
    return true;
}

std::vector<ForwardedCall*> GatewayHandler::calls() const
{
    std::vector<ForwardedCall*> calls;
    for (const auto& [number, call] : m_calls)
        calls.push_back(call.get());
    return calls;
}

void GatewayHandler::handleLostEndpoints()
{
    for (ForwardedCall* it : calls())
        it->handleLostEndpoints();
}

void GatewayHandler::updateWaitingCalls()
{
    for (ForwardedCall* it : calls())
        it->updateQueueEntry();
}

void GatewayHandler::answerError(
    const std::shared_ptr<HttpExchange>& exchange, const Error& error, const std::string& id)
{
    recordRefusal(*exchange, error, id);
    exchange->answer(m_environment.wire.errorAnswer(error, id));
}

void GatewayHandler::recordRefusal(const HttpExchange& exchange, const Error& error, const std::string& id)
{
    const auto omitted = m_refusalLines.admit(m_environment.clock.now());
    if (!omitted)
        return;
    const std::string_view name = errorRow(error.kind()).name;
    QJsonObject details { { "outcome", QString::fromUtf8(name.data(), static_cast<qsizetype>(name.size())) },
        { "reason", QString::fromStdString(error.message()) }, { "path", QString::fromUtf8(exchange.request().path) },
        { "configuration", static_cast<qint64>(m_environment.configuration->version) } };
    if (*omitted > 0)
        details["omitted_lines"] = static_cast<qint64>(*omitted);
    m_environment.log.record("request", "refused", id, {}, details);
}

void GatewayHandler::forward(
    const std::shared_ptr<HttpExchange>& exchange, const ForwardRequest& request, const GatewayRoute& route)
{
    if (refuseIfStopping(exchange, request.id, timeLimit(request, route)))
        return;
    const uint64_t number = ++m_lastNumber;
    auto call = std::make_unique<ForwardedCall>(
        m_environment, exchange, request, m_environment.configuration, route, [this, number] {
            // The call is on the stack, so it is destroyed in the next iteration of the event loop.
            QMetaObject::invokeMethod(
                this, [this, number] { m_calls.erase(number); }, Qt::QueuedConnection);
        });
    ForwardedCall& started = *call;
    m_calls[number] = std::move(call);
    started.start();
}

void GatewayHandler::submitJob(
    const std::shared_ptr<HttpExchange>& exchange, const ForwardRequest& request, const GatewayRoute& route)
{
    auto submission = m_environment.wire.decodeSubmission(exchange->request());
    if (exchange->request().method != "POST" || !submission || submission->items.size() > maxJobItems) {
        answerError(
            exchange, Error(ErrorKind::MalformedRequest, "the request is not a valid job submission"), request.id);
        return;
    }
    if (refuseIfStopping(exchange, request.id, maxJobCallTime))
        return;
    submission->workspace = request.caller.workspace;
    submission->jobId = m_jobs.findId(request.caller.workspace, submission->jobId);
    const uint64_t number = addJobCall({ exchange, request.id, true });
    m_jobs.submit(*submission, route, request.host, [this, number](const std::optional<Error>& error) {
        const auto call = takeJobCall(number);
        if (!call)
            return;
        if (error)
            answerError(call->exchange, *error, call->id);
        else
            call->exchange->answer(m_environment.wire.acceptedAnswer());
    });
}

void GatewayHandler::handleJobCall(const std::shared_ptr<HttpExchange>& exchange, const JobCall& call)
{
    ForwardRequest request = m_environment.wire.decodeRequest(exchange->request());
    request.id = call.jobId;
    if (!authenticate(exchange, request, m_environment.configuration->allowsAnonymousJobs(request.host)))
        return;
    const std::string jobId = m_jobs.findId(request.caller.workspace, call.jobId);
    if (call.kind == JobCall::Kind::ReadResults) {
        const uint64_t number = ++m_lastNumber;
        const MonotonicTime now = m_environment.clock.now();
        m_longPolls[number] = { exchange, call, jobId, now + std::min(call.wait, maxLongPollWait), now };
        readResults(number);
        return;
    }
    const uint64_t number = addJobCall({ exchange, call.jobId, call.kind == JobCall::Kind::EndJob });
    if (call.kind == JobCall::Kind::EndJob)
        m_jobs.cancel(jobId, [this, number](const std::optional<Error>& error) { handleEnded(number, error); });
    else
        m_jobs.readItem(jobId, call.itemId,
            [this, number](const std::variant<QByteArray, Error>& result) { handleItem(number, result); });
}

void GatewayHandler::handleEnded(uint64_t number, const std::optional<Error>& error)
{
    const auto call = takeJobCall(number);
    if (!call)
        return;
    if (error)
        answerError(call->exchange, *error, call->id);
    else
        call->exchange->answer({});
}

void GatewayHandler::handleItem(uint64_t number, const std::variant<QByteArray, Error>& result)
{
    const auto call = takeJobCall(number);
    if (!call)
        return;
    if (const auto* error = std::get_if<Error>(&result)) {
        answerError(call->exchange, *error, call->id);
        return;
    }
    call->exchange->answer({ .status = 200,
        .headers = { { "Content-Type", "application/octet-stream" } },
        .body = std::get<QByteArray>(result) });
}

uint64_t GatewayHandler::addJobCall(OpenJobCall call)
{
    const uint64_t number = ++m_lastNumber;
    m_jobCalls[number] = std::move(call);
    return number;
}

std::optional<GatewayHandler::OpenJobCall> GatewayHandler::takeJobCall(uint64_t number)
{
    auto node = m_jobCalls.extract(number);
    return node ? std::optional(std::move(node.mapped())) : std::nullopt;
}

GatewayHandler::OpenRequests GatewayHandler::openRequests() const
{
    OpenRequests open { .calls = m_calls.size(), .longPolls = m_longPolls.size(), .jobCalls = m_jobCalls.size() };
    for (const auto& [number, call] : m_calls) {
        open.relayed += call->isRelayed() ? 1 : 0;
        open.fromPeers += call->isFromPeer() ? 1 : 0;
    }
    return open;
}

void GatewayHandler::recordCutOff()
{
    for (ForwardedCall* it : calls())
        it->cutOff();
    for (const auto& [number, poll] : m_longPolls)
        recordCutOff(*poll.exchange, poll.call.jobId);
    for (const auto& [number, call] : m_jobCalls)
        recordCutOff(*call.exchange, call.id);
}

void GatewayHandler::recordCutOff(const HttpExchange& exchange, const std::string& id) const
{
    m_environment.log.record("request", "finished", id, {},
        { { "outcome", "cut_off" }, { "reason", "the process ends" }, { "stopped_in", "store" },
            { "path", QString::fromUtf8(exchange.request().path) } });
}

void GatewayHandler::readResults(uint64_t number)
{
    LongPoll& poll = m_longPolls.at(number);
    poll.isReading = true;
    m_jobs.readResults(poll.jobId, poll.call.after,
        [this, number](const std::variant<JobResultPage, Error>& result) { handleResults(number, result); });
}

void GatewayHandler::handleResults(uint64_t number, const std::variant<JobResultPage, Error>& result)
{
    const auto it = m_longPolls.find(number);
    if (it == m_longPolls.end())
        return;
    LongPoll& poll = it->second;
    poll.isReading = false;
    if (const auto* error = std::get_if<Error>(&result)) {
        answerError(poll.exchange, *error, poll.call.jobId);
        m_longPolls.erase(it);
        return;
    }
    const JobResultPage& page = std::get<JobResultPage>(result);
    const MonotonicTime now = m_environment.clock.now();
    const bool isComplete = page.next >= page.total;
    if (!page.results.empty() || isComplete || now + longPollCheckInterval >= poll.expiresAt) {
        poll.exchange->answer(m_environment.wire.resultsAnswer(page));
        m_longPolls.erase(it);
        return;
    }
    poll.nextRead = std::min(now + storePollInterval, poll.expiresAt - longPollCheckInterval);
    if (!m_longPollTimer.isActive())
        m_longPollTimer.start(longPollCheckInterval);
}

void GatewayHandler::checkLongPolls()
{
    const MonotonicTime now = m_environment.clock.now();
    std::erase_if(
        m_longPolls, [](const auto& it) { return !it.second.isReading && it.second.exchange->isCallerDisconnected(); });
    std::vector<uint64_t> due;
    for (const auto& [number, poll] : m_longPolls) {
        if (!poll.isReading && now >= poll.nextRead)
            due.push_back(number);
    }
    for (const uint64_t it : due)
        readResults(it);
    if (m_longPolls.empty())
        m_longPollTimer.stop();
}

void GatewayHandler::handleResultsCommitted(const std::string& jobId)
{
    std::vector<uint64_t> due;
    for (const auto& [number, poll] : m_longPolls) {
        if (!poll.isReading && poll.jobId == jobId)
            due.push_back(number);
    }
    for (const uint64_t it : due)
        readResults(it);
}

}

#include <LibDispatch/WorkRunner.h>

#include <algorithm>
#include <cassert>

namespace Chicorydock {

WorkRunner::WorkRunner(RunnerEnvironment& environment, RunnerRequest request)
    : m_environment(environment)
    , m_request(std::move(request))
{
}

WorkRunner::~WorkRunner() { cancel(); }

void WorkRunner::start()
{
    assert(m_id == 0);
    m_id = m_environment.dispatcher.submit(m_request.service, m_request.work, weak_from_this(), m_environment.post);
    m_deadlineId = m_environment.deadlines.add(m_request.work.deadline, [weak = weak_from_this()] {
        if (const auto strong = weak.lock())
            strong->onDeadline();
    });
}

void WorkRunner::cancel()
{
    if (m_hasEnded)
        return;
    end();
    recordEvent("cancelled");
}

void WorkRunner::onStart(const KnownEndpoint& endpoint)
{
    if (m_hasEnded) {
        m_environment.dispatcher.finishAttempt(m_request.service, m_id, endpoint.id, AttemptOutcome::Cancelled, false);
        return;
    }
    recordEvent("dispatched", { { "endpoint", QString::fromStdString(endpoint.id) } });
    m_attempts.push_back(makeAttempt(endpoint));
    m_attempts.back()->send(false);
}

void WorkRunner::onCancel(const std::string& endpoint)
{
    const auto it = std::ranges::find(m_attempts, endpoint, [](const auto& attempt) { return attempt->endpoint().id; });
    if (it == m_attempts.end())
        return;
    m_attempts.erase(it);
    recordEvent("yielded", { { "endpoint", QString::fromStdString(endpoint) } });
    m_environment.dispatcher.finishAttempt(m_request.service, m_id, endpoint, AttemptOutcome::Cancelled, false);
}

void WorkRunner::onRefuse(const Error& error)
{
    if (m_hasEnded)
        return;
    if (!m_wasHandedOver) {
        fail(error);
        return;
    }
    // A refusal states that the work did not run, which is no longer certain.
    const ErrorKind kind = mayRepeat() ? ErrorKind::EndpointFailed : ErrorKind::MayHaveRun;
    fail(Error { kind, "an attempt failed and no other was started: " + error.message(), error.retryAfter() });
}

Milliseconds WorkRunner::remaining() const
{
    const auto left = m_request.work.deadline - m_environment.clock.now();
    return std::max(Milliseconds { 1 }, std::chrono::duration_cast<Milliseconds>(left));
}

void WorkRunner::cancelOtherAttempts(const Attempt& winner)
{
    for (size_t n = m_attempts.size(); n-- > 0;) {
        if (m_attempts[n].get() == &winner)
            continue;
        const std::string endpoint = m_attempts[n]->endpoint().id;
        m_attempts.erase(m_attempts.begin() + static_cast<ptrdiff_t>(n));
        m_environment.dispatcher.finishAttempt(m_request.service, m_id, endpoint, AttemptOutcome::Cancelled, false);
    }
}

void WorkRunner::recordEvent(std::string_view action, QJsonObject details)
{
    m_environment.eventLog.record(m_request.work.workClass == WorkClass::Batch ? "item" : "request", action,
        m_request.traceId, m_request.traceId, std::move(details));
}

void WorkRunner::reportTokens(const Attempt& attempt, uint32_t count)
{
    m_environment.dispatcher.recordTokens(m_request.service, m_id, attempt.endpoint().id, count);
}

void WorkRunner::attemptFailed(Attempt& attempt, const EndpointFailure& failure)
{
    if (m_hasEnded)
        return;
    // An open connection may stall for good while new ones work, so one timeout does not mean that the endpoint failed.
    const bool hasTimedOut = failure.reason == HttpFailure::Reason::TimedOut;
    if (hasTimedOut && !attempt.m_isReconnected && (mayRepeat() || failure.phase == HttpFailure::Phase::NotSent)
        && m_environment.clock.now() < m_request.work.deadline) {
        attempt.m_isReconnected = true;
        recordEvent("reconnected", { { "endpoint", QString::fromStdString(attempt.endpoint().id) } });
        attempt.send(true);
        return;
    }
    const std::string endpoint = attempt.endpoint().id;
    recordEvent("attempt_failed",
        { { "endpoint", QString::fromStdString(endpoint) }, { "reason", QString::fromStdString(failure.message) } });
    m_endedAttempts.push_back(removeAttempt(attempt));
    const auto self = shared_from_this();
    m_environment.post([self] { self->m_endedAttempts.clear(); });
    // An answer of 4xx rejects the request itself; another endpoint would reject it as well.
    const bool isRejected = failure.httpStatus >= 400 && failure.httpStatus < 500 && !failure.refused;
    const bool mayRetry = !isRejected && (mayRepeat() || failure.phase == HttpFailure::Phase::NotSent);
    const AttemptOutcome outcome = isRejected ? AttemptOutcome::Completed
        : failure.refused                     ? AttemptOutcome::Refused
                                              : AttemptOutcome::Failed;
    const bool isQueuedAgain
        = m_environment.dispatcher.finishAttempt(m_request.service, m_id, endpoint, outcome, mayRetry);
    if (isQueuedAgain || (!m_attempts.empty() && !isRejected))
        return;
    if (!isRejected && !m_wasHandedOver && !mayRepeat() && submitAgain(endpoint))
        return;
    fail(finalError(failure));
}

bool WorkRunner::submitAgain(const std::string& excludedEndpoint)
{
    // Schedulers start unrepeatable work only once. Submitting it again is safe because it certainly has not run.
    constexpr uint32_t maxSubmissions = 3;
    if (m_request.work.attempt + 1 >= maxSubmissions)
        return false;
    ++m_request.work.attempt;
    m_request.work.excludedEndpoints.push_back(excludedEndpoint);
    m_id = m_environment.dispatcher.submit(m_request.service, m_request.work, weak_from_this(), m_environment.post);
    return true;
}

void WorkRunner::attemptCompleted(Attempt& attempt)
{
    if (m_hasEnded)
        return;
    const std::string endpoint = attempt.endpoint().id;
    m_endedAttempts.push_back(removeAttempt(attempt));
    const auto self = shared_from_this();
    m_environment.post([self] { self->m_endedAttempts.clear(); });
    m_environment.dispatcher.finishAttempt(m_request.service, m_id, endpoint, AttemptOutcome::Completed, false);
    end();
    recordEvent("finished", { { "endpoint", QString::fromStdString(endpoint) } });
    deliverAnswer();
}

void WorkRunner::onDeadline()
{
    if (m_hasEnded)
        return;
    if (!m_wasHandedOver) {
        fail(Error { ErrorKind::DeadlineUnattainable, "no endpoint was free before the deadline" });
        return;
    }
    if (!mayRepeat()) {
        fail(Error { ErrorKind::MayHaveRun, "no answer before the deadline; the call may have run" });
        return;
    }
    fail(Error { ErrorKind::DeadlineExceeded, "no whole answer before the deadline" });
}

void WorkRunner::end()
{
    m_hasEnded = true;
    m_environment.deadlines.remove(m_deadlineId);
    cancelAttempts();
    if (m_id != 0)
        m_environment.dispatcher.withdraw(m_request.service, m_id);
}

void WorkRunner::fail(const Error& error)
{
    const auto self = shared_from_this();
    end();
    recordEvent("failed", { { "kind", QString::fromUtf8(errorRow(error.kind()).name.data()) } });
    deliverError(error);
}

void WorkRunner::cancelAttempts()
{
    // The list is emptied first, because reporting the end of an attempt may start other work.
    const Attempts attempts = std::move(m_attempts);
    m_attempts.clear();
    for (const auto& attempt : attempts) {
        m_environment.dispatcher.finishAttempt(
            m_request.service, m_id, attempt->endpoint().id, AttemptOutcome::Cancelled, false);
    }
}

std::unique_ptr<WorkRunner::Attempt> WorkRunner::removeAttempt(const Attempt& attempt)
{
    const auto it = std::ranges::find(m_attempts, &attempt, [](const auto& pointer) { return pointer.get(); });
    assert(it != m_attempts.end());
    auto removed = std::move(*it);
    m_attempts.erase(it);
    return removed;
}

Error WorkRunner::finalError(const EndpointFailure& failure) const
{
    if (failure.httpStatus >= 400 && failure.httpStatus < 500 && !failure.refused)
        return { ErrorKind::EndpointRejected, "the endpoint rejected the request: " + failure.message };
    if (!m_wasHandedOver)
        return { ErrorKind::NoEndpoint, "no endpoint could be reached: " + failure.message };
    if (!mayRepeat())
        return { ErrorKind::MayHaveRun, "the endpoint failed after the call was sent: " + failure.message };
    return { ErrorKind::EndpointFailed, "the endpoint failed: " + failure.message };
}

}

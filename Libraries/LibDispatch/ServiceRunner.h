#pragma once

#include <LibDispatch/WorkRunner.h>

namespace Chicorydock {

/// Receives the answer of a plain service, on the thread of its runner.
class ServiceSink {
public:
    virtual ~ServiceSink() = default;

    /// Receives the complete answer. No further calls follow.
    virtual void onAnswer(const HttpResponse&) = 0;
    /// The call has failed for good. No further calls follow.
    virtual void onFailed(const Error&) = 0;
};

/// Runs a call of a plain service. The answer is buffered until it is complete, so that a caller never mistakes a
/// truncated answer for a complete one, and so that a repeatable call can be retried on another endpoint.
///
/// Thread safety: none; lives on the thread of its environment.
class ServiceRunner final : public WorkRunner {
public:
    /// `call.address` is ignored. The sink outlives the runner.
    ServiceRunner(RunnerEnvironment&, RunnerRequest, HttpCallRequest call, ServiceSink&);

private:
    class ServiceAttempt;

    std::unique_ptr<Attempt> makeAttempt(const KnownEndpoint&) override;
    void deliverAnswer() override;
    void deliverError(const Error&) override;

    HttpCallRequest m_call;
    ServiceSink& m_sink;
    HttpResponse m_answer;
};

}

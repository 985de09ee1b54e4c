#pragma once

#include <LibDispatch/WorkRunner.h>

namespace Chicorydock {

/// Receives the answer of a plain service, on the thread of its runner.
class ServiceSink {
public:
    virtual ~ServiceSink() = default;

    /// The whole answer. Nothing more comes.
    virtual void onAnswer(const HttpResponse&) = 0;
    /// There is no answer and never will be. Nothing more comes.
    virtual void onFailed(const Error&) = 0;
};

/// Runs a call of a plain service. The answer is held until it is whole, so that a caller never takes a part of it for
/// the whole, and so that a repeatable call can be tried elsewhere.
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

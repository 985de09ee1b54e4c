#pragma once

#include <LibDispatch/RunnerEnvironment.h>

#include <memory>
#include <vector>

namespace Chicorydock {

/// One request or batch item to run.
struct RunnerRequest {
    std::string service;
    Work work;
    std::string traceId;
};

/// Runs one piece of work from its submission to its only result. Covers the attempts on endpoints, retries, hedges and
/// the deadline; derived classes define what is sent and where the answer goes.
///
/// Thread safety: none; lives on the thread of its environment.
class WorkRunner : public DispatchListener, public std::enable_shared_from_this<WorkRunner> {
public:
    WorkRunner(RunnerEnvironment&, RunnerRequest);
    ~WorkRunner() override;

    /// Queues the work. Throws Error(NoEndpoint). Precondition: called once, on an object held by a shared pointer.
    void start();

    /// Cancels the work; the derived class gets no further calls.
    void cancel();

    bool hasEnded() const { return m_hasEnded; }

    /// Returns whether any byte of the work was ever handed to a connection.
    bool wasHandedOver() const { return m_wasHandedOver; }

    void onStart(const KnownEndpoint&) override;
    void onCancel(const std::string& endpoint) override;
    void onRefuse(const Error&) override;

protected:
    /// One attempt on an endpoint. Derived classes add the observer of their call.
    class Attempt {
    public:
        Attempt(WorkRunner& runner, KnownEndpoint endpoint)
            : m_runner(runner)
            , m_endpoint(std::move(endpoint))
        {
        }
        virtual ~Attempt() = default;

        const KnownEndpoint& endpoint() const { return m_endpoint; }

        /// Sends the work. Called again, with `freshConnection`, if the first connection timed out.
        virtual void send(bool freshConnection) = 0;

    protected:
        void markHandedOver() { m_runner.m_wasHandedOver = true; }
        void reportFailure(const EndpointFailure& failure) { m_runner.attemptFailed(*this, failure); }
        void reportCompleted() { m_runner.attemptCompleted(*this); }

        WorkRunner& m_runner;
        std::unique_ptr<HttpCall> m_call;

    private:
        friend class WorkRunner;

        KnownEndpoint m_endpoint;
        bool m_isReconnected { false };
    };

    virtual std::unique_ptr<Attempt> makeAttempt(const KnownEndpoint&) = 0;

    /// Delivers the complete answer. Called at most once, and then `deliverError()` is not called.
    virtual void deliverAnswer() = 0;

    /// Delivers the final error. Called at most once.
    virtual void deliverError(const Error&) = 0;

    /// Returns whether the work may be sent again although an earlier attempt was handed over.
    virtual bool mayRepeat() const { return m_request.work.repeatable; }

    RunnerEnvironment& environment() { return m_environment; }
    const RunnerRequest& request() const { return m_request; }
    Milliseconds remaining() const;

    /// Cancels all attempts except this one, because the first answer of a hedge wins.
    void cancelOtherAttempts(const Attempt&);

    void recordEvent(std::string_view action, QJsonObject details = {});
    void reportTokens(const Attempt&, uint32_t count);

private:
    using Attempts = std::vector<std::unique_ptr<Attempt>>;

    void attemptFailed(Attempt&, const EndpointFailure&);
    void attemptCompleted(Attempt&);
    bool submitAgain(const std::string& excludedEndpoint);
    void onDeadline();
    void end();
    void fail(const Error&);
    void cancelAttempts();
    std::unique_ptr<Attempt> removeAttempt(const Attempt&);
    Error finalError(const EndpointFailure&) const;

    RunnerEnvironment& m_environment;
    RunnerRequest m_request;
    WorkId m_id { 0 };
    DeadlineQueue::Id m_deadlineId { 0 };
    Attempts m_attempts;
    // Attempts that ended inside one of their own callbacks; they are destroyed when the callback has returned.
    Attempts m_endedAttempts;
    bool m_wasHandedOver { false };
    bool m_hasEnded { false };
};

}

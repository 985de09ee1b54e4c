#pragma once

#include <LibDispatch/RunnerEnvironment.h>
#include <LibGateway/RefusedResponseLog.h>

#include <QObject>
#include <QThread>

#include <memory>

namespace Chicorydock {

/// A thread with a Qt event loop, an endpoint client and the environment of runners.
///
/// Thread safety: created and stopped on the main thread. `post()` and `run()` may be called from any thread except
/// this one.
class RunnerThread {
public:
    RunnerThread(const Clock&, Dispatcher&, EventLog&, MetricsRegistry&, const std::string& name);
    ~RunnerThread();

    RunnerThread(const RunnerThread&) = delete;
    RunnerThread& operator=(const RunnerThread&) = delete;

    /// Runs functions on the thread asynchronously.
    const Post& post() const { return m_post; }

    /// Runs the function on the thread, waits for it and rethrows its exception. Precondition: not called on the
    /// thread.
    void run(const std::function<void()>&);

    /// Ends the thread. Precondition: the objects that live on it were destroyed by `run()`.
    void stop();

    /// Precondition: called on the thread.
    RunnerEnvironment& environment() { return *m_environment; }

private:
    void setUp(const Clock&, Dispatcher&, EventLog&, MetricsRegistry&);

    QThread m_thread;
    // Lives on the thread and receives the posted functions.
    QObject* m_context;
    Post m_post;
    std::unique_ptr<PooledHttpClient> m_httpClient;
    std::unique_ptr<RefusedResponseLog> m_refusedResponses;
    std::unique_ptr<EndpointClient> m_endpointClient;
    DeadlineQueue m_deadlines;
    std::unique_ptr<RunnerEnvironment> m_environment;
};

}

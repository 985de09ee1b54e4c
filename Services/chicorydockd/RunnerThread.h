#pragma once

#include <LibDispatch/RunnerEnvironment.h>

#include <QObject>
#include <QThread>

#include <memory>

namespace Chicorydock {

/// A thread with a Qt event loop, an endpoint client and what runners need.
///
/// Thread safety: created, started and stopped on the main thread; `post()` and `run()` may be called from any other
/// thread than its own.
class RunnerThread {
public:
    RunnerThread(const Clock&, Dispatcher&, EventLog&, const std::string& name);
    ~RunnerThread();

    RunnerThread(const RunnerThread&) = delete;
    RunnerThread& operator=(const RunnerThread&) = delete;

    /// Runs the function on the thread, later.
    const Post& post() const { return m_post; }

    /// Runs the function on the thread, waits for it and throws what it threw. Precondition: not called on the thread.
    void run(const std::function<void()>&);

    /// Ends the thread. What lives on it must have been destroyed by `run()`.
    void stop();

    /// Precondition: called on the thread.
    RunnerEnvironment& environment() { return *m_environment; }

private:
    void setUp(const Clock&, Dispatcher&, EventLog&);

    QThread m_thread;
    // Lives on the thread and receives its calls.
    QObject* m_context;
    Post m_post;
    std::unique_ptr<HttpClient> m_httpClient;
    std::unique_ptr<EndpointClient> m_endpointClient;
    DeadlineQueue m_deadlines;
    std::unique_ptr<RunnerEnvironment> m_environment;
};

}

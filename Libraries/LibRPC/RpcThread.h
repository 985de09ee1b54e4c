#pragma once

#include <kj/async-io.h>

#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace Chicorydock {

/// A thread with a kj event loop, on which all Cap'n Proto RPC objects live.
///
/// Thread safety: `post()` and `run()` may be called from any thread; `provider()` and `timer()` only on the thread.
class RpcThread {
public:
    RpcThread();
    ~RpcThread();

    RpcThread(const RpcThread&) = delete;
    RpcThread& operator=(const RpcThread&) = delete;

    /// Runs the function asynchronously on the thread, in the order of the calls. After `stop()` it is discarded.
    void post(std::function<void()>);

    /// Runs the function on the thread, waits for it and rethrows its exception.
    /// Preconditions: not called on the thread itself, nor after `stop()`.
    void run(const std::function<void()>&);

    /// Runs the functions posted before and ends the thread. Preconditions: not called on the thread itself; all
    /// objects that live on the thread are destroyed. A second call does nothing.
    void stop();

    kj::AsyncIoProvider& provider() { return *m_provider; }
    kj::Timer& timer() { return m_provider->getTimer(); }

private:
    void runLoop();
    std::vector<std::function<void()>> drainPosted(kj::Own<kj::CrossThreadPromiseFulfiller<void>> wake);

    std::mutex m_mutex;
    std::vector<std::function<void()>> m_posted;
    /// Set while the thread waits; fulfilling it wakes the event loop.
    kj::Own<kj::CrossThreadPromiseFulfiller<void>> m_wake;
    bool m_isStopping { false };
    kj::AsyncIoProvider* m_provider { nullptr };
    std::thread m_thread;
};

}

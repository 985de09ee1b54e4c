#pragma once

#include <LibDispatch/Dispatcher.h>

#include <condition_variable>
#include <mutex>
#include <thread>

namespace Chicorydock {

/// Calls `Dispatcher::poll()` whenever a scheduler wants to act on the passing of time, on a thread of its own, so that
/// no other work delays it.
///
/// Thread safety: all methods may be called from any thread, except that `start()` and `stop()` are called once each.
class DispatchTimer {
public:
    ~DispatchTimer();

    void start(Dispatcher&);
    void stop();

    /// A poll is due earlier than the dispatcher last said.
    void wake();

private:
    void run(Dispatcher&);

    std::mutex m_mutex;
    std::condition_variable m_condition;
    bool m_isWoken { false };
    bool m_isStopping { false };
    std::thread m_thread;
};

}

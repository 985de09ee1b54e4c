#pragma once

#include <LibDispatch/Dispatcher.h>

#include <condition_variable>
#include <mutex>
#include <thread>

namespace Chicorydock {

/// Calls `Dispatcher::poll()` at the times that the dispatcher requests. Uses its own thread, so that no other work
/// delays the calls.
///
/// Thread safety: all methods may be called from any thread, except that `start()` and `stop()` are called once each.
class DispatchTimer {
public:
    ~DispatchTimer();

    void start(Dispatcher&);
    void stop();

    /// Makes the timer read `Dispatcher::nextPoll()` again. Called when a poll is due earlier than it last returned.
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

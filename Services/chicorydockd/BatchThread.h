#pragma once

#include <LibBatch/BatchController.h>

#include <condition_variable>
#include <mutex>
#include <thread>

namespace Chicorydock {

/// Runs a batch controller on its own thread, because its calls to the store block.
///
/// Thread safety: `start()` and `stop()` are called once each, on one thread.
class BatchThread {
public:
    explicit BatchThread(BatchController&, const Clock&);
    ~BatchThread();

    void start();
    void stop();

private:
    void run();
    void wake();

    BatchController& m_controller;
    const Clock& m_clock;
    std::mutex m_mutex;
    std::condition_variable m_condition;
    bool m_isWoken { false };
    bool m_isStopping { false };
    std::thread m_thread;
};

}

#include "BatchThread.h"

#include <glog/logging.h>

namespace Chicorydock {

namespace {

    // Lets one tick process the ends of several items.
    constexpr std::chrono::milliseconds minInterval { 5 };

}

BatchThread::BatchThread(BatchController& controller, const Clock& clock)
    : m_controller(controller)
    , m_clock(clock)
{
    m_controller.setWakeHandler([this] { wake(); });
}

BatchThread::~BatchThread() { stop(); }

void BatchThread::start()
{
    m_thread = std::thread([this] { run(); });
}

void BatchThread::stop()
{
    {
        const std::lock_guard guard(m_mutex);
        m_isStopping = true;
    }
    m_condition.notify_all();
    if (m_thread.joinable())
        m_thread.join();
}

void BatchThread::wake()
{
    {
        const std::lock_guard guard(m_mutex);
        m_isWoken = true;
    }
    m_condition.notify_all();
}

void BatchThread::run()
{
    for (;;) {
        try {
            m_controller.tick(m_clock.now());
        } catch (const std::exception& exception) {
            LOG(ERROR) << "batch controller failed: " << exception.what();
        }
        const auto next = std::max(m_controller.nextTick(), m_clock.now() + minInterval);
        std::unique_lock lock(m_mutex);
        m_condition.wait_until(lock, next, [this] { return m_isWoken || m_isStopping; });
        m_isWoken = false;
        if (m_isStopping)
            return;
        lock.unlock();
        std::this_thread::sleep_for(minInterval);
    }
}

}

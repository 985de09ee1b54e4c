#include "DispatchTimer.h"

#include <algorithm>

namespace Chicorydock {

namespace {

    // Limits the rate of polls when a scheduler repeatedly requests one at once.
    constexpr std::chrono::milliseconds minInterval { 1 };

}

DispatchTimer::~DispatchTimer() { stop(); }

void DispatchTimer::start(Dispatcher& dispatcher)
{
    m_thread = std::thread([this, &dispatcher] { run(dispatcher); });
}

void DispatchTimer::stop()
{
    {
        const std::lock_guard guard(m_mutex);
        m_isStopping = true;
    }
    m_condition.notify_all();
    if (m_thread.joinable())
        m_thread.join();
}

void DispatchTimer::wake()
{
    {
        const std::lock_guard guard(m_mutex);
        m_isWoken = true;
    }
    m_condition.notify_all();
}

void DispatchTimer::run(Dispatcher& dispatcher)
{
    for (;;) {
        dispatcher.poll();
        const auto next = std::max(dispatcher.nextPoll(), std::chrono::steady_clock::now() + minInterval);
        std::unique_lock lock(m_mutex);
        m_condition.wait_until(lock, next, [this] { return m_isWoken || m_isStopping; });
        m_isWoken = false;
        if (m_isStopping)
            return;
    }
}

}

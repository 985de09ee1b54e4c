#pragma once

#include <LibCore/Post.h>

#include <QThreadPool>

namespace Chicorydock {

/// A small pool of threads for calls that block on the platform.
///
/// Thread safety: `post()` may be called from any thread.
class PlatformPool {
public:
    PlatformPool()
    {
        // Without a limit, a slow platform would make the node start ever more threads. Further calls are queued.
        constexpr int maxThreads = 16;
        m_pool.setMaxThreadCount(maxThreads);
        // Idle threads keep their connections to the platform.
        m_pool.setExpiryTimeout(-1);
    }

    Post post()
    {
        return [this](std::function<void()> function) { m_pool.start(std::move(function)); };
    }

    /// Waits until all posted calls have returned.
    void wait() { m_pool.waitForDone(); }

private:
    QThreadPool m_pool;
};

}

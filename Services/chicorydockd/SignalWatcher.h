#pragma once

#include <LibCore/Clock.h>

#include <QObject>
#include <QSocketNotifier>

#include <functional>
#include <memory>

namespace Chicorydock {

/// Calls `onTerminate` for the first termination signal of the process (SIGTERM, SIGINT), with the time at which it
/// arrived, and `onReload` for each SIGHUP, on the thread that created the watcher. There may be only one watcher in a
/// process.
class SignalWatcher {
public:
    /// Throws Error(Internal) if the signals cannot be handled.
    explicit SignalWatcher(std::function<void(MonotonicTime arrival)> onTerminate, std::function<void()> onReload = {});
    ~SignalWatcher();

    SignalWatcher(const SignalWatcher&) = delete;
    SignalWatcher& operator=(const SignalWatcher&) = delete;

private:
    void handle(char signalByte);

    std::function<void(MonotonicTime arrival)> m_onTerminate;
    std::function<void()> m_onReload;
    std::unique_ptr<QSocketNotifier> m_notifier;
    bool m_wasSignalled { false };
};

}

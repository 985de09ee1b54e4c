#pragma once

#include <QObject>
#include <QSocketNotifier>

#include <functional>
#include <memory>

namespace Chicorydock {

/// Turns the termination signals of the process (SIGTERM, SIGINT) into a call on the thread that created it, of which
/// only the first one counts, and SIGHUP into another call. One per process.
class SignalWatcher {
public:
    /// Throws Error(Internal) if the signals cannot be handled.
    explicit SignalWatcher(std::function<void()> onTerminate, std::function<void()> onReload = {});
    ~SignalWatcher();

    SignalWatcher(const SignalWatcher&) = delete;
    SignalWatcher& operator=(const SignalWatcher&) = delete;

private:
    void handle(char signalByte);

    std::function<void()> m_onTerminate;
    std::function<void()> m_onReload;
    std::unique_ptr<QSocketNotifier> m_notifier;
    bool m_wasSignalled { false };
};

}

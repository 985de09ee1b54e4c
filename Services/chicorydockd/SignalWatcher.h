#pragma once

#include <QObject>
#include <QSocketNotifier>

#include <functional>
#include <memory>

namespace Chicorydock {

/// Turns the termination signals of the process (SIGTERM, SIGINT) into a call on the thread that created it. Only the
/// first one counts. One per process.
class SignalWatcher {
public:
    /// Throws Error(Internal) if the signals cannot be handled.
    explicit SignalWatcher(std::function<void()> onTerminate);
    ~SignalWatcher();

    SignalWatcher(const SignalWatcher&) = delete;
    SignalWatcher& operator=(const SignalWatcher&) = delete;

private:
    std::function<void()> m_onTerminate;
    std::unique_ptr<QSocketNotifier> m_notifier;
    bool m_wasSignalled { false };
};

}

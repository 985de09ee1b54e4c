#pragma once

#include <QCoreApplication>
#include <QElapsedTimer>
#include <QEventLoop>
#include <QTimer>

namespace Chicorydock {

/// Runs the event loop of this thread until `condition` holds. Returns false after a timeout that only a hanging test
/// reaches.
template <typename Condition> bool waitFor(Condition condition)
{
    constexpr qint64 timeoutMilliseconds = 60'000;
    QElapsedTimer timer;
    timer.start();
    // Wakes the event loop for conditions that change without an event on this thread.
    QTimer wakeUp;
    wakeUp.start(2);
    while (!condition()) {
        if (timer.elapsed() > timeoutMilliseconds)
            return false;
        QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents);
        // Deferred deletions run only in a nested event loop or on request.
        QCoreApplication::sendPostedEvents(nullptr, QEvent::DeferredDelete);
    }
    return true;
}

}

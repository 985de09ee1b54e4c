#pragma once

#include <QCoreApplication>
#include <QElapsedTimer>
#include <QEventLoop>
#include <QTimer>

namespace Chicorydock {

/// Runs the event loop of this thread until `condition` holds. Returns false after a ceiling that only a hanging test
/// reaches.
template <typename Condition> bool waitFor(Condition condition)
{
    constexpr qint64 ceilingMilliseconds = 60'000;
    QElapsedTimer timer;
    timer.start();
    // Wakes the event loop for conditions that change without an event on this thread.
    QTimer wakeUp;
    wakeUp.start(2);
    while (!condition()) {
        if (timer.elapsed() > ceilingMilliseconds)
            return false;
        QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents);
        // Deferred deletions run only in a nested event loop or when asked for.
        QCoreApplication::sendPostedEvents(nullptr, QEvent::DeferredDelete);
    }
    return true;
}

}

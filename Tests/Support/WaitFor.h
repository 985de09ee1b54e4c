#pragma once

#include <QCoreApplication>
#include <QElapsedTimer>
#include <QEventLoop>

namespace Chicorydock {

/// Runs the event loop of this thread until `condition` holds. Returns false after a ceiling that only a hanging test
/// reaches.
template <typename Condition> bool waitFor(Condition condition)
{
    constexpr qint64 ceilingMilliseconds = 60'000;
    QElapsedTimer timer;
    timer.start();
    while (!condition()) {
        if (timer.elapsed() > ceilingMilliseconds)
            return false;
        QCoreApplication::processEvents(QEventLoop::AllEvents, 10);
        // Deferred deletions run only in a nested event loop or when asked for.
        QCoreApplication::sendPostedEvents(nullptr, QEvent::DeferredDelete);
    }
    return true;
}

}

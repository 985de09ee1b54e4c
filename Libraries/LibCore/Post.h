#pragma once

#include <QMetaObject>
#include <QObject>

#include <exception>
#include <functional>

namespace Chicorydock {

/// Runs a function asynchronously on another thread. May be called from any thread.
using Post = std::function<void(std::function<void()>)>;

/// Returns a `Post` that runs functions in the event loop of the thread of `context`, in the order of the calls.
/// Functions that have not run when `context` is destroyed are dropped.
inline Post postTo(QObject* context)
{
    return [context](std::function<void()> function) {
        QMetaObject::invokeMethod(context, std::move(function), Qt::QueuedConnection);
    };
}

/// Runs a function in the event loop of the thread of `context`, waits for it and rethrows its exception. Precondition:
/// that thread runs its event loop, and is not the calling thread.
inline void runAndWait(QObject* context, const std::function<void()>& function)
{
    std::exception_ptr exception;
    QMetaObject::invokeMethod(
        context,
        [&] {
            try {
                function();
            } catch (...) {
                exception = std::current_exception();
            }
        },
        Qt::BlockingQueuedConnection);
    if (exception)
        std::rethrow_exception(exception);
}

}

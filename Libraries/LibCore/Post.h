#pragma once

#include <QMetaObject>
#include <QObject>

#include <functional>

namespace Chicorydock {

/// Runs a function on some other thread, some time later. May be called from any thread.
using Post = std::function<void(std::function<void()>)>;

/// Returns a `Post` that runs functions in the event loop of the thread of `context`, in the order of the calls.
/// Functions that have not run when `context` is destroyed are dropped.
inline Post postTo(QObject* context)
{
    return [context](std::function<void()> function) {
        QMetaObject::invokeMethod(context, std::move(function), Qt::QueuedConnection);
    };
}

}

#pragma once

#include <LibCore/Error.h>
#include <LibCore/Post.h>

#include <kj/async.h>
#include <kj/debug.h>

#include <functional>
#include <memory>

namespace Chicorydock {

/// Converts an error into the exception that an RPC caller receives: the name of the kind, a colon and the message.
inline kj::Exception toRpcException(const Error& error)
{
    const std::string text = std::string(errorRow(error.kind()).name) + ": " + error.message();
    // KJ_EXCEPTION would prepend the source text of its argument to the description.
    return { kj::Exception::Type::FAILED, __FILE__, __LINE__, kj::heapString(text.c_str(), text.size()) };
}

/// Runs `function` through `post` and returns a promise of its result on the kj event loop of the calling thread.
/// Precondition: called on a thread with a kj event loop. An `Error` reaches the RPC caller as `toRpcException()`.
template <typename T> kj::Promise<T> runOn(const Post& post, std::function<T()> function)
{
    auto pair = kj::newPromiseAndCrossThreadFulfiller<T>();
    // std::function requires a copyable closure, and the fulfiller is move-only.
    auto fulfiller = std::make_shared<kj::Own<kj::CrossThreadPromiseFulfiller<T>>>(kj::mv(pair.fulfiller));
    post([fulfiller, function = std::move(function)] {
        try {
            (*fulfiller)->fulfill(function());
        } catch (const Error& error) {
            (*fulfiller)->reject(toRpcException(error));
        } catch (const std::exception& exception) {
            (*fulfiller)->reject(toRpcException(Error { ErrorKind::Internal, exception.what() }));
        }
    });
    return kj::mv(pair.promise);
}

}

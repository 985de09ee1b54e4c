#pragma once

#include <LibHTTP/HttpMessage.h>

#include <cstdint>
#include <functional>
#include <memory>

namespace Chicorydock {

/// One request of a caller and the way to answer it. Exactly one answer is given: whole by `answer()`, or in parts by
/// `startStream()`, `sendChunk()` and `finishStream()` or `abortStream()`. Once the caller is gone, all of these do
/// nothing.
///
/// Thread safety: all methods are called on the I/O thread that owns the connection.
class HttpExchange {
public:
    virtual ~HttpExchange() = default;

    virtual const HttpRequest& request() const = 0;

    /// Sends the whole answer. Precondition: no answer was begun.
    virtual void answer(const HttpResponse&) = 0;

    /// Sends status and headers of an answer whose body follows in chunks. Precondition: no answer was begun.
    virtual void startStream(int status, const HttpHeaders&) = 0;

    /// Sends a part of the body. Precondition: the stream was started and has not ended.
    virtual void sendChunk(QByteArrayView) = 0;

    /// Ends the body, so that the caller knows that it is whole. Precondition: as `sendChunk()`.
    virtual void finishStream() = 0;

    /// Closes the connection without an end of body, so that the caller sees that the answer is not whole.
    virtual void abortStream() = 0;

    /// Returns the bytes that wait for a slow caller to read them.
    virtual qint64 bytesToWrite() const = 0;

    virtual bool isCallerDisconnected() const = 0;

    /// Returns the number of the connection, counted from 1 in the order of acceptance by its server, or 0 if there is
    /// no such number.
    virtual uint64_t connectionNumber() const { return 0; }

    /// Sets the function to call, once, when the caller closes the connection before the answer has ended.
    virtual void setCallerDisconnectedHandler(std::function<void()>) = 0;
};

/// Takes in requests.
class HttpHandler {
public:
    virtual ~HttpHandler() = default;

    /// Handles a request. It may answer later; the exchange lives as long as someone holds it.
    /// Called on the I/O thread of the connection.
    virtual void handle(std::shared_ptr<HttpExchange>) = 0;
};

}

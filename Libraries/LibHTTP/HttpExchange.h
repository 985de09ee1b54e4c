#pragma once

#include <LibHTTP/HttpMessage.h>

#include <cstdint>
#include <functional>
#include <memory>

namespace Chicorydock {

/// One request of a caller and the means to respond to it. Exactly one response is sent: complete by `answer()`, or in
/// parts by `startStream()`, `sendChunk()` and `finishStream()` or `abortStream()`. After the caller has disconnected,
/// all of these do nothing.
///
/// Thread safety: all methods are called on the I/O thread that owns the connection.
class HttpExchange {
public:
    virtual ~HttpExchange() = default;

    virtual const HttpRequest& request() const = 0;

    /// Sends the complete response. Precondition: no response was begun.
    virtual void answer(const HttpResponse&) = 0;

    /// Sends status and headers of a response whose body follows in chunks. Precondition: no response was begun.
    virtual void startStream(int status, const HttpHeaders&) = 0;

    /// Sends a part of the body. Precondition: the stream was started and has not ended.
    virtual void sendChunk(QByteArrayView) = 0;

    /// Ends the body, so that the caller knows that it is complete. Precondition: as `sendChunk()`.
    virtual void finishStream() = 0;

    /// Closes the connection without an end of body, so that the caller detects that the response is incomplete.
    virtual void abortStream() = 0;

    /// Returns the number of bytes that wait to be sent because the caller reads slowly.
    virtual qint64 bytesToWrite() const = 0;

    /// Sets the function to call whenever bytes have been sent that waited for the caller.
    virtual void setBytesWrittenHandler(std::function<void()>) { }

    virtual bool isCallerDisconnected() const = 0;

    /// Returns the number of the connection, counted from 1 in the order of acceptance by its server, or 0 if there is
    /// no such number.
    virtual uint64_t connectionNumber() const { return 0; }

    /// Sets the function to call, once, when the caller closes the connection before the response has ended.
    virtual void setCallerDisconnectedHandler(std::function<void()>) = 0;
};

/// Handles the requests of a server.
class HttpHandler {
public:
    virtual ~HttpHandler() = default;

    /// Handles a request. The response may follow later; the exchange stays valid as long as a reference to it is held.
    /// Called on the I/O thread of the connection.
    virtual void handle(std::shared_ptr<HttpExchange>) = 0;
};

}

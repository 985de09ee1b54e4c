#pragma once

#include <LibCore/Clock.h>
#include <LibHTTP/HttpMessage.h>

#include <cstdint>
#include <memory>
#include <string>

namespace Chicorydock {

/// A request to another server.
struct HttpCallRequest {
    /// `HOST:PORT`, with the host as an IP number.
    std::string address;
    QByteArray method;
    /// Path with query, percent-encoded.
    QByteArray target;
    HttpHeaders headers;
    QByteArray body;
    /// Longest time without a byte in either direction, connecting included.
    Milliseconds progressTimeout { 10'000 };
    /// Longest time to open a connection.
    Milliseconds connectTimeout { 10'000 };
    /// Whether an open connection must not be used again, for example after another went silent.
    bool freshConnection { false };
    /// Name of a field of this request that answers repeat. An answer that carries it with another value belongs to an
    /// earlier request of the connection and is passed over. Empty if answers repeat nothing.
    QByteArray echoedField;
};

/// Why a call failed.
struct HttpFailure {
    enum class Phase : uint8_t {
        /// No byte of the request was handed to a connection.
        NotSent,
        /// The request was handed over, wholly or in part, and no answer began.
        Sent,
        /// The answer began but is not whole.
        Answering,
    };
    enum class Reason : uint8_t {
        Refused,
        TimedOut,
        Closed,
        Protocol,
    };

    Phase phase { Phase::NotSent };
    Reason reason { Reason::Closed };
    std::string message;

    bool operator==(const HttpFailure&) const = default;
};

/// Hears of the progress of one call, on the thread of the client. After `onFinished()` or `onFailed()` nothing more
/// comes. A method may cancel the call or destroy its handle.
class HttpCallObserver {
public:
    virtual ~HttpCallObserver() = default;

    /// The first byte of the request was handed to a connection; from now on it may run.
    virtual void onHandedOver() = 0;
    virtual void onHeaders(int status, const HttpHeaders&) = 0;
    virtual void onData(const QByteArray&) = 0;
    virtual void onFinished() = 0;
    virtual void onFailed(const HttpFailure&) = 0;
};

/// Handle of a call; destroying it cancels the call, and the observer hears nothing more.
class HttpCall {
public:
    virtual ~HttpCall() = default;
};

/// Sends requests. A request is sent at most once: the client never repeats it by itself.
///
/// Thread safety: used on the thread that created it, which runs a Qt event loop.
class HttpClient {
public:
    virtual ~HttpClient() = default;

    /// Starts a call. The observer outlives the handle. No method of the observer is called before this returns.
    virtual std::unique_ptr<HttpCall> start(const HttpCallRequest&, HttpCallObserver&) = 0;
};

}

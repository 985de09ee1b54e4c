#pragma once

#include <LibCore/Clock.h>
#include <LibHTTP/HttpMessage.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace Chicorydock {

/// A request to another server.
struct HttpCallRequest {
    /// `HOST:PORT`, with the host as an IP address.
    std::string address;
    QByteArray method;
    /// Path with query, percent-encoded.
    QByteArray target;
    HttpHeaders headers;
    QByteArray body;
    /// Longest time without data in either direction, including the time to connect.
    Milliseconds progressTimeout { 10'000 };
    /// Longest time to open a connection.
    Milliseconds connectTimeout { 10'000 };
    /// Whether to open a new connection instead of reusing one, for example after another one timed out. Idle
    /// connections to the address are closed, so that later calls do not reuse them either.
    bool freshConnection { false };
    /// Name of a field of this request that responses repeat. A response that carries it with another value belongs to
    /// an earlier request of the connection and is skipped. A connection never carries two requests with the same
    /// value, because a late second copy of the first response could not be told from the second one. For the same
    /// reason, a response without the field fails the call if the connection has carried another request, and a request
    /// without a value gets a connection of its own. Empty if responses repeat no field.
    QByteArray echoedField;
    /// Limit on the body of the response; a longer one fails the call. Empty for callers that pass each part on and
    /// hold none.
    std::optional<qsizetype> maxAnswerBytes {};
};

/// Why a call failed.
struct HttpFailure {
    enum class Phase : uint8_t {
        /// No byte of the request was passed to a connection.
        NotSent,
        /// The request was passed to a connection, completely or in part, and no response began.
        Sent,
        /// The response began but is not complete.
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

/// Receives the progress of one call, on the thread of the client. `onFinished()` or `onFailed()` is the last event. A
/// method may cancel the call or destroy its handle.
class HttpCallObserver {
public:
    virtual ~HttpCallObserver() = default;

    /// The request is about to be written to a connection; from now on the server may execute it.
    virtual void onHandedOver() = 0;
    virtual void onHeaders(int status, const HttpHeaders&) = 0;
    virtual void onData(const QByteArray&) = 0;
    virtual void onFinished() = 0;
    virtual void onFailed(const HttpFailure&) = 0;
};

/// Handle of a call. Destroying it cancels the call, and the observer is not called again.
class HttpCall {
public:
    virtual ~HttpCall() = default;

    /// Stops reading a response that has begun, or goes on. Meanwhile the server is not expected to make progress. Data
    /// that has been read already, up to some 10 KB, is still reported.
    virtual void setPaused(bool) = 0;
};

/// Sends requests. A request is sent at most once: the client never retries by itself.
///
/// Thread safety: used on the thread that created it, which runs a Qt event loop.
class HttpClient {
public:
    virtual ~HttpClient() = default;

    /// Starts a call. The observer outlives the handle. No method of the observer is called before this returns.
    virtual std::unique_ptr<HttpCall> start(const HttpCallRequest&, HttpCallObserver&) = 0;
};

}

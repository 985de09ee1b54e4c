#pragma once

#include <LibHTTP/ClientSocket.h>
#include <LibHTTP/HttpClient.h>
#include <LibHTTP/HttpResponseReader.h>

#include <QTimer>

#include <functional>
#include <optional>
#include <vector>

namespace Chicorydock {

/// One connection of a `PooledHttpClient`. It runs one call at a time and can be reused after a call that left it
/// clean.
///
/// Thread safety: used on the thread that created it.
class ClientConnection final : public QObject, private ClientSocketListener, private HttpResponseListener {
public:
    enum class State : uint8_t {
        Connecting,
        Busy,
        /// Open and clean, with no call in progress.
        Idle,
        Closed,
    };

    /// `onStateChanged` is called when the connection becomes idle or closed, or is opened once more; it must not
    /// delete the connection.
    ClientConnection(const std::string& address, std::function<void(ClientConnection&)> onStateChanged);

    /// Returns whether a response to the request could be told from late responses to the requests that the connection
    /// has carried. Requests without an echoed field are not checked.
    bool canCarry(const HttpCallRequest&) const;

    /// Sends the request as soon as the connection is open. Returns the number of the call for `cancel()`.
    /// Preconditions: no call is in progress; `canCarry()`.
    uint64_t send(HttpCallRequest, HttpCallObserver&);

    /// Cancels the call with that number if it has not ended: the observer is not called again and the connection is
    /// closed.
    void cancel(uint64_t call);

    /// Stops reading the response to the call with that number, or goes on, if it has begun and has not ended.
    void setPaused(uint64_t call, bool isPaused);

    /// Closes the connection. Precondition: no call is in progress.
    void close() { setState(State::Closed); }

    State state() const { return m_state; }
    const std::string& address() const { return m_address; }

    /// Returns the time until which an idle connection may be reused.
    MonotonicTime usableUntil() const { return m_usableUntil; }

    /// Returns whether a call failed because no data was sent or received within its time limit.
    bool hasTimedOut() const { return m_hasTimedOut; }

    /// Returns why a response was refused, in words that contain no bytes of it; empty if none was.
    const std::string& refusal() const { return m_refusal; }

private:
    void onConnected() override;
    void onInput(QByteArrayView) override;
    void onEnded(SocketEnd) override;

    void onResponseHeaders(int status, const HttpHeaders&) override;
    void onResponseBody(QByteArrayView) override;

    void transmit();
    /// Handles bytes, or the end of the connection, that arrive before the request is written.
    void handleEarlyInput(HttpFailure::Reason, std::string message);
    Milliseconds connectTimeLimit() const;
    QByteArray formatRequest() const;
    bool belongsToEarlierRequest(const HttpHeaders&) const;
    /// Returns whether a response with these fields may belong to an earlier request, although nothing says so.
    bool isUnidentified(const HttpHeaders&) const;
    /// Returns whether the server has sent more bytes before the response than any response in time would need.
    bool hasTooManyBytesBeforeResponse() const;
    /// Returns whether the body of the response is longer than the caller takes.
    bool isAnswerTooLarge() const;
    void finish(bool hasExtraBytes);
    void fail(HttpFailure::Reason, std::string message);
    void setState(State);
    void handleTimer();

    const std::string m_address;
    std::function<void(ClientConnection&)> m_onStateChanged;
    std::unique_ptr<ClientSocket> m_socket;
    HttpResponseReader m_reader;
    State m_state { State::Connecting };
    uint64_t m_call { 0 };
    HttpCallRequest m_request;
    HttpCallObserver* m_observer { nullptr };
    HttpFailure::Phase m_phase { HttpFailure::Phase::NotSent };
    bool m_skipsResponse { false };
    /// Bytes received since the request was sent and before the body of its response.
    qsizetype m_bytesBeforeResponse { 0 };
    qsizetype m_bodyBytes { 0 };
    bool m_hasTimedOut { false };
    std::string m_refusal;
    MonotonicTime m_lastProgress;
    MonotonicTime m_usableUntil;
    /// Number of requests that the connection has carried.
    uint64_t m_carriedRequests { 0 };
    /// Hashes of the echoed values of these requests.
    std::vector<size_t> m_echoedHashes;
    Milliseconds m_idleReuseLimit { 0 };
    QTimer m_timer;
};

}

#pragma once

#include <LibHTTP/ClientSocket.h>
#include <LibHTTP/HttpClient.h>
#include <LibHTTP/HttpResponseReader.h>

#include <QTimer>

#include <functional>
#include <optional>

namespace Chicorydock {

/// One connection of a `PooledHttpClient`. It carries one call at a time and reports whether it can carry another.
///
/// Thread safety: used on the thread that created it.
class ClientConnection final : public QObject, private ClientSocketListener, private HttpResponseListener {
public:
    enum class State : uint8_t {
        Connecting,
        Busy,
        /// Open, clean and without a call.
        Idle,
        Closed,
    };

    /// `onStateChanged` is called when the connection becomes idle or closed; it must not delete the connection.
    ClientConnection(const std::string& address, std::function<void(ClientConnection&)> onStateChanged);

    /// Sends the request, once the connection is open, and returns the number of the call. Precondition: no call is in
    /// progress.
    uint64_t send(HttpCallRequest, HttpCallObserver&);

    /// Gives the call with that number up, if it has not ended: the observer hears nothing more and the connection is
    /// closed.
    void cancel(uint64_t call);

    /// Closes a connection that carries no call.
    void close() { setState(State::Closed); }

    State state() const { return m_state; }
    const std::string& address() const { return m_address; }

    /// Returns until when an idle connection can be used again.
    MonotonicTime usableUntil() const { return m_usableUntil; }

    /// Returns whether the call ended because nothing came or went in time.
    bool wentSilent() const { return m_wentSilent; }

private:
    void onConnected() override;
    void onInput(QByteArrayView) override;
    void onEnded(SocketEnd) override;

    void onResponseHeaders(int status, const HttpHeaders&) override;
    void onResponseBody(QByteArrayView) override;

    void transmit();
    QByteArray formatRequest() const;
    bool belongsToEarlierRequest(const HttpHeaders&) const;
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
    bool m_skipsAnswer { false };
    bool m_wentSilent { false };
    MonotonicTime m_lastProgress;
    MonotonicTime m_usableUntil;
    Milliseconds m_idleLimit { 0 };
    QTimer m_timer;
};

}

#include <LibHTTP/ClientConnection.h>

#include <LibHTTP/HttpGrammar.h>

#include <algorithm>
#include <utility>

namespace Chicorydock {

namespace {

    /// Reuse limit for servers that announce no `Keep-Alive` timeout; they may close an idle connection within a
    /// second.
    constexpr Milliseconds defaultIdleReuseLimit { 500 };

    /// Fraction of the announced `Keep-Alive` timeout for which an idle connection is reused, so that no request is
    /// sent while the server closes the connection.
    constexpr double reusableFractionOfIdleTimeout = 0.6;

    /// Limit on the bytes between a request and the body of its response: the head, interim responses, and late
    /// responses to earlier requests on the connection. A faulty server may send such bytes without end.
    constexpr qsizetype maxBytesBeforeResponse = 1024 * 1024;

    /// Number of requests with an echoed field after which a connection is closed, because it keeps a hash of each one.
    constexpr size_t maxEchoedValues = 256;

    MonotonicTime now() { return std::chrono::steady_clock::now(); }

    bool isReservedField(const QByteArray& name)
    {
        return std::ranges::any_of(std::initializer_list<const char*> { "Connection", "Content-Length", "Keep-Alive",
                                       "Transfer-Encoding", "Upgrade", "Expect", "TE" },
            [&](const char* it) { return HttpGrammar::equalsIgnoringCase(name, it); });
    }

    bool needsLength(const HttpCallRequest& request)
    {
        return !request.body.isEmpty() || request.method == "POST" || request.method == "PUT";
    }

    /// Returns the value that the response to the request repeats, empty if there is none.
    QByteArray echoedValue(const HttpCallRequest& request)
    {
        return request.echoedField.isEmpty() ? QByteArray() : request.headers.find(request.echoedField).value_or("");
    }

    /// Returns whether the response to the request should carry an identifier, but the request names none.
    bool lacksEchoedValue(const HttpCallRequest& request)
    {
        return !request.echoedField.isEmpty() && echoedValue(request).isEmpty();
    }

    /// Returns whether the request accepts any content coding. Without the field, a server may choose one (RFC 9110,
    /// section 12.5.3), but a caller that does not name one does not decode it.
    bool acceptsContentCoding(const HttpHeaders& request)
    {
        const QByteArrayList codings = request.find("Accept-Encoding").value_or(QByteArray()).split(',');
        return std::ranges::any_of(codings, [](const QByteArray& it) {
            const QByteArray name = it.first(std::ranges::find(it, ';') - it.begin()).trimmed();
            return !name.isEmpty() && !HttpGrammar::equalsIgnoringCase(name, "identity");
        });
    }

    Milliseconds idleReuseLimit(const HttpHeaders& headers)
    {
        const auto value = headers.find("Keep-Alive");
        if (!value)
            return defaultIdleReuseLimit;
        for (const QByteArray& it : value->split(',')) {
            const QByteArray part = it.trimmed();
            if (part.startsWith("timeout="))
                return std::chrono::duration_cast<Milliseconds>(
                    std::chrono::seconds { part.mid(8).toInt() } * reusableFractionOfIdleTimeout);
        }
        return defaultIdleReuseLimit;
    }

}

ClientConnection::ClientConnection(const std::string& address, std::function<void(ClientConnection&)> onStateChanged)
    : m_address(address)
    , m_onStateChanged(std::move(onStateChanged))
    , m_socket(std::make_unique<ClientSocket>(address, static_cast<ClientSocketListener&>(*this)))
    , m_reader(*this)
{
    m_timer.setSingleShot(true);
    connect(&m_timer, &QTimer::timeout, this, &ClientConnection::handleTimer);
}

bool ClientConnection::canCarry(const HttpCallRequest& request) const
{
    // The end of a late response is only found with the method of its own request.
    if (lacksEchoedValue(request) || request.method == "HEAD")
        return m_carriedRequests == 0;
    const QByteArray value = echoedValue(request);
    return value.isEmpty() || std::ranges::find(m_echoedHashes, qHash(value)) == m_echoedHashes.end();
}

uint64_t ClientConnection::send(HttpCallRequest request, HttpCallObserver& observer)
{
    m_request = std::move(request);
    m_observer = &observer;
    m_phase = HttpFailure::Phase::NotSent;
    m_lastProgress = now();
    m_bytesBeforeResponse = 0;
    m_bodyBytes = 0;
    m_reader.reset(m_request.method);
    const bool isOpen = m_socket->isConnected();
    m_timer.start(isOpen ? m_request.progressTimeout : connectTimeLimit());
    if (isOpen) {
        m_state = State::Busy;
        // The observer must not be called before `HttpClient::start()` has returned.
        QMetaObject::invokeMethod(this, &ClientConnection::transmit, Qt::QueuedConnection);
    }
    return ++m_call;
}

void ClientConnection::cancel(uint64_t call)
{
    if (!m_observer || call != m_call)
        return;
    m_observer = nullptr;
    setState(State::Closed);
}

void ClientConnection::setPaused(uint64_t call, bool isPaused)
{
    if (!m_observer || call != m_call || m_phase != HttpFailure::Phase::Answering)
        return;
    m_socket->setPaused(isPaused);
    m_timer.stop();
    if (isPaused)
        return;
    m_lastProgress = now();
    m_timer.start(m_request.progressTimeout);
}

void ClientConnection::onConnected()
{
    if (!m_observer)
        return;
    m_state = State::Busy;
    transmit();
}

void ClientConnection::transmit()
{
    if (!m_observer || m_state != State::Busy || m_phase != HttpFailure::Phase::NotSent)
        return;
    if (m_socket->hasUnreadInput()) {
        handleEarlyInput(
            HttpFailure::Reason::Closed, "the server sent bytes, or closed the connection, before the request");
        return;
    }
    m_phase = HttpFailure::Phase::Sent;
    ++m_carriedRequests;
    if (const QByteArray value = echoedValue(m_request); !value.isEmpty())
        m_echoedHashes.push_back(qHash(value));
    m_lastProgress = now();
    m_timer.start(m_request.progressTimeout);
    m_observer->onHandedOver();
    if (m_observer)
        m_socket->write(formatRequest());
}

void ClientConnection::handleEarlyInput(HttpFailure::Reason reason, std::string message)
{
    // A server that does this on a new connection would probably do it again.
    if (m_carriedRequests == 0) {
        fail(reason, std::move(message));
        return;
    }
    m_carriedRequests = 0;
    m_echoedHashes.clear();
    m_socket = std::make_unique<ClientSocket>(m_address, static_cast<ClientSocketListener&>(*this));
    m_lastProgress = now();
    setState(State::Connecting);
    m_timer.start(connectTimeLimit());
}

Milliseconds ClientConnection::connectTimeLimit() const
{
    return std::min(m_request.connectTimeout, m_request.progressTimeout);
}

QByteArray ClientConnection::formatRequest() const
{
    QByteArray text = m_request.method + ' ' + m_request.target + " HTTP/1.1\r\n";
    if (!m_request.headers.find("Host"))
        text += "Host: " + QByteArray::fromStdString(m_address) + "\r\n";
    for (const auto& [name, value] : m_request.headers.fields()) {
        if (!isReservedField(name))
            text += name + ": " + value + "\r\n";
    }
    if (needsLength(m_request))
        text += "Content-Length: " + QByteArray::number(m_request.body.size()) + "\r\n";
    return text + "\r\n" + m_request.body;
}

void ClientConnection::onInput(QByteArrayView input)
{
    if (!m_observer) {
        // Bytes that arrive while no call is in progress belong to no request.
        setState(State::Closed);
        return;
    }
    if (m_phase == HttpFailure::Phase::NotSent) {
        handleEarlyInput(HttpFailure::Reason::Protocol, "the server sent bytes before the request");
        return;
    }
    // Bytes before the response are no progress, so that a server that sends them slowly does not keep the call.
    if (m_phase == HttpFailure::Phase::Answering)
        m_lastProgress = now();
    else
        m_bytesBeforeResponse += input.size();
    while (!input.empty() && m_observer && m_state == State::Busy) {
        const bool isHttp = m_reader.consume(input);
        // The observer may have cancelled the call meanwhile.
        if (!m_observer)
            return;
        if (!isHttp) {
            fail(HttpFailure::Reason::Protocol, "the answer is not valid HTTP: " + std::string(m_reader.problem()));
            return;
        }
        if (isAnswerTooLarge()) {
            fail(HttpFailure::Reason::Protocol, "the answer is larger than the limit for it");
            return;
        }
        if (hasTooManyBytesBeforeResponse()) {
            fail(HttpFailure::Reason::Protocol, "the server sends bytes without end before its answer");
            return;
        }
        if (!m_reader.isComplete())
            return;
        if (!std::exchange(m_skipsResponse, false)) {
            finish(!input.empty());
            return;
        }
        m_reader.reset(m_request.method);
    }
}

void ClientConnection::onEnded(SocketEnd reason)
{
    if (!m_observer) {
        setState(State::Closed);
        return;
    }
    const bool isRefused = reason == SocketEnd::Refused;
    if (m_phase == HttpFailure::Phase::NotSent && !isRefused) {
        handleEarlyInput(HttpFailure::Reason::Closed, "the connection was closed before the request");
        return;
    }
    if (reason == SocketEnd::EndOfStream && m_phase == HttpFailure::Phase::Answering) {
        m_reader.finishInput();
        if (m_reader.isComplete() && !m_skipsResponse) {
            finish(false);
            return;
        }
    }
    if (m_observer)
        fail(isRefused ? HttpFailure::Reason::Refused : HttpFailure::Reason::Closed,
            isRefused ? "the connection was refused" : "the connection was closed");
}

void ClientConnection::onResponseHeaders(int status, const HttpHeaders& headers)
{
    if (belongsToEarlierRequest(headers)) {
        m_skipsResponse = true;
        return;
    }
    if (isUnidentified(headers)) {
        fail(HttpFailure::Reason::Protocol, "the answer does not repeat the identifier of its request");
        return;
    }
    if (headers.find("Content-Encoding") && !acceptsContentCoding(m_request.headers)) {
        fail(HttpFailure::Reason::Protocol, "the answer has a content coding that was not asked for");
        return;
    }
    m_phase = HttpFailure::Phase::Answering;
    m_lastProgress = now();
    m_idleReuseLimit = idleReuseLimit(headers);
    if (m_observer)
        m_observer->onHeaders(status, headers);
}

bool ClientConnection::hasTooManyBytesBeforeResponse() const
{
    return m_phase != HttpFailure::Phase::Answering && m_bytesBeforeResponse > maxBytesBeforeResponse;
}

bool ClientConnection::belongsToEarlierRequest(const HttpHeaders& headers) const
{
    const QByteArray value = echoedValue(m_request);
    if (value.isEmpty())
        return false;
    const auto echo = headers.find(m_request.echoedField);
    return echo && echo != value;
}

bool ClientConnection::isUnidentified(const HttpHeaders& headers) const
{
    const bool isReused = m_carriedRequests > 1;
    return isReused && !m_request.echoedField.isEmpty() && !headers.find(m_request.echoedField);
}

bool ClientConnection::isAnswerTooLarge() const
{
    return m_request.maxAnswerBytes && m_bodyBytes > *m_request.maxAnswerBytes;
}

void ClientConnection::onResponseBody(QByteArrayView data)
{
    if (!m_observer || m_skipsResponse)
        return;
    m_bodyBytes += data.size();
    if (!isAnswerTooLarge())
        m_observer->onData(data.toByteArray());
}

void ClientConnection::finish(bool hasExtraBytes)
{
    HttpCallObserver* observer = std::exchange(m_observer, nullptr);
    const bool isClean = !hasExtraBytes && m_socket && !m_socket->hasUnsentBytes();
    const bool isReusable = m_reader.keepsConnection() && isClean && !lacksEchoedValue(m_request)
        && m_request.method != "HEAD" && m_echoedHashes.size() < maxEchoedValues;
    m_usableUntil = now() + m_idleReuseLimit;
    // The last bytes may have been read already when the call was paused.
    if (m_socket)
        m_socket->setPaused(false);
    setState(isReusable ? State::Idle : State::Closed);
    observer->onFinished();
}

void ClientConnection::fail(HttpFailure::Reason reason, std::string message)
{
    HttpCallObserver* observer = std::exchange(m_observer, nullptr);
    if (reason == HttpFailure::Reason::Protocol)
        m_refusal = message;
    setState(State::Closed);
    observer->onFailed({ .phase = m_phase, .reason = reason, .message = std::move(message) });
}

void ClientConnection::setState(State state)
{
    if (m_state == State::Closed)
        return;
    m_state = state;
    m_timer.stop();
    if (state == State::Closed)
        m_socket.reset();
    m_onStateChanged(*this);
}

void ClientConnection::handleTimer()
{
    if (!m_observer)
        return;
    const Milliseconds limit = m_phase == HttpFailure::Phase::NotSent ? connectTimeLimit() : m_request.progressTimeout;
    const auto inactivity = now() - m_lastProgress;
    if (inactivity < limit) {
        m_timer.start(std::chrono::ceil<Milliseconds>(limit - inactivity));
        return;
    }
    m_hasTimedOut = true;
    fail(HttpFailure::Reason::TimedOut, "no byte came or went within the time limit");
}

}

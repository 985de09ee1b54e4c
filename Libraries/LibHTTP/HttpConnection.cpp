#include <LibHTTP/HttpConnection.h>

#include <LibHTTP/ConnectionExchange.h>
#include <LibHTTP/ErrorResponse.h>
#include <LibHTTP/SocketOptions.h>

#include <QHttpServerRequest>
#include <QUrl>

#include <algorithm>
#include <sys/socket.h>
#include <utility>

namespace Chicorydock {

namespace {

    /// Bytes that the socket buffers between requests and while one is being handled, enough for a usual header.
    constexpr qint64 readBufferBytes = 16 * 1024;

    /// The same while a body arrives, which takes fewer wake-ups.
    constexpr qint64 bodyReadBufferBytes = 64 * 1024;

    /// Number of responses that may wait for the caller before no further request is begun. A caller that sends its
    /// next request while it takes a large response is not delayed.
    constexpr int maxUnsentResponses = 1;

    /// Time without progress after which a response counts as not taken, if connections have to give way.
    constexpr Milliseconds stallTime { 1000 };

    /// Longest time to discard input after the last response. Closing earlier would send a reset, which can destroy a
    /// response that the caller has not read yet.
    constexpr Milliseconds lingerTime { 2000 };

    /// Time in which the first request on a new connection arrives if the caller has one to send.
    constexpr Milliseconds firstRequestTime { 500 };

    /// Time after which the caller of a request that could not be held may try again here; bodies that arrive too
    /// slowly are refused meanwhile.
    constexpr Milliseconds memoryRetryAfter { 250 };

    MonotonicTime now() { return std::chrono::steady_clock::now(); }

    bool isSupported(QHttpServerRequest::Method method)
    {
        using Method = QHttpServerRequest::Method;
        return method != Method::Unknown && method != Method::Connect && method != Method::Trace;
    }

}

HttpConnection::HttpConnection(HttpConnectionContext& context, qintptr descriptor, QObject* parent)
    : QObject(parent)
    , m_context(context)
    , m_number(++context.acceptedConnections)
    , m_socket(new QTcpSocket(this))
    , m_reader(context.limits)
    , m_received(context.requestMemory, [this] { releaseInput(); })
    , m_unsent(context.responseMemory, [this] { handleUnsentRevoked(); })
{
    m_socket->setReadBufferSize(readBufferBytes);
    m_socket->setSocketDescriptor(descriptor);
    m_socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
    m_feed = new RequestFeed(*m_socket);
    m_feed->setParent(this);
    connect(m_socket, &QTcpSocket::readyRead, this, &HttpConnection::readInput);
    connect(m_socket, &QTcpSocket::bytesWritten, this, &HttpConnection::onBytesWritten);
    // Queued, because a write can detect the end of the connection, and the disconnect handler must not be called from
    // within the call that wrote.
    connect(m_socket, &QTcpSocket::disconnected, this, &HttpConnection::onDisconnected, Qt::QueuedConnection);
    m_acceptedAt = m_lastWriteProgress = now();
    updateDeadline();
}

HttpConnection::~HttpConnection()
{
    m_socket->disconnect(this);
    m_stage = Stage::Closed;
    updateActivity();
    if (const auto exchange = m_exchange.lock())
        exchange->handleCallerDisconnected();
}

void HttpConnection::readInput()
{
    if (m_stage == Stage::Lingering || m_dropsInput) {
        discardInput();
        return;
    }
    if (m_stage != Stage::Reading || m_unsentResponses > maxUnsentResponses) {
        countInput();
        return;
    }
    // Bytes stay in the socket, whose buffer is bounded, until those that were read before have been handled.
    if (m_input.isEmpty())
        m_input = m_socket->readAll();
    if (m_input.isEmpty())
        return;
    if (!m_reader.isStarted())
        m_requestStart = now();
    processInput();
    countInput();
}

void HttpConnection::readMoreLater()
{
    if (!m_input.isEmpty() || m_socket->bytesAvailable() > 0)
        QMetaObject::invokeMethod(this, &HttpConnection::readInput, Qt::QueuedConnection);
}

void HttpConnection::discardInput()
{
    m_input.clear();
    m_socket->readAll();
    m_received.clear();
}

void HttpConnection::countInput()
{
    if (m_stage == Stage::Closed || m_stage == Stage::Lingering || !isOpen())
        return;
    const qint64 arriving = m_stage == Stage::Reading ? m_reader.heldBytes() : 0;
    if (!m_received.resize(static_cast<size_t>(arriving + m_input.size() + m_socket->bytesAvailable())))
        releaseInput();
}

void HttpConnection::processInput()
{
    try {
        QByteArrayView input(m_input);
        const bool isComplete = m_reader.consume(input);
        m_input.remove(0, m_input.size() - input.size());
        // Frees the memory, which removing the bytes does not.
        if (m_input.isEmpty())
            m_input.clear();
        if (!m_received.resize(static_cast<size_t>(m_reader.heldBytes()))) {
            releaseInput();
            return;
        }
        if (isComplete) {
            dispatch(m_reader.take());
            return;
        }
        if (m_reader.shouldSendContinue())
            send("HTTP/1.1 100 Continue\r\n\r\n");
        if (m_reader.bodyBytes() > 0)
            m_socket->setReadBufferSize(bodyReadBufferBytes);
        updateDeadline();
        readMoreLater();
    } catch (const Error& error) {
        refuse(error);
    }
}

void HttpConnection::dispatch(FramedRequest request)
{
    m_stage = Stage::Handling;
    m_hasServed = true;
    updateActivity();
    m_request = std::move(request);
    m_socket->setReadBufferSize(readBufferBytes);
    m_isParsed = false;
    m_feed->push(std::move(m_request.head));
    if (!m_isParsed)
        refuse(Error(ErrorKind::MalformedRequest, "the request cannot be parsed"));
}

void HttpConnection::handleParsedRequest(const QHttpServerRequest& parsed)
{
    m_isParsed = true;
    if (!isSupported(parsed.method())) {
        refuse(Error(ErrorKind::UnsupportedMethod, "the method is not supported"));
        return;
    }
    const bool isHttp10 = m_request.isHttp10;
    const auto exchange
        = std::make_shared<ConnectionExchange>(*this, toRequest(std::move(m_request)), isHttp10, m_received);
    m_exchange = exchange;
    m_context.handler.handle(exchange);
}

void HttpConnection::refuse(const Error& error)
{
    m_stage = Stage::Handling;
    m_hasServed = true;
    m_reader = HttpRequestReader(m_context.limits);
    m_received.clear();
    const HttpResponse response = m_context.protocolErrorResponse(error);
    send(formatResponseHead(response.status, response.headers, BodyFraming::ContentLength, response.body.size(), true)
        + response.body);
    endResponse(true);
}

void HttpConnection::releaseInput()
{
    recordLimited(CallerLimit::RequestMemory);
    if (m_stage == Stage::Reading) {
        refuse(Error(ErrorKind::MemoryExhausted, "the node has no memory for the request", memoryRetryAfter));
        return;
    }
    // The request in progress goes on. Those that follow it were not run and get no response.
    m_dropsInput = true;
    discardInput();
}

void HttpConnection::handleUnsentRevoked()
{
    recordLimited(CallerLimit::ResponseMemory);
    reset();
}

void HttpConnection::recordLimited(CallerLimit limit) const
{
    LimitedCallers& limited = m_context.limited[static_cast<size_t>(limit)];
    ++limited.count;
    limited.lastAddress = m_socket->peerAddress().toString().toStdString();
}

void HttpConnection::updateDeadline()
{
    const HttpServerLimits& limits = m_context.limits;
    if (!m_reader.isStarted()) {
        m_deadline = now() + limits.idleTimeout;
        return;
    }
    const auto bodyTime = Milliseconds { m_reader.bodyBytes() * 1000 / limits.minBodyBytesPerSecond };
    m_deadline = m_requestStart + limits.requestTimeout + bodyTime;
}

void HttpConnection::checkDeadline(MonotonicTime time)
{
    if (!isOpen())
        return;
    const bool isWaitingForCaller = !m_reader.isStarted() && m_socket->bytesToWrite() > 0;
    if (m_stage == Stage::Reading && time >= m_deadline && !isWaitingForCaller) {
        if (m_reader.isStarted())
            refuse(Error(ErrorKind::RequestTimeout, "the request did not arrive in time"));
        else
            m_socket->disconnectFromHost();
        return;
    }
    if (m_stage == Stage::Lingering && time >= m_deadline && m_socket->bytesToWrite() == 0) {
        m_socket->abort();
        return;
    }
    if (m_socket->bytesToWrite() > 0 && time >= m_lastWriteProgress + m_context.limits.requestTimeout)
        m_socket->abort();
}

void HttpConnection::closeIfIdle()
{
    const bool isIdle = m_stage == Stage::Reading && m_hasServed && !m_reader.isStarted();
    // The caller may still be taking the last response.
    const bool isUsed = !m_input.isEmpty() || m_socket->bytesAvailable() > 0 || m_socket->bytesToWrite() > 0;
    if (isIdle && !isUsed)
        m_socket->disconnectFromHost();
}

std::optional<HttpConnection::GiveWayRank> HttpConnection::giveWayRank(MonotonicTime time) const
{
    using Class = GiveWayRank::Class;
    if (m_stage == Stage::Closed || !isOpen())
        return {};
    if (m_socket->bytesToWrite() > 0 && time >= m_lastWriteProgress + stallTime)
        return GiveWayRank { Class::Stalled, m_lastWriteProgress };
    // The caller is taking its response.
    if (m_socket->bytesToWrite() > 0)
        return {};
    if (m_stage == Stage::Lingering)
        return GiveWayRank { Class::Closing, m_deadline };
    if (m_stage != Stage::Reading)
        return {};
    if (m_reader.isStarted() || !m_input.isEmpty() || m_socket->bytesAvailable() > 0)
        return GiveWayRank { Class::Arriving, m_requestStart };
    if (m_hasServed)
        return GiveWayRank { Class::Idle, m_requestStart };
    const bool isNew = time < m_acceptedAt + firstRequestTime;
    return GiveWayRank { isNew ? Class::New : Class::Silent, m_acceptedAt };
}

void HttpConnection::giveWay()
{
    recordLimited(CallerLimit::Connections);
    // A reset would drop what the kernel has not delivered yet of the last response.
    const bool isAnswered = m_hasServed && !m_reader.isStarted() && m_socket->bytesToWrite() == 0;
    if (isAnswered && m_stage != Stage::Handling)
        m_socket->abort();
    else
        reset();
    onDisconnected();
}

bool HttpConnection::isExpectingRequest(MonotonicTime time) const
{
    if (m_stage != Stage::Reading || !isOpen())
        return false;
    if (m_reader.isStarted() || !m_input.isEmpty() || m_socket->bytesAvailable() > 0)
        return true;
    return !m_hasServed && time < m_acceptedAt + firstRequestTime;
}

void HttpConnection::updateActivity()
{
    const bool isWriting = m_stage != Stage::Closed && isOpen() && m_socket->bytesToWrite() > 0;
    const bool isActive = m_stage == Stage::Handling || isWriting;
    if (isActive != m_isActive)
        m_context.activeExchanges += isActive ? 1 : -1;
    m_isActive = isActive;
}

bool HttpConnection::closesAfterResponse() const
{
    return m_context.isDraining || !m_request.keepAlive || m_dropsInput;
}

void HttpConnection::send(const QByteArray& bytes)
{
    if (!isOpen())
        return;
    if (m_socket->bytesToWrite() == 0)
        m_lastWriteProgress = now();
    m_socket->write(bytes);
    countUnsentBytes();
}

void HttpConnection::countUnsentBytes()
{
    if (!m_unsent.resize(static_cast<size_t>(m_socket->bytesToWrite())))
        handleUnsentRevoked();
}

void HttpConnection::flush()
{
    if (isOpen())
        m_socket->flush();
}

void HttpConnection::endResponse(bool closeConnection)
{
    if (m_stage == Stage::Closed || !isOpen())
        return;
    flush();
    noteUnsentRequest();
    m_exchange.reset();
    if (closeConnection || m_dropsInput) {
        startLingering();
        return;
    }
    m_stage = Stage::Reading;
    updateActivity();
    m_unsentResponses += m_socket->bytesToWrite() > 0 ? 1 : 0;
    m_requestStart = now();
    updateDeadline();
    // The next request may have arrived meanwhile. It is handled from the event loop, because this method may have
    // been called by the handler of the current request.
    readMoreLater();
}

void HttpConnection::noteUnsentRequest()
{
    if (!m_context.requestName || m_socket->bytesToWrite() == 0)
        return;
    if (const auto exchange = m_exchange.lock())
        m_unsentRequest = m_context.requestName(exchange->request());
}

void HttpConnection::startLingering()
{
    m_stage = Stage::Lingering;
    m_deadline = now() + lingerTime;
    discardInput();
    shutDownWriting();
    updateActivity();
}

void HttpConnection::shutDownWriting()
{
    if (m_stage != Stage::Lingering || m_isWritingShutDown || m_socket->bytesToWrite() > 0)
        return;
    m_isWritingShutDown = true;
    ::shutdown(static_cast<int>(m_socket->socketDescriptor()), SHUT_WR);
}

void HttpConnection::abort()
{
    if (m_stage == Stage::Closed || !isOpen())
        return;
    m_exchange.reset();
    if (m_request.isHttp10) {
        // An orderly close would mark the end of the body.
        reset();
        return;
    }
    startLingering();
}

void HttpConnection::reset()
{
    setResetOnClose(static_cast<int>(m_socket->socketDescriptor()));
    m_socket->abort();
    m_unsent.clear();
}

void HttpConnection::onBytesWritten()
{
    m_lastWriteProgress = now();
    if (m_socket->bytesToWrite() == 0)
        handleAllBytesWritten();
    countUnsentBytes();
    shutDownWriting();
    updateActivity();
    if (const auto exchange = m_exchange.lock())
        exchange->handleBytesWritten();
}

void HttpConnection::handleAllBytesWritten()
{
    m_unsentRequest.clear();
    if (std::exchange(m_unsentResponses, 0) == 0 || m_stage != Stage::Reading)
        return;
    if (!m_reader.isStarted()) {
        m_requestStart = now();
        updateDeadline();
    }
    readMoreLater();
}

void HttpConnection::onDisconnected()
{
    if (m_stage == Stage::Closed)
        return;
    m_stage = Stage::Closed;
    m_received.clear();
    m_unsent.clear();
    updateActivity();
    if (const auto exchange = m_exchange.lock())
        exchange->handleCallerDisconnected();
    if (m_closedHandler)
        m_closedHandler();
    deleteLater();
}

}

#include <LibHTTP/ConnectionExchange.h>

#include <LibHTTP/ErrorResponse.h>

#include <cassert>
#include <utility>

namespace Chicorydock {

namespace {

    /// Size from which a body is passed to the connection by itself, which saves a copy of it.
    constexpr qsizetype minSeparateBodyBytes = 64 * 1024;

    bool hasNoBody(int status) { return status == 204 || status == 304; }

}

ConnectionExchange::ConnectionExchange(
    HttpConnection& connection, HttpRequest request, bool isHttp10, MemoryBudget::Account& received)
    : m_connection(&connection)
    , m_request(std::move(request))
    , m_memory(received.budget())
    , m_connectionNumber(connection.number())
    , m_isHttp10(isHttp10)
{
    m_memory.takeFrom(received);
}

ConnectionExchange::~ConnectionExchange()
{
    m_callerDisconnectedHandler = nullptr;
    if (m_stage == Stage::Open)
        answer(errorResponse(Error(ErrorKind::Internal, "the request was dropped without an answer")));
    if (m_stage == Stage::Streaming)
        abortStream();
}

void ConnectionExchange::answer(const HttpResponse& response)
{
    assert(m_stage == Stage::Open);
    if (!m_connection) {
        end();
        return;
    }
    const bool closes = m_connection->closesAfterResponse();
    const BodyFraming framing = hasNoBody(response.status) ? BodyFraming::None : BodyFraming::ContentLength;
    QByteArray bytes = formatResponseHead(response.status, response.headers, framing, response.body.size(), closes);
    const bool sendsBody = framing != BodyFraming::None && m_request.method != "HEAD";
    if (sendsBody && response.body.size() < minSeparateBodyBytes)
        bytes += response.body;
    m_connection->send(bytes);
    if (sendsBody && response.body.size() >= minSeparateBodyBytes)
        m_connection->send(response.body);
    end();
    m_connection->endResponse(closes);
}

void ConnectionExchange::startStream(int status, const HttpHeaders& headers)
{
    assert(m_stage == Stage::Open);
    m_stage = Stage::Streaming;
    if (!m_connection)
        return;
    m_closesConnection = m_isHttp10 || m_connection->closesAfterResponse();
    m_sendsBody = !hasNoBody(status) && m_request.method != "HEAD";
    const BodyFraming framing = hasNoBody(status) ? BodyFraming::None
        : m_isHttp10                              ? BodyFraming::Close
                                                  : BodyFraming::Chunked;
    m_connection->send(formatResponseHead(status, headers, framing, 0, m_closesConnection));
}

void ConnectionExchange::sendChunk(QByteArrayView data)
{
    assert(m_stage == Stage::Streaming);
    // An empty chunk would end the body.
    if (!m_connection || !m_sendsBody || data.empty())
        return;
    if (m_isHttp10) {
        m_connection->send(data.toByteArray());
        return;
    }
    QByteArray chunk = QByteArray::number(data.size(), 16) + "\r\n";
    chunk.append(data);
    chunk.append("\r\n");
    m_connection->send(chunk);
}

void ConnectionExchange::finishStream()
{
    assert(m_stage == Stage::Streaming);
    const QPointer<HttpConnection> connection = m_connection;
    if (connection && m_sendsBody && !m_isHttp10)
        connection->send("0\r\n\r\n");
    end();
    if (connection)
        connection->endResponse(m_closesConnection);
}

void ConnectionExchange::abortStream()
{
    const QPointer<HttpConnection> connection = m_connection;
    end();
    if (connection)
        connection->abort();
}

bool ConnectionExchange::isCallerDisconnected() const { return !m_connection || !m_connection->isOpen(); }

qint64 ConnectionExchange::bytesToWrite() const { return m_connection ? m_connection->bytesToWrite() : 0; }

void ConnectionExchange::setCallerDisconnectedHandler(std::function<void()> handler)
{
    m_callerDisconnectedHandler = std::move(handler);
}

void ConnectionExchange::setBytesWrittenHandler(std::function<void()> handler)
{
    m_bytesWrittenHandler = std::move(handler);
}

void ConnectionExchange::handleBytesWritten() const
{
    if (m_bytesWrittenHandler)
        m_bytesWrittenHandler();
}

void ConnectionExchange::handleCallerDisconnected()
{
    m_connection = nullptr;
    if (m_stage == Stage::Ended)
        return;
    const std::function<void()> handler = std::exchange(m_callerDisconnectedHandler, nullptr);
    if (handler)
        handler();
}

void ConnectionExchange::end()
{
    m_stage = Stage::Ended;
    m_callerDisconnectedHandler = nullptr;
    m_bytesWrittenHandler = nullptr;
}

}

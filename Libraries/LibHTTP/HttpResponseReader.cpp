#include <LibHTTP/HttpResponseReader.h>

#include <LibHTTP/HttpGrammar.h>

#include <algorithm>
#include <utility>

namespace Chicorydock {

namespace {

    /// Limit on a head, on the line of a chunk, and on a trailer section.
    constexpr qsizetype maxSectionBytes = 80 * 1024;

    /// How a status line begins, up to the minor version.
    constexpr QByteArrayView protocolStart("HTTP/1.");

    /// Sizes of `HTTP/1.1` and of `HTTP/1.1 200`.
    constexpr qsizetype protocolSize = 8;
    constexpr qsizetype statusEnd = 12;

    /// RFC 9110, section 15: there are no others.
    constexpr int minStatus = 100;
    constexpr int maxStatus = 599;

    constexpr int switchingProtocols = 101;

    constexpr QByteArrayView lineEnd("\r\n");

    constexpr std::string_view otherProtocol = "the response is not one of HTTP/1";
    constexpr std::string_view overlongChunk = "a chunk is longer than its size";

    bool isInterim(int status) { return status / 100 == 1; }

    /// Returns whether the bytes can be the beginning of a status line.
    bool canBeStatusLine(QByteArrayView start)
    {
        const qsizetype size = std::min(start.size(), protocolStart.size());
        return start.first(size) == protocolStart.first(size);
    }

    /// Returns whether the status line names a version of HTTP/1. A higher minor version than 1 is read like 1 (RFC
    /// 9110, section 2.5).
    bool isHttp1(QByteArrayView line)
    {
        const bool hasVersion
            = line.size() >= protocolSize && canBeStatusLine(line) && HttpGrammar::isDigit(line[protocolSize - 1]);
        return hasVersion && (line.size() == protocolSize || line[protocolSize] == ' ');
    }

    /// Returns the status in the status line; nothing if there is no valid one. The space behind it may be missing if
    /// there is no reason phrase (RFC 9112, section 4).
    std::optional<int> parseStatus(QByteArrayView line)
    {
        if (line.size() < statusEnd || (line.size() > statusEnd && line[statusEnd] != ' '))
            return {};
        const QByteArrayView digits = line.first(statusEnd).sliced(protocolSize + 1);
        if (!std::ranges::all_of(digits, HttpGrammar::isDigit))
            return {};
        const int status = digits.toInt();
        if (status < minStatus || status > maxStatus)
            return {};
        return status;
    }

}

HttpResponseReader::HttpResponseReader(HttpResponseListener& listener)
    : m_listener(listener)
{
}

void HttpResponseReader::reset(const QByteArray& method)
{
    m_isResponseToHead = method == "HEAD";
    m_keepsConnection = false;
    m_problem = {};
    beginHead();
}

void HttpResponseReader::beginHead()
{
    m_stage = Stage::StatusLine;
    m_line.clear();
    m_sectionBytes = 0;
    m_headers = {};
    m_framing = {};
}

bool HttpResponseReader::consume(QByteArrayView& input)
{
    while (!input.empty() && !isComplete() && m_problem.empty()) {
        if (isInBody())
            readBody(input);
        else
            readLine(input);
    }
    return m_problem.empty();
}

void HttpResponseReader::finishInput()
{
    if (m_stage == Stage::BodyUntilClose)
        finish();
}

bool HttpResponseReader::isInBody() const
{
    return m_stage == Stage::FixedBody || m_stage == Stage::BodyUntilClose || m_stage == Stage::ChunkData;
}

void HttpResponseReader::readBody(QByteArrayView& input)
{
    if (m_stage == Stage::BodyUntilClose) {
        m_listener.onResponseBody(std::exchange(input, {}));
        return;
    }
    const auto size = static_cast<qsizetype>(std::min<qint64>(input.size(), m_remaining));
    m_listener.onResponseBody(input.first(size));
    input = input.sliced(size);
    m_remaining -= size;
    if (m_remaining > 0)
        return;
    if (m_stage == Stage::FixedBody)
        finish();
    else
        m_stage = Stage::ChunkEnd;
}

void HttpResponseReader::readLine(QByteArrayView& input)
{
    const qsizetype end = input.indexOf('\n');
    const QByteArrayView part = input.first(end < 0 ? input.size() : end + 1);
    input = input.sliced(part.size());
    m_sectionBytes += part.size();
    if (m_sectionBytes > maxSectionBytes) {
        refuse("the head, the line of a chunk or the trailer is too long");
        return;
    }
    if (m_line.isEmpty() && end >= 0) {
        handleLine(part);
        return;
    }
    m_line.append(part);
    if (end >= 0)
        handleLine(std::exchange(m_line, {}));
    else
        checkUnfinishedLine();
}

void HttpResponseReader::checkUnfinishedLine()
{
    if (m_stage == Stage::StatusLine && !canBeStatusLine(m_line))
        refuse(otherProtocol);
    else if (m_stage == Stage::ChunkEnd && !lineEnd.startsWith(m_line))
        refuse(overlongChunk);
}

void HttpResponseReader::handleLine(QByteArrayView bytes)
{
    const auto line = HttpGrammar::withoutLineEnd(bytes);
    if (!line) {
        refuse("a line does not end with CR LF, or contains a control character");
        return;
    }
    switch (m_stage) {
    case Stage::StatusLine:
        handleStatusLine(*line);
        return;
    case Stage::Fields:
        line->isEmpty() ? handleEndOfHead() : handleField(*line);
        return;
    case Stage::ChunkSize:
        handleChunkSize(*line);
        return;
    case Stage::ChunkEnd:
        if (!line->isEmpty())
            refuse(overlongChunk);
        m_sectionBytes = 0;
        m_stage = Stage::ChunkSize;
        return;
    case Stage::Trailer:
        line->isEmpty() ? finish() : handleTrailer(*line);
        return;
    case Stage::FixedBody:
    case Stage::BodyUntilClose:
    case Stage::ChunkData:
    case Stage::Complete:
        break;
    }
    Q_UNREACHABLE();
}

void HttpResponseReader::handleStatusLine(QByteArrayView line)
{
    if (!isHttp1(line)) {
        refuse(otherProtocol);
        return;
    }
    const auto status = parseStatus(line);
    if (!status) {
        refuse("the response has no valid status");
        return;
    }
    // The server offers another protocol only if the request names one, and none does (RFC 9110, section 7.8).
    if (status == switchingProtocols) {
        refuse("the server switches to a protocol that was not asked for");
        return;
    }
    m_status = *status;
    m_isHttp10 = line[protocolSize - 1] == '0';
    m_stage = Stage::Fields;
}

void HttpResponseReader::handleField(QByteArrayView line)
{
    const auto field = HttpGrammar::parseField(line);
    if (!field) {
        refuse("a field has no valid name");
        return;
    }
    const auto& [name, value] = *field;
    if (HttpGrammar::equalsIgnoringCase(name, "Content-Length")) {
        handleContentLength(value);
    } else if (HttpGrammar::equalsIgnoringCase(name, "Transfer-Encoding")) {
        handleTransferEncoding(value);
    } else if (HttpGrammar::equalsIgnoringCase(name, "Connection")) {
        m_framing.closes |= HttpGrammar::listContains(value, "close");
        m_framing.keepsAlive |= HttpGrammar::listContains(value, "keep-alive");
    }
    m_headers.add(name.toByteArray(), value.toByteArray());
}

void HttpResponseReader::handleContentLength(QByteArrayView value)
{
    const auto length = HttpGrammar::parseContentLength(value);
    if (!length || length == HttpGrammar::unsupportedLength)
        refuse("Content-Length is not a supported number");
    else if (m_framing.contentLength)
        refuse("Content-Length is repeated");
    m_framing.contentLength = length;
}

void HttpResponseReader::handleTransferEncoding(QByteArrayView value)
{
    if (!HttpGrammar::isChunkedCoding(value) || m_framing.isChunked)
        refuse("the transfer coding is not chunked alone");
    else if (m_isHttp10)
        refuse("a response of HTTP/1.0 has a transfer coding");
    m_framing.isChunked = true;
}

void HttpResponseReader::handleEndOfHead()
{
    if (m_framing.isChunked && m_framing.contentLength) {
        refuse("Content-Length and Transfer-Encoding contradict each other");
        return;
    }
    if (isInterim(m_status)) {
        beginHead();
        return;
    }
    m_listener.onResponseHeaders(m_status, m_headers);
    m_sectionBytes = 0;
    beginBody();
}

void HttpResponseReader::beginBody()
{
    m_remaining = m_framing.contentLength.value_or(0);
    if (hasNoBody() || m_framing.contentLength == 0)
        finish();
    else if (m_framing.isChunked)
        m_stage = Stage::ChunkSize;
    else
        m_stage = m_framing.contentLength ? Stage::FixedBody : Stage::BodyUntilClose;
}

bool HttpResponseReader::hasNoBody() const { return m_isResponseToHead || m_status == 204 || m_status == 304; }

void HttpResponseReader::handleChunkSize(QByteArrayView line)
{
    const auto size = HttpGrammar::parseChunkSize(line);
    if (!size || size == HttpGrammar::unsupportedLength) {
        refuse("a chunk does not begin with a supported size and, at most, extensions");
        return;
    }
    m_remaining = *size;
    m_sectionBytes = 0;
    m_stage = m_remaining > 0 ? Stage::ChunkData : Stage::Trailer;
}

// Trailers are not passed on, which RFC 9110, section 6.5.1, permits.
void HttpResponseReader::handleTrailer(QByteArrayView line)
{
    const auto field = HttpGrammar::parseField(line);
    if (!field)
        refuse("a trailer has no valid name");
    else if (HttpGrammar::equalsIgnoringCase(field->name, "Content-Length")
        || HttpGrammar::equalsIgnoringCase(field->name, "Transfer-Encoding"))
        refuse("a trailer describes the framing");
}

void HttpResponseReader::finish()
{
    const bool endsWithConnection = m_stage == Stage::BodyUntilClose;
    const bool isKept = !m_isHttp10 || m_framing.keepsAlive;
    m_keepsConnection = isKept && !m_framing.closes && !endsWithConnection;
    m_stage = Stage::Complete;
}

}

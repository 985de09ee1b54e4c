#include <LibHTTP/HttpRequestReader.h>

#include <LibCore/Error.h>
#include <LibHTTP/HttpGrammar.h>

#include <QByteArrayList>

#include <algorithm>
#include <utility>

namespace Chicorydock {

namespace {

    QByteArray toPath(const QByteArray& target)
    {
        return QByteArray::fromPercentEncoding(target.first(std::ranges::find(target, '?') - target.begin()));
    }

    QByteArray toQuery(const QByteArray& target)
    {
        const qsizetype mark = target.indexOf('?');
        return mark < 0 ? QByteArray() : target.sliced(mark + 1);
    }

    constexpr qsizetype maxChunkLineBytes = 256;

    [[noreturn]] void throwMalformed(const char* message) { throw Error(ErrorKind::MalformedRequest, message); }

    [[noreturn]] void throwTooLarge() { throw Error(ErrorKind::BodyTooLarge, "the body of the request is too large"); }

    bool isGraphic(char c) { return c > 0x20 && c < 0x7f; }

    /// Returns the path and query of a target in origin form or in absolute form.
    QByteArray toOriginForm(const QByteArray& target)
    {
        if (target.startsWith('/'))
            return target;
        const QByteArrayView scheme("http://");
        if (!HttpGrammar::equalsIgnoringCase(
                QByteArrayView(target).first(std::min(target.size(), scheme.size())), scheme))
            throwMalformed("the request target is not a path");
        const qsizetype slash = target.indexOf('/', scheme.size());
        return slash < 0 ? QByteArray("/") : target.sliced(slash);
    }

}

HttpRequest toRequest(FramedRequest&& request)
{
    return { .method = std::move(request.method),
        .path = toPath(request.target),
        .query = toQuery(request.target),
        .headers = std::move(request.headers),
        .body = std::move(request.body),
        .target = std::move(request.target) };
}

HttpRequest readWholeRequest(QByteArrayView message, const HttpServerLimits& limits)
{
    HttpRequestReader reader(limits);
    if (!reader.consume(message))
        throw Error(ErrorKind::MalformedRequest, "the request is not complete");
    if (!message.isEmpty())
        throw Error(ErrorKind::MalformedRequest, "bytes follow the request");
    return toRequest(reader.take());
}

HttpRequestReader::HttpRequestReader(const HttpServerLimits& limits)
    : m_limits(limits)
{
}

bool HttpRequestReader::consume(QByteArrayView& input)
{
    while (m_stage != Stage::Complete) {
        if (m_stage == Stage::FixedBody || m_stage == Stage::ChunkData) {
            if (!readBody(input))
                return false;
            continue;
        }
        const std::optional<QByteArray> line = readLine(input);
        if (!line)
            return false;
        handleLine(*line);
    }
    return true;
}

FramedRequest HttpRequestReader::take()
{
    FramedRequest request = std::move(m_request);
    *this = HttpRequestReader(m_limits);
    return request;
}

bool HttpRequestReader::shouldSendContinue()
{
    const bool isWaiting = m_stage == Stage::FixedBody || m_stage == Stage::ChunkSize;
    return isWaiting && std::exchange(m_expectsContinue, false);
}

std::optional<QByteArray> HttpRequestReader::readLine(QByteArrayView& input)
{
    const qsizetype end = input.indexOf('\n');
    const qsizetype size = end < 0 ? input.size() : end + 1;
    if (m_stage == Stage::ChunkSize || m_stage == Stage::ChunkEnd) {
        // Only the line is limited here: the number of chunks is limited by the size of the body.
        if (m_line.size() + size > maxChunkLineBytes)
            throwMalformed("the size line of a chunk is too long");
    } else {
        m_headBytes += size;
        if (m_headBytes > m_limits.maxHeaderBytes)
            throw Error(ErrorKind::HeaderTooLarge, "the header of the request is too large");
    }
    m_line.append(input.first(size));
    input = input.sliced(size);
    if (end < 0)
        return {};
    const auto line = HttpGrammar::withoutLineEnd(m_line);
    if (!line)
        throwMalformed("a line of the request does not end with CR LF, or contains a control character");
    m_line.truncate(line->size());
    return std::exchange(m_line, {});
}

bool HttpRequestReader::readBody(QByteArrayView& input)
{
    const qsizetype size = static_cast<qsizetype>(std::min<qint64>(input.size(), m_remaining));
    m_request.body.append(input.first(size));
    input = input.sliced(size);
    m_remaining -= size;
    if (m_remaining > 0)
        return false;
    m_stage = m_stage == Stage::FixedBody ? Stage::Complete : Stage::ChunkEnd;
    return true;
}

void HttpRequestReader::handleLine(const QByteArray& line)
{
    switch (m_stage) {
    case Stage::RequestLine:
        // RFC 9112, section 2.2: empty lines before the request line are ignored.
        if (!line.isEmpty())
            handleRequestLine(line);
        return;
    case Stage::Fields:
        line.isEmpty() ? handleEndOfFields() : handleField(line);
        return;
    case Stage::ChunkSize:
        handleChunkSize(line);
        return;
    case Stage::ChunkEnd:
        if (!line.isEmpty())
            throwMalformed("a chunk is longer than its announced size");
        m_stage = Stage::ChunkSize;
        return;
    case Stage::Trailer:
        if (line.isEmpty())
            m_stage = Stage::Complete;
        return;
    case Stage::FixedBody:
    case Stage::ChunkData:
    case Stage::Complete:
        break;
    }
    Q_UNREACHABLE();
}

void HttpRequestReader::handleRequestLine(const QByteArray& line)
{
    const QByteArrayList words = line.split(' ');
    if (words.size() != 3 || !HttpGrammar::isToken(words[0]) || words[1].isEmpty()
        || !std::ranges::all_of(words[1], isGraphic))
        throwMalformed("the request line is malformed");
    if (words[2] != "HTTP/1.1" && words[2] != "HTTP/1.0")
        throwMalformed("the protocol version is not supported");
    m_request.method = words[0];
    m_request.target = toOriginForm(words[1]);
    m_request.isHttp10 = words[2] == "HTTP/1.0";
    m_request.keepAlive = !m_request.isHttp10;
    m_request.head = m_request.method + ' ' + m_request.target + " HTTP/1.1\r\n";
    m_stage = Stage::Fields;
}

void HttpRequestReader::handleField(const QByteArray& line)
{
    ++m_fields;
    const auto field = HttpGrammar::parseField(line);
    if (!field)
        throwMalformed("a header field is malformed");
    const auto& [name, value] = *field;
    if (HttpGrammar::equalsIgnoringCase(name, "Content-Length")) {
        handleContentLength(value);
        return;
    }
    if (HttpGrammar::equalsIgnoringCase(name, "Transfer-Encoding")) {
        // Any other coding would leave the length of the body unknown.
        if (m_isChunked || m_request.isHttp10 || !HttpGrammar::isChunkedCoding(value))
            throwMalformed("the transfer encoding is not supported");
        m_isChunked = true;
        return;
    }
    if (HttpGrammar::equalsIgnoringCase(name, "Upgrade"))
        return;
    if (HttpGrammar::equalsIgnoringCase(name, "Host") && std::exchange(m_hasHost, true))
        throwMalformed("the Host field is repeated");
    if (HttpGrammar::equalsIgnoringCase(name, "Connection") && HttpGrammar::listContains(value, "close"))
        m_request.keepAlive = false;
    if (HttpGrammar::equalsIgnoringCase(name, "Expect") && HttpGrammar::equalsIgnoringCase(value, "100-continue"))
        m_expectsContinue = !m_request.isHttp10;
    m_request.headers.add(name.toByteArray(), value.toByteArray());
}

void HttpRequestReader::handleContentLength(QByteArrayView value)
{
    if (m_contentLength)
        throwMalformed("Content-Length is repeated");
    m_contentLength = HttpGrammar::parseContentLength(value);
    if (!m_contentLength)
        throwMalformed("Content-Length is not a number");
    if (m_contentLength == HttpGrammar::unsupportedLength)
        throwTooLarge();
}

void HttpRequestReader::handleEndOfFields()
{
    if (m_isChunked && m_contentLength)
        throwMalformed("Content-Length and Transfer-Encoding contradict each other");
    m_request.head += "Content-Length: 0\r\n\r\n";
    if (m_isChunked) {
        m_stage = Stage::ChunkSize;
        return;
    }
    m_remaining = m_contentLength.value_or(0);
    checkBodySize(m_remaining);
    m_stage = m_remaining > 0 ? Stage::FixedBody : Stage::Complete;
}

void HttpRequestReader::handleChunkSize(const QByteArray& line)
{
    const auto size = HttpGrammar::parseChunkSize(line);
    if (!size)
        throwMalformed("the size of a chunk is not a number");
    if (size == HttpGrammar::unsupportedLength)
        throwTooLarge();
    m_remaining = *size;
    checkBodySize(m_request.body.size() + m_remaining);
    m_stage = m_remaining > 0 ? Stage::ChunkData : Stage::Trailer;
}

void HttpRequestReader::checkBodySize(qint64 size) const
{
    if (size > m_limits.maxBodyBytes)
        throwTooLarge();
}

}

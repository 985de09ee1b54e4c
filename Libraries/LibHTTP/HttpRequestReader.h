#pragma once

#include <LibHTTP/HttpMessage.h>
#include <LibHTTP/HttpServerLimits.h>

#include <QByteArray>
#include <QByteArrayView>

#include <optional>

namespace Chicorydock {

/// A request whose framing was checked.
struct FramedRequest {
    QByteArray method;
    /// Path with query, percent-encoded.
    QByteArray target;
    /// Request line for the parser of Qt, with `Content-Length: 0` as its only field, because the body is passed
    /// separately.
    QByteArray head;
    /// The fields, but for those that describe the framing, and `Upgrade`, because no other protocol is offered. They
    /// are not passed to the parser of Qt, which drops all fields of a request that has more than 100.
    HttpHeaders headers;
    QByteArray body;
    bool isHttp10 { false };
    /// Whether the caller wants to send more requests on the connection.
    bool keepAlive { true };
};

/// May be called from any thread.
HttpRequest toRequest(FramedRequest&&);

/// Reads a message that is one whole request. Throws Error(MalformedRequest) if it is anything else, and as
/// `HttpRequestReader::consume()` does. May be called from any thread.
HttpRequest readWholeRequest(QByteArrayView message, const HttpServerLimits&);

/// Splits the bytes of a connection into requests and checks their framing and size, because the parser of
/// QHttpServer has no limits and accepts contradictory lengths.
///
/// Thread safety: none.
class HttpRequestReader {
public:
    explicit HttpRequestReader(const HttpServerLimits&);

    /// Consumes bytes from the front of `input`, up to the end of the current request. Returns whether that request is
    /// complete. Throws `Error` for bad input; the connection cannot be used for requests after that.
    bool consume(QByteArrayView& input);

    /// Returns the complete request and resets the reader for the next one. Precondition: `consume()` returned true.
    FramedRequest take();

    /// Returns whether a part of a request has arrived.
    bool isStarted() const { return m_headBytes > 0; }

    qint64 bodyBytes() const { return m_request.body.size(); }

    /// Returns the size of the buffers for the current request, and of its fields once they have been parsed.
    qint64 heldBytes() const { return m_headBytes + m_fields * bytesPerField + m_request.body.capacity(); }

    /// Returns, once per request, whether the caller waits for `100 Continue` before it sends the body.
    bool shouldSendContinue();

private:
    enum class Stage {
        RequestLine,
        Fields,
        FixedBody,
        ChunkSize,
        ChunkData,
        ChunkEnd,
        Trailer,
        Complete,
    };

    /// Memory of a parsed field besides its text: its name and value are byte arrays of their own.
    static constexpr qint64 bytesPerField = 256;

    std::optional<QByteArray> readLine(QByteArrayView& input);
    bool readBody(QByteArrayView& input);
    void handleLine(const QByteArray& line);
    void handleRequestLine(const QByteArray& line);
    void handleField(const QByteArray& line);
    void handleContentLength(QByteArrayView value);
    void handleEndOfFields();
    void handleChunkSize(const QByteArray& line);
    void checkBodySize(qint64 size) const;

    HttpServerLimits m_limits;
    Stage m_stage { Stage::RequestLine };
    FramedRequest m_request;
    QByteArray m_line;
    qint64 m_headBytes { 0 };
    qint64 m_fields { 0 };
    std::optional<qint64> m_contentLength;
    /// Remaining bytes of the body or of the current chunk.
    qint64 m_remaining { 0 };
    bool m_isChunked { false };
    bool m_hasHost { false };
    bool m_expectsContinue { false };
};

}

#pragma once

#include <LibHTTP/HttpMessage.h>

#include <QByteArrayView>

#include <optional>
#include <string_view>

namespace Chicorydock {

/// Receives the parts of a response from an `HttpResponseReader`.
class HttpResponseListener {
public:
    virtual ~HttpResponseListener() = default;

    /// The head is complete and valid.
    virtual void onResponseHeaders(int status, const HttpHeaders&) = 0;
    virtual void onResponseBody(QByteArrayView) = 0;
};

/// Splits the bytes of a connection into responses of HTTP/1 and checks their framing. It stops at the end of each
/// response, so that bytes after it are detected. Interim responses (1xx) are checked and skipped.
///
/// A response is refused if its grammar or the end of its body leaves a doubt (RFC 9112, sections 2 to 7): the caller
/// must then treat it like one that was cut off.
///
/// Thread safety: none. A method of the listener must not destroy the reader.
class HttpResponseReader {
public:
    explicit HttpResponseReader(HttpResponseListener&);

    HttpResponseReader(const HttpResponseReader&) = delete;
    HttpResponseReader& operator=(const HttpResponseReader&) = delete;

    /// Resets the reader for the next response. `method` is the one of its request, because a response to `HEAD` has no
    /// body, whatever length it states.
    void reset(const QByteArray& method = "GET");

    /// Consumes bytes from the front of `input`, up to the end of the current response at most. Returns false if the
    /// response is refused; the connection cannot be used after that.
    bool consume(QByteArrayView& input);

    /// Handles the orderly end of the connection, which completes a response without a length.
    void finishInput();

    /// Returns whether the response is complete.
    bool isComplete() const { return m_stage == Stage::Complete; }

    /// Returns whether the peer keeps the connection open after the response. Precondition: `isComplete()`.
    bool keepsConnection() const { return m_keepsConnection; }

    /// Returns why the response was refused, in words that contain no bytes of it; empty if it was not refused.
    std::string_view problem() const { return m_problem; }

private:
    enum class Stage : uint8_t {
        StatusLine,
        Fields,
        FixedBody,
        BodyUntilClose,
        ChunkSize,
        ChunkData,
        ChunkEnd,
        Trailer,
        Complete,
    };

    /// What the fields of a head say about the body and the connection.
    struct Framing {
        std::optional<qint64> contentLength;
        bool isChunked { false };
        bool closes { false };
        bool keepsAlive { false };
    };

    void beginHead();
    bool isInBody() const;
    void readBody(QByteArrayView& input);
    void readLine(QByteArrayView& input);
    /// Refuses a line that cannot become a valid one, so that nobody waits for its end.
    void checkUnfinishedLine();
    void handleLine(QByteArrayView line);
    void handleStatusLine(QByteArrayView line);
    void handleField(QByteArrayView line);
    void handleContentLength(QByteArrayView value);
    void handleTransferEncoding(QByteArrayView value);
    void handleEndOfHead();
    void handleChunkSize(QByteArrayView line);
    void handleTrailer(QByteArrayView line);
    void beginBody();
    void finish();
    /// Returns whether the response ends with its head, even if it states the length that a body would have.
    bool hasNoBody() const;
    void refuse(std::string_view problem) { m_problem = problem; }

    HttpResponseListener& m_listener;
    Stage m_stage { Stage::StatusLine };
    /// Part of a line whose end has not arrived.
    QByteArray m_line;
    /// Bytes of the current head, line of a chunk, or trailer section.
    qsizetype m_sectionBytes { 0 };
    int m_status { 0 };
    bool m_isHttp10 { false };
    HttpHeaders m_headers;
    Framing m_framing;
    /// Remaining bytes of the body or of the current chunk.
    qint64 m_remaining { 0 };
    bool m_isResponseToHead { false };
    bool m_keepsConnection { false };
    std::string_view m_problem;
};

}

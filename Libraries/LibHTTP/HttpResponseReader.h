#pragma once

#include <LibHTTP/HttpMessage.h>

#include <http_parser.h>

namespace Chicorydock {

/// Receives the parts of a response from an `HttpResponseReader`.
class HttpResponseListener {
public:
    virtual ~HttpResponseListener() = default;

    virtual void onResponseHeaders(int status, const HttpHeaders&) = 0;
    virtual void onResponseBody(QByteArrayView) = 0;
};

/// Splits the bytes of a connection into responses. It stops at the end of each response, so that bytes after it are
/// detected. Interim responses (1xx) are skipped.
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

    /// Consumes bytes from the front of `input`, up to the end of the current response at most. Returns false if they
    /// are not HTTP.
    bool consume(QByteArrayView& input);

    /// Handles the orderly end of the connection, which completes a response without a length.
    void finishInput();

    /// Returns whether the response is complete.
    bool isComplete() const { return m_isComplete; }

    /// Returns whether the peer keeps the connection open after the response. Precondition: `isComplete()`.
    bool keepsConnection() const { return m_keepsConnection; }

private:
    static int handleBegin(http_parser*);
    static int handleField(http_parser*, const char*, size_t);
    static int handleValue(http_parser*, const char*, size_t);
    static int handleHeadersEnd(http_parser*);
    static int handleBody(http_parser*, const char*, size_t);
    static int handleMessageEnd(http_parser*);
    static const http_parser_settings& callbacks();

    void addField();
    bool isInterim() const { return m_parser.status_code / 100 == 1; }
    /// Returns whether the response ends with its head, even if it states the length that a body would have.
    bool hasNoBody() const;

    HttpResponseListener& m_listener;
    http_parser m_parser {};
    HttpHeaders m_headers;
    QByteArray m_fieldName;
    QByteArray m_fieldValue;
    bool m_isInValue { false };
    bool m_isResponseToHead { false };
    bool m_isComplete { false };
    bool m_keepsConnection { false };
};

}

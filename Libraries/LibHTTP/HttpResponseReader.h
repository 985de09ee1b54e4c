#pragma once

#include <LibHTTP/HttpMessage.h>

#include <http_parser.h>

namespace Chicorydock {

/// Receives the parts of an answer from an `HttpResponseReader`.
class HttpResponseListener {
public:
    virtual ~HttpResponseListener() = default;

    virtual void onResponseHeaders(int status, const HttpHeaders&) = 0;
    virtual void onResponseBody(QByteArrayView) = 0;
};

/// Splits the bytes of a connection into answers. It stops at the end of each answer, so that bytes behind it are seen.
/// Interim answers (1xx) are passed over.
///
/// Thread safety: none. A method of the listener must not destroy the reader.
class HttpResponseReader {
public:
    explicit HttpResponseReader(HttpResponseListener&);

    HttpResponseReader(const HttpResponseReader&) = delete;
    HttpResponseReader& operator=(const HttpResponseReader&) = delete;

    /// Starts with the next answer.
    void reset();

    /// Takes bytes from the front of `input`, up to the end of the current answer at most. Returns false if they are
    /// not HTTP.
    bool consume(QByteArrayView& input);

    /// The connection ended in order. An answer without a length is whole now.
    void finishInput();

    /// Returns whether the answer is whole.
    bool isComplete() const { return m_isComplete; }

    /// Returns whether the peer keeps the connection open after the answer. Precondition: `isComplete()`.
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

    HttpResponseListener& m_listener;
    http_parser m_parser {};
    HttpHeaders m_headers;
    QByteArray m_fieldName;
    QByteArray m_fieldValue;
    bool m_isInValue { false };
    bool m_isComplete { false };
    bool m_keepsConnection { false };
};

}

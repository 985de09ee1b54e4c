#pragma once

#include <LibHTTP/HttpMessage.h>

namespace Chicorydock {

/// How the caller finds the end of the body of an answer.
enum class BodyFraming : uint8_t {
    /// The answer has no body and no length, as status 204 and 304 require.
    None,
    ContentLength,
    Chunked,
    /// The end of the connection ends the body; for callers that speak HTTP/1.0.
    Close,
};

/// Returns status line and header fields. The fields that describe the framing and the connection are set here; such
/// fields in `headers` are left out, and so are fields with characters that would end the field early.
QByteArray formatAnswerHead(
    int status, const HttpHeaders& headers, BodyFraming framing, qint64 contentLength, bool closeConnection);

}

#pragma once

#include <LibHTTP/HttpMessage.h>

namespace Chicorydock {

/// How the caller finds the end of the body of a response.
enum class BodyFraming : uint8_t {
    /// The response has no body and no length, as status 204 and 304 require.
    None,
    ContentLength,
    Chunked,
    /// The end of the connection ends the body; for HTTP/1.0 callers.
    Close,
};

/// Returns the status line and the header fields. The fields that describe the framing and the connection are set here;
/// such fields in `headers` are omitted, and so are fields with characters that would end the field early.
QByteArray formatResponseHead(
    int status, const HttpHeaders& headers, BodyFraming framing, qint64 contentLength, bool closeConnection);

}

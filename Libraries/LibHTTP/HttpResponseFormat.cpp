#include <LibHTTP/HttpResponseFormat.h>

#include <algorithm>
#include <array>

namespace Chicorydock {

namespace {

    constexpr std::array<QByteArrayView, 6> reservedFields {
        "Connection",
        "Content-Length",
        "Keep-Alive",
        "Transfer-Encoding",
        "Trailer",
        "Upgrade",
    };

    QByteArray reasonPhrase(int status)
    {
        switch (status) {
        case 200:
            return "OK";
        case 201:
            return "Created";
        case 202:
            return "Accepted";
        case 204:
            return "No Content";
        case 304:
            return "Not Modified";
        case 400:
            return "Bad Request";
        case 401:
            return "Unauthorized";
        case 403:
            return "Forbidden";
        case 404:
            return "Not Found";
        case 405:
            return "Method Not Allowed";
        case 408:
            return "Request Timeout";
        case 409:
            return "Conflict";
        case 413:
            return "Content Too Large";
        case 422:
            return "Unprocessable Content";
        case 429:
            return "Too Many Requests";
        case 431:
            return "Request Header Fields Too Large";
        case 499:
            return "Client Closed Request";
        case 500:
            return "Internal Server Error";
        case 502:
            return "Bad Gateway";
        case 503:
            return "Service Unavailable";
        case 504:
            return "Gateway Timeout";
        default:
            return "Status";
        }
    }

    bool isReservedField(QByteArrayView name)
    {
        return std::ranges::any_of(
            reservedFields, [&](QByteArrayView it) { return it.compare(name, Qt::CaseInsensitive) == 0; });
    }

    bool endsFieldEarly(char c) { return c == '\r' || c == '\n' || c == '\0'; }

    bool isSafe(const QByteArray& text) { return std::ranges::none_of(text, endsFieldEarly); }

}

QByteArray formatResponseHead(
    int status, const HttpHeaders& headers, BodyFraming framing, qint64 contentLength, bool closeConnection)
{
    QByteArray head = "HTTP/1.1 " + QByteArray::number(status) + ' ' + reasonPhrase(status) + "\r\n";
    for (const auto& [name, value] : headers.fields()) {
        if (!isReservedField(name) && isSafe(name) && isSafe(value))
            head += name + ": " + value + "\r\n";
    }
    if (framing == BodyFraming::ContentLength)
        head += "Content-Length: " + QByteArray::number(contentLength) + "\r\n";
    if (framing == BodyFraming::Chunked)
        head += "Transfer-Encoding: chunked\r\n";
    if (closeConnection)
        head += "Connection: close\r\n";
    return head + "\r\n";
}

}

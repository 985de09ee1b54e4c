#include <LibHTTP/HttpRequestReader.h>

#include <LibCore/Error.h>

#include <catch2/catch.hpp>

#include <optional>
#include <string>

using namespace Chicorydock;

namespace {

HttpServerLimits smallLimits()
{
    HttpServerLimits limits;
    limits.maxBodyBytes = 100;
    limits.maxHeaderBytes = 400;
    return limits;
}

struct Result {
    std::optional<FramedRequest> request;
    std::optional<ErrorKind> error;
    qsizetype left { 0 };
};

/// Reads one request that arrives in pieces of `size` bytes.
Result read(const QByteArray& bytes, qsizetype size)
{
    HttpRequestReader reader(smallLimits());
    Result result;
    QByteArray buffer;
    try {
        for (qsizetype n = 0; n < bytes.size(); n += size) {
            buffer += bytes.mid(n, size);
            QByteArrayView input(buffer);
            const bool isComplete = reader.consume(input);
            buffer = input.toByteArray();
            if (isComplete) {
                result.request = reader.take();
                result.left = bytes.mid(n + size).size() + buffer.size();
                return result;
            }
        }
    } catch (const Error& error) {
        result.error = error.kind();
    }
    return result;
}

const std::string start = "POST / HTTP/1.1\r\n";

}

// Guards against requests that are split at the wrong byte when they arrive in pieces.
TEST_CASE("a request is read alike wherever its bytes are cut")
{
    const std::string head = "\r\nPOST /a?b HTTP/1.1\r\nHost: h\r\nUpgrade: x\r\nX-Y:  z \r\n";
    const std::string fixedBody = head + "Content-Length: 005\r\n\r\nhello";
    const std::string chunkedBody
        = head + "Transfer-Encoding: Chunked\r\n\r\n2;x=y\r\nhe\r\n003\r\nllo\r\n0\r\nT: 1\r\n\r\n";
    for (const std::string& it : { fixedBody, chunkedBody }) {
        const QByteArray bytes = QByteArray::fromStdString(it + "GET /next HTTP/1.1\r\n");
        for (qsizetype size = 1; size <= bytes.size(); ++size) {
            CAPTURE(it, size);
            const Result result = read(bytes, size);
            REQUIRE(result.request);
            CHECK(result.request->method == "POST");
            CHECK(result.request->target == "/a?b");
            CHECK(result.request->body == "hello");
            CHECK(result.request->head == "POST /a?b HTTP/1.1\r\nContent-Length: 0\r\n\r\n");
            CHECK(result.request->headers == HttpHeaders { { "Host", "h" }, { "X-Y", "z" } });
            CHECK(result.left == 20);
        }
    }
}

// Guards against request smuggling, in which the server and a proxy see the end of a request at different bytes, and
// against requests that take more memory than the limits permit.
TEST_CASE("bad requests are refused with their kind of error")
{
    using Kind = ErrorKind;
    const std::string chunked = start + "Transfer-Encoding: chunked\r\n";
    const auto [bytes, kind] = GENERATE_COPY(table<std::string, ErrorKind>({
        { "GET /\r\n", Kind::MalformedRequest },
        { "GET  / HTTP/1.1\r\n", Kind::MalformedRequest },
        { "GET / HTTP/2.0\r\n", Kind::MalformedRequest },
        { "GET / http/1.1\r\n", Kind::MalformedRequest },
        { "G(T / HTTP/1.1\r\n", Kind::MalformedRequest },
        { "GET a HTTP/1.1\r\n", Kind::MalformedRequest },
        { "GET /\x80 HTTP/1.1\r\n", Kind::MalformedRequest },
        { std::string("GET /\0 HTTP/1.1\r\n", 17), Kind::MalformedRequest },
        { "GET / HTTP/1.1\n\n", Kind::MalformedRequest },
        { "\x16\x03\x01\x02\n", Kind::MalformedRequest },
        { start + " folded: 1\r\n", Kind::MalformedRequest },
        { start + "no colon\r\n", Kind::MalformedRequest },
        { start + "name : value\r\n", Kind::MalformedRequest },
        { start + ": value\r\n", Kind::MalformedRequest },
        { start + "a: b\rc\r\n", Kind::MalformedRequest },
        { start + "Host: a\r\nhost: b\r\n", Kind::MalformedRequest },
        { start + "Content-Length: -1\r\n", Kind::MalformedRequest },
        { start + "Content-Length: +1\r\n", Kind::MalformedRequest },
        { start + "Content-Length: 1x\r\n", Kind::MalformedRequest },
        { start + "Content-Length: 1, 1\r\n", Kind::MalformedRequest },
        { start + "Content-Length:\r\n", Kind::MalformedRequest },
        { start + "Content-Length: 1\r\nContent-Length: 1\r\n", Kind::MalformedRequest },
        { start + "Content-Length: 1\r\nContent-Length: 2\r\n", Kind::MalformedRequest },
        { start + "Content-Length: 101\r\n\r\n", Kind::BodyTooLarge },
        { start + "Content-Length: 99999999999999999999999\r\n", Kind::BodyTooLarge },
        { start + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", Kind::MalformedRequest },
        { chunked + "Content-Length: 1\r\n\r\n", Kind::MalformedRequest },
        { chunked + "Transfer-Encoding: chunked\r\n\r\n", Kind::MalformedRequest },
        { start + "Transfer-Encoding: gzip, chunked\r\n\r\n", Kind::MalformedRequest },
        { "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n", Kind::MalformedRequest },
        { chunked + "\r\n-1\r\n", Kind::MalformedRequest },
        { chunked + "\r\n\r\n", Kind::MalformedRequest },
        { chunked + "\r\n1 \r\n", Kind::MalformedRequest },
        { chunked + "\r\n1 a\r\n", Kind::MalformedRequest },
        { chunked + "\r\n1;\r\n", Kind::MalformedRequest },
        { chunked + "\r\n1;a=\"b\r\n", Kind::MalformedRequest },
        { chunked + "\r\n1\r\nab\r\n", Kind::MalformedRequest },
        { chunked + "\r\n65\r\n", Kind::BodyTooLarge },
        { chunked + "\r\nfffffffffffffffff\r\n", Kind::BodyTooLarge },
        { chunked + "\r\n3c\r\n" + std::string(60, 'x') + "\r\n3c\r\n", Kind::BodyTooLarge },
        { chunked + "\r\n1;" + std::string(400, 'x') + "\r\n", Kind::MalformedRequest },
        { chunked + "\r\n0\r\nT: " + std::string(400, 'x') + "\r\n", Kind::HeaderTooLarge },
        { "GET /" + std::string(400, 'x') + " HTTP/1.1\r\n", Kind::HeaderTooLarge },
        { start + "a: " + std::string(400, 'x'), Kind::HeaderTooLarge },
        { std::string(401, '\r'), Kind::HeaderTooLarge },
    }));
    CAPTURE(bytes);
    for (const qsizetype size : { 1, 7, 100'000 }) {
        const Result result = read(QByteArray::fromStdString(bytes), size);
        CHECK_FALSE(result.request);
        REQUIRE(result.error);
        CHECK(*result.error == kind);
    }
}

#include "RecordingListener.h"

#include <LibHTTP/HttpResponseReader.h>

#include <catch2/catch.hpp>

using namespace Chicorydock;

namespace {

struct Response {
    QByteArray head;
    QByteArray rest;
    /// Whether the body ends with the connection, so that every part of it looks whole.
    bool endsWithConnection { false };
};

const QByteArray fields = "Content-Type: text/event-stream\r\nServer-Signature: a.b\r\n";
const QByteArray status = "HTTP/1.1 200 OK\r\n";
const QByteArray interim = "HTTP/1.1 100 Continue\r\nContent-Length: 3\r\n\r\n";

const std::vector<Response> responses {
    { status + fields + "Content-Length: 12\r\n\r\n", "twelve bytes" },
    { status + "Content-Length: 0\r\n" + fields + "\r\n", "" },
    { status + fields + "Transfer-Encoding: chunked\r\n\r\n",
        "5;a=b\r\nfirst\r\n6\r\nsecond\r\n0\r\nTrailer: x\r\n\r\n" },
    { interim + status + fields + "Content-Length: 12\r\n\r\n", "twelve bytes" },
    { interim + interim + status + fields + "Transfer-Encoding: chunked\r\n\r\n", "1\r\na\r\n0\r\n\r\n" },
    { status + fields + "\r\n", "until the end", true },
    { "HTTP/1.0 503 Busy\r\nNot-Executed: 1\r\n\r\n", "", true },
};

}

// Load: a server that stops at any byte of its response and closes the connection in order, in pieces of any size.
// Guards against callers that get a part of a head, or of a body, as a whole response (MIXED, ORDER).
TEST_CASE("a response that ends at any byte is whole only if nothing is missing")
{
    const Response& response = GENERATE(from_range(responses));
    const QByteArray bytes = response.head + response.rest;
    for (const qsizetype piece : { qsizetype { 1 }, qsizetype { 7 }, bytes.size() }) {
        for (qsizetype size = 0; size <= bytes.size(); ++size) {
            CAPTURE(bytes.toStdString(), piece, size);
            RecordingListener listener;
            HttpResponseReader reader(listener);
            for (qsizetype at = 0; at < size; at += piece) {
                QByteArrayView input = QByteArrayView(bytes).sliced(at, std::min(piece, size - at));
                REQUIRE(reader.consume(input));
            }
            reader.finishInput();
            const bool hasHead = size >= response.head.size();
            CHECK(listener.heads == (hasHead ? 1 : 0));
            CHECK(reader.isComplete() == (response.endsWithConnection ? hasHead : size == bytes.size()));
            if (hasHead && listener.status == 200)
                CHECK(listener.headers.find("Server-Signature") == "a.b");
        }
    }
}

// Guards against a call that waits for a body that never comes, or takes the next response for it.
TEST_CASE("a response to HEAD, or with status 204 or 304, ends with its head, whatever length it states")
{
    const QByteArray framing = GENERATE(
        as<QByteArray> {}, "", "Content-Length: 12\r\n", "Content-Length: 0\r\n", "Transfer-Encoding: chunked\r\n");
    const auto [method, statusLine] = GENERATE(
        table<QByteArray, QByteArray>({ { "HEAD", "HTTP/1.1 200 OK\r\n" }, { "HEAD", "HTTP/1.1 404 Not Found\r\n" },
            { "GET", "HTTP/1.1 204 No Content\r\n" }, { "POST", "HTTP/1.1 304 Not Modified\r\n" } }));
    const QByteArray connection = GENERATE(as<QByteArray> {}, "", "Connection: close\r\n");
    const QByteArray next = "HTTP/1.1 200 OK\r\n";
    const QByteArray head = statusLine + framing + connection + "\r\n";
    CAPTURE(method.toStdString(), head.toStdString());
    RecordingListener listener;
    HttpResponseReader reader(listener);
    reader.reset(method);
    const QByteArray bytes = head + next;
    QByteArrayView input = bytes;
    REQUIRE(reader.consume(input));
    CHECK(reader.isComplete());
    CHECK(listener.heads == 1);
    CHECK(listener.body.isEmpty());
    CHECK(input == next);
    CHECK(reader.keepsConnection() == connection.isEmpty());
}

// Guards against a response that looks whole before its connection has ended, because it is said to be kept.
TEST_CASE("a response without a length ends with its connection, also if it says that the connection is kept")
{
    const QByteArray connection
        = GENERATE(as<QByteArray> {}, "Connection: keep-alive\r\n", "Connection: close\r\n", "");
    RecordingListener listener;
    HttpResponseReader reader(listener);
    const QByteArray bytes = status + fields + connection + "\r\nbytes";
    QByteArrayView input = bytes;
    REQUIRE(reader.consume(input));
    CHECK(listener.body == "bytes");
    CHECK_FALSE(reader.isComplete());
    reader.finishInput();
    CHECK(reader.isComplete());
    CHECK_FALSE(reader.keepsConnection());
}

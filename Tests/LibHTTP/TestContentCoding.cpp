#include <LibHTTP/PooledHttpClient.h>

#include <Tests/Support/RecordingObserver.h>
#include <Tests/Support/ScriptedServer.h>
#include <Tests/Support/WaitFor.h>
#include <catch2/catch.hpp>

using namespace Chicorydock;

namespace {

/// Sends a request with these fields to a server that responds with those fields.
RecordingObserver call(const HttpHeaders& requestFields, const QByteArray& responseFields)
{
    ScriptedServer server([&](QTcpSocket& socket, const QByteArray&) {
        socket.write("HTTP/1.1 200 OK\r\n" + responseFields + "Content-Length: 4\r\n\r\nbody");
    });
    PooledHttpClient client;
    RecordingObserver observer;
    const auto handle = client.start(
        { .address = server.address(), .method = "POST", .target = "/", .headers = requestFields }, observer);
    REQUIRE(waitFor([&] { return observer.hasEnded(); }));
    return observer;
}

}

// RFC 9110, sections 8.4 and 12.5.3. Guards against callers that get the bytes of a coding as the body that they asked
// for.
TEST_CASE("a response with a content coding that was not asked for is refused")
{
    const HttpHeaders request = GENERATE(HttpHeaders {}, HttpHeaders { { "Accept-Encoding", "" } },
        HttpHeaders { { "accept-encoding", "identity" } }, HttpHeaders { { "Accept-Encoding", " Identity;q=1 , " } });
    const QByteArray coding = GENERATE("gzip", "br, gzip", "identity", "unknown", "");
    CAPTURE(coding.toStdString());
    const RecordingObserver observer = call(request, "Content-Encoding: " + coding + "\r\n");
    CHECK(observer.finished == 0);
    CHECK(observer.status == 0);
    REQUIRE(observer.failure);
    CHECK(observer.failure->reason == HttpFailure::Reason::Protocol);
    CHECK(observer.failure->phase == HttpFailure::Phase::Sent);
}

TEST_CASE("a response with a content coding that its request accepts is taken, and one without a coding always")
{
    const auto [accepted, fields] = GENERATE(table<QByteArray, QByteArray>({
        { "gzip", "Content-Encoding: gzip\r\n" },
        { "identity, gzip;q=0.5", "Content-Encoding: gzip\r\n" },
        { "*", "Content-Encoding: br\r\n" },
        { "gzip", "" },
        { "identity", "Content-Type: text/plain\r\nTransfer-Encodings: x\r\n" },
    }));
    CAPTURE(accepted.toStdString(), fields.toStdString());
    const RecordingObserver observer = call({ { "Accept-Encoding", accepted } }, fields);
    CHECK(observer.finished == 1);
    CHECK(observer.body == "body");
}

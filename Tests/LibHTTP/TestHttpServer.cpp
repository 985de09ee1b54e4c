#include <LibHTTP/QtHttpServer.h>

#include <Tests/LibHTTP/RawCaller.h>
#include <Tests/LibHTTP/RecordingHandler.h>
#include <Tests/Support/WaitFor.h>
#include <catch2/catch.hpp>

using namespace Chicorydock;

namespace {

struct Fixture {
    RecordingHandler handler;
    HttpServer server { handler };
    uint16_t port { server.listen("127.0.0.1:0") };

    bool waitForExchanges(size_t n)
    {
        return waitFor([&] { return handler.exchanges.size() >= n; });
    }
};

HttpAnswer plain(const QByteArray& body) { return { .status = 200, .headers = {}, .body = body }; }

}

// Guards against a second pipelined request that is handled, or even answered, before the first one.
TEST_CASE("pipelined requests are handled one at a time and answered in their order")
{
    Fixture fixture;
    RawCaller caller(fixture.port);
    caller.send("GET /first HTTP/1.1\r\nHost: a\r\n\r\nPOST /second?x=%20 HTTP/1.1\r\nHost: a\r\n"
                "Content-Length: 3\r\n\r\nabcGET /third HTTP/1.1\r\n\r\n");
    const QByteArrayList paths { "/first", "/second", "/third" };
    for (qsizetype n = 0; n < paths.size(); ++n) {
        REQUIRE(fixture.waitForExchanges(static_cast<size_t>(n) + 1));
        CHECK(fixture.handler.exchanges.size() == static_cast<size_t>(n) + 1);
        const auto exchange = fixture.handler.exchanges.back();
        CHECK(exchange->request().path == paths[n]);
        CHECK(fixture.server.activeExchanges() == 1);
        exchange->answer(plain("answer " + QByteArray::number(n)));
    }
    CHECK(fixture.handler.exchanges[1]->request().body == "abc");
    CHECK(fixture.handler.exchanges[1]->request().query == "x=%20");
    REQUIRE(waitFor([&] { return caller.received().contains("answer 2"); }));
    CHECK(caller.received().indexOf("answer 0") < caller.received().indexOf("answer 1"));
    CHECK(caller.received().indexOf("answer 1") < caller.received().indexOf("answer 2"));
    CHECK(waitFor([&] { return fixture.server.activeExchanges() == 0; }));
}

// Guards against a crash or a second notice when the caller leaves before its answer.
TEST_CASE("a caller that leaves early is reported once and the server keeps serving")
{
    Fixture fixture;
    int gone = 0;
    {
        RawCaller caller(fixture.port);
        caller.send("GET /slow HTTP/1.1\r\n\r\n");
        REQUIRE(fixture.waitForExchanges(1));
        fixture.handler.exchanges[0]->setCallerGoneHandler([&] { ++gone; });
    }
    REQUIRE(waitFor([&] { return gone > 0; }));
    const auto exchange = std::move(fixture.handler.exchanges[0]);
    CHECK(exchange->isCallerGone());
    exchange->startStream(200, {});
    exchange->sendChunk("late");
    exchange->finishStream();
    RawCaller next(fixture.port);
    next.send("GET /next HTTP/1.1\r\n\r\n");
    REQUIRE(fixture.waitForExchanges(2));
    fixture.handler.exchanges[1]->answer(plain("alive"));
    CHECK(waitFor([&] { return next.received().endsWith("alive"); }));
    CHECK(gone == 1);
}

// Guards against streams whose end an HTTP/1.1 or HTTP/1.0 caller cannot tell from a broken connection.
TEST_CASE("streams are chunked for HTTP/1.1 and end with the connection for HTTP/1.0")
{
    Fixture fixture;
    RawCaller modern(fixture.port);
    modern.send("GET / HTTP/1.1\r\n\r\n");
    REQUIRE(fixture.waitForExchanges(1));
    RawCaller old(fixture.port);
    old.send("GET / HTTP/1.0\r\n\r\n");
    REQUIRE(fixture.waitForExchanges(2));
    for (const auto& exchange : fixture.handler.exchanges) {
        exchange->startStream(200, { { "Content-Type", "text/plain" }, { "Connection", "upgrade" } });
        exchange->sendChunk("hello");
        exchange->sendChunk("");
        exchange->finishStream();
    }
    REQUIRE(waitFor([&] { return modern.received().endsWith("0\r\n\r\n"); }));
    CHECK(modern.received().endsWith("\r\n\r\n5\r\nhello\r\n0\r\n\r\n"));
    CHECK(modern.received().contains("Transfer-Encoding: chunked"));
    CHECK_FALSE(modern.received().contains("upgrade"));
    REQUIRE(waitFor([&] { return old.isClosed(); }));
    CHECK(old.received().endsWith("\r\n\r\nhello"));
    CHECK(old.socket().error() == QAbstractSocket::RemoteHostClosedError);
}

#include <LibHTTP/HttpServer.h>

#include <LibCore/Error.h>
#include <LibCore/MemoryBudget.h>
#include <Tests/LibHTTP/RawCaller.h>
#include <Tests/LibHTTP/RecordingHandler.h>
#include <Tests/Support/WaitFor.h>
#include <catch2/catch.hpp>

#include <atomic>
#include <cerrno>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace Chicorydock;

namespace {

struct Fixture {
    explicit Fixture(const HttpServerLimits& limits = {})
        : server(handler, limits)
    {
    }

    RecordingHandler handler;
    HttpServer server;
    uint16_t port { server.listen("127.0.0.1:0") };

    /// Waits until the server has read everything that was sent before, by sending a request that it refuses.
    void roundTrip() const
    {
        RawCaller caller(port);
        caller.send("nonsense\r\n");
        REQUIRE(waitFor([&] { return caller.isClosed(); }));
    }

    bool waitForExchanges(size_t n)
    {
        return waitFor([&] { return handler.exchanges.size() >= n; });
    }
};

HttpResponse plain(const QByteArray& body) { return { .status = 200, .headers = {}, .body = body }; }

}

// Guards against a second pipelined request that is handled, or even answered, before the first one.
TEST_CASE("pipelined requests are handled one at a time and answered in their order")
{
    Fixture fixture;
    RawCaller caller(fixture.port);
    caller.send("GET /first HTTP/1.1\r\nHost: a\r\n\r\nPOST /second?x=%20 HTTP/1.1\r\nHost: a\r\n");
    REQUIRE(fixture.waitForExchanges(1));
    caller.send("Content-Length: 3\r\n\r\nabcGET /third HTTP/1.1\r\n\r\n");
    fixture.roundTrip();
    const QByteArrayList paths { "/first", "/second", "/third" };
    for (qsizetype n = 0; n < paths.size(); ++n) {
        REQUIRE(fixture.waitForExchanges(static_cast<size_t>(n) + 1));
        fixture.roundTrip();
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

// Guards against a crash or a second notification when the caller disconnects before its response.
TEST_CASE("a caller that leaves early is reported once and the server keeps serving")
{
    Fixture fixture;
    int disconnects = 0;
    {
        RawCaller caller(fixture.port);
        caller.send("GET /slow HTTP/1.1\r\n\r\n");
        REQUIRE(fixture.waitForExchanges(1));
        fixture.handler.exchanges[0]->setCallerDisconnectedHandler([&] { ++disconnects; });
    }
    REQUIRE(waitFor([&] { return disconnects > 0; }));
    const auto exchange = std::move(fixture.handler.exchanges[0]);
    CHECK(exchange->isCallerDisconnected());
    exchange->startStream(200, {});
    exchange->sendChunk("late");
    exchange->finishStream();
    RawCaller next(fixture.port);
    next.send("GET /next HTTP/1.1\r\n\r\n");
    REQUIRE(fixture.waitForExchanges(2));
    fixture.handler.exchanges[1]->answer(plain("alive"));
    CHECK(waitFor([&] { return next.received().endsWith("alive"); }));
    CHECK(disconnects == 1);
}

// Guards against streams whose end an HTTP/1.1 or HTTP/1.0 caller cannot distinguish from a broken connection.
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

// Guards against an aborted stream that looks complete, and against tokens lost before the abort.
TEST_CASE("an aborted chunked stream has no end of body")
{
    Fixture fixture;
    RawCaller caller(fixture.port);
    caller.send("GET / HTTP/1.1\r\n\r\n");
    REQUIRE(fixture.waitForExchanges(1));
    const auto exchange = fixture.handler.exchanges[0];
    exchange->startStream(200, {});
    exchange->sendChunk("half");
    exchange->abortStream();
    REQUIRE(waitFor([&] { return caller.isClosed(); }));
    CHECK(caller.received().endsWith("4\r\nhalf\r\n"));
    CHECK(waitFor([&] { return fixture.server.activeExchanges() == 0; }));
}

// Guards against an orderly close, which for an HTTP/1.0 caller marks the end of a complete body.
TEST_CASE("an aborted stream resets the connection of an HTTP/1.0 caller")
{
    Fixture fixture;
    RawCaller caller(fixture.port);
    // Qt reports a reset and an orderly close alike, so the test reads from the descriptor itself.
    const int descriptor = ::dup(static_cast<int>(caller.socket().socketDescriptor()));
    caller.send("GET / HTTP/1.0\r\n\r\n");
    REQUIRE(fixture.waitForExchanges(1));
    const auto exchange = fixture.handler.exchanges[0];
    exchange->startStream(200, {});
    exchange->abortStream();
    char buffer[1024];
    ssize_t result = 1;
    while (result > 0 || (result < 0 && errno == EAGAIN))
        result = ::recv(descriptor, buffer, sizeof(buffer), MSG_DONTWAIT);
    CHECK(result == -1);
    CHECK(errno == ECONNRESET);
    ::close(descriptor);
}

// Guards against a caller that waits forever because a handler dropped its request.
TEST_CASE("a dropped request is answered with an internal error")
{
    Fixture fixture;
    RawCaller caller(fixture.port);
    caller.send("GET / HTTP/1.1\r\n\r\n");
    REQUIRE(fixture.waitForExchanges(1));
    fixture.handler.exchanges.clear();
    CHECK(waitFor([&] { return caller.received().contains("\"internal\""); }));
}

// Guards against invalid input of one caller that stops the service for the others: it is answered with its error and
// ends only its own connection.
TEST_CASE("bad input is answered with its error and the server keeps serving")
{
    const auto [input, kind] = GENERATE(table<const char*, ErrorKind>({
        { "nonsense\r\n\r\n", ErrorKind::MalformedRequest },
        { "POST / HTTP/1.1\r\nContent-Length: -5\r\n\r\n", ErrorKind::MalformedRequest },
        { "POST / HTTP/1.1\r\nContent-Length: 5000\r\n\r\nstart", ErrorKind::BodyTooLarge },
        { "POST / HTTP/1.1\r\nContent-Length: 500\r\n\r\nstalls", ErrorKind::RequestTimeout },
        { "POST / HTTP/1.1\r\nConte", ErrorKind::RequestTimeout },
        { "TRACE / HTTP/1.1\r\n\r\n", ErrorKind::UnsupportedMethod },
        { "BREW / HTTP/1.1\r\n\r\n", ErrorKind::UnsupportedMethod },
    }));
    CAPTURE(input);
    HttpServerLimits limits;
    limits.maxBodyBytes = 1000;
    limits.requestTimeout = Milliseconds { 300 };
    Fixture fixture(limits);
    RawCaller bad(fixture.port);
    bad.send(input);
    REQUIRE(waitFor([&] { return bad.isClosed(); }));
    const ErrorRow& row = errorRow(kind);
    CHECK(bad.received().startsWith("HTTP/1.1 " + QByteArray::number(row.httpStatus)));
    CHECK(bad.received().contains(QByteArrayView(row.name.data(), static_cast<qsizetype>(row.name.size()))));
    CHECK(bad.received().contains("Connection: close\r\n"));
    CHECK(fixture.handler.exchanges.empty());
    RawCaller good(fixture.port);
    good.send("GET / HTTP/1.1\r\n\r\n");
    REQUIRE(fixture.waitForExchanges(1));
    fixture.handler.exchanges[0]->answer(plain("alive"));
    CHECK(waitFor([&] { return good.received().endsWith("alive"); }));
}

// Guards against a connection that is reset while the caller still sends: many callers then never read the response.
TEST_CASE("a caller with an oversized body can send all of it and then reads the answer")
{
    HttpServerLimits limits;
    limits.maxBodyBytes = 1000;
    Fixture fixture(limits);
    RawCaller caller(fixture.port);
    const int descriptor = ::dup(static_cast<int>(caller.socket().socketDescriptor()));
    caller.send("POST / HTTP/1.1\r\nContent-Length: 4000000\r\n\r\n");
    std::atomic<bool> hasEnded { false };
    bool wasSent = true;
    std::thread sender([&] {
        const std::string part(10'000, 'x');
        for (int n = 0; n < 400 && wasSent; ++n) {
            pollfd writable { .fd = descriptor, .events = POLLOUT, .revents = 0 };
            ::poll(&writable, 1, -1);
            const ssize_t sent = ::send(descriptor, part.data(), part.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
            wasSent = sent > 0 || errno == EAGAIN;
        }
        hasEnded = true;
    });
    CHECK(waitFor([&] { return hasEnded && caller.isClosed(); }));
    sender.join();
    ::close(descriptor);
    CHECK(wasSent);
    CHECK(caller.received().startsWith("HTTP/1.1 413"));
}

// Guards against an unbounded buffer for a caller that sends requests without reading responses.
TEST_CASE("requests that arrive during an answer stay in a bounded buffer")
{
    Fixture fixture;
    RawCaller caller(fixture.port);
    const QByteArray request = "GET / HTTP/1.1\r\n\r\n";
    // More than the socket buffers of both sides and the buffer of the server hold together.
    const qsizetype requests = 32'000'000 / request.size();
    caller.send(request.repeated(requests));
    REQUIRE(fixture.waitForExchanges(1));
    QElapsedTimer timer;
    timer.start();
    waitFor([&] { return timer.elapsed() > 200; });
    CHECK(fixture.handler.exchanges.size() == 1);
    CHECK(caller.socket().bytesToWrite() > 0);
}

// Guards against a caller that receives `100 Continue` only after the server stopped waiting for the body.
TEST_CASE("a caller that expects 100-continue gets it before the body")
{
    Fixture fixture;
    RawCaller caller(fixture.port);
    caller.send("POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
    REQUIRE(waitFor([&] { return caller.received() == "HTTP/1.1 100 Continue\r\n\r\n"; }));
    caller.send("ok");
    REQUIRE(fixture.waitForExchanges(1));
    CHECK(fixture.handler.exchanges[0]->request().body == "ok");
}

// Guards against a shutdown that interrupts a request, or that waits for callers that keep idle connections open.
TEST_CASE("draining closes idle connections and lets requests in progress end")
{
    Fixture fixture;
    RawCaller idle(fixture.port);
    idle.send("GET / HTTP/1.1\r\n\r\n");
    REQUIRE(fixture.waitForExchanges(1));
    fixture.handler.exchanges[0]->answer(plain("first"));
    REQUIRE(waitFor([&] { return idle.received().endsWith("first"); }));
    CHECK_FALSE(idle.received().contains("Connection: close"));
    RawCaller busy(fixture.port);
    busy.send("GET / HTTP/1.1\r\n\r\n");
    REQUIRE(fixture.waitForExchanges(2));

    fixture.server.setDraining(true);
    // A request in transit on an idle connection is still served.
    idle.send("GET / HTTP/1.1\r\n\r\n");
    REQUIRE(fixture.waitForExchanges(3));
    fixture.handler.exchanges[2]->answer(plain("late"));
    CHECK(waitFor([&] { return idle.isClosed(); }));
    CHECK(idle.received().contains("Connection: close"));
    CHECK(idle.received().endsWith("late"));
    RawCaller idleAgain(fixture.port);
    fixture.server.setDraining(false);
    idleAgain.send("GET / HTTP/1.1\r\n\r\n");
    REQUIRE(fixture.waitForExchanges(4));
    fixture.handler.exchanges[3]->answer(plain("again"));
    REQUIRE(waitFor([&] { return idleAgain.received().endsWith("again"); }));
    fixture.server.setDraining(true);
    CHECK_FALSE(idleAgain.isClosed());
    fixture.server.closeIdleConnections();
    CHECK(waitFor([&] { return idleAgain.isClosed(); }));
    CHECK_FALSE(busy.isClosed());
    // The kernel accepts the connection; the event loop of the server does not run before it stops listening.
    RawCaller unused(fixture.port);
    fixture.server.stopListening();
    unused.send("GET / HTTP/1.1\r\n\r\n");
    REQUIRE(fixture.waitForExchanges(5));
    fixture.handler.exchanges[1]->answer(plain("second"));
    fixture.handler.exchanges[4]->answer(plain("third"));
    CHECK(waitFor([&] { return busy.isClosed() && unused.isClosed(); }));
    CHECK(busy.received().contains("Connection: close"));
    CHECK(busy.received().endsWith("second"));
    CHECK(unused.received().endsWith("third"));
    CHECK(waitFor([&] { return fixture.server.activeExchanges() == 0; }));
}

// Guards against a slow caller that a handler cannot detect, and against one that blocks the server forever.
TEST_CASE("a caller that does not read is visible and is disconnected in the end")
{
    HttpServerLimits limits;
    limits.requestTimeout = Milliseconds { 500 };
    Fixture fixture(limits);
    RawCaller caller(fixture.port);
    caller.socket().setReadBufferSize(1);
    caller.send("GET / HTTP/1.1\r\n\r\n");
    REQUIRE(fixture.waitForExchanges(1));
    int disconnects = 0;
    const auto exchange = fixture.handler.exchanges[0];
    exchange->setCallerDisconnectedHandler([&] { ++disconnects; });
    exchange->startStream(200, {});
    exchange->sendChunk(QByteArray(32'000'000, 'x'));
    CHECK(exchange->bytesToWrite() > 0);
    CHECK(waitFor([&] { return disconnects == 1; }));
    CHECK(exchange->isCallerDisconnected());
}

// Guards against response splitting by a line break in a field of a handler.
TEST_CASE("fields with line breaks are left out")
{
    const QByteArray head = formatResponseHead(
        200, { { "X-Good", "1" }, { "X-Bad", "1\r\nX-Injected: 2" } }, BodyFraming::ContentLength, 0, false);
    CHECK(head == "HTTP/1.1 200 OK\r\nX-Good: 1\r\nContent-Length: 0\r\n\r\n");
}

// Guards against I/O threads that cannot share the port.
TEST_CASE("two servers can listen on one port, and a bad address is an error")
{
    Fixture first;
    RecordingHandler handler;
    HttpServer second(handler);
    CHECK(second.listen("127.0.0.1:" + std::to_string(first.port)) == first.port);
    HttpServer third(handler);
    for (const char* address : { "127.0.0.1", "127.0.0.1:x", "localhost:1", "127.0.0.1:70000", "192.0.2.1:1" })
        CHECK_THROWS_AS(third.listen(address), Error);
}

// Guards against a process that ends while a request is on its way on a connection that it has just accepted.
TEST_CASE("a server that stops expects the requests of connections that it has just accepted")
{
    Fixture fixture;
    RawCaller quick(fixture.port);
    RawCaller slow(fixture.port);
    RawCaller silent(fixture.port);
    fixture.server.setDraining(true);
    // The kernel has accepted the connections; the event loop of the server has not run since.
    fixture.server.stopListening();
    fixture.server.closeIdleConnections();
    CHECK(fixture.server.activeExchanges() == 0);
    CHECK(fixture.server.isExpectingRequests());
    quick.send("GET / HTTP/1.1\r\n\r\n");
    slow.send("GET / HT");
    REQUIRE(fixture.waitForExchanges(1));
    fixture.handler.exchanges[0]->answer(plain("quick"));
    REQUIRE(waitFor([&] { return quick.received().endsWith("quick"); }));
    CHECK(fixture.server.isExpectingRequests());
    slow.send("TP/1.1\r\n\r\n");
    REQUIRE(fixture.waitForExchanges(2));
    fixture.handler.exchanges[1]->answer(plain("slow"));
    // A connection without any request is waited for only briefly.
    CHECK(waitFor([&] { return !fixture.server.isExpectingRequests() && fixture.server.activeExchanges() == 0; }));
    CHECK_FALSE(silent.isClosed());
    CHECK(slow.received().endsWith("slow"));
}

// Guards against a log that does not say which response a process took with it when it ended.
TEST_CASE("a server names the responses that have not left it completely")
{
    Fixture fixture;
    fixture.server.setRequestNames([](const HttpRequest& request) { return request.path.toStdString(); });
    RawCaller slow(fixture.port);
    slow.socket().setReadBufferSize(1);
    slow.send("GET /slow HTTP/1.1\r\n\r\n");
    REQUIRE(fixture.waitForExchanges(1));
    RawCaller quick(fixture.port);
    quick.send("GET /quick HTTP/1.1\r\n\r\n");
    REQUIRE(fixture.waitForExchanges(2));
    fixture.handler.exchanges[0]->answer(plain(QByteArray(32'000'000, 'x')));
    fixture.handler.exchanges[1]->answer(plain("quick"));
    REQUIRE(waitFor([&] { return quick.received().endsWith("quick"); }));
    const auto unsent = fixture.server.unsentResponses();
    REQUIRE(unsent.size() == 1);
    CHECK(unsent[0].request == "/slow");
    CHECK(unsent[0].bytes > 0);
    CHECK(unsent[0].bytes == fixture.server.unsentBytes());
    slow.socket().setReadBufferSize(0);
    CHECK(waitFor([&] { return fixture.server.unsentResponses().empty(); }));
}

// Guards against a response that is lost because a process ends while a caller that reads slowly still takes it (LOST).
TEST_CASE("an idle connection whose response is not sent yet stays active when idle connections are closed")
{
    Fixture fixture;
    RawCaller slow(fixture.port);
    slow.socket().setReadBufferSize(1);
    slow.send("GET /slow HTTP/1.1\r\n\r\n");
    REQUIRE(fixture.waitForExchanges(1));
    fixture.handler.exchanges[0]->answer(plain(QByteArray(32'000'000, 'x') + "end"));
    REQUIRE(fixture.server.unsentBytes() > 0);
    fixture.server.setDraining(true);
    fixture.server.closeIdleConnections();
    CHECK(fixture.server.activeExchanges() == 1);
    CHECK(fixture.server.unsentBytes() > 0);
    slow.socket().setReadBufferSize(0);
    CHECK(waitFor([&] { return slow.received().endsWith("end"); }));
    CHECK(waitFor([&] {
        fixture.server.closeIdleConnections();
        return slow.isClosed() && fixture.server.activeExchanges() == 0;
    }));
}

// Guards against a request that is read and discarded because the response before it is still being sent (LOST).
TEST_CASE("a request that follows on a connection whose response is not sent yet is answered while the server drains")
{
    Fixture fixture;
    RawCaller slow(fixture.port);
    slow.socket().setReadBufferSize(1);
    slow.send("GET /slow HTTP/1.1\r\n\r\n");
    REQUIRE(fixture.waitForExchanges(1));
    fixture.handler.exchanges[0]->answer(plain(QByteArray(32'000'000, 'x')));
    REQUIRE(fixture.server.unsentBytes() > 0);
    fixture.server.setDraining(true);
    fixture.server.closeIdleConnections();
    slow.send("GET /next HTTP/1.1\r\n\r\n");
    REQUIRE(fixture.waitForExchanges(2));
    fixture.handler.exchanges[1]->answer(plain("next"));
    slow.socket().setReadBufferSize(0);
    CHECK(waitFor([&] { return slow.received().endsWith("next"); }));
    CHECK(waitFor([&] { return slow.isClosed(); }));
}

namespace {

struct MemoryFixture {
    explicit MemoryFixture(size_t requestBytes, size_t responseBytes)
        : requests(requestBytes)
        , responses(responseBytes)
    {
        server.setMemory(requests, responses);
        port = server.listen("127.0.0.1:0");
    }

    /// Sends a small request and answers it.
    void exchangeSmallRequest()
    {
        const size_t n = handler.exchanges.size();
        RawCaller caller(port);
        caller.send("GET /small HTTP/1.1\r\nHost: a\r\n\r\n");
        REQUIRE(waitFor([&] { return handler.exchanges.size() > n; }));
        handler.exchanges.back()->answer(plain("small"));
        REQUIRE(waitFor([&] { return caller.received().endsWith("small"); }));
    }

    MemoryBudget requests;
    MemoryBudget responses;
    RecordingHandler handler;
    HttpServer server { handler };
    uint16_t port { 0 };
};

}

// Guards against bodies that are bounded for each connection and exhaust the memory together.
TEST_CASE("the requests that arrive on all connections stay within the memory for them")
{
    constexpr size_t limit = 1'000'000;
    constexpr int connections = 8;
    MemoryFixture fixture(limit, limit);
    const QByteArray body(300'000, 'x');
    std::vector<std::unique_ptr<RawCaller>> callers;
    for (int n = 0; n < connections; ++n) {
        callers.push_back(std::make_unique<RawCaller>(fixture.port));
        callers.back()->send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 400000\r\n\r\n" + body);
    }
    const auto refused = [&] {
        return std::ranges::count_if(callers, [](const auto& it) { return it->received().startsWith("HTTP/1.1 503"); });
    };
    REQUIRE(waitFor([&] { return refused() >= connections - 3; }));
    CHECK(fixture.requests.peakBytes() <= limit);
    for (const auto& it : callers)
        CHECK((it->received().isEmpty() || it->received().contains("\r\nRetry-After: ")));
    CHECK(fixture.handler.exchanges.empty());
    fixture.exchangeSmallRequest();
    for (const auto& it : callers)
        it->send(QByteArray(100'000, 'x'));
    REQUIRE(waitFor([&] { return static_cast<int>(fixture.handler.exchanges.size() - 1 + refused()) == connections; }));
    CHECK(fixture.handler.exchanges.size() > 1);
    CHECK(fixture.requests.peakBytes() <= limit);
    fixture.handler.exchanges.clear();
    CHECK(fixture.requests.bytes() == 0);
}

// Guards against callers that do not read their responses and exhaust the memory together.
TEST_CASE("the responses that callers do not take stay within the memory for them")
{
    constexpr size_t limit = 40'000'000;
    constexpr size_t connections = 8;
    const bool isStream = GENERATE(false, true);
    MemoryFixture fixture(limit, limit);
    std::vector<std::unique_ptr<QTcpSocket>> callers;
    for (size_t n = 0; n < connections; ++n) {
        callers.push_back(std::make_unique<QTcpSocket>());
        callers.back()->setReadBufferSize(1);
        callers.back()->connectToHost("127.0.0.1", fixture.port);
        callers.back()->write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    }
    REQUIRE(waitFor([&] { return fixture.handler.exchanges.size() == connections; }));
    const QByteArray body(20'000'000, 'x');
    for (const auto& it : fixture.handler.exchanges) {
        if (isStream) {
            it->startStream(200, {});
            it->sendChunk(body);
        } else {
            it->answer(plain(body));
        }
    }
    CHECK(fixture.responses.peakBytes() <= limit);
    CHECK(fixture.responses.refusals() > 0);
    fixture.handler.exchanges.clear();
    fixture.exchangeSmallRequest();
    callers.clear();
    REQUIRE(waitFor([&] { return fixture.responses.bytes() == 0; }));
}

// Guards against a handler that does not hear that its caller has taken what waited for it.
TEST_CASE("a handler hears when bytes that waited for the caller are sent")
{
    Fixture fixture;
    RawCaller caller(fixture.port);
    caller.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    REQUIRE(fixture.waitForExchanges(1));
    const auto& exchange = fixture.handler.exchanges.front();
    int calls = 0;
    exchange->setBytesWrittenHandler([&] { ++calls; });
    exchange->startStream(200, {});
    exchange->sendChunk(QByteArray(1'000'000, 'x'));
    CHECK(exchange->bytesToWrite() > 1'000'000);
    REQUIRE(waitFor([&] { return exchange->bytesToWrite() == 0; }));
    CHECK(calls > 0);
    exchange->finishStream();
}

#include <LibHTTP/HttpServer.h>
#include <LibHTTP/PooledHttpClient.h>

#include <LibCore/MemoryBudget.h>
#include <Tests/LibHTTP/RawCaller.h>
#include <Tests/LibHTTP/RecordingHandler.h>
#include <Tests/Support/WaitFor.h>
#include <catch2/catch.hpp>

#include <QElapsedTimer>

#include <array>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

using namespace Chicorydock;

namespace {

constexpr size_t memoryLimit = 1'000'000;

constexpr qsizetype responseBytes = 4'096;

/// Answers each request at once with the number of requests so far.
class CountingHandler final : public HttpHandler {
public:
    void handle(std::shared_ptr<HttpExchange> exchange) override
    {
        const QByteArray body = QByteArray(responseBytes, 'x') + "<" + QByteArray::number(++requests) + ">";
        exchange->answer({ .status = 200, .headers = {}, .body = body });
    }

    int requests { 0 };
};

template <typename Handler> struct Fixture {
    explicit Fixture(size_t connections = 0)
    {
        server.setMemory(requests, responses);
        server.setMaxConnections(connections);
        port = server.listen("127.0.0.1:0");
    }

    uint64_t limited(CallerLimit limit) const { return server.limitedCallers(limit).count; }

    MemoryBudget requests { memoryLimit };
    MemoryBudget responses { memoryLimit };
    Handler handler;
    HttpServer server { handler };
    uint16_t port { 0 };
};

}

// Guards against requests that are sent ahead and that the process reads although their responses are not taken, and
// against a caller that gets no further response after it has begun to read.
TEST_CASE("requests that are sent ahead wait in the kernel until their responses are taken")
{
    Fixture<CountingHandler> fixture;
    RawCaller caller(fixture.port);
    caller.socket().setReadBufferSize(1);
    const QByteArray request = "GET / HTTP/1.1\r\n\r\n";
    // The responses are larger than what the buffers of the kernel hold.
    constexpr int count = 16'000;
    caller.send(request.repeated(count));
    int handled = 0;
    QElapsedTimer timer;
    // The server is at rest when it handles no further request for a while.
    REQUIRE(waitFor([&] {
        if (std::exchange(handled, fixture.handler.requests) != handled || handled == 0)
            timer.start();
        return timer.elapsed() > 200;
    }));
    CHECK(handled < count);
    CHECK(fixture.requests.peakBytes() < 128 * 1024);
    CHECK(fixture.responses.peakBytes() < 3 * responseBytes);
    CHECK(fixture.limited(CallerLimit::RequestMemory) == 0);
    CHECK(fixture.limited(CallerLimit::ResponseMemory) == 0);
    caller.socket().setReadBufferSize(0);
    REQUIRE(waitFor([&] { return caller.received().endsWith("<" + QByteArray::number(count) + ">"); }));
    CHECK(fixture.requests.bytes() == 0);
    CHECK(fixture.responses.bytes() == 0);
}

// Guards against connections that say nothing and keep the server from accepting others (HANG), and against a request
// in progress that gives way to them.
TEST_CASE("silent connections give way to new ones, and requests in progress do not")
{
    constexpr size_t connections = 4;
    Fixture<RecordingHandler> fixture(connections);
    RawCaller running(fixture.port);
    running.send("GET /running HTTP/1.1\r\n\r\n");
    REQUIRE(waitFor([&] { return fixture.handler.exchanges.size() == 1; }));
    std::vector<std::unique_ptr<RawCaller>> silent;
    for (size_t n = 0; n < 2 * connections; ++n)
        silent.push_back(std::make_unique<RawCaller>(fixture.port));
    const auto closed = [&] { return std::ranges::count_if(silent, [](const auto& it) { return it->isClosed(); }); };
    REQUIRE(waitFor([&] { return closed() == connections + 1; }));
    CHECK(fixture.server.connections() == connections);
    CHECK(fixture.limited(CallerLimit::Connections) == connections + 1);
    CHECK(fixture.server.limitedCallers(CallerLimit::Connections).lastAddress == "127.0.0.1");

    RawCaller caller(fixture.port);
    caller.send("GET /ordinary HTTP/1.1\r\n\r\n");
    REQUIRE(waitFor([&] { return fixture.handler.exchanges.size() == 2; }));
    for (const auto& it : fixture.handler.exchanges)
        it->answer({ .status = 200, .headers = {}, .body = "done" });
    CHECK(waitFor([&] { return caller.received().endsWith("done") && running.received().endsWith("done"); }));
}

// Guards against a new connection that ends a request in progress, and against one that is left without an end.
TEST_CASE("a connection beyond the limit is reset if all others have requests in progress")
{
    Fixture<RecordingHandler> fixture(1);
    RawCaller running(fixture.port);
    running.send("GET /running HTTP/1.1\r\n\r\n");
    REQUIRE(waitFor([&] { return fixture.handler.exchanges.size() == 1; }));
    RawCaller other(fixture.port);
    CHECK(waitFor([&] { return other.isClosed(); }));
    CHECK(fixture.limited(CallerLimit::Connections) == 1);
    fixture.handler.exchanges[0]->answer({ .status = 200, .headers = {}, .body = "done" });
    CHECK(waitFor([&] { return running.received().endsWith("done"); }));
}

// Guards against bytes sent ahead that keep others from the memory, against a response of 503 to a request that has
// been passed on (REFUSED), and against a request that is read after bytes before it were dropped (MIXED).
TEST_CASE("requests sent ahead are dropped for the memory of others, and the request in progress goes on")
{
    Fixture<RecordingHandler> fixture;
    RawCaller ahead(fixture.port);
    ahead.send("GET /first HTTP/1.1\r\n\r\n" + QByteArray("GET /ahead HTTP/1.1\r\n\r\n").repeated(1'000));
    REQUIRE(waitFor([&] { return fixture.handler.exchanges.size() == 1 && fixture.requests.bytes() > 16'000; }));
    // Bodies that use up the memory, and each of which is smaller than what was sent ahead.
    std::vector<std::unique_ptr<RawCaller>> callers;
    for (int n = 0; n < 120 && fixture.limited(CallerLimit::RequestMemory) == 0; ++n) {
        callers.push_back(std::make_unique<RawCaller>(fixture.port));
        callers.back()->send("POST / HTTP/1.1\r\nContent-Length: 12000\r\n\r\n" + QByteArray(11'000, 'x'));
        const size_t before = fixture.requests.bytes();
        REQUIRE(waitFor([&] { return fixture.requests.bytes() != before; }));
    }
    CHECK(fixture.limited(CallerLimit::RequestMemory) == 1);
    CHECK(ahead.received().isEmpty());
    fixture.handler.exchanges[0]->answer({ .status = 200, .headers = {}, .body = "done" });
    CHECK(waitFor([&] { return ahead.isClosed(); }));
    CHECK(ahead.received().startsWith("HTTP/1.1 200"));
    CHECK(ahead.received().endsWith("done"));
    CHECK(fixture.handler.exchanges.size() == 1);
}

// Guards against many small fields, whose parsed form takes a multiple of their text.
TEST_CASE("the fields of a request count toward the memory with what they take when they are parsed")
{
    constexpr int fields = 2'000;
    Fixture<RecordingHandler> fixture;
    RawCaller caller(fixture.port);
    caller.send("GET / HTTP/1.1\r\n" + QByteArray("a:b\r\n").repeated(fields) + "\r\n");
    REQUIRE(waitFor([&] { return fixture.handler.exchanges.size() == 1; }));
    CHECK(fixture.requests.bytes() > static_cast<size_t>(fields) * 200);
    fixture.handler.exchanges.clear();
    CHECK(fixture.requests.bytes() == 0);
}

namespace {

class IgnoringObserver final : public HttpCallObserver {
public:
    void onHandedOver() override { }
    void onHeaders(int, const HttpHeaders&) override { }
    void onData(const QByteArray&) override { }
    void onFinished() override { ++finished; }
    void onFailed(const HttpFailure&) override { }

    int finished { 0 };
};

}

// Guards against idle connections to endpoints that take the descriptors of callers: no request can use those that
// carried a request with the same identifier.
TEST_CASE("a client closes idle connections before it opens more than it may")
{
    Fixture<CountingHandler> fixture;
    PooledHttpClient client;
    constexpr size_t connections = 3;
    client.setMaxConnections(connections);
    IgnoringObserver observer;
    HttpCallRequest request;
    request.address = "127.0.0.1:" + std::to_string(fixture.port);
    request.method = "GET";
    request.target = "/";
    request.headers.add("Request-Id", "same");
    request.echoedField = "Request-Id";
    constexpr int calls = 8;
    for (int n = 0; n < calls; ++n) {
        const auto call = client.start(request, observer);
        REQUIRE(waitFor([&] { return observer.finished == n + 1; }));
    }
    CHECK(waitFor([&] { return fixture.server.connections() <= connections; }));
    CHECK(client.openedConnections() == calls);
}

// Guards against a request inside the limits whose fields are lost because there are many of them: the parser of Qt
// drops all fields of a request with more than 100.
TEST_CASE("a request with many fields keeps all of them")
{
    constexpr int fields = 2'000;
    Fixture<RecordingHandler> fixture;
    RawCaller caller(fixture.port);
    QByteArray text = "GET / HTTP/1.1\r\nHost: a\r\n";
    for (int n = 0; n < fields; ++n)
        text += QByteArray::number(n) + ": b\r\n";
    caller.send(text + "Request-Id: 5\r\n\r\n");
    REQUIRE(waitFor([&] { return fixture.handler.exchanges.size() == 1; }));
    const HttpHeaders& headers = fixture.handler.exchanges[0]->request().headers;
    CHECK(headers.fields().size() == fields + 2);
    CHECK(headers.find("Host") == "a");
    CHECK(headers.find("Request-Id") == "5");
    CHECK(headers.find("1999") == "b");
}

namespace {

class LargeHandler final : public HttpHandler {
public:
    void handle(std::shared_ptr<HttpExchange> exchange) override
    {
        exchange->answer({ .status = 200, .headers = {}, .body = QByteArray(200'000, 'x') + "end" });
    }
};

}

// Guards against a response that is lost because its connection, on which the node has sent all of it, gives way
// before the caller has received it.
TEST_CASE("a connection that gives way delivers the response that was sent on it")
{
    const QByteArray fields = GENERATE("", "Connection: close\r\n");
    Fixture<LargeHandler> fixture(1);
    const int caller = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(fixture.port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(::connect(caller, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0);
    const QByteArray text = "GET / HTTP/1.1\r\n" + fields + "\r\n";
    REQUIRE(::send(caller, text.constData(), static_cast<size_t>(text.size()), 0) == text.size());
    std::array<char, 65536> buf;
    REQUIRE(waitFor([&] {
        return ::recv(caller, buf.data(), 1, MSG_PEEK | MSG_DONTWAIT) == 1 && fixture.server.unsentBytes() == 0;
    }));
    RawCaller other(fixture.port);
    REQUIRE(waitFor([&] { return fixture.limited(CallerLimit::Connections) == 1; }));
    QByteArray received;
    CHECK(waitFor([&] {
        const ssize_t n = ::recv(caller, buf.data(), buf.size(), MSG_DONTWAIT);
        if (n > 0)
            received.append(buf.data(), n);
        return received.endsWith("end");
    }));
    ::close(caller);
}

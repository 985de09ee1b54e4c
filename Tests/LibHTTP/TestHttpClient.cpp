#include <LibHTTP/PooledHttpClient.h>

#include <Tests/Support/RecordingObserver.h>
#include <Tests/Support/ResetConnection.h>
#include <Tests/Support/ScriptedServer.h>
#include <Tests/Support/WaitFor.h>
#include <catch2/catch.hpp>

#include <QPointer>
#include <QTimer>

#include <array>
#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <thread>

using namespace Chicorydock;
using Phase = HttpFailure::Phase;
using Reason = HttpFailure::Reason;

namespace {

constexpr auto okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

HttpCallRequest makeRequest(const std::string& address, const QByteArray& method = "POST")
{
    return { .address = address,
        .method = method,
        .target = "/work?a=%20b",
        .headers = { { "X-Call-Id", "7" } },
        .body = method == "POST" ? QByteArray("{\"n\":1}") : QByteArray() };
}

/// Runs one call to its end.
RecordingObserver run(PooledHttpClient& client, const HttpCallRequest& request)
{
    RecordingObserver observer;
    const auto call = client.start(request, observer);
    CHECK(observer.handedOver == 0);
    REQUIRE(waitFor([&] { return observer.hasEnded(); }));
    return observer;
}

/// Responds to each piece of input; every request of these tests arrives in one piece.
void respondOk(QTcpSocket& socket, const QByteArray&) { socket.write(okResponse); }

}

// Guards against a request that loses its fields or body, and against a connection for every call.
TEST_CASE("a call reports hand-over, status, body and end, and the next one uses the same connection")
{
    ScriptedServer server(respondOk);
    PooledHttpClient client;
    for (int n = 0; n < 3; ++n) {
        const RecordingObserver observer = run(client, makeRequest(server.address()));
        CHECK(observer.handedOver == 1);
        CHECK(observer.status == 200);
        CHECK(observer.body == "ok");
        CHECK(observer.finished == 1);
    }
    CHECK(server.connections() == 1);
    CHECK(server.arrivals("POST /work?a=%20b HTTP/1.1\r\n") == 3);
    CHECK(server.arrivals("X-Call-Id: 7\r\n") == 3);
    CHECK(server.arrivals("\r\n\r\n{\"n\":1}") == 3);
}

// Guards against a silent retry when a connection closes before the response. QNetworkAccessManager sends both methods
// twice unless the upload device refuses to be reset.
TEST_CASE("a request arrives once when the connection closes before the answer")
{
    const QByteArray method = GENERATE("POST", "GET");
    const bool isReused = GENERATE(false, true);
    CAPTURE(method.toStdString(), isReused);
    int responsesLeft = isReused ? 1 : 0;
    ScriptedServer server([&](QTcpSocket& socket, const QByteArray&) {
        if (responsesLeft-- > 0)
            socket.write(okResponse);
        else
            socket.disconnectFromHost();
    });
    PooledHttpClient client;
    if (isReused)
        CHECK(run(client, makeRequest(server.address(), method)).finished == 1);
    HttpCallRequest request = makeRequest(server.address(), method);
    request.target = "/once";
    const RecordingObserver observer = run(client, request);
    CHECK(observer.failure->phase == Phase::Sent);
    CHECK(observer.failure->reason == Reason::Closed);
    // A late retry would arrive before the response to this call.
    responsesLeft = 1;
    CHECK(run(client, makeRequest(server.address(), method)).finished == 1);
    CHECK(server.arrivals(" /once HTTP") == 1);
}

// Guards against a truncated response that is reported as complete.
TEST_CASE("a truncated answer fails")
{
    const QByteArray response = GENERATE("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n8\r\nhalf",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n",
        "HTTP/1.1 500 Error\r\nContent-Length: 10\r\n\r\nhalf");
    CAPTURE(response.toStdString());
    ScriptedServer server([&](QTcpSocket& socket, const QByteArray&) {
        socket.write(response);
        socket.disconnectFromHost();
    });
    PooledHttpClient client;
    HttpCallRequest request = makeRequest(server.address());
    // Qt does not notice the end of the connection while it waits for the end of the last chunk.
    request.progressTimeout = Milliseconds { 1500 };
    const RecordingObserver observer = run(client, request);
    CHECK(observer.finished == 0);
    REQUIRE(observer.failure);
    CHECK(observer.failure->phase == Phase::Answering);
}

// Load: an endpoint that stops within the head of its answer, or of an interim answer before it, and closes the
// connection in order. Guards against a call that gets a part of a head as a whole answer (MIXED, ORDER).
TEST_CASE("an answer whose head ends at any byte fails")
{
    const QByteArray interim = GENERATE("", "HTTP/1.1 100 Continue\r\n\r\n");
    const QByteArray length = GENERATE("Content-Length: 12\r\n", "Transfer-Encoding: chunked\r\n", "");
    const QByteArray head = interim + "HTTP/1.1 200 OK\r\nServer-Signature: a.b\r\n" + length + "\r\n";
    qsizetype size = 0;
    ScriptedServer server([&](QTcpSocket& socket, const QByteArray&) {
        socket.write(head.first(size));
        socket.disconnectFromHost();
    });
    PooledHttpClient client;
    for (; size < head.size(); size += 3) {
        CAPTURE(head.toStdString(), size);
        const RecordingObserver observer = run(client, makeRequest(server.address()));
        CHECK(observer.finished == 0);
        CHECK(observer.status == 0);
        REQUIRE(observer.failure);
        CHECK(observer.failure->phase == Phase::Sent);
    }
}

// Guards against an error status that is taken for a broken connection.
TEST_CASE("a whole answer with an error status is finished")
{
    const int status = GENERATE(400, 401, 404, 407, 409, 418, 429, 499, 500, 503, 504);
    ScriptedServer server([&](QTcpSocket& socket, const QByteArray&) {
        socket.write("HTTP/1.1 " + QByteArray::number(status)
            + " Error\r\nWWW-Authenticate: Basic realm=\"a\"\r\nContent-Length: 3\r\n\r\nwhy");
    });
    PooledHttpClient client;
    const RecordingObserver observer = run(client, makeRequest(server.address()));
    INFO(status << ' ' << (observer.failure ? observer.failure->message : ""));
    CHECK(observer.status == status);
    CHECK(observer.body == "why");
    CHECK(observer.finished == 1);
}

// Guards against "not run" for a request that was sent, and against "may have run" for one that cannot have been sent.
TEST_CASE("a refused connection is certainly not sent")
{
    std::string address;
    {
        const ScriptedServer server(respondOk);
        address = server.address();
    }
    PooledHttpClient client;
    const RecordingObserver post = run(client, makeRequest(address));
    CHECK(post.handedOver == 0);
    CHECK(post.failure->phase == Phase::NotSent);
    CHECK(post.failure->reason == Reason::Refused);
    const RecordingObserver get = run(client, makeRequest(address, "GET"));
    CHECK(get.failure->phase == Phase::NotSent);
}

// Guards against calls that wait for one of 6 connections per host, the limit of QNetworkAccessManager.
TEST_CASE("more than 6 calls to one address run at the same time")
{
    constexpr size_t calls = 40;
    std::vector<QTcpSocket*> waiting;
    ScriptedServer server([&](QTcpSocket& socket, const QByteArray&) { waiting.push_back(&socket); });
    PooledHttpClient client;
    std::vector<RecordingObserver> observers(calls);
    std::vector<std::unique_ptr<HttpCall>> handles;
    for (RecordingObserver& it : observers)
        handles.push_back(client.start(makeRequest(server.address()), it));
    REQUIRE(waitFor([&] { return waiting.size() == calls; }));
    for (QTcpSocket* it : waiting)
        it->write(okResponse);
    CHECK(waitFor(
        [&] { return std::ranges::all_of(observers, [](const RecordingObserver& it) { return it.finished == 1; }); }));
}

// Guards against later calls that reuse a connection that no longer responds, or one that was opened at the same time.
TEST_CASE("after a silent connection timed out, calls use new connections")
{
    std::vector<QTcpSocket*> waiting;
    ScriptedServer server([&](QTcpSocket& socket, const QByteArray&) {
        // The first two connections stop responding after one response each; new ones work.
        if (server.connections() > 2)
            socket.write(okResponse);
        else
            waiting.push_back(&socket);
    });
    PooledHttpClient client;
    RecordingObserver first;
    RecordingObserver second;
    const auto firstCall = client.start(makeRequest(server.address()), first);
    const auto secondCall = client.start(makeRequest(server.address()), second);
    REQUIRE(waitFor([&] { return waiting.size() == 2; }));
    for (QTcpSocket* it : waiting)
        it->write(okResponse);
    REQUIRE(waitFor([&] { return first.finished + second.finished == 2; }));

    HttpCallRequest request = makeRequest(server.address());
    request.progressTimeout = Milliseconds { 1500 };
    const RecordingObserver silent = run(client, request);
    CHECK(silent.failure->phase == Phase::Sent);
    CHECK(silent.failure->reason == Reason::TimedOut);
    CHECK(server.connections() == 2);
    CHECK(run(client, request).finished == 1);
    CHECK(run(client, request).finished == 1);
    CHECK(server.connections() == 3);
}

// Guards against a retry over the connection that is suspected to be dead.
TEST_CASE("a call can ask for a fresh connection")
{
    ScriptedServer server(respondOk);
    PooledHttpClient client;
    CHECK(run(client, makeRequest(server.address())).finished == 1);
    HttpCallRequest request = makeRequest(server.address());
    request.freshConnection = true;
    CHECK(run(client, request).finished == 1);
    CHECK(server.connections() == 2);
}

// Guards against a second call that is lost on a silent connection, because only the first one after a timeout avoided
// the connections that were idle meanwhile: a feed of the store then noticed an ended job too late.
TEST_CASE("a call that asks for a fresh connection leaves no earlier one for the calls after it")
{
    ScriptedServer server(respondOk);
    PooledHttpClient client;
    RecordingObserver first;
    RecordingObserver second;
    const auto firstCall = client.start(makeRequest(server.address()), first);
    const auto secondCall = client.start(makeRequest(server.address()), second);
    REQUIRE(waitFor([&] { return first.hasEnded() && second.hasEnded(); }));
    REQUIRE(server.connections() == 2);
    HttpCallRequest request = makeRequest(server.address());
    request.freshConnection = true;
    CHECK(run(client, request).finished == 1);
    REQUIRE(server.connections() == 3);
    RecordingObserver third;
    RecordingObserver fourth;
    const auto thirdCall = client.start(makeRequest(server.address()), third);
    const auto fourthCall = client.start(makeRequest(server.address()), fourth);
    REQUIRE(waitFor([&] { return third.hasEnded() && fourth.hasEnded(); }));
    // One of them uses the fresh connection, and the other one opens its own.
    CHECK(server.connections() == 4);
}

// Guards against an endpoint that continues to work on a cancelled call.
TEST_CASE("cancelling a call closes its connection and silences the observer")
{
    QPointer<QTcpSocket> connection;
    ScriptedServer server([&](QTcpSocket& socket, const QByteArray&) {
        connection = &socket;
        socket.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n");
    });
    PooledHttpClient client;
    RecordingObserver observer;
    std::unique_ptr<HttpCall> call;
    observer.dataHook = [&] { call.reset(); };
    call = client.start(makeRequest(server.address()), observer);
    REQUIRE(waitFor([&] { return connection && connection->state() == QAbstractSocket::UnconnectedState; }));
    CHECK(observer.body == "a");
    CHECK_FALSE(observer.hasEnded());
}

// Guards against the rest of a cancelled response that reaches the next call.
TEST_CASE("a call after a cancelled one gets its own answer")
{
    int arrivals = 0;
    ScriptedServer server([&](QTcpSocket& socket, const QByteArray&) {
        const QByteArray body = QByteArray::number(++arrivals).rightJustified(6, '0');
        socket.write("HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n" + body);
        // The second half of odd responses is sent only after the call was cancelled.
        if (arrivals % 2 == 0)
            socket.write(body);
        else
            QTimer::singleShot(0, &socket, [&socket, body] { socket.write(body); });
    });
    PooledHttpClient client;
    for (int n = 1; n <= 40; n += 2) {
        RecordingObserver cancelled;
        std::unique_ptr<HttpCall> call;
        cancelled.dataHook = [&] { call.reset(); };
        call = client.start(makeRequest(server.address()), cancelled);
        REQUIRE(waitFor([&] { return !call; }));
        const RecordingObserver next = run(client, makeRequest(server.address()));
        REQUIRE(next.finished == 1);
        CHECK(next.body == QByteArray::number(n + 1).rightJustified(6, '0').repeated(2));
    }
}

// Guards against a request that is sent although the call was cancelled in `onHandedOver()`.
TEST_CASE("a call that is cancelled at hand-over sends nothing")
{
    ScriptedServer server(respondOk);
    PooledHttpClient client;
    RecordingObserver observer;
    std::unique_ptr<HttpCall> call;
    observer.handedOverHook = [&] { call.reset(); };
    call = client.start(makeRequest(server.address()), observer);
    REQUIRE(waitFor([&] { return observer.handedOver == 1; }));
    CHECK(run(client, makeRequest(server.address())).finished == 1);
    CHECK(server.arrivals("POST /work") == 1);
    CHECK_FALSE(observer.hasEnded());
}

// Guards against a late response to an earlier request that is taken for the response to the next one.
TEST_CASE("an answer that repeats another identifier is passed over")
{
    const QByteArray stale = "HTTP/1.1 200 OK\r\nX-Call-Id: 6\r\nContent-Length: 3\r\n\r\nold";
    const QByteArray own = "HTTP/1.1 200 OK\r\nX-Call-Id: 7\r\nContent-Length: 3\r\n\r\nnew";
    ScriptedServer server([&](QTcpSocket& socket, const QByteArray&) { socket.write(stale + own); });
    PooledHttpClient client;
    HttpCallRequest request = makeRequest(server.address());
    request.echoedField = "X-Call-Id";
    const RecordingObserver observer = run(client, request);
    CHECK(observer.finished == 1);
    CHECK(observer.body == "new");
}

// Guards against a late second copy of a refusal that is taken for the answer to the same request, sent again.
TEST_CASE("a request is not sent on a connection that has carried its identifier")
{
    const QByteArray refusal = "HTTP/1.1 503 Busy\r\nX-Call-Id: 7\r\nContent-Length: 3\r\n\r\nnot";
    const QByteArray own = "HTTP/1.1 200 OK\r\nX-Call-Id: 7\r\nContent-Length: 3\r\n\r\nran";
    const QTcpSocket* refused = nullptr;
    ScriptedServer server([&](QTcpSocket& socket, const QByteArray&) {
        const bool isFirst = !refused;
        if (isFirst)
            refused = &socket;
        if (&socket == refused)
            socket.write(refusal);
        if (!isFirst)
            socket.write(own);
    });
    PooledHttpClient client;
    HttpCallRequest request = makeRequest(server.address());
    request.echoedField = "X-Call-Id";
    CHECK(run(client, request).status == 503);
    const RecordingObserver observer = run(client, request);
    CHECK(observer.status == 200);
    CHECK(observer.body == "ran");
}

namespace {

/// Makes the client keep a connection for as long as a test may take.
const QByteArray keepAlive = "Keep-Alive: timeout=3600\r\n";

/// Responds with the identifier of the request.
void respondWithId(QTcpSocket& socket, const QByteArray& received)
{
    const QByteArray field = "X-Call-Id: ";
    const qsizetype start = received.indexOf(field);
    const QByteArray line = received.sliced(start, received.indexOf('\r', start) - start);
    socket.write("HTTP/1.1 200 OK\r\n" + keepAlive + line + "\r\nContent-Length: 2\r\n\r\nok");
}

HttpCallRequest makeIdentifiedRequest(const std::string& address, int id)
{
    HttpCallRequest request = makeRequest(address);
    request.headers = { { "X-Call-Id", QByteArray::number(id) } };
    request.echoedField = "X-Call-Id";
    return request;
}

}

// Guards against a connection for every call, or the loss of a sound one, because some identifiers come again.
TEST_CASE("identifiers that come again cost one connection")
{
    ScriptedServer server(respondWithId);
    PooledHttpClient client;
    for (const int id : { 1, 2, 3, 1, 2, 3, 4 })
        CHECK(run(client, makeIdentifiedRequest(server.address(), id)).body == "ok");
    CHECK(server.connections() == 2);
}

// Guards against a connection whose memory of identifiers grows for as long as it is used.
TEST_CASE("a connection carries a limited number of identifiers")
{
    constexpr int calls = 1'000;
    ScriptedServer server(respondWithId);
    PooledHttpClient client;
    for (int id = 0; id < calls; ++id)
        REQUIRE(run(client, makeIdentifiedRequest(server.address(), id)).finished == 1);
    CHECK(server.connections() > 1);
    CHECK(server.connections() < calls / 100);
}

// Guards against a refusal or a success of unknown origin that is believed to answer the request, which the server
// runs.
TEST_CASE("an answer without the identifier fails the call if the connection has carried another request")
{
    const QByteArray status = GENERATE("200 OK", "421 Misdirected", "503 Busy");
    const QByteArray unidentified = "HTTP/1.1 " + status + "\r\nNot-Executed: 1\r\nContent-Length: 3\r\n\r\nold";
    int arrivals = 0;
    ScriptedServer server([&](QTcpSocket& socket, const QByteArray& received) {
        if (++arrivals == 2)
            socket.write(unidentified);
        respondWithId(socket, received);
    });
    PooledHttpClient client;
    CHECK(run(client, makeIdentifiedRequest(server.address(), 1)).body == "ok");
    const RecordingObserver observer = run(client, makeIdentifiedRequest(server.address(), 2));
    REQUIRE(observer.failure);
    CHECK(observer.failure->phase == Phase::Sent);
    CHECK(observer.failure->reason == Reason::Protocol);
    CHECK(observer.status == 0);
    CHECK(observer.body.isEmpty());
    CHECK(run(client, makeIdentifiedRequest(server.address(), 3)).body == "ok");
    CHECK(server.connections() == 2);
}

// Guards against the loss of answers of servers that repeat no field, for example a refusal of a connection.
TEST_CASE("an answer without the identifier is taken on a connection that has carried no other request")
{
    ScriptedServer server(respondOk);
    PooledHttpClient client;
    CHECK(run(client, makeIdentifiedRequest(server.address(), 1)).body == "ok");
}

// Guards against answers that nothing tells apart, and against an answer that is skipped although no other is to come.
TEST_CASE("a request without an identifier shares its connection with no other one")
{
    ScriptedServer server([&](QTcpSocket& socket, const QByteArray&) {
        socket.write("HTTP/1.1 200 OK\r\n" + keepAlive + "X-Call-Id: 9\r\nContent-Length: 2\r\n\r\nok");
    });
    PooledHttpClient client;
    HttpCallRequest anonymous = makeIdentifiedRequest(server.address(), 0);
    anonymous.headers = GENERATE(HttpHeaders(), HttpHeaders({ { "X-Call-Id", "" } }));
    anonymous.progressTimeout = Milliseconds { 1500 };
    CHECK(run(client, makeIdentifiedRequest(server.address(), 9)).body == "ok");
    CHECK(run(client, anonymous).body == "ok");
    CHECK(run(client, anonymous).body == "ok");
    CHECK(server.connections() == 3);
    CHECK(run(client, makeIdentifiedRequest(server.address(), 9)).body == "ok");
    CHECK(server.connections() == 4);
}

namespace {

int unacknowledgedBytes(const QTcpSocket& socket)
{
    int n = 0;
    if (::ioctl(static_cast<int>(socket.socketDescriptor()), SIOCOUTQ, &n) != 0)
        FAIL("the socket does not tell what it has not delivered");
    return n;
}

/// Writes the bytes and waits until they are in the receive buffer of the client.
void deliver(QTcpSocket& socket, const QByteArray& bytes)
{
    socket.write(bytes);
    socket.flush();
    while (unacknowledgedBytes(socket) > 0)
        std::this_thread::yield();
}

}

// Guards against a late response, or its end, that is taken for the answer to a request that was written after it.
TEST_CASE("bytes that arrive before a request is written are not its answer")
{
    const QByteArray late = GENERATE("HTTP/1.1 503 Busy\r\nContent-Length: 3\r\n\r\nold",
        "HTTP/1.1 503 Busy\r\nX-Call-Id: 2\r\nContent-Length: 3\r\n\r\nold", "HTTP/1.1 503 Busy\r\nX-Call-", "ld");
    QPointer<QTcpSocket> kept;
    ScriptedServer server([&](QTcpSocket& socket, const QByteArray& received) {
        kept = &socket;
        respondWithId(socket, received);
    });
    PooledHttpClient client;
    CHECK(run(client, makeIdentifiedRequest(server.address(), 1)).body == "ok");
    deliver(*kept, late);
    const RecordingObserver observer = run(client, makeIdentifiedRequest(server.address(), 2));
    CHECK(observer.handedOver == 1);
    CHECK(observer.status == 200);
    CHECK(observer.body == "ok");
    CHECK(server.arrivals("X-Call-Id: 2\r\n") == 1);
    CHECK(server.connections() == 2);
    CHECK(client.openedConnections() == 2);
}

// Guards against a request that counts as sent although the connection was closed before it was written.
TEST_CASE("a connection that was closed before a request is written is replaced")
{
    QPointer<QTcpSocket> kept;
    ScriptedServer server([&](QTcpSocket& socket, const QByteArray& received) {
        kept = &socket;
        respondWithId(socket, received);
    });
    PooledHttpClient client;
    CHECK(run(client, makeIdentifiedRequest(server.address(), 1)).body == "ok");
    // SIOCOUTQ counts the end of the connection like a byte.
    ::shutdown(static_cast<int>(kept->socketDescriptor()), SHUT_WR);
    deliver(*kept, "");
    CHECK(run(client, makeIdentifiedRequest(server.address(), 2)).body == "ok");
    CHECK(server.connections() == 2);
}

// Guards against bytes that are taken for the answer although the server sent them before it had the request, and
// against endless attempts to connect.
TEST_CASE("a server that sends bytes before the first request of a connection gets no request")
{
    QTcpServer server;
    REQUIRE(server.listen(QHostAddress::LocalHost));
    const std::string address = "127.0.0.1:" + std::to_string(server.serverPort());
    PooledHttpClient client;
    RecordingObserver observer;
    const auto call = client.start(makeRequest(address), observer);
    REQUIRE(server.waitForNewConnection(60'000));
    deliver(*server.nextPendingConnection(), "HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
    REQUIRE(waitFor([&] { return observer.hasEnded(); }));
    REQUIRE(observer.failure);
    CHECK(observer.failure->phase == Phase::NotSent);
    CHECK(observer.handedOver == 0);
    CHECK(client.openedConnections() == 1);
}

// Guards against an answer that is reported before the request is written, and a later request that is written twice.
TEST_CASE("bytes that are read between the start of a call and its hand-over are not its answer")
{
    const QByteArray late = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold";
    const QByteArray last = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok";
    // The order in which the event loop reports the two connections is not known.
    const size_t keptIndex = GENERATE(0U, 1U);
    std::vector<QTcpSocket*> waiting;
    ScriptedServer server([&](QTcpSocket& socket, const QByteArray&) {
        if (server.connections() <= 2 && waiting.size() < 2)
            waiting.push_back(&socket);
        else
            socket.write(okResponse);
    });
    PooledHttpClient client;
    std::array<RecordingObserver, 2> observers;
    std::array<std::unique_ptr<HttpCall>, 2> handles;
    for (size_t n = 0; n < 2; ++n) {
        handles[n] = client.start(makeRequest(server.address()), observers[n]);
        REQUIRE(waitFor([&] { return waiting.size() == n + 1; }));
    }
    waiting[keptIndex]->write(okResponse);
    REQUIRE(waitFor([&] { return observers[keptIndex].finished == 1; }));

    HttpCallRequest request = makeRequest(server.address());
    request.target = "/next";
    HttpCallRequest lastRequest = request;
    lastRequest.target = "/last";
    RecordingObserver next;
    RecordingObserver lastObserver;
    std::unique_ptr<HttpCall> nextCall;
    std::unique_ptr<HttpCall> lastCall;
    next.finishedHook = [&] { lastCall = client.start(lastRequest, lastObserver); };
    observers[1 - keptIndex].finishedHook = [&] { nextCall = client.start(request, next); };
    deliver(*waiting[keptIndex], late);
    deliver(*waiting[1 - keptIndex], last);
    REQUIRE(waitFor([&] { return lastObserver.hasEnded(); }));
    CHECK(next.handedOver == 1);
    CHECK(next.body == "ok");
    CHECK(lastObserver.body == "ok");
    CHECK(server.arrivals("POST /next ") == 1);
    CHECK(server.arrivals("POST /last ") == 1);
}

// Guards against late responses and interim ones that are joined with the answer when they arrive in pieces.
TEST_CASE("late and interim answers before the answer are passed over, whatever the pieces in which they arrive")
{
    const QByteArray stale = "HTTP/1.1 503 Busy\r\nX-Call-Id: 6\r\nNot-Executed: 1\r\nContent-Length: 3\r\n\r\nold";
    const QByteArray chunked = "HTTP/1.1 200 OK\r\nX-Call-Id: 5\r\nTransfer-Encoding: chunked\r\n\r\n"
                               "3\r\nold\r\n0\r\nX-Trailer: x\r\n\r\n";
    const QByteArray interim = "HTTP/1.1 103 Early Hints\r\nX-Call-Id: 6\r\nLink: x\r\n\r\n";
    const QByteArray own = "HTTP/1.1 200 OK\r\nX-Call-Id: 7\r\nContent-Length: 3\r\n\r\nnew";
    const QByteArray before = GENERATE_COPY(values<QByteArray>(
        { stale, stale + stale, chunked + stale, interim + stale + interim + interim + chunked + interim }));
    const qsizetype pieceBytes = GENERATE(1, 7, 1'000);
    QByteArray output;
    QPointer<QTcpSocket> connection;
    QTimer timer;
    QObject::connect(&timer, &QTimer::timeout, &timer, [&] {
        if (connection && !output.isEmpty())
            connection->write(output.first(std::min(pieceBytes, output.size())));
        output.remove(0, pieceBytes);
    });
    ScriptedServer server([&](QTcpSocket& socket, const QByteArray&) {
        connection = &socket;
        output = before + own;
        timer.start();
    });
    PooledHttpClient client;
    HttpCallRequest request = makeRequest(server.address());
    request.echoedField = "X-Call-Id";
    const RecordingObserver observer = run(client, request);
    CHECK(observer.finished == 1);
    CHECK(observer.status == 200);
    CHECK(observer.body == "new");
    CHECK_FALSE(observer.headers.find("Link"));
    CHECK_FALSE(observer.headers.find("Not-Executed"));
}

// Guards against a truncated late response whose missing bytes are taken from the answer.
TEST_CASE("a late answer that is cut short fails the call")
{
    ScriptedServer server([&](QTcpSocket& socket, const QByteArray&) {
        socket.write("HTTP/1.1 200 OK\r\nX-Call-Id: 6\r\nContent-Length: 9\r\n\r\nold"
                     "HTTP/1.1 200 OK\r\nX-Call-Id: 7\r\nContent-Length: 3\r\n\r\nnew");
    });
    PooledHttpClient client;
    HttpCallRequest request = makeRequest(server.address());
    request.echoedField = "X-Call-Id";
    const RecordingObserver observer = run(client, request);
    REQUIRE(observer.failure);
    CHECK(observer.failure->phase == Phase::Sent);
    CHECK(observer.body.isEmpty());
}

// Guards against bytes that are joined with the answer, or taken from it, because an interim response states a length.
TEST_CASE("an interim answer has no body, whatever it states")
{
    const QByteArray field = GENERATE("Content-Length: 3", "Transfer-Encoding: chunked");
    const bool isFollowedByBody = GENERATE(false, true);
    const QByteArray interim = "HTTP/1.1 103 Early Hints\r\n" + field + "\r\n\r\n";
    const QByteArray body = field.startsWith("Content") ? "old" : "3\r\nold\r\n0\r\n\r\n";
    ScriptedServer server([&](QTcpSocket& socket, const QByteArray&) {
        socket.write(interim + (isFollowedByBody ? body : QByteArray()) + okResponse);
    });
    PooledHttpClient client;
    const RecordingObserver observer = run(client, makeRequest(server.address()));
    CHECK(observer.finished == (isFollowedByBody ? 0 : 1));
    CHECK(observer.body == (isFollowedByBody ? "" : "ok"));
}

// Guards against bytes after a response that are read as the beginning of the next one.
TEST_CASE("a connection with bytes behind the answer is not used again")
{
    ScriptedServer server([&](QTcpSocket& socket, const QByteArray&) {
        socket.write(QByteArray(okResponse) + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra");
    });
    PooledHttpClient client;
    for (int n = 1; n <= 3; ++n) {
        const RecordingObserver observer = run(client, makeRequest(server.address()));
        CHECK(observer.body == "ok");
        CHECK(server.connections() == n);
    }
}

// Guards against a response without a length that is reported as complete after a reset, and against a complete one
// that is reported as failed.
TEST_CASE("an answer without a length is whole if its connection ends in order")
{
    const bool isReset = GENERATE(true, false);
    ScriptedServer server([&](QTcpSocket& socket, const QByteArray&) {
        socket.write("HTTP/1.1 200 OK\r\n\r\nall of it");
        if (isReset) {
            socket.flush();
            socket.waitForBytesWritten();
            resetConnection(socket);
        } else {
            socket.disconnectFromHost();
        }
    });
    PooledHttpClient client;
    const RecordingObserver observer = run(client, makeRequest(server.address()));
    CHECK(observer.finished == (isReset ? 0 : 1));
    if (!isReset)
        CHECK(observer.body == "all of it");
}

// Guards against a request to `HEAD` that waits for a body until its time limit, and against a late response to
// another method that is read with the wrong end.
TEST_CASE("a response to HEAD finishes its call, and its connection carries no other request")
{
    ScriptedServer server([&](QTcpSocket& socket, const QByteArray& received) {
        const bool isHead = received.startsWith("HEAD");
        socket.write(isHead ? QByteArray("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n") : QByteArray(okResponse));
    });
    PooledHttpClient client;
    const std::array<QByteArray, 4> methods { "POST", "HEAD", "HEAD", "POST" };
    for (const QByteArray& it : methods) {
        const RecordingObserver observer = run(client, makeRequest(server.address(), it));
        CHECK(observer.finished == 1);
        CHECK(observer.body == (it == "HEAD" ? "" : "ok"));
    }
    // The two POST requests may share one.
    CHECK(server.connections() >= 3);
}

// Guards against an interim response that is taken for the final one.
TEST_CASE("interim answers are passed over")
{
    ScriptedServer server([&](QTcpSocket& socket, const QByteArray&) {
        socket.write("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + QByteArray(okResponse));
    });
    PooledHttpClient client;
    const RecordingObserver observer = run(client, makeRequest(server.address()));
    CHECK(observer.status == 200);
    CHECK_FALSE(observer.headers.find("Link"));
    CHECK(observer.body == "ok");
}

// Guards against a request that is sent while the server closes the connection, as it has announced.
TEST_CASE("a connection is not used again after the server closes it or its stated time is nearly over")
{
    const QByteArray field = GENERATE("Connection: close", "Keep-Alive: timeout=0");
    ScriptedServer server([&](QTcpSocket& socket, const QByteArray&) {
        socket.write("HTTP/1.1 200 OK\r\n" + field + "\r\nContent-Length: 2\r\n\r\nok");
    });
    PooledHttpClient client;
    CHECK(run(client, makeRequest(server.address())).finished == 1);
    CHECK(run(client, makeRequest(server.address())).finished == 1);
    CHECK(server.connections() == 2);
}

// Guards against bytes that are not HTTP and are accepted as a response.
TEST_CASE("bytes that are no answer fail the call")
{
    ScriptedServer server([&](QTcpSocket& socket, const QByteArray&) { socket.write("garbage\r\n\r\n"); });
    PooledHttpClient client;
    const RecordingObserver observer = run(client, makeRequest(server.address()));
    REQUIRE(observer.failure);
    CHECK(observer.failure->reason == Reason::Protocol);
    CHECK(observer.failure->phase == Phase::Sent);
}

namespace {

/// Sends a piece again and again while the connection is open, in bursts.
class EndlessServer final {
public:
    EndlessServer(QByteArray start, QByteArray piece)
        : m_server([this, start](QTcpSocket& socket, const QByteArray&) {
            socket.write(start);
            m_sockets.emplace_back(&socket);
        })
        , m_burst(piece.repeated(static_cast<int>(burstBytes / piece.size())))
    {
        QObject::connect(&m_timer, &QTimer::timeout, &m_timer, [this] { sendBursts(); });
        m_timer.start(Milliseconds { 1 });
    }

    std::string address() const { return m_server.address(); }
    qsizetype sentBytes() const { return m_sentBytes; }
    bool hasOpenConnections() const
    {
        return std::ranges::any_of(
            m_sockets, [](const auto& it) { return it && it->state() == QAbstractSocket::ConnectedState; });
    }

private:
    static constexpr qsizetype burstBytes = 64 * 1024;

    void sendBursts()
    {
        for (const auto& it : m_sockets) {
            if (!it || it->state() != QAbstractSocket::ConnectedState || it->bytesToWrite() > burstBytes)
                continue;
            it->write(m_burst);
            m_sentBytes += m_burst.size();
        }
    }

    ScriptedServer m_server;
    const QByteArray m_burst;
    std::vector<QPointer<QTcpSocket>> m_sockets;
    qsizetype m_sentBytes { 0 };
    QTimer m_timer;
};

}

// Guards against a server in trouble that fills the memory of the client, or holds a call for ever, with bytes that are
// no answer: an endless header field, endless fields, endless interim responses, endless responses to an earlier
// request, and an endless chunk size.
TEST_CASE("bytes without end before the body fail the call and close the connection")
{
    const QByteArray head = "HTTP/1.1 200 OK\r\n";
    const auto [start, piece] = GENERATE_COPY(table<QByteArray, QByteArray>({
        { head + "X-Field: ", "x" },
        { head, "X-Field: x\r\n" },
        { "", "HTTP/1.1 100 Continue\r\n\r\n" },
        { "", "HTTP/1.1 200 OK\r\nX-Call-Id: 6\r\nContent-Length: 2\r\n\r\nno" },
        { head + "Transfer-Encoding: chunked\r\n\r\n", "0" },
        { head + "Transfer-Encoding: chunked\r\n\r\n1;x=", "x" },
    }));
    EndlessServer server(start, piece);
    ScriptedServer sound(respondOk);
    PooledHttpClient client;
    HttpCallRequest request = makeRequest(server.address());
    request.echoedField = "X-Call-Id";
    RecordingObserver observer;
    const auto call = client.start(request, observer);
    // Other calls are served meanwhile.
    CHECK(run(client, makeRequest(sound.address())).body == "ok");
    REQUIRE(waitFor([&] { return observer.hasEnded(); }));
    REQUIRE(observer.failure);
    CHECK(observer.failure->reason == Reason::Protocol);
    CHECK(observer.body.isEmpty());
    CHECK(server.sentBytes() < 8 * 1024 * 1024);
    CHECK(waitFor([&] { return !server.hasOpenConnections(); }));
}

// Guards against a call that never ends because its server sends a byte of the head now and then.
TEST_CASE("a head that arrives slowly does not extend the time limit of the call")
{
    const QByteArray head = GENERATE("HTTP/1.1 200 OK\r\nX-Field: ", "HTTP/1.1 100 Continue\r\n\r\n");
    QPointer<QTcpSocket> connection;
    QTimer timer;
    ScriptedServer server([&](QTcpSocket& socket, const QByteArray&) {
        socket.write(head);
        connection = &socket;
        timer.start(Milliseconds { 20 });
    });
    QObject::connect(&timer, &QTimer::timeout, &timer, [&] {
        if (connection)
            connection->write(head.endsWith("\n") ? head : QByteArray("x"));
    });
    PooledHttpClient client;
    HttpCallRequest request = makeRequest(server.address());
    request.progressTimeout = Milliseconds { 300 };
    const RecordingObserver observer = run(client, request);
    REQUIRE(observer.failure);
    CHECK(observer.failure->reason == Reason::TimedOut);
}

// Guards against a server whose answer without end fills the memory of the caller.
TEST_CASE("an answer that is larger than its caller takes fails")
{
    constexpr qsizetype limit = 20'000;
    const QByteArray body(limit + GENERATE(0, 1, 500'000), 'x');
    const QByteArray head = "HTTP/1.1 200 OK\r\n";
    const QByteArray size = QByteArray::number(body.size());
    const QByteArray response = GENERATE_COPY(head + "Content-Length: " + size + "\r\n\r\n" + body,
        head + "Transfer-Encoding: chunked\r\n\r\n" + QByteArray::number(body.size(), 16) + "\r\n" + body
            + "\r\n0\r\n\r\n",
        head + "\r\n" + body);
    ScriptedServer server([&](QTcpSocket& socket, const QByteArray&) {
        socket.write(response);
        socket.disconnectFromHost();
    });
    PooledHttpClient client;
    HttpCallRequest request = makeRequest(server.address());
    request.maxAnswerBytes = limit;
    const RecordingObserver observer = run(client, request);
    CHECK(observer.body.size() <= limit);
    CHECK((observer.finished == 1) == (body.size() == limit));
    if (body.size() > limit)
        CHECK(observer.failure->reason == Reason::Protocol);
}

// Guards against a caller that stops taking an answer and is sent it all the same.
TEST_CASE("a paused call reads nothing and expects no progress")
{
    const QByteArray body(8'000'000, 'x');
    ScriptedServer server([&](QTcpSocket& socket, const QByteArray&) {
        socket.write("HTTP/1.1 200 OK\r\nContent-Length: " + QByteArray::number(body.size()) + "\r\n\r\n" + body);
    });
    PooledHttpClient client;
    HttpCallRequest request = makeRequest(server.address());
    request.progressTimeout = Milliseconds { 40 };
    RecordingObserver observer;
    const auto call = client.start(request, observer);
    REQUIRE(waitFor([&] { return observer.status != 0; }));
    call->setPaused(true);
    const qsizetype received = observer.body.size();
    bool hasWaited = false;
    QTimer::singleShot(request.progressTimeout * 4, [&] { hasWaited = true; });
    REQUIRE(waitFor([&] { return hasWaited; }));
    CHECK(observer.body.size() == received);
    CHECK(received < body.size());
    CHECK_FALSE(observer.hasEnded());
    call->setPaused(false);
    REQUIRE(waitFor([&] { return observer.hasEnded(); }));
    CHECK(observer.body == body);
    CHECK(observer.finished == 1);
}

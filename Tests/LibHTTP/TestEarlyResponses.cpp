#include <LibHTTP/ClientSocket.h>
#include <LibHTTP/PooledHttpClient.h>

#include <Tests/Support/RecordingObserver.h>
#include <Tests/Support/ResetConnection.h>
#include <Tests/Support/ScriptedServer.h>
#include <Tests/Support/WaitFor.h>
#include <catch2/catch.hpp>

#include <sys/socket.h>

#include <algorithm>
#include <memory>

using namespace Chicorydock;

namespace {

/// More than the buffers of a connection hold, so that the upload is still being written when the response arrives.
constexpr qsizetype uploadBytes = 32 * 1024 * 1024;

const QByteArray withoutLength = "HTTP/1.1 200 OK\r\n\r\n";
const QByteArray withLength = "HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n";
const QByteArray chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const QByteArray body = "fourteen bytes";

/// How a server ends the connection of a request that it has not read to its end.
enum class Ending {
    Reset,
    /// It ends its own direction and resets the connection afterwards.
    OrderlyThenReset,
};

/// Answers the beginning of a request at once and ends the connection.
void answerEarly(QTcpSocket& socket, const QByteArray& response, Ending ending)
{
    const int descriptor = static_cast<int>(socket.socketDescriptor());
    REQUIRE(::send(descriptor, response.constData(), static_cast<size_t>(response.size()), MSG_NOSIGNAL)
        == response.size());
    if (ending == Ending::OrderlyThenReset)
        ::shutdown(descriptor, SHUT_WR);
    resetConnection(socket);
}

RecordingObserver upload(const QByteArray& response, Ending ending)
{
    bool hasAnswered = false;
    ScriptedServer server([&](QTcpSocket& socket, const QByteArray&) {
        if (!std::exchange(hasAnswered, true))
            answerEarly(socket, response, ending);
    });
    PooledHttpClient client;
    RecordingObserver observer;
    const auto call = client.start(
        { .address = server.address(), .method = "POST", .target = "/", .body = QByteArray(uploadBytes, 'u') },
        observer);
    REQUIRE(waitFor([&] { return observer.hasEnded(); }));
    return observer;
}

/// Records how a connection ends.
class RecordingSocketListener final : public ClientSocketListener {
public:
    bool isConnected { false };
    QByteArray input;
    std::optional<SocketEnd> end;

    void onConnected() override { isConnected = true; }
    void onInput(QByteArrayView data) override { input += data; }
    void onEnded(SocketEnd reason) override { end = reason; }
};

}

// RFC 9112, section 6.3: a response without a length is complete only if its connection ends in order, and section 8:
// otherwise it is incomplete. Guards against callers that get a part of a response as the whole of it.
TEST_CASE("a response to an upload that is reset on the way is not complete")
{
    const QByteArray response = GENERATE(withoutLength + "fourteen", withoutLength, withLength + "fourteen",
        chunked + "e\r\nfourteen bytes\r\n",
        // All of the body has arrived, but nothing says so.
        withoutLength + body);
    CAPTURE(response.toStdString());
    for (int round = 0; round < 5; ++round) {
        const RecordingObserver observer = upload(response, Ending::Reset);
        CHECK(observer.finished == 0);
        CHECK(observer.failure);
    }
}

// RFC 9112, section 9.5: a server may answer, for example with 413, and close before it has read the request. Guards
// against sound responses that are lost because the rest of the request cannot be written.
TEST_CASE("a whole response to an upload reaches its caller, also if the connection is reset after it")
{
    const Ending ending = GENERATE(Ending::Reset, Ending::OrderlyThenReset);
    const QByteArray response = GENERATE(withLength + body, chunked + "e\r\nfourteen bytes\r\n0\r\n\r\n",
        "HTTP/1.1 413 Content Too Large\r\nConnection: close\r\nContent-Length: 14\r\n\r\n" + body,
        "HTTP/1.1 401 Unauthorized\r\nContent-Length: 14\r\n\r\n" + body);
    CAPTURE(response.toStdString());
    for (int round = 0; round < 5; ++round) {
        const RecordingObserver observer = upload(response, ending);
        CHECK(observer.finished == 1);
        CHECK(observer.body == body);
    }
}

// RFC 9112, section 6.3: the end of the server's direction is the end of the body. What happens to the upload after
// that does not change the response (section 9.6).
TEST_CASE("a response without a length is whole if the server ended it in order before it reset the upload")
{
    for (int round = 0; round < 5; ++round) {
        const RecordingObserver observer = upload(withoutLength + body, Ending::OrderlyThenReset);
        CHECK(observer.finished == 1);
        CHECK(observer.body == body);
    }
}

// Load: the write that fails is the first to see the reset, because nothing is read meanwhile. Guards against a reset
// that looks like an orderly end, because the failed write has taken the error of the socket.
TEST_CASE("a connection that is reset while it is written to does not end in order")
{
    const Ending ending = GENERATE(Ending::Reset, Ending::OrderlyThenReset);
    bool hasAnswered = false;
    ScriptedServer server([&](QTcpSocket& socket, const QByteArray&) {
        if (!std::exchange(hasAnswered, true))
            answerEarly(socket, body, ending);
    });
    RecordingSocketListener listener;
    ClientSocket socket(server.address(), listener);
    REQUIRE(waitFor([&] { return listener.isConnected; }));
    socket.setPaused(true);
    socket.write(QByteArray(uploadBytes, 'u'));
    REQUIRE(waitFor([&] { return hasAnswered; }));
    // This write fails, and the ones after it too.
    socket.write("u");
    socket.write("u");
    CHECK(socket.hasUnsentBytes());
    socket.setPaused(false);
    REQUIRE(waitFor([&] { return listener.end.has_value(); }));
    CHECK(listener.input == body);
    CHECK(*listener.end == (ending == Ending::Reset ? SocketEnd::Reset : SocketEnd::EndOfStream));
}

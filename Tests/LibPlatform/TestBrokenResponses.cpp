#include <LibCore/Error.h>
#include <LibCore/Post.h>
#include <LibPlatform/HttpObjectStore.h>
#include <LibPlatform/HttpTableService.h>
#include <Tests/Support/ResetConnection.h>
#include <Tests/Support/ScriptedServer.h>

#include <QThread>

#include <catch2/catch.hpp>

#include <memory>

using namespace Chicorydock;

namespace {

constexpr Milliseconds timeout { 10'000 };

/// How a platform ends the connection after its response.
enum class Ending {
    None,
    Close,
    Reset,
    /// It closes the connection when the next request arrives on it.
    CloseAtNextRequest,
};

/// A platform that answers every request with the same bytes. It has a thread of its own, since the clients block the
/// thread of the test.
class ScriptedPlatform {
public:
    ScriptedPlatform(QByteArray response, Ending ending)
    {
        m_context.moveToThread(&m_thread);
        m_thread.start();
        runAndWait(&m_context, [&] {
            m_server = std::make_unique<ScriptedServer>(
                [this, response, ending](QTcpSocket& socket, const QByteArray&) { respond(socket, response, ending); });
            m_address = m_server->address();
        });
    }

    ~ScriptedPlatform()
    {
        runAndWait(&m_context, [this] { m_server.reset(); });
        m_thread.quit();
        m_thread.wait();
    }

    const std::string& address() const { return m_address; }

    /// Returns how often a text was received on all connections.
    qsizetype arrivals(const QByteArray& text) const
    {
        qsizetype n = 0;
        runAndWait(&m_context, [&] { n = m_server->arrivals(text); });
        return n;
    }

private:
    void respond(QTcpSocket& socket, const QByteArray& response, Ending ending)
    {
        if (ending == Ending::CloseAtNextRequest && std::exchange(m_answered, &socket) == &socket) {
            m_answered = nullptr;
            socket.disconnectFromHost();
            return;
        }
        socket.write(response);
        socket.flush();
        end(socket, ending);
    }

    static void end(QTcpSocket& socket, Ending ending)
    {
        if (ending == Ending::Close)
            socket.disconnectFromHost();
        if (ending == Ending::Reset)
            resetConnection(socket);
    }

    QThread m_thread;
    mutable QObject m_context;
    /// Connection that has carried a request.
    const QTcpSocket* m_answered { nullptr };
    std::unique_ptr<ScriptedServer> m_server;
    std::string m_address;
};

template <typename Function> std::optional<ErrorKind> errorOf(Function function)
{
    try {
        function();
    } catch (const Error& error) {
        return error.kind();
    }
    return {};
}

const QByteArray ok = "HTTP/1.1 200 OK\r\n";

}

// Guards against content that the platform did not send, taken for an object or for the outcome of a write.
TEST_CASE("a broken response of the platform is no object, and leaves the outcome of a write unknown")
{
    const auto [response, ending] = GENERATE(table<QByteArray, Ending>({
        { "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n{}", Ending::Close },
        { "HTTP/2.0 200 OK\r\nContent-Length: 2\r\n\r\n{}", Ending::Close },
        { ok + "Content Length: 2\r\n\r\n{}", Ending::Close },
        { ok + " Content-Length: 2\r\n\r\n{}", Ending::Close },
        { ok + "no field\r\nContent-Length: 2\r\n\r\n{}", Ending::Close },
        { ok + "Content-Length: two\r\n\r\n{}", Ending::Close },
        { ok + "Content-Length: 2\r\nContent-Length: 3\r\n\r\n{}", Ending::Close },
        { ok + "Transfer-Encoding: chunke\r\n\r\n{}", Ending::Close },
        { ok + "Transfer-Encoding: chunked\r\n\r\n2 x\r\n{}\r\n0\r\n\r\n", Ending::Close },
        { ok + "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n", Ending::Close },
        { ok + "Content-Length: 3\r\n\r\n{}", Ending::Close },
        { ok + "Content-Encoding: gzip\r\nContent-Length: 2\r\n\r\n{}", Ending::Close },
        { ok + "\r\n{}", Ending::Reset },
    }));
    CAPTURE(response.toStdString());
    const ScriptedPlatform platform(response, ending);
    HttpObjectStore objects(platform.address(), timeout);
    CHECK(errorOf([&] { objects.get("a"); }) == ErrorKind::PlatformUnavailable);
    CHECK(errorOf([&] { objects.put("a", "content"); }) == ErrorKind::OutcomeUnknown);
    CHECK(errorOf([&] { objects.remove("a"); }) == ErrorKind::OutcomeUnknown);
}

TEST_CASE("an odd but valid response of the platform is taken")
{
    const auto [response, ending] = GENERATE(table<QByteArray, Ending>({
        { ok + "Content-Length: 2\r\n\r\n{}", Ending::None },
        { "HTTP/1.1 200\r\nContent-Length: 2\r\n\r\n{}", Ending::None },
        { ok + "Content-Length: 2\r\nConnection: close\r\n\r\n{}", Ending::Close },
        { "HTTP/1.0 200 OK\r\n\r\n{}", Ending::Close },
        { ok + "\r\n{}", Ending::Close },
        { ok + "Transfer-Encoding: chunked\r\n\r\n2;a=b\r\n{}\r\n0\r\nX: y\r\n\r\n", Ending::None },
        { "HTTP/1.1 100 Continue\r\n\r\n" + ok + "Content-Length: 2\r\n\r\n{}", Ending::None },
    }));
    CAPTURE(response.toStdString());
    const ScriptedPlatform platform(response, ending);
    HttpObjectStore objects(platform.address(), timeout);
    CHECK(objects.get("a") == "{}");
    CHECK_FALSE(errorOf([&] { objects.put("a", "content"); }));
}

// Guards against reads that fail because the platform closes an idle connection at the moment at which they are sent on
// it, and against writes that are sent twice.
TEST_CASE("a read is sent once more if its connection ends before the response, and a write is not")
{
    const ScriptedPlatform platform(ok + "Content-Length: 2\r\n\r\n{}", Ending::CloseAtNextRequest);
    HttpObjectStore objects(platform.address(), timeout);
    for (int n = 0; n < 5; ++n)
        CHECK(objects.get("a") == "{}");
    // Each call but the first finds the connection of the one before it.
    CHECK(platform.arrivals("GET ") == 9);
    CHECK(errorOf([&] { objects.put("a", "content"); }) == ErrorKind::OutcomeUnknown);
    CHECK(platform.arrivals("PUT ") == 1);
}

TEST_CASE("a read whose connections end before the response each time fails")
{
    const ScriptedPlatform platform("", Ending::Close);
    HttpObjectStore objects(platform.address(), timeout);
    CHECK(errorOf([&] { objects.get("a"); }) == ErrorKind::PlatformUnavailable);
    CHECK(platform.arrivals("GET ") == 2);
}

#include <LibCore/Error.h>
#include <LibCore/Post.h>
#include <LibPlatform/HttpObjectStore.h>
#include <LibPlatform/HttpTableService.h>
#include <Tests/Support/ScriptedServer.h>

#include <QThread>

#include <catch2/catch.hpp>

#include <memory>
#include <sys/socket.h>

using namespace Chicorydock;

namespace {

constexpr Milliseconds timeout { 10'000 };

/// A platform that answers every request with the same bytes and ends the connection. It has a thread of its own, since
/// the clients block the thread of the test.
class ScriptedPlatform {
public:
    ScriptedPlatform(QByteArray response, bool isReset)
    {
        m_context.moveToThread(&m_thread);
        m_thread.start();
        runAndWait(&m_context, [&] {
            m_server = std::make_unique<ScriptedServer>([response, isReset](QTcpSocket& socket, const QByteArray&) {
                socket.write(response);
                socket.flush();
                if (isReset) {
                    const linger option { .l_onoff = 1, .l_linger = 0 };
                    const int descriptor = static_cast<int>(socket.socketDescriptor());
                    ::setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
                    socket.abort();
                } else {
                    socket.disconnectFromHost();
                }
            });
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

private:
    QThread m_thread;
    QObject m_context;
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
    const auto [response, isReset] = GENERATE(table<QByteArray, bool>({
        { "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n{}", false },
        { "HTTP/2.0 200 OK\r\nContent-Length: 2\r\n\r\n{}", false },
        { ok + "Content Length: 2\r\n\r\n{}", false },
        { ok + " Content-Length: 2\r\n\r\n{}", false },
        { ok + "no field\r\nContent-Length: 2\r\n\r\n{}", false },
        { ok + "Content-Length: two\r\n\r\n{}", false },
        { ok + "Content-Length: 2\r\nContent-Length: 3\r\n\r\n{}", false },
        { ok + "Transfer-Encoding: chunke\r\n\r\n{}", false },
        { ok + "Transfer-Encoding: chunked\r\n\r\n2 x\r\n{}\r\n0\r\n\r\n", false },
        { ok + "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n", false },
        { ok + "Content-Length: 3\r\n\r\n{}", false },
        { ok + "Content-Encoding: gzip\r\nContent-Length: 2\r\n\r\n{}", false },
        { ok + "\r\n{}", true },
    }));
    CAPTURE(response.toStdString(), isReset);
    const ScriptedPlatform platform(response, isReset);
    HttpObjectStore objects(platform.address(), timeout);
    CHECK(errorOf([&] { objects.get("a"); }) == ErrorKind::PlatformUnavailable);
    CHECK(errorOf([&] { objects.put("a", "content"); }) == ErrorKind::OutcomeUnknown);
    CHECK(errorOf([&] { objects.remove("a"); }) == ErrorKind::OutcomeUnknown);
}

TEST_CASE("an odd but valid response of the platform is taken")
{
    const QByteArray response = GENERATE(ok + "Content-Length: 2\r\n\r\n{}",
        "HTTP/1.1 200\r\nContent-Length: 2\r\n\r\n{}", "HTTP/1.0 200 OK\r\n\r\n{}", ok + "\r\n{}",
        ok + "Transfer-Encoding: chunked\r\n\r\n2;a=b\r\n{}\r\n0\r\nX: y\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n\r\n" + ok + "Content-Length: 2\r\n\r\n{}");
    CAPTURE(response.toStdString());
    const ScriptedPlatform platform(response, false);
    HttpObjectStore objects(platform.address(), timeout);
    CHECK(objects.get("a") == "{}");
    CHECK_FALSE(errorOf([&] { objects.put("a", "content"); }));
}

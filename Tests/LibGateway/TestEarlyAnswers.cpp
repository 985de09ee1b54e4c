#include "ConnectedFixture.h"

#include <LibGateway/ItemRun.h>
#include <Tests/Support/ResetConnection.h>
#include <Tests/Support/ScriptedServer.h>
#include <catch2/catch.hpp>

#include <sys/socket.h>

#include <optional>

using namespace Chicorydock;

namespace {

/// More than the buffers of a connection hold, so that the upload is still being written when the answer arrives.
constexpr qsizetype uploadBytes = 16 * 1024 * 1024;

const QByteArray ok = "HTTP/1.1 200 OK\r\nRequest-Id: q1\r\nServer-Signature: s\r\n";
const QByteArray streamFields = "Content-Type: text/event-stream\r\n";

/// Two servers. The first upload, whichever of them gets it, is answered at once with a response without a length, or
/// with a part of one; then its connection is reset. The others are read and answered with a sound response.
class EarlyServers final {
public:
    EarlyServers(QByteArray early, QByteArray sound)
        : m_early(std::move(early))
        , m_sound(std::move(sound))
    {
    }

    std::vector<std::string> addresses() const { return { m_first.address(), m_second.address() }; }
    int uploads() const { return m_uploads; }

private:
    void respond(QTcpSocket& socket, const QByteArray& received)
    {
        const bool isHead = received.startsWith("POST ");
        m_uploads += isHead ? 1 : 0;
        if (m_uploads == 1) {
            if (isHead)
                answerEarly(socket);
            return;
        }
        m_received = isHead ? received.size() - received.indexOf("\r\n\r\n") - 4 : m_received + received.size();
        if (m_received < uploadBytes)
            return;
        socket.write(m_sound);
        socket.disconnectFromHost();
    }

    void answerEarly(QTcpSocket& socket)
    {
        const int descriptor = static_cast<int>(socket.socketDescriptor());
        REQUIRE(::send(descriptor, m_early.constData(), static_cast<size_t>(m_early.size()), MSG_NOSIGNAL)
            == m_early.size());
        resetConnection(socket);
    }

    const QByteArray m_early;
    const QByteArray m_sound;
    int m_uploads { 0 };
    qsizetype m_received { 0 };
    ScriptedServer m_first { [this](QTcpSocket& socket, const QByteArray& it) { respond(socket, it); } };
    ScriptedServer m_second { [this](QTcpSocket& socket, const QByteArray& it) { respond(socket, it); } };
};

/// Forwards an upload and returns the status of the response, also if that is cut off.
int runUpload(ConnectedFixture& node, const QByteArray& target)
{
    node.forward(ForwardingFixture::makeRequest(target, "q1", {}, QByteArray(uploadBytes, 'u')));
    REQUIRE(waitFor([&] { return node.exchange->isFinished || node.exchange->isAborted; }));
    return node.status();
}

/// A part of the body, and all of it: without a length, only the orderly end of the connection tells them apart.
const std::vector<QByteArray> earlyBodies { "spoil", "" };

}

// Guards against a caller that gets a part of an answer as the whole of it (MIXED), because its worker answered a long
// upload at once, without a length, and reset the connection (RFC 9112, section 8).
TEST_CASE("an upload whose answer is reset on the way is served by another endpoint, or fails")
{
    const QByteArray body = GENERATE(from_range(earlyBodies));
    const EarlyServers endpoints(ok + "\r\n" + body, ok + "Content-Length: 5\r\n\r\nsound");
    ConnectedFixture node(endpoints.addresses());
    SECTION("idempotent")
    {
        CHECK(runUpload(node, "/i/1") == 200);
        CHECK(node.exchange->response->body == "sound");
        CHECK(endpoints.uploads() == 2);
    }
    SECTION("not to be repeated")
    {
        CHECK(runUpload(node, "/u/1") == 502);
        CHECK_FALSE(node.exchange->response->body.contains("spoil"));
        CHECK(endpoints.uploads() == 1);
    }
}

// Guards against a stream that ends as complete although its worker reset it, also if the worker had sent all of it.
TEST_CASE("a stream that answers an upload and is reset does not look whole")
{
    const EarlyServers endpoints(ok + streamFields + "\r\n" + ForwardingFixture::event(1),
        ok + streamFields + "\r\n" + ForwardingFixture::event(2));
    ConnectedFixture node(endpoints.addresses());
    runUpload(node, "/u/1");
    CHECK((node.exchange->isAborted || node.status() == 502));
    CHECK(endpoints.uploads() == 1);
}

// Guards against the same over a peer: the connection to it is the one that is reset.
TEST_CASE("a relayed upload whose answer is reset on the way does not look whole")
{
    const QByteArray answer = ok + streamFields + "\r\n" + ForwardingFixture::event(1);
    const EarlyServers peers(answer, answer);
    const std::vector<std::string> unreachable { "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3" };
    ConnectedFixture node(unreachable);
    node.relayPeers.peers = { { "n2", peers.addresses().front(), PeerDistance::FailureDomain, 3 } };
    for (const std::string& it : unreachable)
        node.links.recordFailure("e" + it, node.clock.now());
    REQUIRE(node.links.areLost());
    runUpload(node, "/u/1");
    CHECK((node.exchange->isAborted || node.status() == 502));
    CHECK(peers.uploads() == 1);
}

// Guards against a result that is a part of the item's output, because the stream seemed to end in order.
TEST_CASE("an item whose output is reset on the way is run again")
{
    const EarlyServers endpoints(ok + streamFields + "\r\n" + ForwardingFixture::event(1),
        ok + streamFields + "\r\n" + ForwardingFixture::event(1) + ForwardingFixture::event(2));
    ConnectedFixture node(endpoints.addresses());
    const ItemRun::Job job { "j", "b", "h.example", node.clock.now() + std::chrono::seconds { 18 },
        node.clock.now() + std::chrono::seconds { 60 } };
    std::optional<JobResult> result;
    ItemRun run(node.environment, job, { "q1", "/b/1", {}, QByteArray(uploadBytes, 'u'), 10 },
        [&](JobResult it) { result = it; });
    run.start();
    REQUIRE(waitFor([&] {
        // An endpoint that has failed rests.
        node.clock.advance(Milliseconds { 50 });
        return result.has_value();
    }));
    CHECK(result->isCompleted);
    CHECK(result->output == "d1\nd2");
    CHECK(endpoints.uploads() == 2);
}

#include <LibRPC/PeerServer.h>
#include <LibRPC/RpcPeerLink.h>
#include <LibRPC/RpcServer.h>

#include <catch2/catch.hpp>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <future>
#include <set>

using namespace Chicorydock;

namespace {

// Runs functions immediately; the handlers below are thread-safe.
const Post inlinePost = [](const std::function<void()>& function) { function(); };

class EchoHandler final : public PeerHandler {
public:
    PeerMessage exchange(const PeerMessage& message) override
    {
        if (message.revision == 13)
            throw Error { ErrorKind::Conflict, "unlucky" };
        PeerMessage reply = message;
        reply.kind = PeerMessage::Kind::Ack;
        return reply;
    }
    std::optional<std::string> fetchRevision(uint64_t revision, uint64_t held) override
    {
        if (revision < 7)
            return {};
        return std::string("document\0with zero", 18) + std::to_string(held);
    }
    void yieldBatch(const std::string& service, const std::string& endpoint) override
    {
        yielded.set_value(service + "/" + endpoint);
    }

    std::promise<std::string> yielded;
};

class SetFilter final : public TrafficFilter {
public:
    bool permits(const std::string&) override { return isOpen; }
    std::atomic<bool> isOpen { true };
};

PeerMessage sampleMessage()
{
    PeerMessage message;
    message.from = { "n1", "127.0.0.1:1", "bajio", "b1", 42, MemberUpdate::State::Leaving };
    message.revision = 9;
    message.wallMilliseconds = -5;
    message.counter = 3;
    message.digest = 99;
    message.members = { { "n2", "127.0.0.1:2", "noroeste", "n1", 7, MemberUpdate::State::Dead } };
    message.records = { { "endpoint/e1", 8, std::string("a\0b", 3) } };
    return message;
}

class Fixture {
public:
    std::string address() const { return "127.0.0.1:" + std::to_string(server.port()); }

    std::optional<PeerMessage> exchange(const std::string& address, const PeerMessage& message, int timeout)
    {
        std::promise<std::optional<PeerMessage>> promise;
        link.exchange(address, message, Milliseconds { timeout },
            [&](std::optional<PeerMessage> reply) { promise.set_value(std::move(reply)); });
        return promise.get_future().get();
    }

    std::optional<std::string> fetch(uint64_t revision)
    {
        std::promise<std::optional<std::string>> promise;
        link.fetchRevision(address(), revision, 3, Milliseconds { 10'000 },
            [&](std::optional<std::string> document) { promise.set_value(std::move(document)); });
        return promise.get_future().get();
    }

    RpcThread thread;
    EchoHandler handler;
    SetFilter filter;
    RpcServer server { thread, "127.0.0.1:0", [this] { return kj::heap<PeerServer>(inlinePost, handler); }, {} };
    RpcPeerLink link { thread, inlinePost, { .maxConnections = 2 }, &filter };
};

// A TCP port whose connections are accepted by the system and never get a response.
class SilentPort {
public:
    explicit SilentPort(uint16_t port = 0)
        : m_socket(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        REQUIRE(bind(m_socket, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0);
        REQUIRE(listen(m_socket, 8) == 0);
        socklen_t length = sizeof(address);
        getsockname(m_socket, reinterpret_cast<sockaddr*>(&address), &length);
        m_port = ntohs(address.sin_port);
    }
    ~SilentPort() { close(m_socket); }

    std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }
    /// Closes the oldest pending connection; returns whether there was one.
    bool closeConnection() const { return close(accept(m_socket, nullptr, nullptr)) == 0; }

private:
    int m_socket;
    uint16_t m_port { 0 };
};

}

// Guards against fields that are lost or changed between two nodes.
TEST_CASE("an exchange carries every field there and back on one connection")
{
    Fixture fixture;
    const PeerMessage message = sampleMessage();
    PeerMessage expected = message;
    expected.kind = PeerMessage::Kind::Ack;
    CHECK(fixture.exchange(fixture.address(), message, 10'000) == expected);
    CHECK(fixture.exchange(fixture.address(), message, 10'000) == expected);
    CHECK(fixture.link.connectionCount() == 1);
    CHECK(fixture.fetch(7) == std::string("document\0with zero3", 19));
    CHECK(fixture.fetch(1) == std::nullopt);
    fixture.link.yieldBatch(fixture.address(), "assistant", "e1");
    CHECK(fixture.handler.yielded.get_future().get() == "assistant/e1");
}

// Guards against an error of the handler that closes the connection or is not reported to the caller.
TEST_CASE("an error response of the peer leaves the connection open")
{
    Fixture fixture;
    PeerMessage message = sampleMessage();
    message.revision = 13;
    CHECK(fixture.exchange(fixture.address(), message, 10'000) == std::nullopt);
    CHECK(fixture.link.connectionCount() == 1);
}

// Guards against invalid input from the wire that reaches the state machine.
TEST_CASE("messages with invalid fields are refused")
{
    Fixture fixture;
    PeerMessage message = sampleMessage();
    message.from.nodeId.clear();
    CHECK(fixture.exchange(fixture.address(), message, 10'000) == std::nullopt);
    message = sampleMessage();
    message.kind = PeerMessage::Kind::PingRequest;
    CHECK(fixture.exchange(fixture.address(), message, 10'000) == std::nullopt);
    message = sampleMessage();
    message.records.front().value.assign(100'000, 'x');
    CHECK(fixture.exchange(fixture.address(), message, 10'000) == std::nullopt);
    CHECK(fixture.exchange("name.invalid:1", sampleMessage(), 10'000) == std::nullopt);
}

// Guards against a dead connection that is reused again and again.
TEST_CASE("after a timeout the next exchange opens a new connection")
{
    Fixture fixture;
    const SilentPort port;
    CHECK(fixture.exchange(port.address(), sampleMessage(), 50) == std::nullopt);
    CHECK(fixture.link.connectionCount() == 0);
    CHECK(fixture.exchange(port.address(), sampleMessage(), 50) == std::nullopt);
    CHECK(port.closeConnection());
    CHECK(port.closeConnection());
}

// Guards against a number of connections that grows with the number of nodes.
TEST_CASE("the number of open connections is bounded")
{
    Fixture fixture;
    const RpcServer second(
        fixture.thread, "127.0.0.1:0", [&] { return kj::heap<PeerServer>(inlinePost, fixture.handler); }, {});
    const RpcServer third(
        fixture.thread, "127.0.0.1:0", [&] { return kj::heap<PeerServer>(inlinePost, fixture.handler); }, {});
    for (const uint32_t port : { fixture.server.port(), second.port(), third.port() })
        CHECK(fixture.exchange("127.0.0.1:" + std::to_string(port), sampleMessage(), 10'000));
    CHECK(fixture.link.connectionCount() == 2);
}

// Guards against a partition that lets messages through, and against one that persists after it was ended.
TEST_CASE("the filter drops traffic while it is closed")
{
    Fixture fixture;
    fixture.filter.isOpen = false;
    CHECK(fixture.exchange(fixture.address(), sampleMessage(), 20) == std::nullopt);
    fixture.filter.isOpen = true;
    CHECK(fixture.exchange(fixture.address(), sampleMessage(), 10'000));
}

// Guards against a server that starts without listening on its address.
TEST_CASE("an address that cannot be used is a clear error")
{
    RpcThread thread;
    CHECK_THROWS_AS(RpcServer(thread, "localhost:0", {}, {}), Error);
    const SilentPort taken;
    CHECK_THROWS_AS(RpcServer(thread, taken.address(), {}, {}), Error);
}

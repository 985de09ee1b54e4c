#include <LibGateway/ForwardedCall.h>
#include <LibGateway/GatewayHandler.h>

#include "FakeJobPeers.h"
#include "ForwardingFixture.h"

#include <catch2/catch.hpp>

using namespace Chicorydock;
using Phase = HttpFailure::Phase;

namespace {

QByteArray event(int id) { return ForwardingFixture::event(id); }

/// A node that has lost its connections to all endpoints, with two peers that have not, the nearer one at
/// `peerAddress`.
struct LostNode : ForwardingFixture {
    explicit LostNode(bool isLost = true)
        : ForwardingFixture(12)
    {
        relayPeers.peers = { { "far", "10.1.0.2:7660", PeerDistance::Region, 3 },
            { "near", peerAddress, PeerDistance::FailureDomain, 3 } };
        if (isLost)
            loseEndpoints();
    }

    void loseEndpoints()
    {
        for (const char* it : { "e0", "e1", "e2" })
            links.recordFailure(it, clock.now());
        REQUIRE(links.areLost());
    }

    void request(const QByteArray& target, HttpHeaders extra = {})
    {
        forward(makeRequest(target, "q1", std::move(extra)));
    }

    bool isAtPeer() { return http.last().request.address == peerAddress; }

    static constexpr const char* peerAddress = "10.0.0.99:7660";
};

}

// Guards against callers of a node without endpoints that are served worse than those of others (RECOVER).
TEST_CASE("a node that has lost the endpoints has its nearest peer forward a request and passes the response on")
{
    LostNode node;
    node.request("/u/1?x=1", { { "Model", "m" }, { "Resumes", "q0" } });
    REQUIRE(node.http.count() == 1);
    const HttpCallRequest& sent = node.http.last().request;
    CHECK(sent.address == LostNode::peerAddress);
    CHECK(sent.target == "/u/1?x=1");
    CHECK(sent.body == "body");
    CHECK(sent.headers.find("Request-Id") == "q1");
    CHECK(sent.headers.find("Host") == "h.example");
    CHECK(sent.headers.find("Model") == "m");
    CHECK(sent.headers.find("Resumes") == "q0");
    CHECK(sent.headers.find("Deadline-Ms")->toInt() <= 4'000);
    CHECK(sent.headers.find(relayField));
    CHECK_FALSE(sent.headers.find("Expect-Instance"));
    node.http.handOver();
    node.http.headers(200, { { "Server-Signature", "s" } });
    node.http.data(event(1));
    CHECK(node.exchange->response->body == event(1));
    node.http.data(event(2));
    node.http.finish();
    CHECK(node.exchange->response->body == event(1) + event(2));
    CHECK(node.exchange->response->headers.find("Server-Signature") == "s");
    CHECK(node.exchange->isFinished);
    CHECK(node.scheduler.ownUse().empty());
}

// Guards against a refusal that is not true, or that loses its retry delay on the way.
TEST_CASE("a peer's refusal is passed on, and a peer that fails is not taken for one that did not run the request")
{
    LostNode node;
    node.request("/u/1");
    SECTION("the peer refuses")
    {
        node.http.handOver();
        node.http.headers(503, { { "Retry-After", "0.5" } });
        node.http.finish();
        CHECK(node.exchange->response->status == 503);
        CHECK(node.exchange->response->headers.find("Retry-After") == "0.5");
    }
    SECTION("the peer fails")
    {
        node.http.handOver();
        node.http.fail(Phase::Sent);
        CHECK(node.exchange->response->status == 502);
        CHECK(node.http.count() == 1);
    }
    SECTION("the peer cannot be reached")
    {
        node.http.fail(Phase::NotSent);
        LostNode::settle();
        REQUIRE(node.http.count() == 2);
        CHECK(node.http.last().request.address == "10.1.0.2:7660");
    }
}

// Guards against two nodes without endpoints that hand a request to each other, and against a field of this product
// that reaches an endpoint.
TEST_CASE("a request from a peer is not handed over once more")
{
    LostNode node;
    node.request("/u/1", { { relayField, "1" } });
    REQUIRE(node.http.count() == 1);
    CHECK_FALSE(node.isAtPeer());
    CHECK_FALSE(node.http.last().request.headers.find(relayField));
}

// Guards against requests that are lost because they were waiting when the endpoints were lost.
TEST_CASE("requests that wait when the endpoints are lost are moved to a peer, unless they may have run")
{
    LostNode node(false);
    node.request(GENERATE("/u/1", "/s/1"));
    const bool isRepeatable = node.exchange->request().path == "/s/1";
    REQUIRE(node.http.count() == 1);
    const bool isSent = GENERATE(false, true);
    if (isSent)
        node.http.handOver();
    node.loseEndpoints();
    node.call->handleLostEndpoints();
    LostNode::settle();
    CHECK(node.scheduler.ownUse().empty());
    const bool isMoved = isRepeatable || !isSent;
    REQUIRE(node.http.count() == (isMoved ? 2 : 1));
    CHECK(node.isAtPeer() == isMoved);
    if (isMoved)
        return;
    // The response still counts if it arrives.
    node.http.headers(200, { { "Server-Signature", "s" } });
    node.http.data(event(1));
    node.http.finish();
    CHECK(node.exchange->isFinished);
}

// Guards against a stream that joins two software versions because a peer began it or continues it (ORDER).
TEST_CASE("a stream continues at a peer after its last event, and the peer can find out where it began")
{
    LostNode node(false);
    node.origins.setDefault({ "lm", "" });
    node.request("/s/1");
    node.http.handOver();
    node.http.headers(200, { { "Server-Signature", "s" } });
    node.http.data(event(1) + event(2));
    node.loseEndpoints();
    node.http.fail(Phase::Answering);
    LostNode::settle();
    REQUIRE(node.http.count() == 2);
    REQUIRE(node.isAtPeer());
    CHECK(node.http.last().request.headers.find("Last-Event-Id") == "2");
    CHECK(node.http.last().request.headers.find("Resumes") == "q1");
    node.http.handOver();
    node.http.headers(200, { { "Server-Signature", "t" } });
    node.http.data(event(3));
    node.http.finish();
    CHECK(node.exchange->response->body == event(1) + event(2) + event(3));
    CHECK(node.exchange->response->headers.find("Server-Signature") == "s");
    CHECK(node.exchange->isFinished);
}

// Guards against a stream that a peer began and that is continued at the version that this node used before (ORDER).
TEST_CASE("a stream that a peer began is continued where the peer began it")
{
    LostNode node;
    node.origins.record("q1", { "lm", "v2" }, [] {});
    node.request("/s/1");
    node.http.handOver();
    node.http.headers(200, { { "Server-Signature", "s" } });
    node.http.data(event(1));
    CHECK(node.rows.waitingCalls() == 0);
    CHECK(node.exchange->response->body == event(1));
    node.prober.isReachable = true;
    node.links.tick();
    node.links.tick();
    node.http.fail(Phase::Answering);
    node.rows.deliver();
    LostNode::settle();
    // Only endpoints without a version are in service.
    CHECK(node.http.count() == 1);
    CHECK(node.exchange->isAborted);
}

// Guards against work that is sent to an endpoint after a response that passed through here said that it is leaving.
TEST_CASE("a node learns from a relayed response that its endpoint is leaving, and callers do not see the endpoint")
{
    LostNode node;
    node.request("/u/1");
    node.http.handOver();
    node.http.headers(200, { { "Server-Signature", "s" }, { "Server-Leaving", "1" }, { relayedEndpointField, "e5" } });
    node.http.data(event(1));
    node.http.finish();
    CHECK_FALSE(node.directory.find("e5"));
    CHECK_FALSE(node.exchange->response->headers.find(relayedEndpointField));
    // The peer names it.
    LostNode peer(false);
    peer.request("/u/1", { { relayField, "1" } });
    const auto endpoint = peer.http.last().request.headers.find("Expect-Instance");
    peer.http.handOver();
    peer.http.headers(200, { { "Server-Signature", "s" } });
    peer.http.data(event(1));
    CHECK(peer.exchange->response->headers.find(relayedEndpointField) == endpoint);
}

// Guards against more attempts than the route allows, because a peer has already made them.
TEST_CASE("a failure that a peer reports is not attempted again")
{
    LostNode node;
    node.request("/i/1");
    node.http.handOver();
    node.http.headers(502, {});
    node.http.finish();
    LostNode::settle();
    CHECK(node.http.count() == 1);
    CHECK(node.exchange->response->status == 502);
}

// Guards against a node that goes on without its endpoints after it reaches them again, or that never tries.
TEST_CASE("a node that has lost the endpoints probes them and uses them again")
{
    LostNode node;
    node.links.tick();
    CHECK(node.links.areLost());
    CHECK(node.prober.probes == 1);
    node.prober.isReachable = true;
    node.links.tick();
    CHECK(node.links.areLost());
    node.links.tick();
    CHECK_FALSE(node.links.areLost());
    node.links.tick();
    CHECK(node.prober.probes == 3);
    node.request("/u/1");
    CHECK_FALSE(node.isAtPeer());
}

// Guards against a sound node that takes endpoints that crash or fall silent for a loss of its own connections.
TEST_CASE("a node has lost the endpoints only if several fail and hardly another one responds")
{
    EndpointLinks links;
    MonotonicTime now { std::chrono::hours { 1 } };
    const auto fail = [&](const std::string& endpoint) { links.recordFailure(endpoint, now, now); };
    for (int n = 0; n < 10; ++n)
        fail("e" + std::to_string(n % 2));
    CHECK_FALSE(links.areLost(now));
    fail("e2");
    CHECK(links.areLost(now));
    now += std::chrono::milliseconds { 2'100 };
    CHECK_FALSE(links.areLost(now));
    // A third of the endpoints crash.
    links.reset();
    for (int n = 0; n < 30; ++n) {
        if (n % 3 == 0)
            fail("e" + std::to_string(n));
        else
            links.recordResponse("r", now, now);
    }
    CHECK_FALSE(links.areLost(now));
    // Endpoints that are slow respond in the end.
    links.reset();
    for (int n = 0; n < 6; ++n)
        fail("e" + std::to_string(n));
    for (int n = 0; n < 4; ++n)
        links.recordResponse("e" + std::to_string(n), now, now);
    CHECK_FALSE(links.areLost(now));
    // Responses to earlier requests may still arrive after the loss.
    links.reset();
    const MonotonicTime before = now - std::chrono::milliseconds { 100 };
    for (int n = 0; n < 3; ++n) {
        fail("e" + std::to_string(n));
        links.recordResponse("r", before, now);
        links.recordResponse("r", before, now);
    }
    CHECK(links.areLost(now));
}

// Guards against a peer that is overloaded while others are idle, and against one that does not know the route yet.
TEST_CASE("a request goes to one of the nearest peers that have the configuration")
{
    SeededRandom random(1);
    const std::vector<RelayPeer> peers { { "a", "a:1", PeerDistance::FailureDomain, 4 },
        { "b", "b:1", PeerDistance::FailureDomain, 5 }, { "c", "c:1", PeerDistance::FailureDomain, 5 },
        { "d", "d:1", PeerDistance::OtherRegion, 5 } };
    std::map<std::string, int> chosen;
    for (int n = 0; n < 100; ++n)
        ++chosen[chooseRelayPeer(peers, 5, {}, random)->node];
    CHECK(chosen.size() == 2);
    CHECK(std::min(chosen["b"], chosen["c"]) > 30);
    CHECK(chooseRelayPeer(peers, 5, { "b", "c" }, random)->node == "d");
    CHECK(chooseRelayPeer(peers, 6, { "b", "c" }, random)->node == "a");
    CHECK_FALSE(chooseRelayPeer(peers, 5, { "a", "b", "c", "d" }, random));
}

// Guards against a 404 for a route that the peer knows and this node does not know yet (CONFIG).
TEST_CASE("a request from a peer whose route is not known here is refused as not run, with a retry delay")
{
    LostNode node(false);
    FakeJobPeers peers;
    JobController jobs(node.environment, node.rows, peers, "n1");
    GatewayHandler handler(node.environment, jobs);
    const HttpRequest request { "POST", "/new/1", {}, { { "Host", "h.example" }, { relayField, "1" } }, {}, "/new/1" };
    const auto exchange = std::make_shared<FakeExchange>(request);
    handler.handleRelayed(exchange);
    REQUIRE(exchange->response);
    CHECK(exchange->response->status == 503);
    CHECK(exchange->response->headers.find("Retry-After"));
}

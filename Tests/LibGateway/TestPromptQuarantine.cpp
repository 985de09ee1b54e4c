#include <LibGateway/ForwardedCall.h>

#include "GatewayFixture.h"

#include <Tests/Support/FakeExchange.h>
#include <catch2/catch.hpp>

using namespace Chicorydock;

namespace {

const HttpHeaders streamHeaders { { "Content-Type", "text/event-stream" }, { "Server-Signature", "s" } };

/// Requests to the endpoints of one node, each with the parts of its prompt.
struct PromptFixture : GatewayFixture {
    explicit PromptFixture(size_t endpoints)
        : GatewayFixture(endpoints)
    {
    }

    /// Forwards a request on a route that allows one attempt. Returns the status, 0 if the request was sent.
    int request(const QByteArray& prompt)
    {
        HttpRequest request { "POST", "/u/1", {},
            { { "Host", "h.example" }, { "Request-Id", "q" }, { "Deadline-Ms", "4000" }, { "Prompt-Prefix", prompt } },
            "body", "/u/1" };
        exchange = std::make_shared<FakeExchange>(request);
        const ForwardRequest decoded = wire.decodeRequest(request);
        const GatewayRoute* route = environment.configuration->findRoute(decoded.host, decoded.path);
        call
            = std::make_unique<ForwardedCall>(environment, exchange, decoded, environment.configuration, *route, [] {});
        call->start();
        settle();
        return exchange->response ? exchange->response->status : 0;
    }

    /// The endpoint accepts the latest request, begins its response and closes all connections.
    void crash()
    {
        http.handOver();
        http.headers(200, streamHeaders);
        http.fail(HttpFailure::Phase::Answering);
        clock.advance(Milliseconds { 400 });
    }

    void answer()
    {
        http.handOver();
        http.headers(200, streamHeaders);
        http.data("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
        http.finish();
    }

    std::shared_ptr<FakeExchange> exchange;
    std::unique_ptr<ForwardedCall> call;
};

QByteArray withOwnPart(const QByteArray& prompt, int n) { return prompt + ",own" + QByteArray::number(n) + ":250"; }

}

// Guards against requests that crash one endpoint after the other (incident b519), and against a remedy that refuses
// sound requests with them.
TEST_CASE("requests with a part under which five endpoints crashed are refused, and sound ones are served")
{
    PromptFixture fixture(12);
    int own = 0;
    for (int n = 0; n < 5; ++n) {
        if (fixture.request(withOwnPart("first:200,crashing:50", ++own)) == 0)
            fixture.crash();
        REQUIRE(fixture.request(withOwnPart("first:200,sound:50", ++own)) == 0);
        fixture.answer();
        CHECK(fixture.exchange->isFinished);
    }
    const size_t sent = fixture.http.count();
    REQUIRE(fixture.request(withOwnPart("first:200,crashing:50", ++own)) == 503);
    CHECK(fixture.http.count() == sent);
    CHECK(fixture.exchange->response->headers.find("Retry-After"));
    CHECK(fixture.request(withOwnPart("first:200,sound:50", ++own)) == 0);
    CHECK(fixture.request(withOwnPart("first:200", ++own)) == 0);
}

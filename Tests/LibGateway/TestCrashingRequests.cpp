#include <LibGateway/ForwardedCall.h>

#include "GatewayFixture.h"

#include <Tests/Support/FakeExchange.h>
#include <catch2/catch.hpp>

using namespace Chicorydock;

namespace {

/// Idempotent requests without a prompt to the endpoints of one node.
struct CrashFixture : GatewayFixture {
    CrashFixture()
        : GatewayFixture(12)
    {
    }

    /// Forwards a request. Returns the status, 0 if the request was sent and has no response yet.
    int request(const QByteArray& path, const QByteArray& body)
    {
        const HttpRequest request { "POST", path, {},
            { { "Host", "h.example" }, { "Request-Id", QByteArray::number(++lastRequest) }, { "Deadline-Ms", "4000" } },
            body, path };
        exchange = std::make_shared<FakeExchange>(request);
        const ForwardRequest decoded = wire.decodeRequest(request);
        const GatewayRoute* route = environment.configuration->findRoute(decoded.host, decoded.path);
        call
            = std::make_unique<ForwardedCall>(environment, exchange, decoded, environment.configuration, *route, [] {});
        call->start();
        settle();
        return exchange->response ? exchange->response->status : 0;
    }

    /// The endpoint accepts the latest request, crashes and starts again under another name.
    void crash()
    {
        const std::string id = http.last().request.headers.find("Expect-Instance")->toStdString();
        http.handOver();
        http.fail(HttpFailure::Phase::Answering);
        restart(id);
        settle();
        clock.advance(Milliseconds { 400 });
    }

    void answer()
    {
        http.handOver();
        http.headers(200);
        http.finish();
    }

    std::shared_ptr<FakeExchange> exchange;
    std::unique_ptr<ForwardedCall> call;
    int lastRequest { 0 };

private:
    void restart(const std::string& id)
    {
        EndpointRecord record = *directory.find(id);
        directory.remove(id, record.version, clock.now());
        record.id += "+";
        directory.put(record);
        broker.setEndpoints(directory.usable());
    }
};

}

// Guards against a request that crashes one endpoint after the other (BUDGET).
TEST_CASE("a request under which three endpoints crashed is refused when it comes again, and others are served")
{
    CrashFixture fixture;
    int crashes = 0;
    while (crashes < 3) {
        REQUIRE(fixture.request("/i/7", "crashing") == 0);
        // The node sends the request to a second endpoint by itself.
        for (int n = 0; n < 2 && !fixture.exchange->response; ++n, ++crashes)
            fixture.crash();
        CHECK(fixture.exchange->response->status == 502);
    }
    const size_t sent = fixture.http.count();
    CHECK(fixture.request("/i/7", "crashing") == 503);
    CHECK(fixture.http.count() == sent);
    REQUIRE(fixture.exchange->response);
    CHECK(fixture.exchange->response->headers.find("Retry-After"));
    for (const char* it : { "/i/7", "/i/8" }) {
        CHECK(fixture.request(it, it == std::string("/i/7") ? "sound" : "crashing") == 0);
        fixture.answer();
        CHECK(fixture.exchange->response->status == 200);
    }
}

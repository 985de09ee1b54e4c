#include <LibGateway/GatewayHandler.h>

#include "GatewayFixture.h"

#include <Tests/Support/FakeExchange.h>
#include <Tests/Support/MemoryRowStore.h>
#include <Tests/Support/WaitFor.h>
#include <catch2/catch.hpp>

using namespace Chicorydock;

namespace {

class NoPeers final : public JobPeers {
public:
    bool canRunJobs(const std::string&) const override { return false; }
    std::vector<std::string> nodesForJobs() const override { return {}; }
};

struct HandlerFixture : GatewayFixture {
    MemoryRowStore store { clock };
    NoPeers peers;
    JobController jobs { environment, store, peers, "n1" };
    GatewayHandler handler { environment, jobs };

    std::shared_ptr<FakeExchange> send(
        const QByteArray& method, const QByteArray& target, const QByteArray& body = {}, HttpHeaders headers = {})
    {
        const qsizetype mark = target.indexOf('?');
        HttpRequest request { method, mark < 0 ? target : target.first(mark),
            mark < 0 ? QByteArray() : target.mid(mark + 1), std::move(headers), body, target };
        request.headers.add("Host", "h.example");
        request.headers.add("Request-Id", "q1");
        auto exchange = std::make_shared<FakeExchange>(request);
        handler.handle(exchange);
        store.deliver();
        settle();
        return exchange;
    }
};

const QByteArray job = R"({"items":[{"id":"i1","path":"/b/x","headers":{},"body":"eA==","token_count":5}]})";

int statusOf(const std::shared_ptr<FakeExchange>& exchange)
{
    return exchange->response ? exchange->response->status : 0;
}

}

// Guards against a 404, which callers treat as permanent, from a node that has not received the configuration yet.
TEST_CASE("a node without a configuration answers 503, not 404")
{
    HandlerFixture fixture;
    fixture.environment.configuration = std::make_shared<const GatewayConfiguration>();
    const auto exchange = fixture.send("POST", "/s/1");
    CHECK(statusOf(exchange) == 503);
    CHECK(exchange->response->headers.find("Retry-After"));
}

// Guards against requests that reach an endpoint although no route matches them.
TEST_CASE("a request without a route is answered with 404")
{
    HandlerFixture fixture;
    CHECK(statusOf(fixture.send("POST", "/none/1")) == 404);
    CHECK(fixture.http.count() == 0);
}

// Guards against a job that can be submitted but not read or cancelled.
TEST_CASE("a job is submitted, read and cancelled")
{
    HandlerFixture fixture;
    CHECK(statusOf(fixture.send("POST", "/b/q1", job)) == 202);
    CHECK(statusOf(fixture.send("POST", "/b/q1", job)) == 202);
    CHECK(statusOf(fixture.send("POST", "/b/q1", "no job")) == 400);
    const auto page = fixture.send("GET", "/api/lots/q1?after=0");
    CHECK(statusOf(page) == 200);
    CHECK(page->response->body.contains(R"("total":1)"));
    const auto body = fixture.send("GET", "/api/items/q1?id=i1");
    CHECK(statusOf(body) == 200);
    CHECK(body->response->body == "x");
    CHECK(statusOf(fixture.send("GET", "/api/items/q1?id=other")) == 404);
    CHECK(statusOf(fixture.send("GET", "/api/lots/none?after=0")) == 404);
    CHECK(statusOf(fixture.send("DELETE", "/api/lots/q1")) == 200);
    CHECK(statusOf(fixture.send("DELETE", "/api/lots/q1")) == 200);
    CHECK(statusOf(fixture.send("DELETE", "/api/lots/none")) == 404);
}

// Guards against a long poll that keeps waiting although there is a new result.
TEST_CASE("a long poll returns a result as soon as it is committed")
{
    HandlerFixture fixture;
    REQUIRE(statusOf(fixture.send("POST", "/b/q1", job)) == 202);
    const auto reader = fixture.send("GET", "/api/lots/q1?after=0", {}, { { "Wait-Ms", "1000" } });
    CHECK_FALSE(reader->response);
    fixture.http.handOver();
    fixture.http.headers(200);
    fixture.http.data("id: 1\ndata: text\n\n");
    fixture.http.finish();
    // The commit of the result ends the long poll, not its timeout, because the clock does not advance.
    REQUIRE(waitFor([&] {
        fixture.store.deliver();
        return reader->response.has_value();
    }));
    CHECK(reader->response->body.contains(R"("output":"text")"));
}

#include <LibGateway/ForwardedCall.h>
#include <LibGateway/ItemRun.h>

#include "GatewayFixture.h"

#include <Tests/Support/FakeExchange.h>
#include <catch2/catch.hpp>

using namespace Chicorydock;

namespace {

QByteArray event(int id) { return "id: " + QByteArray::number(id) + "\ndata: d" + QByteArray::number(id) + "\n\n"; }

/// A node with six endpoints: the first three run version v1, the others v2.
struct VersionFixture : GatewayFixture {
    VersionFixture()
        : GatewayFixture(6)
    {
        for (int n = 0; n < 6; ++n) {
            EndpointRecord record = *directory.find("e" + std::to_string(n));
            record.softwareVersion = n < 3 ? "v1" : "v2";
            directory.put(record);
        }
        broker.setEndpoints(directory.usable());
    }

    /// Forwards a request for a stream.
    void request(const QByteArray& id, HttpHeaders extra = {})
    {
        HttpRequest request { "POST", "/s/1", {}, std::move(extra), "body", "/s/1" };
        request.headers.add("Host", "h.example");
        request.headers.add("Request-Id", id);
        request.headers.add("Deadline-Ms", "4000");
        exchange = std::make_shared<FakeExchange>(request);
        const ForwardRequest decoded = wire.decodeRequest(request);
        const GatewayRoute* route = environment.configuration->findRoute(decoded.host, decoded.path);
        call
            = std::make_unique<ForwardedCall>(environment, exchange, decoded, environment.configuration, *route, [] {});
        call->start();
        settle();
    }

    /// Returns the version of the software at the endpoint of the latest call.
    std::string calledVersion()
    {
        return directory.find(http.last().request.headers.find("Expect-Instance")->toStdString())->softwareVersion;
    }

    void removeEndpoints(const std::string& softwareVersion)
    {
        for (const EndpointRecord& it : directory.usable()) {
            if (it.softwareVersion == softwareVersion)
                directory.remove(it.id, it.version, clock.now());
        }
        broker.setEndpoints(directory.usable());
    }

    /// The endpoint of the latest call sends events and crashes.
    void sendEventsAndCrash(const QByteArray& events)
    {
        http.handOver();
        http.headers(200);
        http.data(events);
        http.fail(HttpFailure::Phase::Answering);
        settle();
    }

    std::shared_ptr<FakeExchange> exchange;
    std::unique_ptr<ForwardedCall> call;
};

}

// Guards against a stream that joins events of two software versions within one response (ORDER).
TEST_CASE("a stream whose endpoint crashes is resumed at the software version that began it, or not at all")
{
    VersionFixture fixture;
    const bool isVersionGone = GENERATE(false, true);
    for (int n = 0; n < 10; ++n) {
        fixture.request("q" + QByteArray::number(n));
        const std::string begun = fixture.calledVersion();
        const size_t sent = fixture.http.count();
        if (isVersionGone)
            fixture.removeEndpoints(begun);
        fixture.sendEventsAndCrash(event(1) + event(2));
        if (isVersionGone) {
            CHECK(fixture.http.count() == sent);
            CHECK(fixture.exchange->isAborted);
            return;
        }
        REQUIRE(fixture.http.count() == sent + 1);
        CHECK(fixture.calledVersion() == begun);
        fixture.http.handOver();
        fixture.http.headers(200);
        fixture.http.data(event(3));
        fixture.http.finish();
        CHECK(fixture.exchange->isFinished);
        fixture.clock.advance(std::chrono::seconds { 5 });
    }
}

// Guards against a stream that joins events of two software versions over a caller's attempts (ORDER).
TEST_CASE("a stream is not resumed at a node that cannot know which software version began it")
{
    VersionFixture fixture;
    fixture.request("q2", { { "Last-Event-Id", "3" }, { "Resumes", "q1" } });
    CHECK(fixture.http.count() == 0);
    REQUIRE(fixture.exchange->response);
    CHECK(fixture.exchange->response->status == 503);
}

// Guards against an item whose text joins events of two software versions (ORDER).
TEST_CASE("an item resumes at the software version that wrote its output, or starts anew")
{
    VersionFixture fixture;
    const bool isVersionGone = GENERATE(false, true);
    const ItemRun::Job job { "j", "b", "h.example", fixture.clock.now() + std::chrono::seconds { 18 },
        fixture.clock.now() + std::chrono::seconds { 60 } };
    for (int n = 0; n < 10; ++n) {
        std::optional<JobResult> result;
        ItemRun run(fixture.environment, job, { "i", "/b/1", {}, "body", 10 }, [&](JobResult it) { result = it; });
        run.start();
        VersionFixture::settle();
        const std::string begun = fixture.calledVersion();
        if (isVersionGone)
            fixture.removeEndpoints(begun);
        fixture.sendEventsAndCrash(event(1) + event(2));
        run.suspend();
        run.start();
        VersionFixture::settle();
        const auto lastEventId = fixture.http.last().request.headers.find("Last-Event-Id");
        CHECK((fixture.calledVersion() == begun) == !isVersionGone);
        CHECK(lastEventId.has_value() == !isVersionGone);
        fixture.http.handOver();
        fixture.http.headers(200);
        fixture.http.data(isVersionGone ? event(1) + event(2) + event(3) : event(3));
        fixture.http.finish();
        REQUIRE(result);
        CHECK(result->output == "d1\nd2\nd3");
        if (isVersionGone)
            return;
        fixture.clock.advance(std::chrono::seconds { 5 });
    }
}

#include <LibGateway/ForwardedCall.h>
#include <LibGateway/ItemRun.h>

#include "ForwardingFixture.h"

#include <Tests/Support/WaitFor.h>
#include <catch2/catch.hpp>

using namespace Chicorydock;

namespace {

QByteArray event(int id) { return ForwardingFixture::event(id); }

/// A node with six endpoints: the first three run version v1, the others v2.
struct VersionFixture : ForwardingFixture {
    VersionFixture()
        : ForwardingFixture(6)
    {
        for (int n = 0; n < 6; ++n) {
            EndpointRecord record = *directory.find("e" + std::to_string(n));
            record.softwareVersion = n < 3 ? "v1" : "v2";
            directory.put(record);
        }
        broker.setEndpoints(directory.usable());
    }

    /// Forwards a request for a stream.
    void request(const QByteArray& id, HttpHeaders extra = {}) { forward(makeRequest("/s/1", id, std::move(extra))); }

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
        rows.deliver();
        http.fail(HttpFailure::Phase::Answering);
        settle();
    }
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

// Load: a node that was cut off or stood still while endpoints of a new version joined. Guards against a stream that
// began at one of them through another node and goes on at the old version here (ORDER).
TEST_CASE("a node brings its views up to date before it takes a stream for one of the only version that it knows")
{
    ForwardingFixture fixture;
    const auto resume = [&] {
        fixture.forward(ForwardingFixture::makeRequest("/s/1", "q2", { { "Last-Event-Id", "3" } }));
        return fixture.status();
    };
    SECTION("nothing has changed")
    {
        CHECK(resume() == 0);
        CHECK(fixture.http.count() == 1);
        CHECK(fixture.endpointView.refreshes == 1);
    }
    SECTION("endpoints of a new version have joined")
    {
        fixture.endpointView.unknownChanges = [&] {
            EndpointRecord record { "e9", "10.0.0.9:80", "lm", "z1", 8, false, 1, 9 };
            record.softwareVersion = "v2";
            fixture.directory.put(record);
        };
        CHECK(resume() == 503);
        CHECK(fixture.http.count() == 0);
    }
    SECTION("the default version has changed")
    {
        fixture.rows.put({ "default_version", "", "lm" }, encodeDefaultVersion({ "lm", "v2", Milliseconds { 0 }, 0 }));
        CHECK(resume() == 503);
        CHECK(fixture.http.count() == 0);
    }
    SECTION("the store does not say whether something has changed")
    {
        (GENERATE(true, false) ? fixture.endpointView.isReachable = false : fixture.rows.isDown = true);
        CHECK(resume() == 503);
        CHECK(fixture.exchange->response->headers.find("Retry-After"));
        CHECK(fixture.http.count() == 0);
    }
}

// Guards against a stream that joins events of two software versions after the loss of all nodes (ORDER), and against
// streams that are not resumed although their version is in service (LOST).
TEST_CASE("a node that never saw a stream resumes it at the software version that began it")
{
    VersionFixture fixture;
    const std::string begun = GENERATE("v1", "v2");
    fixture.origins.record("q1", { "lm", begun }, [] {});
    fixture.request("q2", { { "Last-Event-Id", "3" }, { "Resumes", "q1" } });
    REQUIRE(fixture.http.count() == 1);
    CHECK(fixture.calledVersion() == begun);
    CHECK(fixture.http.last().request.headers.find("Last-Event-Id") == "3");
    // The node's own second attempt keeps to the version as well.
    fixture.sendEventsAndCrash(event(4));
    REQUIRE(fixture.http.count() == 2);
    CHECK(fixture.calledVersion() == begun);
    fixture.http.handOver();
    fixture.http.headers(200);
    fixture.http.data(event(5));
    fixture.http.finish();
    CHECK(fixture.exchange->response->body == event(4) + event(5));
    CHECK(fixture.exchange->isFinished);
}

// Guards against a wrong version while the store cannot be read, and against a refusal that tells callers to give up.
TEST_CASE("a stream whose origin cannot be read now is refused with a retry delay")
{
    VersionFixture fixture;
    fixture.rows.isDown = true;
    fixture.request("q2", { { "Last-Event-Id", "3" }, { "Resumes", "q1" } });
    REQUIRE(fixture.exchange->response);
    CHECK(fixture.exchange->response->status == 503);
    CHECK(fixture.exchange->response->headers.find("Retry-After"));
    CHECK(fixture.http.count() == 0);
}

// Guards against a caller that holds events of a stream of which no other node knows where it began, and against
// streams that wait for a store that does not respond.
TEST_CASE("the first events wait for the record of where their stream began, but not for long")
{
    VersionFixture fixture;
    fixture.request("q1");
    fixture.http.handOver();
    fixture.http.headers(200);
    fixture.http.data(event(1));
    fixture.http.data(event(2));
    CHECK_FALSE(fixture.exchange->response);
    SECTION("the record is written")
    {
        fixture.rows.deliver();
        CHECK(fixture.exchange->response->body == event(1) + event(2));
        fixture.http.data(event(3));
        CHECK(fixture.exchange->response->body == event(1) + event(2) + event(3));
        fixture.http.finish();
    }
    SECTION("the stream ends before")
    {
        fixture.http.data(event(3));
        fixture.http.finish();
        CHECK_FALSE(fixture.exchange->response);
        fixture.rows.deliver();
    }
    SECTION("the store does not respond")
    {
        waitFor([&] { return fixture.exchange->response.has_value(); });
        fixture.http.data(event(3));
        fixture.http.finish();
    }
    CHECK(fixture.exchange->response->body == event(1) + event(2) + event(3));
    CHECK(fixture.exchange->isFinished);
}

// Guards against streams that are taken for the default version because the store was away when they began (ORDER).
TEST_CASE("while the store takes no records, streams begin at the default version, if endpoints have it")
{
    VersionFixture fixture;
    fixture.origins.setDefault({ "lm", "v1" });
    fixture.origins.setStoreReachable(false);
    for (int n = 0; n < 10; ++n) {
        fixture.request("q" + QByteArray::number(n));
        CHECK(fixture.calledVersion() == "v1");
    }
    fixture.removeEndpoints("v1");
    fixture.request("q10");
    CHECK(fixture.calledVersion() == "v2");
    fixture.http.handOver();
    fixture.http.headers(200);
    fixture.http.data(event(1));
    CHECK(fixture.exchange->response->body == event(1));
}

// Guards against the same in the moment in which the store fails.
TEST_CASE("a stream that could be taken for another version does not begin without its record")
{
    VersionFixture fixture;
    fixture.origins.setDefault({ "lm", "v1" });
    for (int n = 0; n < 50 && (n == 0 || fixture.calledVersion() != "v2"); ++n)
        fixture.request("q" + QByteArray::number(n));
    REQUIRE(fixture.calledVersion() == "v2");
    fixture.http.handOver();
    fixture.http.headers(200);
    fixture.http.data(event(1));
    const bool isComplete = GENERATE(false, true);
    if (isComplete)
        fixture.http.finish();
    REQUIRE(waitFor([&] { return fixture.exchange->response.has_value(); }));
    // A complete stream is not resumed, so it is delivered.
    CHECK(fixture.status() == (isComplete ? 200 : 502));
    CHECK(fixture.exchange->response->body.contains("d1") == isComplete);
}

// Guards against streams that are delayed by records that nobody needs.
TEST_CASE("a stream at the default version of its service is not recorded")
{
    VersionFixture fixture;
    fixture.removeEndpoints("v2");
    fixture.origins.setDefault({ "lm", "v1" });
    fixture.request("q1");
    fixture.http.handOver();
    fixture.http.headers(200);
    fixture.http.data(event(1));
    REQUIRE(fixture.exchange->response);
    CHECK(fixture.exchange->response->body == event(1));
    CHECK(fixture.rows.waitingCalls() == 0);
    // So a stream without a record began there.
    fixture.request("q3", { { "Last-Event-Id", "1" }, { "Resumes", "q2" } });
    CHECK(fixture.http.count() == 2);
    CHECK(fixture.calledVersion() == "v1");
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

#include <LibGateway/RefusedResponseLog.h>

#include <Tests/Support/MemoryEventLog.h>
#include <Tests/Support/RecordingObserver.h>
#include <Tests/Support/ScriptedServer.h>
#include <Tests/Support/SimulatedClock.h>
#include <Tests/Support/WaitFor.h>
#include <catch2/catch.hpp>

using namespace Chicorydock;

namespace {

constexpr auto metric = "chicorydock_refused_responses_total";

/// A client of a server that responds to every request with the same bytes and closes the connection.
struct Fixture {
    explicit Fixture(const QByteArray& response)
        : server([response](QTcpSocket& socket, const QByteArray&) {
            socket.write(response);
            socket.disconnectFromHost();
        })
    {
    }

    void call()
    {
        RecordingObserver observer;
        const auto handle = client.start({ .address = server.address(), .method = "POST", .target = "/" }, observer);
        REQUIRE(waitFor([&] { return observer.hasEnded(); }));
    }

    uint64_t refused() { return metrics.counter(metric, "", { { "client", "endpoints" } }).value(); }

    ScriptedServer server;
    SimulatedClock clock;
    MemoryEventLog events;
    MetricsRegistry metrics;
    PooledHttpClient client;
    RefusedResponseLog log { client, "endpoints", events, metrics, clock };
};

}

// Guards against broken responses that nobody can find, and against bytes of bodies or keys in the log.
TEST_CASE("a refused response is counted and logged with what was wrong, without its bytes")
{
    const QByteArray response = GENERATE("HTTP/1.1 200 OK\r\nsecret name: secret\r\n\r\nsecret",
        "HTTP/1.1 200 OK\r\nContent-Length: secret\r\n\r\nsecret", "HTTP/1.1 000 secret\r\n\r\nsecret",
        "secret\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: secret\r\n\r\nsecret",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nsecret\r\n",
        "HTTP/1.1 200 OK\r\nContent-Encoding: secret\r\n\r\nsecret");
    CAPTURE(response.toStdString());
    Fixture fixture(response);
    fixture.call();
    CHECK(fixture.refused() == 1);
    REQUIRE(fixture.events.events.size() == 1);
    const Event& event = fixture.events.events.front();
    CHECK(event.subject == "response");
    CHECK(event.action == "refused");
    CHECK(event.id == fixture.server.address());
    const QString reason = event.details["reason"].toString();
    CHECK(reason.size() > 20);
    CHECK(reason.size() < 200);
    CHECK_FALSE(reason.contains("secret"));
}

TEST_CASE("a response that is taken or cut off is not counted as refused")
{
    const QByteArray response = GENERATE("HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\no", "");
    Fixture fixture(response);
    fixture.call();
    CHECK(fixture.refused() == 0);
    CHECK(fixture.events.events.empty());
}

// Guards against a log that a faulty server fills.
TEST_CASE("many refused responses in a second leave a limited number of lines, and the next one says how many it lacks")
{
    Fixture fixture("HTTP/1.1 000 None\r\n\r\n");
    for (int n = 0; n < 25; ++n)
        fixture.call();
    CHECK(fixture.refused() == 25);
    CHECK(fixture.events.events.size() == 10);
    fixture.clock.advance(std::chrono::seconds { 1 });
    fixture.call();
    CHECK(fixture.events.events.size() == 11);
    CHECK(fixture.events.events.back().details["omitted_lines"].toInt() == 15);
}

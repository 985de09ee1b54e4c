#include <LibGateway/ForwardedCall.h>

#include "ForwardingFixture.h"

#include <Tests/Support/SimulatedEventLoop.h>
#include <catch2/catch.hpp>

#include <functional>

using namespace Chicorydock;
using Phase = HttpFailure::Phase;

namespace {

QByteArray event(int id) { return ForwardingFixture::event(id); }

/// What the caller has of a stream when its first endpoint breaks off.
enum class Begun {
    Nothing,
    Held,
    Sent,
};

/// A node with six endpoints, of which all streams have to be recorded if they have a version.
struct StreamFixture : ForwardingFixture {
    explicit StreamFixture(const std::string& softwareVersion = "")
        : ForwardingFixture(6)
    {
        for (int n = 0; n < 6; ++n) {
            EndpointRecord record = *directory.find("e" + std::to_string(n));
            record.softwareVersion = softwareVersion;
            directory.put(record);
        }
        broker.setEndpoints(directory.usable());
    }

    void request(const QByteArray& target, HttpHeaders extra = {})
    {
        forward(makeRequest(target, "q1", std::move(extra)));
    }

    /// The endpoint of the latest call begins to respond.
    void beginResponse(int status, const HttpHeaders& headers)
    {
        http.handOver();
        http.headers(status, headers);
    }

    /// The first endpoint begins a stream and breaks off, and the stream is resumed at the next one.
    void breakOff(Begun begun)
    {
        beginStream(begun);
        http.fail(Phase::Answering);
        settle();
    }

    void beginStream(Begun begun)
    {
        request("/s/1");
        beginResponse(200, { { "Content-Type", "text/event-stream" }, { "Server-Signature", "first" } });
        if (begun != Begun::Nothing)
            http.data(event(1) + event(2));
        if (begun == Begun::Sent)
            rows.deliver();
    }
};

/// What the caller has got.
struct Outcome {
    int status { 0 };
    HttpHeaders headers;
    QByteArray body;
    bool isFinished { false };
    bool isAborted { false };
    size_t calls { 0 };

    std::optional<QByteArray> signature() const { return headers.find("Server-Signature"); }
};

/// Runs the function with a node on simulated time, and returns what the caller has got in the end.
Outcome play(const std::string& softwareVersion, const std::function<void(StreamFixture&, SimulatedEventLoop&)>& run)
{
    Outcome outcome;
    runOnSimulatedTime([&](SimulatedEventLoop& loop) {
        StreamFixture fixture(softwareVersion);
        run(fixture, loop);
        const HttpResponse response = fixture.exchange->response.value_or(HttpResponse { 0, {}, {} });
        outcome = { response.status, response.headers, response.body, fixture.exchange->isFinished,
            fixture.exchange->isAborted, fixture.http.count() };
    });
    return outcome;
}

}

// Guards against a status or signature that belongs to another endpoint than the events below it.
TEST_CASE("events that were held back leave with the head of the endpoint that sent them")
{
    const bool hasNextHead = GENERATE(false, true);
    const Outcome outcome = play("v2", [&](StreamFixture& it, SimulatedEventLoop&) {
        it.breakOff(Begun::Held);
        if (hasNextHead)
            it.beginResponse(404, { { "Server-Signature", "second" } });
        it.rows.deliver();
    });
    CHECK(outcome.calls == 2);
    CHECK(outcome.status == 200);
    CHECK(outcome.signature() == "first");
    CHECK(outcome.body == event(1) + event(2));
}

#pragma once

#include <LibGateway/ForwardedCall.h>
#include <LibGateway/ItemRun.h>

#include "ForwardingFixture.h"

#include <Tests/Support/SimulatedEventLoop.h>

#include <functional>

namespace Chicorydock {

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

    void setMaxAttempts(uint32_t attempts)
    {
        GatewayConfiguration configuration = *environment.configuration;
        for (GatewayRoute& it : configuration.routes)
            it.maxAttempts = attempts;
        environment.configuration = std::make_shared<const GatewayConfiguration>(configuration);
    }

    /// The endpoint of the latest call begins to respond.
    void beginResponse(int status, const HttpHeaders& headers)
    {
        http.handOver();
        http.headers(status, headers);
    }

    /// The endpoint of the latest call sends a whole response, unless the call is cancelled.
    void respond(const HttpResponse& response)
    {
        beginResponse(response.status, response.headers);
        if (!response.body.isEmpty() && !http.last().isCancelled)
            http.data(response.body);
        if (!http.last().isCancelled)
            http.finish();
        settle();
    }

    /// From now on, a peer forwards the requests of this node.
    void loseEndpoints()
    {
        relayPeers.peers = { { "peer", peerAddress, PeerDistance::FailureDomain, 3 } };
        for (const char* it : { "e0", "e1", "e2" })
            links.recordFailure(it, clock.now());
    }

    /// The first endpoint begins a stream and breaks off, and the stream is resumed at the next one.
    void breakOff(Begun begun)
    {
        beginStream(begun);
        http.fail(HttpFailure::Phase::Answering);
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

    static constexpr const char* peerAddress = "10.0.0.99:7660";
};

/// What the caller has got.
struct Outcome {
    int status { 0 };
    HttpHeaders headers;
    QByteArray body;
    bool isFinished { false };
    bool isAborted { false };
    size_t calls { 0 };
    /// The event after which the latest call resumes.
    std::optional<QByteArray> lastEventId;

    std::optional<QByteArray> signature() const { return headers.find("Server-Signature"); }
};

/// Runs the function with a node on simulated time, and returns what the caller has got in the end.
inline Outcome play(
    const std::string& softwareVersion, const std::function<void(StreamFixture&, SimulatedEventLoop&)>& run)
{
    Outcome outcome;
    runOnSimulatedTime([&](SimulatedEventLoop& loop) {
        StreamFixture fixture(softwareVersion);
        run(fixture, loop);
        const HttpResponse response = fixture.exchange->response.value_or(HttpResponse { 0, {}, {} });
        outcome = { response.status, response.headers, response.body, fixture.exchange->isFinished,
            fixture.exchange->isAborted, fixture.http.count(),
            fixture.http.last().request.headers.find("Last-Event-Id") };
    });
    return outcome;
}

inline Outcome play(const std::function<void(StreamFixture&, SimulatedEventLoop&)>& run) { return play("", run); }

inline HttpHeaders streamHeaders(HttpHeaders extra = {})
{
    extra.add("Content-Type", "text/event-stream");
    extra.add("Server-Signature", "second");
    return extra;
}

inline HttpResponse answer(int status, const QByteArray& contentType, const QByteArray& body)
{
    return { status, { { "Content-Type", contentType }, { "Server-Signature", "second" } }, body };
}

/// A node that runs one item.
struct ItemFixture : StreamFixture {
    const ItemRun::Job job { "j", "b", "h.example", clock.now() + std::chrono::seconds { 18 },
        clock.now() + std::chrono::seconds { 60 } };
    std::optional<JobResult> result;
    ItemRun run { environment, job, { "i", "/b/1", {}, "body", 10 }, [this](JobResult it) { result = it; } };

    ItemFixture()
    {
        run.start();
        settle();
    }

    void continueRun()
    {
        run.suspend();
        run.start();
        settle();
    }

    /// The first endpoint breaks off after two events.
    void breakOff()
    {
        beginResponse(200, streamHeaders());
        http.data(event(1) + event(2));
        http.fail(HttpFailure::Phase::Answering);
        continueRun();
    }
};

struct ItemOutcome {
    std::optional<JobResult> result;
    size_t calls { 0 };
    std::optional<QByteArray> lastEventId;

    QByteArray output() const { return result ? result->output : QByteArray("no result"); }
};

/// Runs the function with an item on simulated time, and returns the result of the item in the end.
inline ItemOutcome playItem(const std::function<void(ItemFixture&)>& run)
{
    ItemOutcome outcome;
    runOnSimulatedTime([&](SimulatedEventLoop&) {
        ItemFixture fixture;
        run(fixture);
        outcome = { fixture.result, fixture.http.count(), fixture.http.last().request.headers.find("Last-Event-Id") };
    });
    return outcome;
}

}

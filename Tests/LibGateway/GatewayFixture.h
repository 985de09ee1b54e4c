#pragma once

#include <LibCore/SeededRandom.h>
#include <LibGateway/GatewayEnvironment.h>
#include <LibGateway/SlotScheduler.h>
#include <Tests/Support/FakeHttpClient.h>
#include <Tests/Support/MemoryEventLog.h>
#include <Tests/Support/MemoryRowStore.h>
#include <Tests/Support/SimulatedClock.h>
#include <platform/PlatformWireFormat.h>

#include <QCoreApplication>

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace Chicorydock {

/// Probes whose results the test sets.
struct FakeProber final : EndpointProber {
    bool isReachable { false };
    size_t probes { 0 };

    void probe(const std::string&, std::function<void(bool isReachable)> onDone) override
    {
        ++probes;
        onDone(isReachable);
    }
};

struct FakeRelayPeers final : RelayPeers {
    std::vector<RelayPeer> peers;

    std::vector<RelayPeer> relayPeers() const override { return peers; }
};

/// A view that is up to date unless the test says otherwise.
struct FakeViewRefresher final : ViewRefresher {
    bool isReachable { true };
    /// Changes that this node has not heard of yet. Applied by the next refresh.
    std::function<void()> unknownChanges;
    size_t refreshes { 0 };

    void refresh(std::function<void(bool isCurrent)> onDone) override
    {
        ++refreshes;
        if (isReachable && unknownChanges)
            std::exchange(unknownChanges, {})();
        onDone(isReachable);
    }
};

/// The dependencies of a gateway, with one service `lm` of several endpoints and four routes: `/s/` (resumable stream),
/// `/u/` (stream that is not resumable), `/i/` (idempotent) and `/b/` (jobs).
struct GatewayFixture {
    SimulatedClock clock;
    SeededRandom random { 1 };
    PlatformWireFormat wire;
    FakeHttpClient http;
    /// The client that the environment uses, `http` unless the test has one of its own.
    HttpClient& client;
    MemoryEventLog log;
    MetricsRegistry metrics;
    /// Enough for all tests but those that set an amount of their own.
    MemoryBudget responseMemory;
    EndpointDirectory directory;
    PromptQuarantine quarantine { "n1" };
    MemoryRowStore rows { clock };
    StreamOrigins origins { rows, clock };
    FakeViewRefresher endpointView;
    FakeProber prober;
    EndpointLinkMonitor links { clock, random, directory, prober, log };
    FakeRelayPeers relayPeers;
    SlotScheduler scheduler { { "n1", "z1", { { "z1", "r1" } } }, random };
    SlotBroker broker { scheduler, clock, [] {} };
    GatewayEnvironment environment { clock, random, wire, client, broker, directory, quarantine, origins, endpointView,
        links, relayPeers, log, metrics, responseMemory, std::make_shared<const GatewayConfiguration>() };

    explicit GatewayFixture(size_t endpoints = 3, Milliseconds gapTarget = Milliseconds { 0 },
        HttpClient* ownClient = nullptr, size_t responseBytes = size_t { 1 } << 30U)
        : client(ownClient ? *ownClient : http)
        , responseMemory(responseBytes)
    {
        std::vector<EndpointRecord> records;
        for (size_t n = 0; n < endpoints; ++n)
            records.push_back(
                { "e" + std::to_string(n), "10.0.0." + std::to_string(n) + ":80", "lm", "z1", 8, false, 1 });
        directory.replaceAll(records, 0, clock.now());
        scheduler.setEndpoints(records);
        origins.setDefault({ "lm", "" });
        GatewayConfiguration configuration;
        configuration.version = 3;
        configuration.routes = { makeRoute("s", RouteKind::Stream, true), makeRoute("u", RouteKind::Stream, false),
            makeRoute("i", RouteKind::Idempotent, false), makeRoute("b", RouteKind::Batch, true) };
        for (GatewayRoute& it : configuration.routes)
            it.gapTarget = gapTarget;
        environment.configuration = std::make_shared<const GatewayConfiguration>(configuration);
    }

    /// Processes queued events, so that scheduled decisions are delivered.
    static void settle()
    {
        for (int n = 0; n < 4; ++n)
            QCoreApplication::processEvents();
    }

private:
    static GatewayRoute makeRoute(const std::string& name, RouteKind kind, bool isResumable)
    {
        GatewayRoute route;
        route.name = name;
        route.host = "h.example";
        route.prefix = "/" + name + "/";
        route.kind = kind;
        route.shares = { { "lm", 1 } };
        route.timeout = Milliseconds { 5'000 };
        route.latencyTarget = Milliseconds { 300 };
        route.maxAttempts = 2;
        route.isResumable = isResumable;
        route.completionTarget = std::chrono::seconds { 18 };
        route.maxWait = std::chrono::seconds { 60 };
        route.maxWaitingTokens = 1'000;
        return route;
    }
};

}

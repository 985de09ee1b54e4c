#pragma once

#include <LibCore/Clock.h>

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Chicorydock {

/// What the requests of a route allow.
enum class RouteKind : uint8_t {
    /// A whole answer; the request may run more than once.
    Idempotent,
    /// A whole answer; the request may run at most once.
    NonIdempotent,
    /// A series of events.
    Stream,
    /// Jobs of many items that run later.
    Batch,
};

/// A service that takes a share of the requests of a route.
struct ServiceShare {
    std::string service;
    uint32_t weight { 1 };

    auto operator<=>(const ServiceShare&) const = default;
};

/// Which requests go to which service, and how.
struct GatewayRoute {
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    RouteKind kind { RouteKind::NonIdempotent };
    std::vector<ServiceShare> shares;
    /// Longest time that a caller is kept waiting.
    Milliseconds timeout { 0 };
    /// Time to the first byte, or of a job to its acceptance, within which an answer has its full worth.
    Milliseconds latencyTarget { 0 };
    /// Longest pause between events within which a stream has its full worth.
    Milliseconds gapTarget { 0 };
    /// 0 is the highest.
    uint32_t priority { 0 };
    /// Endpoints to which one request, or failed runs of one item, may go.
    uint32_t maxAttempts { 1 };
    /// Whether a stream may go on at another endpoint.
    bool isResumable { false };
    /// Time from the submission of a job within which its items have their full worth.
    Milliseconds completionTarget { 0 };
    /// Time from the submission of a job after which its items may be abandoned.
    Milliseconds maxWait { 0 };
    /// Tokens of all waiting items of the route; 0 means no limit.
    uint64_t maxWaitingTokens { 0 };

    auto operator<=>(const GatewayRoute&) const = default;

    /// Returns whether a request may run more than once.
    bool isRepeatable() const { return kind == RouteKind::Idempotent || (kind == RouteKind::Stream && isResumable); }
};

/// A service that endpoints offer.
struct GatewayService {
    std::string name;
    /// Connections that one endpoint accepts from all nodes together; 0 means no limit.
    uint32_t maxConnections { 0 };
    /// Whether the endpoints are model engines.
    bool isEngine { false };

    auto operator<=>(const GatewayService&) const = default;
};

/// Bounds on what callers may send.
struct CallerLimits {
    uint64_t maxHeaderBytes { 16 * 1024 };
    uint64_t maxBodyBytes { 4 * 1024 * 1024 };
    Milliseconds headerTimeout { 3'000 };
    Milliseconds idleTimeout { 15'000 };

    auto operator<=>(const CallerLimits&) const = default;
};

/// One accepted version of the routes and services. Immutable once published.
struct GatewayConfiguration {
    /// 0 means that no version is known yet.
    uint64_t version { 0 };
    std::vector<GatewayRoute> routes;
    std::vector<GatewayService> services;
    CallerLimits limits;

    auto operator<=>(const GatewayConfiguration&) const = default;

    /// Returns the route of that host with the longest prefix that begins the path, or null.
    const GatewayRoute* findRoute(std::string_view host, std::string_view path) const;

    /// Returns the route with that name, or null.
    const GatewayRoute* findRouteByName(std::string_view name) const;
};

/// Returns the service for a request, in proportion to the weights; `draw` is uniform in [0, 1). Empty if the route has
/// no service.
std::string chooseService(const GatewayRoute&, double draw);

}

#pragma once

#include <LibCore/Clock.h>
#include <LibGateway/WorkspaceLimits.h>

#include <QByteArray>

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Chicorydock {

/// How the requests of a route may be run and are answered.
enum class RouteKind : uint8_t {
    /// A single response; the request may run more than once.
    Idempotent,
    /// A single response; the request may run at most once.
    NonIdempotent,
    /// A stream of events.
    Stream,
    /// Jobs of many items that run asynchronously.
    Batch,
};

/// A service that receives a share of the requests of a route.
struct ServiceShare {
    std::string service;
    uint32_t weight { 1 };

    auto operator<=>(const ServiceShare&) const = default;
};

/// Rule that maps requests to services.
struct GatewayRoute {
    std::string name;
    std::string host;
    /// Begins and ends with a slash; empty if it could not be read.
    std::string prefix;
    RouteKind kind { RouteKind::NonIdempotent };
    /// Empty if the kind or the services of the route could not be read.
    std::vector<ServiceShare> shares;
    /// Maximum time for which a caller is kept waiting.
    Milliseconds timeout { 0 };
    /// Target for the time to the first byte or, for a job, to its acceptance.
    Milliseconds latencyTarget { 0 };
    /// Target for the longest pause between the events of a stream.
    Milliseconds gapTarget { 0 };
    /// 0 is the highest.
    uint32_t priority { 0 };
    /// Maximum number of endpoints for one request, or of failed runs for one item.
    uint32_t maxAttempts { 1 };
    /// Whether a stream may be resumed at another endpoint.
    bool isResumable { false };
    /// Target for the time from the submission of a job to the completion of its items.
    Milliseconds completionTarget { 0 };
    /// Time from the submission of a job after which its items may be abandoned.
    Milliseconds maxWait { 0 };
    /// Maximum number of tokens of all queued items of the route, or of each workspace on it if there are workspaces; 0
    /// means no limit.
    uint64_t maxWaitingTokens { 0 };
    /// Whether callers need no key.
    bool allowsAnonymous { false };

    auto operator<=>(const GatewayRoute&) const = default;

    /// Returns whether the service receives requests of the route.
    bool leadsTo(std::string_view service) const;

    /// Returns whether a service receives the requests. The requests of other routes are refused; they must not be
    /// run by the service of a route with a shorter prefix.
    bool isServable() const;

    /// Returns whether a request may run more than once.
    bool isRepeatable() const { return kind == RouteKind::Idempotent || (kind == RouteKind::Stream && isResumable); }
};

/// A service that endpoints offer.
struct GatewayService {
    std::string name;
    /// Maximum number of connections that one endpoint accepts from all nodes together; 0 means no limit.
    uint32_t maxConnections { 0 };
    /// Whether the endpoints are model engines.
    bool isEngine { false };

    auto operator<=>(const GatewayService&) const = default;
};

/// Limits on the requests and connections of callers.
struct CallerLimits {
    uint64_t maxHeaderBytes { 16 * 1024 };
    uint64_t maxBodyBytes { 4 * 1024 * 1024 };
    Milliseconds headerTimeout { 3'000 };
    Milliseconds idleTimeout { 15'000 };

    auto operator<=>(const CallerLimits&) const = default;
};

/// A customer, identified by the keys of its callers.
struct GatewayWorkspace {
    WorkspaceLimits limits;
    /// SHA-256 digests of the keys, so that no key is kept in memory, logged or sent to a peer.
    std::vector<QByteArray> keyDigests;
    /// Replaces the priority of routes; 0 is the highest.
    std::optional<uint32_t> priority;

    auto operator<=>(const GatewayWorkspace&) const = default;
};

/// Part of a configuration that cannot be read and has no effect. Contains no key.
struct ConfigurationFault {
    /// Name of the workspace, or its position in the document if the name cannot be read.
    std::string workspace;
    std::string reason;

    auto operator<=>(const ConfigurationFault&) const = default;
};

/// An accepted version of the routes and services. Immutable once published.
struct GatewayConfiguration {
    /// 0 means that no configuration has been received yet.
    uint64_t version { 0 };
    std::vector<GatewayRoute> routes;
    std::vector<GatewayService> services;
    CallerLimits limits;
    /// Whether callers need the key of a workspace, except on routes that allow anonymous ones.
    bool hasWorkspaces { false };
    /// Those that can be read; their names differ.
    std::vector<GatewayWorkspace> workspaces;
    /// What cannot be read about the workspaces, for the log.
    std::vector<ConfigurationFault> faults;

    auto operator<=>(const GatewayConfiguration&) const = default;

    /// Returns the route of the host with the longest prefix that matches the path, or null. A route without a host or
    /// a prefix matches nothing.
    const GatewayRoute* findRoute(std::string_view host, std::string_view path) const;

    /// Returns the route of jobs with that name and host, or null. The name alone may also be that of a route of
    /// another host or kind, or come to be in a later version.
    const GatewayRoute* findJobRoute(std::string_view name, std::string_view host) const;

    /// Returns whether callers without a key may submit jobs to the host.
    bool allowsAnonymousJobs(std::string_view host) const;
};

/// Selects a service at random in proportion to the weights; `draw` is uniform in [0, 1). Returns an empty string if
/// no weight is above 0.
std::string chooseService(const std::vector<ServiceShare>&, double draw);

}

#pragma once

#include <LibCore/Clock.h>
#include <LibGateway/SlotTypes.h>
#include <LibGateway/WorkspaceLimits.h>

#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Chicorydock {

/// Why work does not start at an endpoint now.
enum class EndpointObstacle : uint8_t {
    None,
    OtherService,
    OtherVersion,
    /// It has left, is leaving, or an earlier run of the work failed there.
    Excluded,
    /// It has failed lately.
    Avoided,
    /// No slot is free, or none that items may use.
    Full,
    /// It is in another failure domain, where slots are scarce.
    Remote,
    /// Other nodes come first for the free slots.
    OtherTurn,
};

/// Returns the name of the obstacle in the output of the operators' tool.
constexpr std::string_view obstacleName(EndpointObstacle obstacle)
{
    constexpr std::array<std::string_view, 8> names { "none", "other_service", "other_version", "excluded", "avoided",
        "full", "remote", "other_turn" };
    return names.at(static_cast<size_t>(obstacle));
}

/// Parts of the cost of an endpoint, in units of the load of an endpoint (1 is full).
struct EndpointCost {
    double load { 0 };
    double distance { 0 };
    /// By which the endpoint is slower than others, as learned and as it reports.
    double slowness { 0 };
    /// Spreads the work of nodes that see the same loads; partly random.
    double spread { 0 };
    /// Cost of the items that would have to yield.
    double yield { 0 };
    /// Cost for requests, and advantage for items, of a rate limit of the endpoint.
    double rateLimit { 0 };
    /// Advantage of the parts of the prompt that the endpoint keeps, negative.
    double prompt { 0 };

    double total() const { return load + distance + slowness + spread + yield + rateLimit + prompt; }

    auto operator<=>(const EndpointCost&) const = default;
};

/// How an endpoint is judged for a piece of work.
struct EndpointEvaluation {
    std::string endpoint;
    std::string failureDomain;
    EndpointObstacle obstacle { EndpointObstacle::None };
    /// With the mean of the random part.
    EndpointCost cost {};
    SlotView view {};

    auto operator<=>(const EndpointEvaluation&) const = default;
};

/// What is left of the rate limit of a workspace, as far as one allocator knows.
struct QuotaView {
    WorkspaceLimits limits;
    double level { 0 };
    /// Part of the nodes that the allocator is in touch with, and part of those that it serves; each in (0, 1].
    double groupShare { 1 };
    double ownShare { 1 };
    /// Time after which the caller would be told to retry, if the request were refused over the limit.
    std::optional<Milliseconds> retryAfter {};

    auto operator<=>(const QuotaView&) const = default;
};

/// What a scheduler would decide about a piece of work now.
struct SlotExplanation {
    std::string service;
    /// Endpoint at which the work would start; empty if it would wait or be refused.
    std::string endpoint;
    std::optional<RefusalReason> refusal {};
    /// Shortest time after which a refused caller would be told to retry.
    Milliseconds retryAfter { 0 };
    /// Requests, or items, of the service that wait here and would be served first.
    uint32_t ahead { 0 };
    /// Expected time in the queue; set for requests only.
    Milliseconds expectedWait { 0 };
    Milliseconds expectedSlotTime { 0 };
    std::optional<QuotaView> quota {};
    /// The endpoints of the service, those of lowest cost first and those with an obstacle last.
    std::vector<EndpointEvaluation> endpoints {};

    auto operator<=>(const SlotExplanation&) const = default;
};

}

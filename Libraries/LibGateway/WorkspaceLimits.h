#pragma once

#include <compare>
#include <string>

namespace Chicorydock {

/// What the operator grants to a workspace, as far as it concerns the allocation of slots.
struct WorkspaceLimits {
    std::string name;
    /// Rate limit of its online requests, at all nodes together; 0 means no limit.
    double requestsPerSecond { 0 };
    /// Number of requests above the rate that may come at once.
    double burst { 0 };
    /// Share of scarce slots relative to the other workspaces.
    double weight { 1 };

    auto operator<=>(const WorkspaceLimits&) const = default;
};

}

#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace Chicorydock {

/// Who sent a request, as far as the configuration tells.
struct CallerIdentity {
    /// Nothing if the configuration holds no workspaces; empty for an anonymous caller.
    std::optional<std::string> workspace;
    /// Replaces the priority of routes; 0 is the highest.
    std::optional<uint32_t> priority;

    auto operator<=>(const CallerIdentity&) const = default;
};

}

#pragma once

#include <compare>
#include <optional>
#include <string>

namespace Chicorydock {

/// Where the first event of a stream came from. What two software versions write does not fit together, so a stream
/// may be resumed only at endpoints of the same service with the same version.
struct StreamOrigin {
    std::string service;
    /// Empty if the endpoints state no version.
    std::string softwareVersion;

    auto operator<=>(const StreamOrigin&) const = default;
};

/// Returns the software version at which a stream has to continue, nothing if it has not begun.
inline std::optional<std::string> originVersion(const std::optional<StreamOrigin>& origin)
{
    return origin ? std::optional(origin->softwareVersion) : std::nullopt;
}

}

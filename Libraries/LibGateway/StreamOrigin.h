#pragma once

#include <compare>
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

}

#pragma once

#include <LibCore/Clock.h>

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Chicorydock {

/// The crash of an endpoint while it ran a request.
struct EndpointCrash {
    /// Identifies the incarnation of the endpoint, see `PromptQuarantine::incarnationKey()`.
    uint64_t incarnation { 0 };
    /// Time since the crash.
    Milliseconds age { 0 };

    auto operator<=>(const EndpointCrash&) const = default;
};

/// What a node knows about a part of prompts that may crash endpoints.
struct SuspectPart {
    std::string part;
    std::vector<EndpointCrash> crashes;
    /// Time since an endpoint answered a request with the part, if known.
    std::optional<Milliseconds> answeredAgo;

    auto operator<=>(const SuspectPart&) const = default;
};

}

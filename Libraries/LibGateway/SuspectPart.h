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

/// A node that has a request with which it could try whether a part still crashes endpoints.
struct TrialCandidate {
    std::string node;
    /// Time since the node last had the request.
    Milliseconds age { 0 };

    auto operator<=>(const TrialCandidate&) const = default;
};

/// What a node knows about a part of prompts that may crash endpoints.
struct SuspectPart {
    std::string part;
    std::vector<EndpointCrash> crashes;
    /// Time since an endpoint answered a request with the part, if known.
    std::optional<Milliseconds> answeredAgo;
    /// Time since a node began the latest trial of the part, if one may be under way.
    std::optional<Milliseconds> trialAgo {};
    /// The first in order of the candidates for the next trial, if there is one.
    std::optional<TrialCandidate> candidate {};

    auto operator<=>(const SuspectPart&) const = default;
};

}

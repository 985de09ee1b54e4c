#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace Chicorydock {

/// Part of a prompt that other requests may have too. Endpoints keep the parts that they have read.
struct PromptPart {
    /// Identifies the part together with all parts before it and the model.
    uint32_t key { 0 };
    uint32_t tokens { 0 };

    auto operator<=>(const PromptPart&) const = default;
};

/// What is known about a request or an item before it runs: whose it is, and how much work it is. Work of deployments
/// that state nothing about it has an empty profile.
struct WorkProfile {
    /// Name of the workspace. Empty if the deployment has none, or for an anonymous request.
    std::string workspace;
    /// Tokens of the whole prompt, 0 if unknown.
    uint32_t promptTokens { 0 };
    /// Limit on the generated tokens, 0 if unknown.
    uint32_t maxOutputTokens { 0 };
    /// Caller's estimate of the generated tokens, 0 if the caller states none. Often far off.
    uint32_t outputTokensHint { 0 };
    /// Parts of the prompt in order, without those that belong to this request alone.
    std::vector<PromptPart> sharedParts;

    auto operator<=>(const WorkProfile&) const = default;
};

}

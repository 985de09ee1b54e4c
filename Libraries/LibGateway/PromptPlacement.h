#pragma once

#include <LibGateway/WorkProfile.h>
#include <LibRouting/PrefixAffinity.h>

#include <vector>

namespace Chicorydock {

/// Knows which endpoints probably keep which parts of prompts, from the work that was placed there. Engines do not read
/// a part again that they keep together with all parts before it.
///
/// Load: prompts that share long parts, at endpoints that each keep only some of them.
///
/// Thread safety: none.
class PromptPlacement {
public:
    /// What endpoints keep of the prompt of one request or item.
    class Matches {
    public:
        /// Returns the share of the prompt that the endpoint need not read, in [0, 1].
        double keptShare(uint32_t endpointKey) const;

    private:
        friend class PromptPlacement;

        struct Match {
            uint32_t endpoint { 0 };
            double share { 0 };
        };

        std::vector<Match> m_matches;
    };

    /// Records that work with the profile was placed at the endpoint.
    void record(const WorkProfile&, uint32_t endpointKey, MonotonicTime now);

    /// Returns what endpoints keep of the prompt. Nothing is known of a prompt of unknown length.
    Matches find(const WorkProfile&, MonotonicTime now) const;

private:
    PrefixAffinity m_affinity;
};

}

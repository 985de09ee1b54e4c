#include <LibGateway/PromptPlacement.h>

#include <algorithm>

namespace Chicorydock {

namespace {

    std::vector<uint64_t> partKeys(const WorkProfile& profile)
    {
        std::vector<uint64_t> keys;
        for (const PromptPart& it : profile.sharedParts)
            keys.push_back(it.key);
        return keys;
    }

}

double PromptPlacement::Matches::keptShare(uint32_t endpointKey) const
{
    const auto it = std::ranges::find(m_matches, endpointKey, &Match::endpoint);
    return it == m_matches.end() ? 0 : it->share;
}

void PromptPlacement::record(const WorkProfile& profile, uint32_t endpointKey, MonotonicTime now)
{
    if (!profile.sharedParts.empty())
        m_affinity.recordSent(partKeys(profile), endpointKey, now);
}

PromptPlacement::Matches PromptPlacement::find(const WorkProfile& profile, MonotonicTime now) const
{
    Matches matches;
    if (profile.sharedParts.empty() || profile.promptTokens == 0)
        return matches;
    for (const PrefixAffinity::Match& it : m_affinity.find(partKeys(profile), now)) {
        double tokens = 0;
        for (size_t n = 0; n < it.prefixes; ++n)
            tokens += profile.sharedParts[n].tokens;
        matches.m_matches.push_back({ it.endpoint, std::min(1.0, tokens / profile.promptTokens) });
    }
    return matches;
}

}

#pragma once

#include <LibGateway/PromptQuarantine.h>

#include <memory>
#include <vector>

namespace Chicorydock {

/// Lets each node report what it knows to all others, as a round of reports between nodes does.
inline void exchangeReports(const std::vector<std::unique_ptr<PromptQuarantine>>& nodes, MonotonicTime now)
{
    std::vector<std::vector<SuspectPart>> reports;
    for (const auto& it : nodes) {
        it->update(now);
        reports.push_back(it->report(now));
    }
    for (const auto& it : nodes) {
        for (const auto& report : reports)
            it->merge(report, now);
    }
}

}

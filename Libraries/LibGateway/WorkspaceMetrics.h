#pragma once

#include <LibMetrics/MetricsRegistry.h>

#include <map>
#include <string>
#include <unordered_map>

namespace Chicorydock {

/// Counts the requests of workspaces by outcome. The first workspaces are counted by name and all others together: a
/// label per name would let the number of time series grow with the number of customers.
///
/// Thread safety: none.
class WorkspaceMetrics final {
public:
    static constexpr size_t maxNames = 50;

    /// Counts a request. The workspace is empty for an anonymous caller. The registry must be the same for all calls
    /// and outlive this object.
    void count(MetricsRegistry& registry, const std::string& workspace, const std::string& outcome)
    {
        const std::string& label = labelOf(workspace);
        Counter*& counter = m_counters[label][outcome];
        if (!counter)
            counter = &registry.counter("chicorydock_workspace_requests_total", "Requests by workspace and outcome.",
                { { "workspace", label }, { "outcome", outcome } });
        counter->add(1);
    }

private:
    const std::string& labelOf(const std::string& workspace) const
    {
        static const std::string anonymous = "(anonymous)";
        static const std::string others = "(other)";
        if (workspace.empty())
            return anonymous;
        // The two labels above may be among the names.
        const bool isCountedByName = m_counters.contains(workspace) || m_counters.size() < maxNames;
        return isCountedByName ? workspace : others;
    }

    /// By label and outcome. Looking a counter up in the registry takes longer.
    std::unordered_map<std::string, std::map<std::string, Counter*>> m_counters;
};

}

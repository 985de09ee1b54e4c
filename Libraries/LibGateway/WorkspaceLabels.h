#pragma once

#include <string>
#include <unordered_set>

namespace Chicorydock {

/// Chooses the label under which the metrics count a workspace: its name for the first ones, one label for all others.
/// A label per name would let the number of time series grow with the number of customers.
///
/// Thread safety: none.
class WorkspaceLabels final {
public:
    static constexpr size_t maxNames = 50;
    static constexpr const char* others = "(other)";

    std::string label(const std::string& workspace)
    {
        if (workspace.empty())
            return "(anonymous)";
        if (m_names.contains(workspace))
            return workspace;
        if (m_names.size() >= maxNames)
            return others;
        m_names.insert(workspace);
        return workspace;
    }

private:
    std::unordered_set<std::string> m_names;
};

}

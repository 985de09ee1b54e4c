#pragma once

#include <LibRequest/Filter.h>

#include <map>
#include <mutex>

namespace Chicorydock {

/// Counts the requests in flight of each workspace at this node. One instance serves all I/O threads.
///
/// Thread safety: all methods may be called from any thread.
class WorkspaceUsage {
public:
    /// Counts a request unless the workspace has `limit` of them; 0 means no limit.
    bool tryEnter(const std::string& workspace, uint32_t limit);
    void leave(const std::string& workspace);

private:
    std::mutex m_mutex;
    std::map<std::string, uint32_t> m_inFlight;
};

/// Refuses requests above the limit of their workspace, so that one workspace cannot fill the queues of all.
class AdmissionFilter final : public Filter {
public:
    explicit AdmissionFilter(WorkspaceUsage&);

    void handle(const RequestContextPtr&, const Next&) override;

private:
    WorkspaceUsage& m_usage;
};

}

#pragma once

#include <LibRequest/Filter.h>

#include <map>
#include <mutex>

namespace Chicorydock {

/// Counts the requests that each workspace has in flight at this node. All I/O threads share one instance.
///
/// Thread safety: all methods may be called from any thread.
class WorkspaceUsage {
public:
    /// Counts a request, or returns false if the workspace already has `limit` in flight; 0 means no limit.
    bool tryAcquire(const std::string& workspace, uint32_t limit);
    void release(const std::string& workspace);

private:
    std::mutex m_mutex;
    std::map<std::string, uint32_t> m_inFlight;
};

/// Rejects requests above the limit of their workspace, so that one workspace cannot fill the queues that all share.
class AdmissionFilter final : public Filter {
public:
    explicit AdmissionFilter(WorkspaceUsage&);

    void handle(const RequestContextPtr&, const Next&) override;

private:
    WorkspaceUsage& m_usage;
};

}

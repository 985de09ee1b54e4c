#include <LibRequest/AdmissionFilter.h>

namespace Chicorydock {

bool WorkspaceUsage::tryAcquire(const std::string& workspace, uint32_t limit)
{
    const std::lock_guard guard(m_mutex);
    uint32_t& n = m_inFlight[workspace];
    if (limit != 0 && n >= limit)
        return false;
    ++n;
    return true;
}

void WorkspaceUsage::release(const std::string& workspace)
{
    const std::lock_guard guard(m_mutex);
    const auto it = m_inFlight.find(workspace);
    if (it != m_inFlight.end() && --it->second == 0)
        m_inFlight.erase(it);
}

AdmissionFilter::AdmissionFilter(WorkspaceUsage& usage)
    : m_usage(usage)
{
}

void AdmissionFilter::handle(const RequestContextPtr& context, const Next& next)
{
    const Workspace& workspace = *context->workspace;
    if (!m_usage.tryAcquire(workspace.name, workspace.maxInFlight)) {
        throw Error { ErrorKind::Overloaded,
            "workspace '" + workspace.name + "' has " + std::to_string(workspace.maxInFlight)
                + " requests in flight at this node, its limit" };
    }
    context->endHooks.emplace_back([this, name = workspace.name](const HttpResponse*) { m_usage.release(name); });
    next(context);
}

}

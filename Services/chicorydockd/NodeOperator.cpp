#include "NodeOperator.h"

#include <unordered_map>

namespace Chicorydock {

NodeOperator::NodeOperator(Parts parts)
    : m_parts(std::move(parts))
    , m_started(m_parts.clock.now())
{
}

NodeStatus NodeOperator::status()
{
    NodeStatus status;
    status.nodeId = m_parts.settings.node.id;
    status.region = m_parts.settings.node.region;
    status.failureDomain = m_parts.settings.node.failureDomain;
    status.revision = m_parts.configuration.read()->revision;
    status.isReady = m_parts.isReady;
    status.isStopping = m_parts.isStopping;
    status.isPlatformReachable = m_parts.cluster.isPlatformReachable();
    status.uptime = std::chrono::duration_cast<Milliseconds>(m_parts.clock.now() - m_started);
    status.members = *m_parts.cluster.members().read();
    for (const auto& [name, counters] : m_parts.dispatcher.counters())
        status.services.push_back({ name, counters });
    status.holdsPlacementLease = m_parts.cluster.holdsPlacementLease();
    status.claimedChunks = m_parts.batch.claimedChunks();
    return status;
}

std::vector<EndpointStatus> NodeOperator::endpoints()
{
    std::unordered_map<std::string, EndpointView> views;
    for (const auto& [service, list] : m_parts.dispatcher.views()) {
        for (const EndpointView& view : list)
            views.emplace(view.endpoint.id, view);
    }
    std::vector<EndpointStatus> result;
    const auto known = m_parts.cluster.endpoints().read();
    for (const auto& [id, endpoint] : known->endpoints) {
        EndpointStatus status;
        status.id = id;
        status.address = endpoint.address;
        status.service = endpoint.service;
        status.region = endpoint.region;
        status.failureDomain = endpoint.failureDomain;
        if (const auto it = views.find(id); it != views.end()) {
            const EndpointView& view = it->second;
            const uint32_t inFlight = view.summary.onlineInFlight + view.summary.batchInFlight;
            status.onlineInFlight = view.summary.onlineInFlight;
            status.batchInFlight = view.summary.batchInFlight;
            status.limit = view.limit;
            status.health = view.health;
            status.firstTokenMs = view.summary.firstTokenSeconds * 1000;
            status.tokenGapMs = (view.summary.gapBaseSeconds + view.summary.gapSlopeSeconds * inFlight) * 1000;
            if (view.health <= 0)
                status.state = EndpointStatus::State::Unreachable;
        }
        if (endpoint.isLeaving)
            status.state = EndpointStatus::State::Leaving;
        result.push_back(status);
    }
    return result;
}

uint64_t NodeOperator::apply(const Configuration& configuration, uint64_t expectedRevision)
{
    const uint64_t revision = m_parts.configurationStore.apply(configuration, expectedRevision);
    // The stored document is read back, because a resent change returns an earlier revision.
    if (const auto stored = m_parts.configurationStore.fetch(revision))
        m_parts.runOnControllers([&] { m_parts.cluster.adopt(*stored); });
    m_parts.eventLog.record("revision", "accepted", std::to_string(revision));
    return revision;
}

Configuration NodeOperator::configuration() { return *m_parts.configuration.read(); }

std::vector<RevisionInfo> NodeOperator::history(uint32_t limit) { return m_parts.configurationStore.history(limit); }

JobView NodeOperator::submitJob(const JobSubmission& submission)
{
    if (!m_parts.configuration.read()->findWorkspaceByName(submission.workspace))
        throw Error { ErrorKind::NotFound, "no workspace '" + submission.workspace + "' is declared" };
    return m_parts.jobs.submit(submission);
}

JobView NodeOperator::jobStatus(const std::string& id) { return m_parts.jobs.status({}, id); }

ResultPage NodeOperator::jobResults(const std::string& id, uint32_t after, uint32_t limit)
{
    return m_parts.jobs.results({}, id, after, limit);
}

JobView NodeOperator::cancelJob(const std::string& id)
{
    const JobView job = m_parts.jobs.cancel({}, id);
    // A job that had already ended stays as it was.
    if (job.state == JobView::State::Cancelled)
        m_parts.eventLog.record("job", "cancelled", id);
    return job;
}

void NodeOperator::drain(const std::string& endpoint)
{
    m_parts.runOnControllers([&] { m_parts.cluster.drain(endpoint); });
}

std::vector<Event> NodeOperator::timeline(const std::string& id, uint32_t limit)
{
    return m_parts.eventLog.recent(limit, id);
}

}

#include "NodeOperator.h"

#include <unordered_map>

namespace Chicorydock {

NodeOperator::NodeOperator(Dependencies dependencies)
    : m_dependencies(std::move(dependencies))
    , m_started(m_dependencies.clock.now())
{
}

NodeStatus NodeOperator::status()
{
    NodeStatus status;
    status.nodeId = m_dependencies.settings.node.id;
    status.region = m_dependencies.settings.node.region;
    status.failureDomain = m_dependencies.settings.node.failureDomain;
    status.revision = m_dependencies.configuration.read()->revision;
    status.isReady = m_dependencies.isReady;
    status.isStopping = m_dependencies.isStopping;
    status.isPlatformReachable = m_dependencies.cluster.isPlatformReachable();
    status.uptime = std::chrono::duration_cast<Milliseconds>(m_dependencies.clock.now() - m_started);
    status.members = *m_dependencies.cluster.members().read();
    for (const auto& [name, counters] : m_dependencies.dispatcher.counters())
        status.services.push_back({ name, counters });
    status.holdsPlacementLease = m_dependencies.cluster.holdsPlacementLease();
    status.claimedChunks = m_dependencies.batch.claimedChunks();
    return status;
}

std::vector<EndpointStatus> NodeOperator::endpoints()
{
    std::unordered_map<std::string, EndpointView> views;
    for (const auto& [service, list] : m_dependencies.dispatcher.views()) {
        for (const EndpointView& view : list)
            views.emplace(view.endpoint.id, view);
    }
    std::vector<EndpointStatus> result;
    const auto known = m_dependencies.cluster.endpoints().read();
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
    const uint64_t revision = m_dependencies.configurationStore.apply(configuration, expectedRevision);
    // The stored document is read back, because a repeated request returns the revision of the first one.
    if (const auto stored = m_dependencies.configurationStore.fetch(revision))
        m_dependencies.runOnControllers([&] { m_dependencies.cluster.adopt(*stored); });
    m_dependencies.eventLog.record("revision", "accepted", std::to_string(revision));
    return revision;
}

Configuration NodeOperator::configuration() { return *m_dependencies.configuration.read(); }

std::vector<RevisionInfo> NodeOperator::history(uint32_t limit)
{
    return m_dependencies.configurationStore.history(limit);
}

JobView NodeOperator::submitJob(const JobSubmission& submission)
{
    if (!m_dependencies.configuration.read()->findWorkspaceByName(submission.workspace))
        throw Error { ErrorKind::NotFound, "no workspace '" + submission.workspace + "' is declared" };
    return m_dependencies.jobs.submit(submission);
}

JobView NodeOperator::jobStatus(const std::string& id) { return m_dependencies.jobs.status({}, id); }

ResultPage NodeOperator::jobResults(const std::string& id, uint32_t after, uint32_t limit)
{
    return m_dependencies.jobs.results({}, id, after, limit);
}

JobView NodeOperator::cancelJob(const std::string& id)
{
    const JobView job = m_dependencies.jobs.cancel({}, id);
    // A job that had already ended keeps its state.
    if (job.state == JobView::State::Cancelled)
        m_dependencies.eventLog.record("job", "cancelled", id);
    return job;
}

void NodeOperator::drain(const std::string& endpoint)
{
    m_dependencies.runOnControllers([&] { m_dependencies.cluster.drain(endpoint); });
}

std::vector<Event> NodeOperator::timeline(const std::string& id, uint32_t limit)
{
    return m_dependencies.eventLog.recent(limit, id);
}

RequestExplanation NodeOperator::explainRequest(const std::string&)
{
    throw Error(ErrorKind::UnsupportedMethod, "only nodes with a gateway explain requests");
}

}

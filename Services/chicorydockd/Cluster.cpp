#include "Cluster.h"

#include <glog/logging.h>

namespace Chicorydock {

namespace {

    // The list lags by seconds anyway, and 340 nodes read it.
    constexpr std::chrono::seconds vmListInterval { 5 };

    MemberUpdate makeSelf(const ClusterParts& parts)
    {
        const Settings::Node& node = parts.settings.node;
        return { node.id, parts.rpcAddress, node.region, node.failureDomain,
            static_cast<uint64_t>(toUnixMilliseconds(parts.clock.wallNow())), MemberUpdate::State::Alive };
    }

    std::vector<KnownEndpoint> configuredEndpoints(const Settings& settings)
    {
        std::vector<KnownEndpoint> endpoints;
        for (const Settings::Endpoint& it : settings.endpoints)
            endpoints.push_back({ it.id, it.address, it.service, it.region, it.failureDomain, false });
        return endpoints;
    }

    const char* nameOf(MemberUpdate::State state)
    {
        switch (state) {
        case MemberUpdate::State::Alive:
            return "alive";
        case MemberUpdate::State::Suspect:
            return "suspect";
        case MemberUpdate::State::Leaving:
            return "leaving";
        case MemberUpdate::State::Dead:
            return "dead";
        }
        return "unknown";
    }

}

Cluster::Cluster(ClusterParts parts)
    : m_parts(std::move(parts))
    , m_place { m_parts.settings.node.id, m_parts.settings.node.region, m_parts.settings.node.failureDomain }
    , m_random(SeededRandom::fromEntropy())
    , m_membership(m_parts.clock, m_parts.hybridClock, m_random, m_parts.link, *this, m_recordPolicy, makeSelf(m_parts))
    , m_configuration(m_parts.clock, m_random, m_parts.link, m_parts.configurationStore, m_parts.toPlatform,
          m_parts.toControllers, m_parts.configuration, [this](const Configuration& it) { onConfiguration(it); }, {})
    , m_endpoints(
          m_parts.eventLog,
          [this](const GossipRecord& record) {
              // Only leaving is urgent: an endpoint that joins a little later loses no request.
              const bool isLeaving = record.version > 1;
              m_membership.publish(record, isLeaving ? Membership::Urgency::Urgent : Membership::Urgency::Normal);
          },
          [this] { m_needsPlan = true; })
    , m_monitor(m_parts.clock, m_parts.endpointClient, m_parts.dispatcher)
    , m_summaries(m_parts.clock, m_parts.dispatcher, m_place.id,
          [this](const GossipRecord& record) { m_membership.publish(record); })
{
    m_membership.setSeeds(m_parts.settings.rpc.seeds);
    m_endpoints.addConfigured(configuredEndpoints(m_parts.settings));
    plan();
}

Cluster::~Cluster() = default;

void Cluster::tick()
{
    const MonotonicTime now = m_parts.clock.now();
    m_membership.tick(now);
    m_configuration.tick(now);
    readVmList();
    if (m_needsPlan)
        plan();
    m_monitor.tick();
    m_summaries.tick(nodesOfDomain(*members().read(), m_place, m_place.failureDomain).size());
}

void Cluster::requestYield(const std::string& service, const std::string& endpoint)
{
    const auto endpoints = m_endpoints.endpoints().read();
    const KnownEndpoint* known = endpoints->find(endpoint);
    if (!known)
        return;
    const auto members = this->members().read();
    const std::string owner = batchOwner(*known, *members, m_place);
    for (const MemberUpdate& member : *members) {
        if (member.nodeId == owner && owner != m_place.id)
            m_parts.link.yieldBatch(member.address, service, endpoint);
    }
}

PeerMessage Cluster::exchange(const PeerMessage& message) { return m_membership.receive(message); }

std::optional<std::string> Cluster::fetchRevision(uint64_t revision, uint64_t held)
{
    return m_configuration.document(revision, held);
}

void Cluster::yieldBatch(const std::string& service, const std::string& endpoint)
{
    m_parts.dispatcher.yieldBatch(service, endpoint);
}

void Cluster::onMemberChanged(const MemberUpdate& member)
{
    m_parts.eventLog.record("member", nameOf(member.state), member.nodeId);
    m_needsPlan = true;
    if (member.state == MemberUpdate::State::Dead)
        m_summaries.forgetNode(member.nodeId);
}

void Cluster::onRecordChanged(const GossipRecord& record)
{
    m_endpoints.takeRecord(record);
    m_summaries.takeRecord(record);
    // A leaving endpoint must get no more work, so the plan does not wait for the next tick.
    if (m_needsPlan)
        plan();
}

void Cluster::onRevision(uint64_t revision, const std::string& address)
{
    m_configuration.noteRevision(revision, address);
}

void Cluster::onConfiguration(const Configuration& configuration)
{
    m_parts.eventLog.record("revision", "in_force", std::to_string(configuration.revision));
    LOG(INFO) << "configuration revision " << configuration.revision << " is in force";
    m_membership.setRevision(configuration.revision);
}

void Cluster::readVmList()
{
    if (m_isReadingVmList || m_parts.clock.now() < m_nextVmList)
        return;
    m_isReadingVmList = true;
    const auto jitter = std::chrono::milliseconds { m_random.below(1000) };
    m_nextVmList = m_parts.clock.now() + vmListInterval + jitter;
    m_parts.toPlatform(
        [this, lifetime = std::weak_ptr(m_lifetime), toControllers = m_parts.toControllers, list = &m_parts.vmList] {
            std::optional<std::vector<VmEntry>> entries;
            try {
                entries = list->list();
            } catch (const Error& error) {
                VLOG(1) << "could not read the list of VMs: " << error.message();
            }
            toControllers([this, lifetime, entries] {
                if (lifetime.expired())
                    return;
                m_isReadingVmList = false;
                m_isPlatformReachable = entries.has_value();
                if (entries)
                    takeVmList(*entries);
            });
        });
}

void Cluster::takeVmList(const std::vector<VmEntry>& entries)
{
    std::vector<std::string> nodes;
    for (const VmEntry& entry : entries) {
        if (entry.role == VmEntry::Role::Entry && !entry.leaving)
            nodes.push_back(entry.address);
    }
    m_membership.setListedAddresses(std::move(nodes));
    m_endpoints.takeVmList(entries);
    if (m_needsPlan)
        plan();
}

void Cluster::plan()
{
    m_needsPlan = false;
    const auto endpoints = m_endpoints.endpoints().read();
    const auto plan = planEndpoints(*endpoints, *members().read(), m_place);
    m_parts.dispatcher.setEndpoints(*endpoints, plan);

    // One node reads the reports of each endpoint; reading them at every node would cost more than control may.
    std::vector<KnownEndpoint> watched;
    for (const auto& [service, list] : plan) {
        for (const SchedulerEndpoint& endpoint : list) {
            if (endpoint.ownsBatch)
                watched.push_back(*endpoints->find(endpoint.id));
        }
    }
    m_monitor.setEndpoints(watched);
}

}

#include "Cluster.h"

#include <LibOperator/OperatorMessages.h>

#include <QStringList>

#include <glog/logging.h>

#include <array>

namespace Chicorydock {

namespace {

    // The list lags by seconds anyway. With thousands of VMs it is long, so the interval grows with its size: nodes
    // read it at different times, and the first one to see a change gossips it to its failure domain.
    constexpr std::chrono::seconds minVmListInterval { 5 };
    constexpr double bytesPerVmEntry = 150;
    constexpr double vmListBytesPerSecond = 500;

    constexpr std::string_view modelsPrefix = "models/";

    MemberUpdate makeSelf(const ClusterDependencies& dependencies)
    {
        const Settings::Node& node = dependencies.settings.node;
        return { node.id, dependencies.rpcAddress, node.region, node.failureDomain,
            static_cast<uint64_t>(toUnixMilliseconds(dependencies.clock.wallNow())), MemberUpdate::State::Alive };
    }

    std::vector<KnownEndpoint> configuredEndpoints(const Settings& settings)
    {
        std::vector<KnownEndpoint> endpoints;
        for (const Settings::Endpoint& it : settings.endpoints)
            endpoints.push_back({ it.id, it.address, it.service, it.region, it.failureDomain, false });
        return endpoints;
    }

    const char* nameOf(OrderOutcome outcome)
    {
        switch (outcome) {
        case OrderOutcome::Done:
            return "done";
        case OrderOutcome::StaleFencingNumber:
            return "refused_as_old";
        case OrderOutcome::Failed:
            return "failed";
        case OrderOutcome::Unknown:
            return "unknown";
        }
        return "unknown";
    }

    QJsonObject toJson(const PlacementEndpoint& endpoint, const EndpointOrder& order)
    {
        static const std::array names { "load", "unload", "change_role" };
        return { { "endpoint", QString::fromStdString(endpoint.id) },
            { "order", names[static_cast<size_t>(order.kind)] }, { "model", QString::fromStdString(order.model.model) },
            { "version", QString::fromStdString(order.model.version) },
            { "fencing_number", static_cast<qint64>(order.fencingNumber) } };
    }

    std::shared_ptr<PlacementLease> makeLease(const ClusterDependencies& dependencies, Random& random)
    {
        const Settings::Node& node = dependencies.settings.node;
        return std::make_shared<PlacementLease>(dependencies.tables, dependencies.clock, node.failureDomain,
            node.id + '/' + random.identifier(), PlacementController::Options {}.leaseDuration);
    }

}

Cluster::Cluster(ClusterDependencies dependencies)
    : m_dependencies(std::move(dependencies))
    , m_location { m_dependencies.settings.node.id, m_dependencies.settings.node.region,
        m_dependencies.settings.node.failureDomain }
    , m_random(SeededRandom::fromEntropy())
    , m_membership(m_dependencies.clock, m_dependencies.hybridClock, m_random, m_dependencies.link, *this,
          m_recordPolicy, makeSelf(m_dependencies))
    , m_configuration(m_dependencies.clock, m_random, m_dependencies.link, m_dependencies.configurationStore,
          m_dependencies.toPlatform, m_dependencies.toControllers, m_dependencies.configuration,
          [this](const Configuration& it) { onConfiguration(it); }, {})
    , m_endpoints(
          m_location.failureDomain, m_dependencies.eventLog,
          [this](const GossipRecord& record) {
              // Only leaving is urgent: no request fails if an endpoint is added a little later.
              const bool isLeaving = EndpointController::isLeavingRecord(record);
              m_membership.publish(record, isLeaving ? Membership::Urgency::Urgent : Membership::Urgency::Normal);
          },
          [this] { m_needsPlan = true; })
    , m_monitor(m_dependencies.clock, m_dependencies.endpointClient, m_dependencies.dispatcher,
          [this](
              const std::string& endpoint, const std::vector<std::string>& models) { recordModels(endpoint, models); })
    , m_summaries(m_dependencies.clock, m_dependencies.dispatcher, m_location.id,
          [this](const GossipRecord& record) { m_membership.publish(record); })
    , m_placement(m_dependencies.clock, m_random, m_dependencies.endpointClient, *this,
          makeLease(m_dependencies, m_random), m_dependencies.toPlatform, m_dependencies.toControllers, {})
{
    m_membership.setSeeds(m_dependencies.settings.rpc.seeds);
    m_endpoints.addConfigured(configuredEndpoints(m_dependencies.settings));
    plan();
}

Cluster::~Cluster() = default;

RecordPolicy::Scope Cluster::ScopePolicy::scope(const GossipRecord& record) const
{
    // Nodes of other failure domains spill work over to leaving endpoints and must stop doing so, too.
    return EndpointController::isLeavingRecord(record) ? Scope::Everywhere : Scope::FailureDomain;
}

void Cluster::tick()
{
    const MonotonicTime now = m_dependencies.clock.now();
    m_membership.tick(now);
    m_configuration.tick(now);
    readVmList();
    if (m_needsPlan)
        plan();
    m_monitor.tick();
    m_placement.tick(now);
    m_holdsPlacementLease = m_placement.holdsLease();
    m_summaries.tick(activeNodesInDomain(*members().read(), m_location, m_location.failureDomain).size());
}

void Cluster::leave()
{
    m_membership.leave();
    m_placement.stop();
}

void Cluster::requestYield(const std::string& service, const std::string& endpoint)
{
    const auto endpoints = m_endpoints.endpoints().read();
    const KnownEndpoint* known = endpoints->find(endpoint);
    if (!known)
        return;
    const auto members = this->members().read();
    const std::string owner = batchOwner(*known, *members, m_location);
    for (const MemberUpdate& member : *members) {
        if (member.nodeId == owner && owner != m_location.id)
            m_dependencies.link.yieldBatch(member.address, service, endpoint);
    }
}

PeerMessage Cluster::exchange(const PeerMessage& message) { return m_membership.receive(message); }

std::optional<std::string> Cluster::fetchRevision(uint64_t revision, uint64_t held)
{
    return m_configuration.document(revision, held);
}

void Cluster::yieldBatch(const std::string& service, const std::string& endpoint)
{
    m_dependencies.dispatcher.yieldBatch(service, endpoint);
}

void Cluster::onMemberChanged(const MemberUpdate& member)
{
    m_dependencies.eventLog.record("member", stateName(member.state), member.nodeId);
    m_needsPlan = true;
    if (member.state == MemberUpdate::State::Dead)
        m_summaries.forgetNode(member.nodeId);
}

void Cluster::onRecordChanged(const GossipRecord& record)
{
    m_endpoints.applyRecord(record);
    m_summaries.applyRecord(record);
    applyModelsRecord(record);
    // A leaving endpoint must not receive more work, so the plan is updated without waiting for the next tick.
    if (m_needsPlan)
        plan();
}

void Cluster::onRevision(uint64_t revision, const std::string& address)
{
    m_configuration.recordPeerRevision(revision, address);
}

void Cluster::onConfiguration(const Configuration& configuration)
{
    m_dependencies.eventLog.record("revision", "in_force", std::to_string(configuration.revision));
    LOG(INFO) << "configuration revision " << configuration.revision << " is in force";
    m_membership.setRevision(configuration.revision);
    m_placement.setConfiguration(m_dependencies.configuration.read());
    m_needsPlan = true;
}

void Cluster::onLeaseAcquired(uint64_t epoch)
{
    m_dependencies.eventLog.record(
        "lease", "acquired", m_location.failureDomain, {}, { { "epoch", static_cast<qint64>(epoch) } });
    LOG(INFO) << "holds the placement lease of " << m_location.failureDomain << " with epoch " << epoch;
}

void Cluster::onLeaseLost(uint64_t epoch)
{
    m_dependencies.eventLog.record(
        "lease", "lost", m_location.failureDomain, {}, { { "epoch", static_cast<qint64>(epoch) } });
    LOG(WARNING) << "lost the placement lease of " << m_location.failureDomain << " with epoch " << epoch;
}

void Cluster::onOrderSent(const PlacementEndpoint& endpoint, const EndpointOrder& order)
{
    m_dependencies.eventLog.record("order", "sent", endpoint.id, {}, toJson(endpoint, order));
}

void Cluster::onOrderEnded(const PlacementEndpoint& endpoint, const EndpointOrder& order, OrderOutcome outcome)
{
    QJsonObject details = toJson(endpoint, order);
    details.insert("outcome", nameOf(outcome));
    m_dependencies.eventLog.record("order", "ended", endpoint.id, {}, details);
}

void Cluster::recordModels(const std::string& endpoint, const std::vector<std::string>& models)
{
    const auto [it, isNew] = m_models.try_emplace(endpoint, models);
    if (!isNew && it->second == models)
        return;
    it->second = models;
    m_needsPlan = true;
    QStringList names;
    for (const std::string& model : models)
        names.append(QString::fromStdString(model));
    // Only one node reads the state of each endpoint, so the clock of that node orders the versions.
    m_membership.publish({ std::string(modelsPrefix) + endpoint,
        static_cast<uint64_t>(toUnixMilliseconds(m_dependencies.clock.wallNow())), names.join('\n').toStdString() });
}

void Cluster::applyModelsRecord(const GossipRecord& record)
{
    if (!record.key.starts_with(modelsPrefix))
        return;
    std::vector<std::string> models;
    for (const QString& name : QString::fromStdString(record.value).split('\n', Qt::SkipEmptyParts))
        models.push_back(name.toStdString());
    m_models[record.key.substr(modelsPrefix.size())] = std::move(models);
    m_needsPlan = true;
}

bool Cluster::isEngine(const std::string& service) const
{
    const auto configuration = m_dependencies.configuration.read();
    const Service* declared = configuration->findService(service);
    return declared && declared->kind == Service::Kind::Engine;
}

void Cluster::readVmList()
{
    if (m_isReadingVmList || m_dependencies.clock.now() < m_nextVmListRead)
        return;
    m_isReadingVmList = true;
    const double seconds = static_cast<double>(m_vmCount) * bytesPerVmEntry / vmListBytesPerSecond;
    const auto interval = std::max<MonotonicTime::duration>(minVmListInterval, fromSeconds(seconds));
    constexpr double spread = 0.5;
    m_nextVmListRead
        = m_dependencies.clock.now() + fromSeconds(toSeconds(interval) * (1 + spread * (m_random.unit() - 0.5)));
    m_dependencies.toPlatform([this, lifetime = std::weak_ptr(m_lifetime), toControllers = m_dependencies.toControllers,
                                  list = &m_dependencies.vmList] {
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
                applyVmList(*entries);
        });
    });
}

void Cluster::applyVmList(const std::vector<VmEntry>& entries)
{
    m_vmCount = entries.size();
    std::vector<std::string> nodes;
    for (const VmEntry& entry : entries) {
        if (entry.role == VmEntry::Role::Entry && !entry.leaving)
            nodes.push_back(entry.address);
    }
    m_membership.setListedAddresses(std::move(nodes));
    m_endpoints.applyVmList(entries);
    if (m_needsPlan)
        plan();
}

void Cluster::plan()
{
    m_needsPlan = false;
    const auto endpoints = m_endpoints.endpoints().read();
    auto plan = planEndpoints(*endpoints, *members().read(), m_location);
    for (auto& [service, list] : plan) {
        for (SchedulerEndpoint& endpoint : list) {
            if (const auto it = m_models.find(endpoint.id); it != m_models.end())
                endpoint.models = it->second;
        }
    }
    m_dependencies.dispatcher.setEndpoints(*endpoints, plan);

    // The reports of each endpoint are read by one node only; reading them at every node would exceed the limit on
    // control traffic.
    std::vector<KnownEndpoint> monitored;
    for (const auto& [service, list] : plan) {
        // Only engines report their load, cache and state.
        if (!isEngine(service))
            continue;
        for (const SchedulerEndpoint& endpoint : list) {
            if (endpoint.ownsBatch)
                monitored.push_back(*endpoints->find(endpoint.id));
        }
    }
    m_monitor.setEndpoints(monitored);

    std::vector<PlacementEndpoint> placementEndpoints;
    for (const auto& [id, endpoint] : endpoints->endpoints) {
        if (endpoint.failureDomain == m_location.failureDomain && !endpoint.isLeaving && isEngine(endpoint.service))
            placementEndpoints.push_back({ id, endpoint.address, endpoint.service });
    }
    m_placement.setEndpoints(placementEndpoints);
}

}

#pragma once

#include "SummaryExchange.h"

#include <LibConfiguration/ConfigurationController.h>
#include <LibCore/SeededRandom.h>
#include <LibDispatch/EndpointController.h>
#include <LibDispatch/EndpointMonitor.h>
#include <LibDispatch/Topology.h>
#include <LibMembership/Membership.h>
#include <LibPlacement/PlacementController.h>
#include <LibRPC/PeerHandler.h>
#include <LibSettings/Settings.h>

#include <atomic>

namespace Chicorydock {

/// What the cluster side of a node works with. All references outlive it.
struct ClusterParts {
    const Settings& settings;
    const Clock& clock;
    HybridLogicalClock& hybridClock;
    EventLog& eventLog;
    Dispatcher& dispatcher;
    PeerLink& link;
    VmList& vmList;
    TableService& tables;
    ConfigurationStore& configurationStore;
    RcuCell<Configuration>& configuration;
    EndpointClient& endpointClient;
    /// The bound address of the RPC port.
    std::string rpcAddress;
    Post toPlatform;
    Post toControllers;
};

/// The controllers that make a node part of the whole: membership, configuration, endpoints, placement and summaries.
///
/// Thread safety: belongs to the controllers' thread, except the snapshots, which may be read from any thread.
class Cluster final : public PeerHandler, private MembershipObserver, private PlacementObserver {
public:
    explicit Cluster(ClusterParts);
    ~Cluster() override;

    /// Starts what is due. Called about ten times a second.
    void tick();

    /// Tells the peers that this node is leaving, and gives the placement lease back.
    void leave();
    bool hasToldPeers() const { return m_membership.isUrgentGossipDelivered(); }

    /// Marks an endpoint as leaving, here and at all peers. Throws Error(NotFound).
    void drain(const std::string& endpoint) { m_endpoints.drain(endpoint); }

    /// Puts a configuration into force that was just stored.
    void adopt(const Configuration& configuration) { m_configuration.adopt(configuration); }

    /// Asks the owner of an endpoint's batch work to take it off.
    void requestYield(const std::string& service, const std::string& endpoint);

    const RcuCell<MemberList>& members() const { return m_membership.members(); }
    const RcuCell<EndpointSet>& endpoints() const { return m_endpoints.endpoints(); }
    const NodeLocation& place() const { return m_place; }
    bool isPlatformReachable() const { return m_isPlatformReachable; }
    bool holdsPlacementLease() const { return m_holdsPlacementLease; }

    PeerMessage exchange(const PeerMessage&) override;
    std::optional<std::string> fetchRevision(uint64_t revision, uint64_t held) override;
    void yieldBatch(const std::string& service, const std::string& endpoint) override;

private:
    class Records final : public RecordPolicy {
    public:
        Scope scope(const GossipRecord&) const override;
    };

    void onMemberChanged(const MemberUpdate&) override;
    void onRecordChanged(const GossipRecord&) override;
    void onRevision(uint64_t revision, const std::string& address) override;
    void onLeaseAcquired(uint64_t epoch) override;
    void onLeaseLost(uint64_t epoch) override;
    void onOrderSent(const PlacementEndpoint&, const EndpointOrder&) override;
    void onOrderEnded(const PlacementEndpoint&, const EndpointOrder&, OrderOutcome) override;
    void onConfiguration(const Configuration&);
    void takeModels(const std::string& endpoint, const std::vector<std::string>& models);
    void takeModelsRecord(const GossipRecord&);
    bool isEngine(const std::string& service) const;

    void readVmList();
    void takeVmList(const std::vector<VmEntry>&);
    void plan();

    ClusterParts m_parts;
    NodeLocation m_place;
    SeededRandom m_random;
    Records m_recordPolicy;
    Membership m_membership;
    ConfigurationController m_configuration;
    EndpointController m_endpoints;
    EndpointMonitor m_monitor;
    SummaryExchange m_summaries;
    PlacementController m_placement;
    // Names of the models that each endpoint has loaded; one that is missing here takes any.
    std::map<std::string, std::vector<std::string>> m_models;
    MonotonicTime m_nextVmList;
    bool m_isReadingVmList { false };
    size_t m_vmCount { 0 };
    bool m_needsPlan { true };
    std::atomic<bool> m_isPlatformReachable { false };
    std::atomic<bool> m_holdsPlacementLease { false };
    // Expires with this object, so that late callbacks find out.
    std::shared_ptr<bool> m_lifetime { std::make_shared<bool>() };
};

}

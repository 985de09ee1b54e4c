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

/// The objects that a `Cluster` uses. All references must outlive it.
struct ClusterDependencies {
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
    /// Address to which the RPC server is bound.
    std::string rpcAddress;
    Post toPlatform;
    Post toControllers;
};

/// Connects a node to the cluster: owns the controllers for membership, configuration, endpoints, placement and load
/// summaries, and passes their results to each other.
///
/// Thread safety: used on the controllers' thread only, except the accessors of snapshots, which may be called from any
/// thread.
class Cluster final : public PeerHandler, private MembershipObserver, private PlacementObserver {
public:
    explicit Cluster(ClusterDependencies);
    ~Cluster() override;

    /// Runs the periodic work of all controllers that is due. Called about ten times a second.
    void tick();

    /// Notifies the peers that this node is leaving, and releases the placement lease.
    void leave();
    /// Returns whether all peers in the failure domain have acknowledged the urgent updates, such as that this node is
    /// leaving, or have not responded in time.
    bool areUrgentUpdatesDelivered() const { return m_membership.isUrgentGossipDelivered(); }

    /// Marks an endpoint as leaving at this node and all peers. Throws Error(NotFound).
    void drain(const std::string& endpoint) { m_endpoints.drain(endpoint); }

    /// Puts into force a configuration that was just stored.
    void adopt(const Configuration& configuration) { m_configuration.adopt(configuration); }

    /// Asks the node that owns the endpoint's batch work to cancel it there.
    void requestYield(const std::string& service, const std::string& endpoint);

    const RcuCell<MemberList>& members() const { return m_membership.members(); }
    const RcuCell<EndpointSet>& endpoints() const { return m_endpoints.endpoints(); }
    const NodeLocation& location() const { return m_location; }
    bool isPlatformReachable() const { return m_isPlatformReachable; }
    bool holdsPlacementLease() const { return m_holdsPlacementLease; }

    PeerMessage exchange(const PeerMessage&) override;
    std::optional<std::string> fetchRevision(uint64_t revision, uint64_t held) override;
    void yieldBatch(const std::string& service, const std::string& endpoint) override;

private:
    class ScopePolicy final : public RecordPolicy {
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
    void recordModels(const std::string& endpoint, const std::vector<std::string>& models);
    void applyModelsRecord(const GossipRecord&);
    bool isEngine(const std::string& service) const;

    void readVmList();
    void applyVmList(const std::vector<VmEntry>&);
    void plan();

    ClusterDependencies m_dependencies;
    NodeLocation m_location;
    SeededRandom m_random;
    ScopePolicy m_recordPolicy;
    Membership m_membership;
    ConfigurationController m_configuration;
    EndpointController m_endpoints;
    EndpointMonitor m_monitor;
    SummaryExchange m_summaries;
    PlacementController m_placement;
    // Names of the models that each endpoint has loaded. An endpoint without an entry can serve any model.
    std::map<std::string, std::vector<std::string>> m_models;
    MonotonicTime m_nextVmListRead;
    bool m_isReadingVmList { false };
    size_t m_vmCount { 0 };
    bool m_needsPlan { true };
    std::atomic<bool> m_isPlatformReachable { false };
    std::atomic<bool> m_holdsPlacementLease { false };
    // Expires with this object, so that late callbacks can check whether it still exists.
    std::shared_ptr<bool> m_lifetime { std::make_shared<bool>() };
};

}

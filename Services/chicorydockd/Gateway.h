#pragma once

#include "ConnectionLimits.h"
#include "GatewayOperator.h"

#include <LibCore/MemoryBudget.h>
#include <LibCore/SeededRandom.h>
#include <LibCore/SystemClock.h>
#include <LibGateway/ConfigurationFollower.h>
#include <LibGateway/DomainFeed.h>
#include <LibGateway/EndpointRegistrations.h>
#include <LibGateway/GatewayHandler.h>
#include <LibGateway/NodeRegistry.h>
#include <LibGateway/PeerGroup.h>
#include <LibGateway/RefusedResponseLog.h>
#include <LibGateway/SlotExchange.h>
#include <LibGateway/StopProgress.h>
#include <LibGateway/TcpEndpointProber.h>
#include <LibHTTP/HttpServer.h>
#include <LibHTTP/PooledHttpClient.h>
#include <LibLog/StreamEventLog.h>
#include <LibPlatform/TableFollower.h>
#include <LibSettings/Settings.h>
#include <platform/PlatformRowStore.h>
#include <platform/PlatformWireFormat.h>

#include <QTimer>

#include <functional>
#include <memory>
#include <optional>

namespace Chicorydock {

/// A node on the platform of the Cooperativa. It runs on one thread and keeps no durable state: callers use the
/// platform's protocol, the platform's store holds the operator's configuration, the endpoints and the jobs, and nodes
/// report their use of the endpoints to each other.
///
/// Thread safety: used on the main thread.
class Gateway final : public QObject {
public:
    explicit Gateway(const Settings&);
    ~Gateway() override;

    /// Throws Error(Internal) if an address cannot be bound.
    void start();

    /// Begins a graceful stop. `onStopped` is called when no work is in progress any more, or after the drain timeout.
    /// `signalledAt` is when the process was told to stop.
    void beginStop(MonotonicTime signalledAt, std::function<void()> onStopped);

    /// Records an event for a reload of the settings. Everything that can change at run time comes from the store, so
    /// there is nothing to reload.
    void recordReload();

private:
    /// Applies the operator's configuration when it changes.
    class ConfigurationApplier;
    /// Serves the load balancer's readiness checks and the metrics.
    class StatusHandler;
    /// Serves the calls of other nodes: for the configuration, and with requests that they hand over.
    class PeerHandler;

    void applyConfiguration(const ReceivedConfiguration&);
    /// Records what cannot be read about the workspaces, and keys that two of them claim, unless it was so before.
    void recordWorkspaceFaults(const GatewayConfiguration& previous);
    void updateSchedulerEndpoints();
    void tick();
    void applyRemovals();
    bool isReady() const;
    /// Returns whether this node allocates slots, for itself or for others.
    bool isCoordinating() const { return m_member.isIndependent() || m_coordinator.isActive(); }
    PeerReport makeReport() const;
    SlotExchange::Handlers exchangeHandlers();
    void reportSlotUse();
    void updateCoordinator();
    /// Returns the nodes that may allocate slots for this one, in order of preference.
    std::vector<std::string> coordinators() const;
    /// Chooses where the tables of the store come from.
    void updateFeedPlan(const std::vector<std::string>& sources);
    void recordCoordinator();
    void updateQuarantine();
    void updateLinks();
    void handleLinksChanged();
    /// Keeps what the store holds about the software versions of streams up to date.
    void updateStreamOrigins();
    void reportStoreReachability();
    void processPeerReport(const PeerReport&, Milliseconds lifetime);
    /// Records that requests ended because their bytes did not fit in the memory for them.
    void recordMemory();
    /// Logs how many slots stay unused because of what was learned about the endpoints.
    void recordSlotLimits();
    /// Records for which workspaces requests were refused over their rate limits, and by whose share.
    void recordQuotas();
    void checkStopped();
    OpenWork openWork() const;
    void recordStage(StopProgress::Stage, const OpenWork&);
    /// Records the requests whose response is not complete when the process ends.
    void recordCutOff();
    QByteArray metricsText();

    const Settings m_settings;
    SystemClock m_clock;
    SeededRandom m_random { SeededRandom::fromEntropy() };
    const std::string m_node;
    PlatformWireFormat m_wire;
    StreamEventLog m_log;
    MetricsRegistry m_metrics;
    MemoryBudget m_requestMemory;
    MemoryBudget m_responseMemory;
    PooledHttpClient m_endpointClient;
    /// For calls to the store and to other nodes.
    PooledHttpClient m_controlClient;
    RefusedResponseLog m_refusedByEndpointClient;
    RefusedResponseLog m_refusedByControlClient;
    PlatformRowStore m_store;
    EndpointDirectory m_directory;
    TcpEndpointProber m_prober;
    EndpointLinkMonitor m_links;
    DomainFeed m_feed;
    FeedPlanner m_feedPlanner;
    PromptQuarantine m_quarantine;
    StreamOrigins m_origins;
    EndpointRegistrations m_registrations;
    std::unique_ptr<TableFollower> m_endpointFollower;
    SlotScheduler m_scheduler;
    SlotCoordinator m_coordinator;
    SlotMember m_member;
    SlotBroker m_broker;
    GatewayEnvironment m_environment;
    PeerGroup m_peers;
    SlotExchange m_exchange;
    JobController m_jobs;
    GatewayHandler m_handler;
    std::unique_ptr<ConfigurationApplier> m_configurationApplier;
    std::unique_ptr<StatusHandler> m_statusHandler;
    std::unique_ptr<PeerHandler> m_peerHandler;
    ConfigurationFollower m_configuration;
    std::unique_ptr<TableFollower> m_jobFollower;
    NodeRegistry m_registry;
    HttpServer m_server;
    HttpServer m_statusServer;
    HttpServer m_peerServer;
    ConnectionLimits m_connectionLimits;
    GatewayOperator m_operator;
    /// Absent unless the settings offer it.
    std::unique_ptr<GatewayOperatorPort> m_operatorPort;
    QTimer m_tickTimer;
    /// Runs until the sources of the store's tables are chosen.
    QTimer m_feedPlanTimer;
    /// Whether there are more nodes than can all read the store at once.
    bool m_isInLargeDeployment { false };
    /// Runs until the jobs may be listed.
    QTimer m_jobStartTimer;
    QTimer m_stopTimer;
    /// Coordinator in the latest log line about it.
    std::string m_loggedCoordinator;
    /// Conflicts of keys in the latest log lines about them.
    std::vector<KeyTable::Conflict> m_loggedConflicts;
    uint64_t m_reportedUse { 0 };
    /// Holders of memory that had given way or were refused when the latest log line was written.
    uint64_t m_loggedMemoryRefusals { 0 };
    size_t m_loggedUnusedSlots { 0 };
    MonotonicTime m_slotLimitsLoggedAt;
    /// Whether the feeds of jobs and of endpoints reached the store in the latest announcement.
    std::pair<bool, bool> m_reportedReachable { false, false };
    /// Set once the node stops.
    std::optional<StopProgress> m_stop;
    MonotonicTime m_signalledAt;
    std::function<void()> m_onStopped;
};

}

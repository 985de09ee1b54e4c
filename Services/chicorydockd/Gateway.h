#pragma once

#include "NodeRegistry.h"

#include <LibCore/SeededRandom.h>
#include <LibCore/SystemClock.h>
#include <LibGateway/GatewayHandler.h>
#include <LibGateway/PeerGroup.h>
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

namespace Chicorydock {

/// A node on the platform of the Cooperativa: one thread, no state of its own. Callers speak the platform's protocol,
/// the operator's configuration and the endpoints come from the platform's store, jobs are kept there, and nodes tell
/// each other what they run.
///
/// Thread safety: used on the main thread.
class Gateway final : public QObject {
public:
    explicit Gateway(const Settings&);
    ~Gateway() override;

    /// Throws Error(Internal) if an address cannot be bound.
    void start();

    /// Finishes what is in progress and calls `onStopped`.
    void beginStop(std::function<void()> onStopped);

    /// Notes that the settings file changed. What can change while the process runs comes from the store, so nothing
    /// else happens.
    void noteReload();

private:
    /// Hears of the operator's configuration.
    class ConfigurationListener;
    /// Hears of the registrations of endpoints.
    class EndpointListener;
    /// Answers the balancer and the readers of metrics.
    class StatusHandler;

    void takeConfiguration(const QByteArray& document);
    void takeEndpoints();
    void tick();
    bool isReady() const;
    PeerReport makeReport() const;
    void takeReport(const PeerReport&, Milliseconds lifetime);
    void checkStopped();
    QByteArray metricsText();

    const Settings m_settings;
    SystemClock m_clock;
    SeededRandom m_random { SeededRandom::fromEntropy() };
    const std::string m_node;
    PlatformWireFormat m_wire;
    StreamEventLog m_log;
    MetricsRegistry m_metrics;
    PooledHttpClient m_endpointClient;
    PooledHttpClient m_storeClient;
    PlatformRowStore m_store;
    EndpointDirectory m_directory;
    SlotScheduler m_scheduler;
    SlotBroker m_broker;
    GatewayEnvironment m_environment;
    PeerGroup m_peers;
    JobController m_jobs;
    GatewayHandler m_handler;
    std::unique_ptr<ConfigurationListener> m_configurationListener;
    std::unique_ptr<EndpointListener> m_endpointListener;
    std::unique_ptr<StatusHandler> m_statusHandler;
    std::unique_ptr<TableFollower> m_configurationFollower;
    std::unique_ptr<TableFollower> m_endpointFollower;
    std::unique_ptr<TableFollower> m_jobFollower;
    NodeRegistry m_registry;
    HttpServer m_server;
    HttpServer m_statusServer;
    QTimer m_tickTimer;
    QTimer m_stopTimer;
    bool m_isStopping { false };
    MonotonicTime m_stopStartedAt;
    std::function<void()> m_onStopped;
};

}

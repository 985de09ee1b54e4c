#pragma once

#include "BatchThread.h"
#include "Cluster.h"
#include "DispatchTimer.h"
#include "IoThread.h"
#include "NodeOperator.h"
#include "PlatformPool.h"

#include <LibBatch/TableJobService.h>
#include <LibCore/SystemClock.h>
#include <LibEndpoint/HttpEndpointClient.h>
#include <LibGateway/RefusedResponseLog.h>
#include <LibHTTP/PooledHttpClient.h>
#include <LibLog/RecordingEventLog.h>
#include <LibPlatform/HttpObjectStore.h>
#include <LibPlatform/HttpTableService.h>
#include <LibPlatform/HttpVmList.h>
#include <LibRPC/RpcPeerLink.h>
#include <LibRPC/RpcServer.h>
#include <LibRPC/RpcThread.h>
#include <LibRequest/BatchItemExecutor.h>

#include <QTimer>

namespace Chicorydock {

/// A node: creates and starts all components, and stops them without aborting requests.
///
/// Thread safety: none; used on the main thread, whose event loop runs the controllers.
class Daemon {
public:
    explicit Daemon(const Settings&);
    ~Daemon();

    Daemon(const Daemon&) = delete;
    Daemon& operator=(const Daemon&) = delete;

    /// Starts serving. Throws Error if an address cannot be bound.
    void start();

    /// Begins a graceful stop. `onStopped` is called when no work is in flight any more, or after the drain timeout.
    void beginStop(std::function<void()> onStopped);

    /// Bound addresses, after `start()`.
    const std::string& httpAddress() const { return m_httpAddress; }
    const std::string& rpcAddress() const { return m_rpcAddress; }

private:
    std::unique_ptr<Scheduler> makeScheduler(const std::string& service);
    std::string metricsText();
    void updateServiceMetrics(const std::string& service, const SchedulerCounters&);
    void listenRpc();
    void listenHttp();
    void tick();
    void stopListening();
    void checkStopped();
    bool hasWorkInFlight() const;

    const Settings m_settings;
    SystemClock m_clock;
    HybridLogicalClock m_hybridClock { m_clock };
    RecordingEventLog m_eventLog;
    MetricsRegistry m_metrics;
    RequestMetrics m_requestMetrics { m_metrics };
    std::mutex m_metricsMutex;
    std::map<std::string, SchedulerCounters> m_lastCounters;
    QObject m_context;
    Post m_toControllers { postTo(&m_context) };

    HttpTableService m_tables;
    HttpObjectStore m_objects;
    HttpVmList m_vmList;
    PlatformPool m_platformPool;
    SeededRandom m_jobRandom;
    TableJobService m_jobs;
    ConfigurationStore m_configurationStore;
    CallRecordStore m_callRecords;
    WorkspaceUsage m_usage;
    RcuCell<Configuration> m_configuration;

    std::mutex m_schedulerMutex;
    std::vector<std::unique_ptr<SeededRandom>> m_schedulerRandoms;
    DispatchTimer m_dispatchTimer;
    Dispatcher m_dispatcher;

    std::unique_ptr<RunnerThread> m_batchRunners;
    std::unique_ptr<BatchItemExecutor> m_executor;
    std::unique_ptr<BatchController> m_batch;
    std::unique_ptr<BatchThread> m_batchThread;

    PooledHttpClient m_controllerHttp;
    RefusedResponseLog m_refusedByController { m_controllerHttp, "control", m_eventLog, m_metrics, m_clock };
    HttpEndpointClient m_controllerClient { m_controllerHttp };
    RpcThread m_rpcThread;
    std::unique_ptr<RpcPeerLink> m_link;
    std::unique_ptr<Cluster> m_cluster;
    std::unique_ptr<NodeOperator> m_operator;
    std::unique_ptr<RpcServer> m_rpcServer;
    std::vector<std::unique_ptr<IoThread>> m_ioThreads;

    QTimer m_tickTimer;
    QTimer m_stopTimer;
    std::string m_httpAddress;
    std::string m_rpcAddress;
    std::atomic<bool> m_isReady { false };
    std::atomic<bool> m_isStopping { false };
    bool m_isListening { false };
    MonotonicTime m_stopDeadline;
    std::function<void()> m_onStopped;
};

}

#include "Daemon.h"

#include <LibOperator/OperatorServer.h>
#include <LibRPC/PeerServer.h>
#include <LibRouting/LearnedScheduler.h>
#include <LibRouting/NaiveScheduler.h>

#include <glog/logging.h>

namespace Chicorydock {

namespace {

    constexpr std::chrono::milliseconds controllerTick { 100 };
    constexpr std::chrono::milliseconds stopCheckInterval { 50 };

    RecordingEventLog::Options eventLogOptions(const Settings& settings)
    {
        return { settings.node.id, settings.node.failureDomain, settings.log.recentEvents, settings.log.eventFile };
    }

    HttpServerLimits serverLimits(const Settings& settings)
    {
        HttpServerLimits limits;
        limits.maxBodyBytes = static_cast<qint64>(settings.http.maxBodyBytes);
        limits.maxHeaderBytes = static_cast<qint64>(settings.http.maxHeaderBytes);
        limits.requestTimeout = settings.http.requestTimeoutMs;
        return limits;
    }

    BatchOptions batchOptions(const Settings& settings)
    {
        BatchOptions options;
        options.nodeId = settings.node.id;
        options.lease = settings.batch.leaseMs;
        options.maxClaimedChunks = settings.batch.maxClaimedChunks;
        options.maxItemAttempts = settings.batch.maxItemAttempts;
        return options;
    }

    std::string withPort(const std::string& address, uint32_t port)
    {
        return address.substr(0, address.rfind(':') + 1) + std::to_string(port);
    }

}

Daemon::Daemon(const Settings& settings)
    : m_settings(settings)
    , m_eventLog(eventLogOptions(settings), m_hybridClock)
    , m_tables(settings.platform.address, settings.platform.timeoutMs, settings.node.failureDomain)
    , m_objects(settings.platform.address, settings.platform.timeoutMs, settings.node.failureDomain)
    , m_vmList(settings.platform.address, settings.platform.timeoutMs, settings.node.failureDomain)
    , m_jobRandom(SeededRandom::fromEntropy())
    , m_jobs(m_tables, m_objects, m_clock, m_jobRandom, settings.batch.chunkItems)
    , m_configurationStore(m_tables, m_clock)
    , m_callRecords(m_tables, m_clock)
    , m_dispatcher(
          m_clock, [this](const std::string& service) { return makeScheduler(service); },
          [this] { m_dispatchTimer.wake(); },
          [this](const std::string& service, const std::string& endpoint) {
              m_toControllers([this, service, endpoint] { m_cluster->requestYield(service, endpoint); });
          })
{
}

Daemon::~Daemon()
{
    // Components that call others back are stopped before those.
    m_tickTimer.stop();
    m_stopTimer.stop();
    m_rpcServer.reset();
    m_ioThreads.clear();
    m_batchThread.reset();
    m_batch.reset();
    if (m_batchRunners)
        m_batchRunners->run([this] { m_executor.reset(); });
    m_batchRunners.reset();
    m_dispatchTimer.stop();
    m_platformPool.wait();
    m_operator.reset();
    m_cluster.reset();
    m_link.reset();
    m_rpcThread.stop();
}

void Daemon::start()
{
    m_batchRunners = std::make_unique<RunnerThread>(m_clock, m_dispatcher, m_eventLog, m_metrics, "batch");
    m_batchRunners->run(
        [this] { m_executor = std::make_unique<BatchItemExecutor>(m_batchRunners->environment(), m_configuration); });
    m_batch = std::make_unique<BatchController>(batchOptions(m_settings), m_tables, m_objects, *m_executor, m_clock,
        SeededRandom::fromEntropy().next(),
        [this](std::string_view subject, std::string_view action, std::string_view id, const QJsonObject& details) {
            m_eventLog.record(subject, action, id, {}, details);
        });
    m_batchThread = std::make_unique<BatchThread>(*m_batch, m_clock);

    m_link = std::make_unique<RpcPeerLink>(m_rpcThread, m_toControllers);
    listenRpc();
    m_dispatchTimer.start(m_dispatcher);
    m_batchThread->start();
    listenHttp();

    QObject::connect(&m_tickTimer, &QTimer::timeout, &m_context, [this] { tick(); });
    m_tickTimer.start(controllerTick);
    m_eventLog.record("node", "started", m_settings.node.id);
    LOG(INFO) << "serving callers on " << m_httpAddress << " and peers on " << m_rpcAddress;
}

void Daemon::listenRpc()
{
    // The factories run when a peer or an operator connects; by then the objects that they use exist.
    m_rpcServer = std::make_unique<RpcServer>(
        m_rpcThread, m_settings.rpc.address,
        [this]() -> Schema::Peer::Client { return kj::heap<PeerServer>(m_toControllers, *m_cluster); },
        [this]() -> Schema::Operator::Client { return kj::heap<OperatorServer>(*m_operator, m_platformPool.post()); });
    m_rpcAddress = withPort(m_settings.rpc.address, m_rpcServer->port());
    m_cluster = std::make_unique<Cluster>(ClusterDependencies { m_settings, m_clock, m_hybridClock, m_eventLog,
        m_dispatcher, *m_link, m_vmList, m_tables, m_configurationStore, m_configuration, m_controllerClient,
        m_rpcAddress, m_platformPool.post(), m_toControllers });
    m_operator = std::make_unique<NodeOperator>(NodeOperator::Dependencies { m_settings, m_clock, *m_cluster,
        m_dispatcher, m_jobs, *m_batch, m_configurationStore, m_configuration, m_eventLog, m_isReady, m_isStopping,
        [this](const std::function<void()>& function) { runAndWait(&m_context, function); } });
}

void Daemon::listenHttp()
{
    const PipelineDependencies parts { m_clock, m_configuration, m_usage, m_callRecords, m_jobs, m_platformPool.post(),
        [this] { return m_isReady.load(); }, [this] { return metricsText(); }, m_requestMetrics,
        m_settings.http.defaultDeadlineMs };
    m_httpAddress = m_settings.http.address;
    for (uint32_t n = 0; n < m_settings.http.ioThreads; ++n) {
        m_ioThreads.push_back(std::make_unique<IoThread>(
            m_clock, m_dispatcher, m_eventLog, m_metrics, parts, serverLimits(m_settings), "io-" + std::to_string(n)));
        // If the port is 0, the first thread binds a free one, which the others share.
        m_httpAddress = withPort(m_httpAddress, m_ioThreads.back()->listen(m_httpAddress));
    }
    m_isListening = true;
}

std::unique_ptr<Scheduler> Daemon::makeScheduler(const std::string& service)
{
    SchedulerSettings settings;
    settings.failureDomain = m_settings.node.failureDomain;
    settings.regionBytesPerSecond = m_settings.scheduler.regionBytesPerSecond;
    settings.batchGapAllowance = m_settings.scheduler.batchGapAllowance;
    const auto configuration = m_configuration.read();
    if (const Service* declared = configuration->findService(service)) {
        settings.firstTokenTarget = Milliseconds { declared->firstTokenTargetMs };
        settings.tokenGapTarget = Milliseconds { declared->tokenGapTargetMs };
    }
    if (m_settings.scheduler.policy == "naive")
        return std::make_unique<NaiveScheduler>(settings);
    const std::lock_guard guard(m_schedulerMutex);
    m_schedulerRandoms.push_back(std::make_unique<SeededRandom>(SeededRandom::fromEntropy()));
    return std::make_unique<LearnedScheduler>(settings, *m_schedulerRandoms.back());
}

std::string Daemon::metricsText()
{
    const std::lock_guard guard(m_metricsMutex);
    for (const auto& [service, counters] : m_dispatcher.counters())
        updateServiceMetrics(service, counters);
    m_metrics.gauge("chicorydock_ready", "Whether the balancer should send requests.").set(m_isReady);
    m_metrics.gauge("chicorydock_platform_reachable", "Whether the platform answered last time.")
        .set(m_cluster->isPlatformReachable());
    m_metrics.gauge("chicorydock_events_dropped", "Events that are missing from the event file.")
        .set(static_cast<double>(m_eventLog.dropped()));
    m_metrics.gauge("chicorydock_revision", "Configuration revision in force.")
        .set(static_cast<double>(m_configuration.read()->revision));
    m_metrics.gauge("chicorydock_claimed_chunks", "Batch chunks that this node holds.").set(m_batch->claimedChunks());
    m_metrics.gauge("chicorydock_members", "Nodes that this node knows.")
        .set(static_cast<double>(m_cluster->members().read()->size()));
    return m_metrics.text();
}

void Daemon::updateServiceMetrics(const std::string& service, const SchedulerCounters& counters)
{
    const MetricLabels labels { { "service", service } };
    const auto set
        = [&](const char* name, const char* help, double value) { m_metrics.gauge(name, help, labels).set(value); };
    set("chicorydock_online_queued", "Online requests that wait at this node.", counters.onlineQueued);
    set("chicorydock_online_in_flight", "Online requests on endpoints.", counters.onlineInFlight);
    set("chicorydock_batch_queued", "Batch items that wait at this node.", counters.batchQueued);
    set("chicorydock_batch_in_flight", "Batch items on endpoints.", counters.batchInFlight);

    SchedulerCounters& last = m_lastCounters[service];
    const auto add = [&](const char* name, const char* help, uint64_t value, uint64_t lastValue) {
        m_metrics.counter(name, help, labels).add(value - lastValue);
    };
    add("chicorydock_refused_total", "Requests refused.", counters.refused, last.refused);
    add("chicorydock_yielded_total", "Batch attempts cancelled for online work.", counters.yielded, last.yielded);
    add("chicorydock_hedged_total", "Second attempts started for late first tokens.", counters.hedged, last.hedged);
    last = counters;
}

void Daemon::tick()
{
    m_cluster->tick();
    m_isReady = !m_isStopping && m_configuration.read()->revision > 0;
}

void Daemon::beginStop(std::function<void()> onStopped)
{
    LOG(INFO) << "stopping: the node reports that it is not ready and completes the requests in flight";
    m_eventLog.record("node", "stopping", m_settings.node.id);
    m_onStopped = std::move(onStopped);
    m_isStopping = true;
    m_isReady = false;
    m_stopDeadline = m_clock.now() + m_settings.http.drainTimeoutMs;
    for (const auto& thread : m_ioThreads)
        thread->drain();
    m_cluster->leave();
    m_batch->release();
    QTimer::singleShot(m_settings.http.drainDelayMs, &m_context, [this] { stopListening(); });
    QObject::connect(&m_stopTimer, &QTimer::timeout, &m_context, [this] { checkStopped(); });
    m_stopTimer.start(stopCheckInterval);
}

void Daemon::stopListening()
{
    for (const auto& thread : m_ioThreads)
        thread->stopListening();
    m_isListening = false;
}

bool Daemon::hasWorkInFlight() const
{
    for (const auto& thread : m_ioThreads) {
        if (thread->activeExchanges() > 0 || thread->isExpectingRequests())
            return true;
    }
    return !m_batch->isReleased() || !m_cluster->areUrgentUpdatesDelivered();
}

void Daemon::checkStopped()
{
    const bool isLate = m_clock.now() >= m_stopDeadline;
    if (m_isListening || (hasWorkInFlight() && !isLate))
        return;
    if (isLate)
        LOG(WARNING) << "stopping with work in flight, because the drain timeout has passed";
    m_stopTimer.stop();
    m_eventLog.record("node", "stopped", m_settings.node.id);
    LOG(INFO) << "stopped";
    m_onStopped();
}

}

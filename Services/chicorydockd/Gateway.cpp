#include "Gateway.h"

#include <LibGateway/ConfigurationPlan.h>
#include <LibGateway/CoordinatorChoice.h>
#include <LibGateway/FeedTiming.h>
#include <LibGateway/MemoryShares.h>

#include <QJsonDocument>
#include <glog/logging.h>

#include <algorithm>
#include <cmath>

namespace Chicorydock {

namespace {

    constexpr Milliseconds tickInterval { 250 };

    /// Interval at which a node that has just started looks for sources of the store's tables.
    constexpr Milliseconds feedPlanInterval { 50 };

    /// Longest time for which the configuration waits for the list of nodes at the start.
    constexpr Milliseconds nodeListTimeout { 300 };

    /// Longest time for which a node of a large deployment waits for the configuration of a peer at the start.
    constexpr Milliseconds maxConfigurationDelay { 4'000 };

    /// Longest time for which the list of jobs waits for the list of nodes at the start.
    constexpr Milliseconds jobListingTimeout { 3'000 };

    /// The load balancer checks readiness once a second, and detects within two checks that a node is not ready.
    constexpr Milliseconds drainDelay { 2'300 };
    constexpr Milliseconds stopCheckInterval { 50 };

    /// Shortest time between two log lines about the slots that stay unused. Limits change with what is learned.
    constexpr Milliseconds slotLimitLogInterval { 2'000 };

    /// Bound of the number after which a process begins to number its work; small numbers make short messages.
    constexpr uint64_t firstWorkBound = uint64_t { 1 } << 32U;

    std::string makeNodeId(const Settings& settings, Random& random)
    {
        // A restarted node has lost its state, so it gets a new id, under which peers treat it as another node.
        return settings.node.id + "." + random.identifier().substr(0, 8);
    }

    SlotScheduler::Location makeLocation(const Settings& settings, const std::string& node)
    {
        return { node, settings.node.failureDomain, settings.gateway->regions };
    }

    uint32_t capacityPercent(const Settings& settings)
    {
        return static_cast<uint32_t>(std::lround(settings.gateway->cpuShare * 100));
    }

    QuotaBounds quotaBounds(const Settings& settings)
    {
        const std::chrono::duration<double> window(settings.gateway->quotaWindowS);
        return { std::chrono::round<Milliseconds>(window), settings.gateway->quotaOvershoot,
            settings.gateway->quotaSlack };
    }

    qint64 elapsedMs(MonotonicTime since, MonotonicTime now)
    {
        return std::chrono::duration_cast<Milliseconds>(now - since).count();
    }

    /// Limits on what arrives at the status port, whose requests have no body.
    HttpServerLimits statusLimits()
    {
        constexpr qint64 bytes = 16 * 1024;
        return { .maxBodyBytes = bytes, .maxHeaderBytes = bytes };
    }

    std::vector<WorkspaceLimits> workspaceLimits(const GatewayConfiguration& configuration)
    {
        std::vector<WorkspaceLimits> limits;
        for (const GatewayWorkspace& it : configuration.workspaces)
            limits.push_back(it.limits);
        return limits;
    }

    HttpServerLimits serverLimits(const Settings& settings)
    {
        HttpServerLimits limits;
        limits.maxBodyBytes = static_cast<qint64>(settings.http.maxBodyBytes);
        limits.maxHeaderBytes = static_cast<qint64>(settings.http.maxHeaderBytes);
        limits.requestTimeout = settings.http.requestTimeoutMs;
        return limits;
    }

}

class Gateway::ConfigurationApplier final : public ConfigurationListener {
public:
    explicit ConfigurationApplier(Gateway& gateway)
        : m_gateway(gateway)
    {
    }

    void onConfiguration(const ReceivedConfiguration& received) override { m_gateway.applyConfiguration(received); }

    void onUnreadableConfiguration() override { m_gateway.m_log.record("configuration", "unreadable", ""); }

    void onConfigurationStoreReachable(bool isReachable) override
    {
        m_gateway.m_log.record("store", isReachable ? "regained" : "lost", "configuration");
    }

private:
    Gateway& m_gateway;
};

class Gateway::StatusHandler final : public HttpHandler {
public:
    explicit StatusHandler(Gateway& gateway)
        : m_gateway(gateway)
    {
    }

    void handle(std::shared_ptr<HttpExchange> exchange) override
    {
        const HttpRequest& request = exchange->request();
        if (m_gateway.m_wire.isReadinessCall(request))
            exchange->answer({ .status = m_gateway.isReady() ? 200 : 503 });
        else if (request.path == "/metrics")
            exchange->answer({ .status = 200,
                .headers = { { "Content-Type", "text/plain; version=0.0.4" } },
                .body = m_gateway.metricsText() });
        else
            exchange->answer({ .status = 404 });
    }

private:
    Gateway& m_gateway;
};

class Gateway::PeerHandler final : public HttpHandler {
public:
    explicit PeerHandler(Gateway& gateway)
        : m_gateway(gateway)
    {
    }

    void handle(std::shared_ptr<HttpExchange> exchange) override
    {
        if (exchange->request().headers.find(relayField))
            m_gateway.m_handler.handleRelayed(exchange);
        else if (exchange->request().path == feedPath)
            m_gateway.m_feed.handle(std::move(exchange));
        else
            m_gateway.m_configuration.handle(std::move(exchange));
    }

private:
    Gateway& m_gateway;
};

Gateway::Gateway(const Settings& settings)
    : m_settings(settings)
    , m_node(makeNodeId(settings, m_random))
    , m_log({ m_node, settings.node.failureDomain }, m_clock)
    , m_requestMemory(MemoryShares::of(settings.gateway->memoryMb).requestBytes)
    , m_responseMemory(MemoryShares::of(settings.gateway->memoryMb).responseBytes)
    , m_refusedByEndpointClient(m_endpointClient, "endpoints", m_log, m_metrics, m_clock)
    , m_refusedByControlClient(m_controlClient, "control", m_log, m_metrics, m_clock)
    , m_store(m_controlClient, settings.platform.address, FeedTiming::storeTimeout)
    , m_links(m_clock, m_random, m_directory, m_prober, m_log)
    , m_feed(m_store, m_controlClient, m_clock, m_log,
          { { m_wire.endpointTable() }, { StreamOrigins::defaultTable() }, { NodeRegistry::table(), true } })
    , m_feedPlanner(settings.gateway->peerAddress, m_clock.now())
    , m_quarantine(m_node)
    , m_origins(m_feed, m_clock)
    , m_registrations(m_wire, m_directory, m_origins, m_clock, m_log, [this] { updateSchedulerEndpoints(); })
    , m_endpointFollower(std::make_unique<TableFollower>(m_feed,
          TableFollower::Options {
              m_wire.endpointTable(), { "" }, FeedTiming::waitFor(FeedTiming::maxEndpointViewAge) },
          m_registrations))
    , m_scheduler(makeLocation(settings, m_node), m_random)
    , m_coordinator(m_scheduler)
    , m_member(m_node, m_coordinator)
    , m_broker(
          m_member, m_clock, [this] { m_exchange.schedule(); }, m_random.below(firstWorkBound))
    , m_environment { m_clock, m_random, m_wire, m_endpointClient, m_broker, m_directory, m_quarantine, m_origins,
        *m_endpointFollower, m_links, m_peers, m_log, m_metrics, m_responseMemory,
        std::make_shared<const GatewayConfiguration>() }
    , m_peers(
          { m_node, settings.node.failureDomain, settings.gateway->peerAddress, settings.gateway->regions }, m_clock,
          [this] { return makeReport(); },
          [this](const PeerReport& report, Milliseconds lifetime) { processPeerReport(report, lifetime); })
    , m_exchange(m_node, m_member, m_coordinator, m_clock, exchangeHandlers())
    , m_jobs(m_environment, m_store, m_peers, m_node)
    , m_handler(m_environment, m_jobs)
    , m_configurationApplier(std::make_unique<ConfigurationApplier>(*this))
    , m_statusHandler(std::make_unique<StatusHandler>(*this))
    , m_peerHandler(std::make_unique<PeerHandler>(*this))
    , m_configuration(m_store, m_wire, m_peers, m_controlClient, m_clock, m_random, *m_configurationApplier)
    , m_jobFollower(std::make_unique<TableFollower>(m_store, FeedTiming::jobFeed(), m_jobs))
    , m_registry(m_feed, m_peers, m_node, settings.gateway->peerAddress,
          [this](const std::set<std::string>& addresses) {
              m_configuration.start(storeReadDelay(m_settings.gateway->peerAddress, addresses));
              m_feedPlanner.setAddresses(addresses);
              if (m_jobStartTimer.isActive())
                  m_jobStartTimer.start(jobListingDelay(m_settings.gateway->peerAddress, addresses));
              updateFeedPlan(coordinators());
          })
    , m_server(m_handler, serverLimits(settings), [this](const Error& error) { return m_wire.errorAnswer(error, {}); })
    , m_statusServer(*m_statusHandler, statusLimits())
    , m_peerServer(*m_peerHandler, serverLimits(settings))
    , m_connectionLimits(*settings.gateway,
          { { { "callers", m_server }, { "peers", m_peerServer }, { "status", m_statusServer } } }, m_endpointClient)
    , m_operator({ m_environment, m_scheduler, m_member, m_jobs, m_node }, serverLimits(settings))
{
    m_scheduler.setLearningLoad(settings.gateway->learnEndpointLoad);
    m_scheduler.setPlacingByPrompt(settings.gateway->placeByPrompt);
    m_scheduler.quota().setBounds(quotaBounds(settings));
    m_peers.setQuotaSource([this] { return m_scheduler.quota().report(m_clock.now()); });
    m_links.setChangedHandler([this] {
        // A request has just failed and is on the stack.
        QMetaObject::invokeMethod(this, &Gateway::handleLinksChanged, Qt::QueuedConnection);
    });
    // The status server has no budget: readiness checks get a response whatever the requests of callers hold.
    for (HttpServer* it : { &m_server, &m_peerServer }) {
        it->setRequestNames([this](const HttpRequest& request) { return m_wire.decodeRequest(request).id; });
        it->setMemory(m_requestMemory, m_responseMemory);
    }
    m_environment.isConfigurationCurrent = [this] { return m_configuration.isCurrent(); };
    connect(&m_tickTimer, &QTimer::timeout, this, &Gateway::tick);
    connect(&m_feedPlanTimer, &QTimer::timeout, this, [this] { updateFeedPlan(coordinators()); });
    m_jobStartTimer.setSingleShot(true);
    connect(&m_jobStartTimer, &QTimer::timeout, this, [this] { m_jobFollower->resume(); });
    connect(&m_stopTimer, &QTimer::timeout, this, &Gateway::checkStopped);
}

Gateway::~Gateway() = default;

void Gateway::start()
{
    m_peers.start();
    m_server.listen(m_settings.http.address);
    m_statusServer.listen(m_settings.gateway->statusAddress);
    m_peerServer.listen(m_settings.gateway->peerAddress);
    if (m_settings.gateway->servesOperators)
        m_operatorPort = std::make_unique<GatewayOperatorPort>(m_settings.rpc.address, m_operator);
    m_configuration.start(nodeListTimeout);
    m_endpointFollower->start();
    m_jobFollower->pause();
    m_jobFollower->start();
    m_jobStartTimer.start(jobListingTimeout);
    m_origins.start();
    m_registry.start();
    m_tickTimer.start(tickInterval);
    m_feedPlanTimer.start(feedPlanInterval);
    m_log.record("node", "started", m_node);
}

void Gateway::applyConfiguration(const ReceivedConfiguration& received)
{
    const GatewayConfiguration& configuration = received.configuration;
    m_log.record("configuration", "in_force", std::to_string(configuration.version), {},
        { { "previous", static_cast<qint64>(m_environment.configuration->version) },
            { "routes", static_cast<qint64>(configuration.routes.size()) },
            { "bytes", static_cast<qint64>(received.bytes) }, { "peer", QString::fromStdString(received.peer) } });
    HttpServerLimits limits = serverLimits(m_settings);
    limits.maxBodyBytes = static_cast<qint64>(configuration.limits.maxBodyBytes);
    limits.maxHeaderBytes = static_cast<qint64>(configuration.limits.maxHeaderBytes);
    limits.requestTimeout = configuration.limits.headerTimeout;
    limits.idleTimeout = configuration.limits.idleTimeout;
    for (HttpServer* it : { &m_server, &m_peerServer })
        it->setLimits(limits);
    const auto previous
        = std::exchange(m_environment.configuration, std::make_shared<const GatewayConfiguration>(configuration));
    recordWorkspaceFaults(*previous);
    // A node that begins to count has to know how many others do.
    m_scheduler.quota().setKnownNodes(m_peers.knownNodes());
    m_broker.setWorkspaces(workspaceLimits(configuration));
    m_handler.updateWaitingCalls();
    m_broker.schedulePoll();
    // Other nodes may wait for this one to read it from the store.
    if (received.peer.empty())
        m_peers.announceToDomain();
}

void Gateway::recordWorkspaceFaults(const GatewayConfiguration& previous)
{
    for (const ConfigurationFault& it : m_environment.configuration->faults) {
        if (std::ranges::find(previous.faults, it) == previous.faults.end())
            m_log.record(
                "workspace", "unreadable", it.workspace, {}, { { "reason", QString::fromStdString(it.reason) } });
    }
    const std::vector<KeyTable::Conflict>& conflicts = m_environment.keys().conflicts();
    for (const KeyTable::Conflict& it : conflicts) {
        if (std::ranges::find(m_loggedConflicts, it) == m_loggedConflicts.end())
            m_log.record(
                "workspace", "key_conflict", it.workspace, {}, { { "other", QString::fromStdString(it.other) } });
    }
    m_loggedConflicts = conflicts;
}

void Gateway::updateSchedulerEndpoints()
{
    m_broker.setEndpoints(m_directory.usable());
    m_handler.updateWaitingCalls();
}

void Gateway::tick()
{
    applyRemovals();
    updateCoordinator();
    m_configuration.update();
    updateQuarantine();
    reportStoreReachability();
    updateLinks();
    updateStreamOrigins();
    recordMemory();
    recordSlotLimits();
    m_connectionLimits.record(m_log);
    recordQuotas();
    m_jobs.tick();
}

void Gateway::applyRemovals()
{
    if (const auto since = m_peers.storeAvailableSince())
        m_directory.recordStoreAvailable(*since);
    const std::vector<std::string> removed = m_directory.applyRemovals(m_clock.now());
    for (const std::string& it : removed)
        m_log.record("endpoint", "removed", it, {}, { { "deferred", true } });
    if (!removed.empty())
        updateSchedulerEndpoints();
}

bool Gateway::isReady() const
{
    return !m_stop && m_environment.configuration->version > 0 && m_endpointFollower->isListed()
        && m_origins.isListed();
}

PeerReport Gateway::makeReport() const
{
    PeerReport report;
    report.waiting = m_scheduler.waitingOnline();
    report.isStoreReachable = m_jobFollower->isReachable();
    report.storeReachableFor = m_registrations.reachableFor();
    report.suspectParts = m_quarantine.report(m_clock.now());
    report.configurationVersion = m_configuration.version();
    report.isConfigurationSource = m_configuration.isActiveSource();
    report.isLeaving = m_stop.has_value();
    report.endpointsLostFor = m_links.lostFor();
    report.capacityPercent = capacityPercent(m_settings);
    report.use = m_scheduler.ownUse();
    if (isCoordinating())
        report.rates = m_scheduler.ownRates(m_clock.now());
    if (isCoordinating() && m_scheduler.quota().hasLimits())
        report.servedNodes = m_scheduler.quota().servedNodes();
    return report;
}

SlotExchange::Handlers Gateway::exchangeHandlers()
{
    SlotExchange::Handlers handlers;
    handlers.sendReport = [this](const std::string& node, const SlotReport& report) { m_peers.send(node, report); };
    handlers.sendReply = [this](const std::string& node, const SlotReply& reply) { m_peers.send(node, reply); };
    handlers.onDecisions = [this] { m_broker.schedulePoll(); };
    handlers.onUseChanged = [this] { reportSlotUse(); };
    return handlers;
}

void Gateway::reportSlotUse()
{
    m_peers.setCoordinating(isCoordinating());
    if (std::exchange(m_reportedUse, m_scheduler.useVersion()) != m_scheduler.useVersion())
        m_peers.scheduleReports();
}

std::vector<std::string> Gateway::coordinators() const
{
    const CoordinatorCandidate self { m_node, capacityPercent(m_settings) };
    return chooseCoordinators(self, m_settings.node.failureDomain, m_peers.domainPeers());
}

void Gateway::updateCoordinator()
{
    const std::vector<std::string> candidates = coordinators();
    m_member.setCandidates(candidates, m_clock.now());
    // The nodes that may allocate the slots of a failure domain are also its sources of what the store holds.
    const bool isSource = std::ranges::find(candidates, m_node) != candidates.end();
    m_configuration.setSource(isSource);
    m_peers.setConfigurationSource(isSource);
    updateFeedPlan(candidates);
    recordCoordinator();
    reportSlotUse();
    m_exchange.schedule();
}

void Gateway::updateFeedPlan(const std::vector<std::string>& sources)
{
    FeedSurroundings surroundings { m_node, sources, {}, m_peers.aliveCount() };
    for (const std::string& it : surroundings.chosen) {
        if (it != m_node)
            surroundings.sources.push_back({ it, m_peers.addressOf(it) });
    }
    const FeedPlan plan = m_feedPlanner.plan(surroundings, m_clock.now());
    m_feed.setPlan(plan);
    if (plan.isSettled)
        m_feedPlanTimer.stop();
    // The list of nodes may be late when many of them start.
    if (plan.storeDelay.count() > 0 && !std::exchange(m_isInLargeDeployment, true))
        m_configuration.start(std::min(plan.storeDelay, maxConfigurationDelay));
    // The others wait for the configuration that a source reads.
    if (plan.isSettled && plan.isSource)
        m_configuration.start(Milliseconds { 0 });
}

void Gateway::reportStoreReachability()
{
    // After an outage of the store, a peer that does not hear soon that this node is back takes over its jobs.
    // Peers that were cut off themselves conclude from it that the store was available.
    const std::pair reachable { m_jobFollower->isReachable(), m_endpointFollower->isReachable() };
    if (std::exchange(m_reportedReachable, reachable) == reachable)
        return;
    // The registrations may come from a peer while this node cannot write to the store.
    if (m_feed.usesSource())
        m_origins.setStoreReachable(reachable.first && reachable.second);
    m_peers.announce();
}

void Gateway::updateLinks()
{
    m_links.tick();
    if (m_links.areLost())
        m_handler.handleLostEndpoints();
}

void Gateway::handleLinksChanged()
{
    // The peers must know before they hand over requests or run jobs.
    m_peers.announce();
    updateLinks();
}

void Gateway::updateStreamOrigins()
{
    m_origins.removeOldRecords();
    // The registrations say which versions there are.
    const bool isResponsible
        = std::ranges::all_of(m_peers.nodesForJobs(), [&](const std::string& it) { return m_node < it; });
    if (isResponsible && m_origins.isListed() && m_endpointFollower->isListed() && m_endpointFollower->isReachable())
        m_origins.updateDefaults(m_directory.softwareVersions());
}

void Gateway::updateQuarantine()
{
    const MonotonicTime now = m_clock.now();
    for (const std::string& it : m_quarantine.update(now))
        m_log.record("prompt_part", "quarantined", it);
}

void Gateway::recordCoordinator()
{
    const std::string previous = std::exchange(m_loggedCoordinator, m_member.coordinator());
    if (previous == m_loggedCoordinator)
        return;
    m_log.record("coordinator", "changed", m_loggedCoordinator, {},
        { { "previous", QString::fromStdString(previous) },
            { "domain_peers", static_cast<qint64>(m_peers.domainPeers().size()) } });
}

void Gateway::processPeerReport(const PeerReport& report, Milliseconds lifetime)
{
    const MonotonicTime now = m_clock.now();
    if (report.isCoordinating)
        m_scheduler.setPeerUse(report.node,
            { report.failureDomain, report.use, report.waiting, lifetime, report.rates, report.servedNodes,
                report.quotas },
            now);
    else
        m_scheduler.removePeer(report.node);
    m_quarantine.merge(report.suspectParts, now);
    if (report.configurationVersion > m_configuration.version())
        m_configuration.update();
    if (report.isMisdelivered(m_node))
        m_log.record(
            "peer", "misdelivered", report.node, {}, { { "recipient", QString::fromStdString(report.recipient) } });
    if (report.slotReport)
        m_exchange.receive(report.node, *report.slotReport);
    if (report.slotReply)
        m_exchange.receive(report.node, *report.slotReply);
    if (!m_feedPlanner.isSettled())
        updateFeedPlan(coordinators());
    // Most reports arrive while no work depends on what the peers use.
    if (report.isCoordinating && m_scheduler.dependsOnPeers())
        m_exchange.schedule();
}

void Gateway::recordMemory()
{
    const uint64_t refusals = m_requestMemory.refusals() + m_responseMemory.refusals();
    const uint64_t previous = std::exchange(m_loggedMemoryRefusals, refusals);
    if (refusals == previous)
        return;
    m_log.record("memory", "exhausted", m_node, {},
        { { "refusals", static_cast<qint64>(refusals - previous) },
            { "request_bytes", static_cast<qint64>(m_requestMemory.bytes()) },
            { "response_bytes", static_cast<qint64>(m_responseMemory.bytes()) },
            { "limit_bytes", static_cast<qint64>(m_responseMemory.limit()) } });
}

void Gateway::recordSlotLimits()
{
    const MonotonicTime now = m_clock.now();
    const size_t unused = m_scheduler.unusedSlots();
    if (unused == m_loggedUnusedSlots || now - m_slotLimitsLoggedAt < slotLimitLogInterval)
        return;
    m_slotLimitsLoggedAt = now;
    m_log.record("slots", "limited", m_node, {},
        { { "unused", static_cast<qint64>(unused) },
            { "previous", static_cast<qint64>(std::exchange(m_loggedUnusedSlots, unused)) } });
}

void Gateway::recordQuotas()
{
    m_scheduler.quota().setKnownNodes(m_peers.knownNodes());
    for (const QuotaNotice& it : m_scheduler.quota().takeNotices(m_clock.now()))
        m_log.record("workspace", "over_quota", it.workspace, {},
            { { "refused", static_cast<qint64>(it.refused) }, { "requests_per_second", it.limits.requestsPerSecond },
                { "burst", it.limits.burst }, { "level", it.level },
                { "nodes_in_touch", static_cast<qint64>(it.nodesInTouch) },
                { "nodes_known", static_cast<qint64>(it.nodesKnown) } });
}

void Gateway::recordReload() { m_log.record("node", "reloaded", m_node); }

void Gateway::beginStop(MonotonicTime signalledAt, std::function<void()> onStopped)
{
    const MonotonicTime now = m_clock.now();
    const GatewayHandler::OpenRequests open = m_handler.openRequests();
    m_log.record("node", "stopping", m_node, {},
        { { "calls", static_cast<qint64>(open.calls) }, { "jobs", static_cast<qint64>(m_jobs.ownedJobs()) },
            { "relayed", static_cast<qint64>(open.relayed) }, { "from_peers", static_cast<qint64>(open.fromPeers) },
            { "long_polls", static_cast<qint64>(open.longPolls) }, { "job_calls", static_cast<qint64>(open.jobCalls) },
            { "signal_age_ms", elapsedMs(signalledAt, now) } });
    m_onStopped = std::move(onStopped);
    m_signalledAt = signalledAt;
    m_stop.emplace(signalledAt, now, m_settings.http.drainTimeoutMs, drainDelay);
    for (HttpServer* it : { &m_server, &m_peerServer })
        it->setDraining(true);
    m_handler.beginStop(m_stop->schedule());
    m_jobs.release();
    m_feed.stopServing();
    m_registry.leave();
    m_peers.announce();
    m_stopTimer.start(stopCheckInterval);
}

OpenWork Gateway::openWork() const
{
    return { .requests = m_server.activeExchanges(),
        .peerRequests = m_peerServer.activeExchanges(),
        .unsentBytes = m_server.unsentBytes() + m_peerServer.unsentBytes(),
        .closingConnections = m_server.closingConnections() + m_peerServer.closingConnections(),
        .expectingConnections = m_server.expectingConnections() + m_peerServer.expectingConnections(),
        .jobs = m_jobs.unreleasedJobs() };
}

void Gateway::checkStopped()
{
    const MonotonicTime now = m_clock.now();
    if (m_stop->closesConnections(now)) {
        for (HttpServer* it : { &m_server, &m_peerServer }) {
            it->stopListening();
            it->closeIdleConnections();
        }
    }
    const OpenWork open = openWork();
    for (const StopProgress::Stage it : m_stop->update(open, now))
        recordStage(it, open);
    if (!m_stop->hasEnded())
        return;
    m_stopTimer.stop();
    recordCutOff();
    m_onStopped();
}

void Gateway::recordStage(StopProgress::Stage stage, const OpenWork& open)
{
    QJsonObject details {
        { "since_signal_ms", elapsedMs(m_signalledAt, m_clock.now()) },
        { "requests", open.requests },
        { "peer_requests", open.peerRequests },
        { "unsent_bytes", static_cast<qint64>(open.unsentBytes) },
        { "closing_connections", open.closingConnections },
        { "expecting_connections", open.expectingConnections },
        { "unreleased_jobs", static_cast<qint64>(open.jobs) },
    };
    if (stage == StopProgress::Stage::Ended) {
        details["idle"] = StopProgress::isIdle(open);
        m_log.record("node", "stopped", m_node, {}, details);
        return;
    }
    const std::string_view name = StopProgress::name(stage);
    details["stage"] = QString::fromUtf8(name.data(), static_cast<qsizetype>(name.size()));
    m_log.record("node", "stop_stage", m_node, {}, details);
}

void Gateway::recordCutOff()
{
    m_handler.recordCutOff();
    for (const HttpServer* server : { &m_server, &m_peerServer }) {
        for (const HttpServer::UnsentResponse& it : server->unsentResponses())
            m_log.record("request", "unsent", it.request, {}, { { "unsent_bytes", it.bytes } });
    }
}

QByteArray Gateway::metricsText()
{
    const auto set = [&](const char* name, const char* help, double value) { m_metrics.gauge(name, help).set(value); };
    set("chicorydock_ready", "Whether the balancer should send requests.", isReady());
    set("chicorydock_configuration_version", "Version in force.",
        static_cast<double>(m_environment.configuration->version));
    set("chicorydock_online_waiting", "Online requests that wait for a slot.", m_member.waitingOnline());
    set("chicorydock_largest_workspace_share",
        "Share of the online slots that this node allocates which one workspace holds.",
        m_scheduler.largestWorkspaceShare());
    set("chicorydock_batch_waiting", "Items that wait for a slot.", m_scheduler.waitingBatch());
    set("chicorydock_peers", "Nodes heard of lately.", static_cast<double>(m_peers.aliveCount()));
    set("chicorydock_endpoints_lost", "Whether this node has lost its connections to the endpoints.",
        m_links.areLost());
    set("chicorydock_endpoints_rate_limited", "Endpoints that limit their rate, as far as this node knows.",
        static_cast<double>(m_scheduler.limitedEndpoints()));
    set("chicorydock_slots_unused", "Slots that stay unused because their endpoints do not take more load well.",
        static_cast<double>(m_scheduler.unusedSlots()));
    const WorkspaceQuota& quota = m_scheduler.quota();
    if (quota.hasLimits()) {
        set("chicorydock_quota_charged", "Requests that this node has charged to rate limits of workspaces.",
            static_cast<double>(quota.totals().charged));
        set("chicorydock_quota_refused", "Requests that this node has refused over rate limits of workspaces.",
            static_cast<double>(quota.totals().refused));
        set("chicorydock_quota_refunded", "Charges given back because the request did not run.",
            static_cast<double>(quota.totals().refunded));
        set("chicorydock_quota_nodes_in_touch", "Nodes with which this node shares the rate limits of workspaces.",
            quota.group().nodesInTouch());
        set("chicorydock_quota_nodes_known", "Nodes between which the rate limits of workspaces are divided.",
            quota.group().nodesKnown());
    }
    set("chicorydock_prompt_parts_quarantined", "Parts of prompts on which endpoints crash.",
        static_cast<double>(m_quarantine.quarantinedParts(m_clock.now())));
    set("chicorydock_prompt_refusals", "Refusals of requests and items with such parts; an item asks each second.",
        static_cast<double>(m_quarantine.refusals()));
    set("chicorydock_jobs_open", "Open jobs of the deployment.", static_cast<double>(m_jobs.openJobs()));
    set("chicorydock_jobs_owned", "Jobs that this node runs.", static_cast<double>(m_jobs.ownedJobs()));
    set("chicorydock_store_calls", "Calls to the store since the start.", static_cast<double>(m_store.calls()));
    const DomainFeed::Traffic feed = m_feed.traffic();
    set("chicorydock_feed_uses_source", "Whether tables come from another node.", m_feed.usesSource());
    set("chicorydock_feed_store_bytes", "Bytes of tables read from the store since the start.",
        static_cast<double>(feed.fromStore));
    set("chicorydock_feed_source_bytes", "Bytes of tables read from other nodes since the start.",
        static_cast<double>(feed.fromSources));
    set("chicorydock_feed_served_bytes", "Bytes of tables sent to other nodes since the start.",
        static_cast<double>(feed.toPeers));
    set("chicorydock_endpoint_connections", "Connections opened to endpoints since the start.",
        static_cast<double>(m_endpointClient.openedConnections()));
    for (const auto& [kind, budget] : { std::pair("requests", &m_requestMemory), { "responses", &m_responseMemory } }) {
        const auto setBytes = [&, kind = kind](const char* name, const char* help, uint64_t value) {
            m_metrics.gauge(name, help, { { "kind", kind } }).set(static_cast<double>(value));
        };
        setBytes("chicorydock_memory_held_bytes", "Bytes held for requests.", budget->bytes());
        setBytes("chicorydock_memory_peak_bytes", "Most bytes held for requests since the start.", budget->peakBytes());
        setBytes("chicorydock_memory_limit_bytes", "Limit on the bytes held for requests.", budget->limit());
        setBytes("chicorydock_memory_refusals", "Requests and responses ended by that limit since the start.",
            budget->refusals());
    }
    m_connectionLimits.updateMetrics(m_metrics);
    set("chicorydock_log_lines_dropped", "Log lines that were left out since the start.",
        static_cast<double>(m_log.dropped()));
    return QByteArray::fromStdString(m_metrics.text());
}

}

#include "Play.h"

#include <algorithm>
#include <array>
#include <csignal>

namespace Chicorydock {

using Review::Json;
using Review::now;
using Review::sleepMs;

namespace {

    constexpr double graceMs = SoakNode::graceMs;
    constexpr double readyMs = 60'000;
    constexpr double balanceMs = 1'000;
    constexpr double stepMs = 10;
    constexpr int missesAllowed = 2;
    constexpr unsigned engineSlots = 32;
    constexpr unsigned plainSlots = 24;
    const std::vector<RequestKind> kinds { RequestKind::Stream, RequestKind::ResumableStream, RequestKind::Repeatable,
        RequestKind::Unrepeatable };

    bool isStream(RequestKind kind) { return kind == RequestKind::Stream || kind == RequestKind::ResumableStream; }

}

Play::Play(PlayOptions options)
    : m_options(std::move(options))
    , m_record(m_options.recordFile)
    , m_front(m_store)
    , m_batch(m_nodes, m_isOver, m_options.seed ^ 0xba7c4)
    , m_random(m_options.seed)
    , m_care(m_options.schedule.nodes)
{
    for (const char* const service : { "engine-a", "engine-b", "plain-a", "plain-b" }) {
        for (const char zone : { 'a', 'b', 'c' }) {
            const unsigned slots = std::string(service).starts_with("engine") ? engineSlots : plainSlots;
            const auto perZone = std::max<size_t>(1, m_options.schedule.nodes / 12);
            for (size_t n = 0; n < perZone; ++n)
                m_endpoints.push_back(
                    new SoakEndpoint(m_store, m_runs, std::string("e-") + service + '-' + zone + std::to_string(n),
                        service, std::string("zone-") + zone, slots));
        }
    }
    for (size_t n = 0; n < m_options.schedule.nodes; ++n)
        m_nodes.push_back(std::make_unique<SoakNode>(m_options.program, n, m_front.address(), m_options.folder));
}

std::optional<Verdict> Play::run()
{
    configure();
    startAll();
    if (!waitUntilReady())
        return {};
    std::thread balancer([this] { balance(); });
    std::vector<std::thread> callers;
    using Habit = Caller::Habit;
    const std::vector<Habit> mix { Habit::Plain, Habit::Plain, Habit::Plain, Habit::Plain, Habit::Plain,
        Habit::SlowReader, Habit::HalfAhead, Habit::Pipelining };
    for (size_t n = 0; n < m_nodes.size() * mix.size(); ++n)
        callers.emplace_back([this, n, habit = mix[n % mix.size()]] {
            Caller(m_nodes, m_exchanges, m_isOver, n % zoneCount, habit, m_options.streamLimitMs,
                m_options.seed * 1'000 + n)
                .run();
        });
    std::thread batch([this] { m_batch.run(); });
    playSchedule();
    m_isOver = true;
    for (std::thread& it : callers)
        it.join();
    batch.join();
    balancer.join();
    Verdict result = verdict();
    for (const std::string& it : endInCalm())
        result.findings.push_back(it);
    result.counts["jobs"] = m_batch.acceptedJobs();
    result.counts["stops"] = m_stops;
    for (const std::string& it : result.record)
        m_record.add(it);
    for (const std::string& it : result.notes)
        m_record.add("NOTE " + it);
    for (const std::string& it : result.findings)
        m_record.add("FINDING " + it);
    return result;
}

void Play::startAll()
{
    for (const auto& it : m_nodes)
        it->start();
}

bool Play::waitUntilReady()
{
    const double until = now() + readyMs;
    for (const auto& it : m_nodes) {
        while (!it->isReady()) {
            if (now() > until)
                return false;
            sleepMs(50);
        }
        it->takesConnections = true;
    }
    return true;
}

/// Asks each node once per second whether it is ready. After two misses a node takes no new connections, unless fewer
/// than half of its zone do.
void Play::balance()
{
    std::vector<int> misses(m_nodes.size());
    while (!m_isOver) {
        std::array<size_t, zoneCount> all {};
        std::array<size_t, zoneCount> taking {};
        for (size_t n = 0; n < m_nodes.size(); ++n) {
            misses[n] = m_nodes[n]->isReady() ? 0 : misses[n] + 1;
            ++all[n % zoneCount];
            taking[n % zoneCount] += misses[n] < missesAllowed ? 1 : 0;
        }
        for (size_t n = 0; n < m_nodes.size(); ++n)
            m_nodes[n]->takesConnections = misses[n] < missesAllowed || taking[n % zoneCount] * 2 < all[n % zoneCount];
        sleepMs(balanceMs);
    }
}

void Play::playSchedule()
{
    const double began = now();
    const auto steps = drawSchedule(m_options.seed, m_options.schedule);
    auto next = steps.begin();
    while (now() < began + m_options.schedule.durationMs) {
        for (; next != steps.end() && now() >= began + next->atMs; ++next)
            play(*next);
        care();
        sleepMs(stepMs);
    }
    m_front.setFault(StoreFront::Fault::None);
}

void Play::play(const Step& step)
{
    using Action = Step::Action;
    static const std::map<Action, int> signals { { Action::TerminateAgain, SIGTERM }, { Action::Reload, SIGHUP },
        { Action::Freeze, SIGSTOP }, { Action::Resume, SIGCONT }, { Action::Kill, SIGKILL } };
    const bool hasNode
        = step.action != Action::Configure && step.action != Action::Fault && step.action != Action::Reset;
    m_record.add(nameOf(step.action) + (hasNode ? ' ' + m_nodes[step.node]->name() : std::string())
        + (step.action == Action::Fault ? std::string(" ") + nameOf(step.fault) : ""));
    if (signals.contains(step.action))
        m_nodes[step.node]->signal(signals.at(step.action));
    else if (step.action == Action::Terminate)
        terminate(step.node);
    else if (step.action == Action::TerminateInStart)
        m_care[step.node].isTerminatedInStart = true;
    else if (step.action == Action::Configure)
        configure();
    else if (step.action == Action::Fault)
        m_front.setFault(step.fault);
    else
        m_endpoints[step.node % m_endpoints.size()]->resetConnections();
}

/// Most nodes stay in service: so many may be stopped at once.
void Play::terminate(size_t node)
{
    const size_t limit = std::max<size_t>(2, m_nodes.size() / 4);
    const auto isOut = [](const auto& it) { return !it->isRunning() || it->lives().back().terminatedAt > 0; };
    if (isOut(m_nodes[node]) || static_cast<size_t>(std::ranges::count_if(m_nodes, isOut)) >= limit) {
        m_record.add("not sent, because the node or too many others are stopped");
        return;
    }
    m_nodes[node]->signal(SIGTERM);
    ++m_stops;
}

void Play::care()
{
    for (size_t n = 0; n < m_nodes.size(); ++n) {
        SoakNode& node = *m_nodes[n];
        Care& care = m_care[n];
        const double terminatedAt = node.lives().back().terminatedAt;
        if (node.isRunning() && terminatedAt > 0 && now() > terminatedAt + graceMs)
            node.signal(SIGKILL);
        if (node.hasJustEnded()) {
            m_record.add(node.name() + " has ended"
                + (terminatedAt > 0
                        ? ", " + std::to_string(static_cast<int>(now() - terminatedAt)) + " ms after SIGTERM"
                        : std::string()));
            care.startAt = now() + std::uniform_real_distribution(0.0, 1'500.0)(m_random);
        }
        if (!node.isRunning() && now() >= care.startAt) {
            node.start();
            m_record.add(node.name() + " starts");
            care.terminateAt
                = care.isTerminatedInStart ? now() + std::uniform_real_distribution(0.0, 1'500.0)(m_random) : 0;
            care.isTerminatedInStart = false;
        }
        if (node.isRunning() && care.terminateAt > 0 && now() >= care.terminateAt) {
            m_record.add("SIGTERM during the start " + node.name());
            care.terminateAt = 0;
            terminate(n);
        }
    }
}

Json Play::route(RequestKind kind, const std::string& service, double timeoutMs) const
{
    const std::string prefix = prefixOf(kind);
    const bool isRepeatable = kind == RequestKind::Repeatable || kind == RequestKind::ResumableStream;
    const char* const type = isStream(kind) ? "streaming" : isRepeatable ? "idempotent" : "non_idempotent";
    return Json::object({ { "name", "r" + prefix }, { "host", "soak.example" }, { "prefix", prefix },
        { "route_type", type }, { "timeout_ms", timeoutMs }, { "target_latency_ms", 400 }, { "priority", 0 },
        { "service", service }, { "max_attempts", isRepeatable ? 3 : 1 }, { "sticky", isStream(kind) },
        { "can_resume", kind == RequestKind::ResumableStream }, { "gap_aim_ms", 250 } });
}

/// Writes a configuration: after the first one, a route moves to another service and time-outs change.
void Play::configure()
{
    const std::map<RequestKind, double> longest { { RequestKind::Stream, m_options.streamLimitMs },
        { RequestKind::ResumableStream, m_options.streamLimitMs }, { RequestKind::Repeatable, 1'500 },
        { RequestKind::Unrepeatable, 4'000 } };
    std::vector<Json> routes;
    for (const RequestKind kind : kinds) {
        const bool isMoved = m_version > 0 && m_random() % 2 == 0;
        const double timeoutMs = longest.at(kind) * (m_version > 0 && m_random() % 2 == 0 ? 0.85 : 1);
        const auto known = m_timeoutMs.find(kind);
        m_timeoutMs[kind] = known == m_timeoutMs.end() ? timeoutMs : std::min(known->second, timeoutMs);
        routes.push_back(
            route(kind, std::string(isStream(kind) ? "engine-" : "plain-") + (isMoved ? 'b' : 'a'), timeoutMs));
    }
    routes.push_back(Json::object({ { "name", "batch" }, { "host", "soak.example" }, { "prefix", BatchCaller::prefix },
        { "route_type", "batch" }, { "timeout_ms", 15'000 }, { "target_latency_ms", 500 }, { "priority", 2 },
        { "service", "engine-b" }, { "max_attempts", 3 }, { "sticky", true }, { "can_resume", true },
        { "gap_aim_ms", 250 }, { "completion_target_ms", 18'000 }, { "max_wait_s", 600 }, { "cap", 0 } }));
    std::vector<Json> services;
    for (const char* const it : { "engine-a", "engine-b", "plain-a", "plain-b" }) {
        auto service = Json::object({ { "name", it }, { "health_check_path", "/health" }, { "max_connections", 400 },
            { "protocol", "h1" }, { "tls", false } });
        if (std::string(it).starts_with("engine"))
            service.fields["engine"] = Json::object({ { "slots", static_cast<long>(engineSlots) } });
        services.push_back(std::move(service));
    }
    const Json limits = Json::object({ { "max_header_bytes", 16'384 }, { "max_body_bytes", 4'194'304 },
        { "header_timeout_ms", 3'000 }, { "idle_timeout_ms", 15'000 } });
    m_store.put("op", "config",
        Json::object({ { "version", ++m_version }, { "routes", Json::array(std::move(routes)) },
                         { "services", Json::array(std::move(services)) }, { "limits", limits } })
            .dump());
}

Verdict Play::verdict()
{
    std::vector<std::vector<SoakNode::Life>> lives;
    for (const auto& it : m_nodes)
        lives.push_back(it->lives());
    return Judge(std::move(lives), m_timeoutMs).judge(m_exchanges.all(), m_runs.all());
}

/// Kills all processes, starts them again, and checks the jobs.
std::vector<std::string> Play::endInCalm()
{
    for (const auto& it : m_nodes) {
        it->signal(SIGCONT);
        it->kill();
    }
    m_record.add("SIGKILL to all nodes");
    startAll();
    if (!waitUntilReady())
        return { "LOST: the nodes are not ready after SIGKILL" };
    return m_batch.check(m_runs);
}

}

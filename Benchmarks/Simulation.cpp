#include "Simulation.h"

#include <LibRouting/LearnedScheduler.h>
#include <LibRouting/NaiveScheduler.h>
#include <LibRouting/Rendezvous.h>

#include <algorithm>
#include <cmath>

namespace Chicorydock {

namespace {

    constexpr double summaryIntervalSeconds = 1;
    constexpr double loadReportIntervalSeconds = 1;
    constexpr double cacheReportIntervalSeconds = 0.5;
    constexpr double peerDelaySeconds = 0.001;
    constexpr double batchRefillIntervalSeconds = 0.05;
    constexpr uint32_t maxItemsPerRefill = 256;

}

template <typename Call> auto Simulation::timed(Call&& call)
{
    struct Timer {
        explicit Timer(double& total)
            : total(total)
        {
        }
        ~Timer() { total += toSeconds(std::chrono::steady_clock::now() - begin); }
        double& total;
        std::chrono::steady_clock::time_point begin { std::chrono::steady_clock::now() };
    };
    const Timer timer(m_schedulerSeconds);
    return call();
}

Simulation::Simulation(const SimulationOptions& options)
    : m_options(options)
    , m_random(options.seed)
    , m_begin(m_events.now())
{
    m_observer.onToken = [this](const EngineModel::Key& key, uint32_t endpoint) {
        RequestRecord& record = m_records[key.second - 1];
        if (!record.firstToken)
            record.firstToken = m_events.now();
        countRegionBytes(endpoint, m_options.settings.bytesPerGeneratedToken);
        timed(
            [&] { m_nodes[key.first].scheduler->recordTokens(key.second, endpointName(endpoint), 1, m_events.now()); });
    };
    m_observer.onAttemptEnded = [this](const EngineModel::Key& key, uint32_t endpoint, AttemptOutcome outcome) {
        RequestRecord& record = m_records[key.second - 1];
        if (outcome == AttemptOutcome::Completed && !record.completed)
            record.completed = m_events.now();
        const bool isQueued = timed([&] {
            return m_nodes[key.first].scheduler->finishAttempt(
                key.second, endpointName(endpoint), outcome, true, m_events.now());
        });
        if (outcome == AttemptOutcome::Failed && !isQueued)
            record.hasFailed = true;
        if (outcome != AttemptOutcome::Completed)
            pollScheduler(key.first);
    };
    m_observer.onStepFinished = [this](uint32_t node) { pollScheduler(node); };

    std::vector<std::string> nodeNames;
    for (uint32_t n = 0; n < options.nodes; ++n)
        nodeNames.push_back("node" + std::to_string(n));
    for (uint32_t n = 0; n < options.endpoints; ++n) {
        const double factor = std::pow(options.spread, 2 * m_random.unit() - 1);
        m_engines.push_back(std::make_unique<EngineModel>(m_events, n, factor, options.speed, m_observer));
        m_engines.back()->setCacheCapacity(options.cacheKeys);
        m_engineIndexes.emplace(endpointName(n), n);
    }
    for (uint32_t n = 0; n < options.nodes; ++n) {
        Node node;
        node.random = std::make_unique<SeededRandom>(options.seed * 1'000 + n);
        if (options.policy == Policy::Learned)
            node.scheduler = std::make_unique<LearnedScheduler>(options.settings, *node.random);
        else
            node.scheduler = std::make_unique<NaiveScheduler>(options.settings);
        std::vector<SchedulerEndpoint> endpoints;
        for (uint32_t i = 0; i < options.endpoints; ++i) {
            SchedulerEndpoint endpoint;
            endpoint.id = endpointName(i);
            endpoint.isRemote = i >= options.firstRemoteEndpoint;
            endpoint.ownsBatch = rendezvousOwner(endpoint.id, nodeNames) == nodeNames[n];
            endpoints.push_back(endpoint);
        }
        node.scheduler->setEndpoints(endpoints, m_events.now());
        m_nodes.push_back(std::move(node));
    }
    m_events.after(summaryIntervalSeconds, [this] { exchangeSummaries(); });
    m_events.after(loadReportIntervalSeconds, [this] { reportLoads(); });
    if (options.cacheKeys > 0)
        m_events.after(cacheReportIntervalSeconds, [this] { reportCaches(); });
}

std::string Simulation::endpointName(uint32_t index) const { return "endpoint" + std::to_string(index); }

double Simulation::capacity(uint32_t begin, uint32_t end) const
{
    double sum = 0;
    const double target = toSeconds(m_options.settings.tokenGapTarget);
    for (uint32_t n = begin; n < std::min<size_t>(end, m_engines.size()); ++n) {
        const double streams = m_engines[n]->concurrencyWithin(target, m_options.settings.maxConcurrency);
        sum += streams / m_engines[n]->gapSeconds(streams);
    }
    return sum;
}

void Simulation::submit(uint32_t node, Work work, uint32_t length, bool isStraggler)
{
    work.id = m_records.size() + 1;
    RequestRecord record;
    record.workClass = work.workClass;
    record.submitted = m_events.now();
    record.length = length;
    record.worth = work.worth;
    record.deadline = work.deadline;
    record.isStraggler = isStraggler;
    m_records.push_back(record);
    m_works.push_back(work);
    timed([&] { m_nodes[node].scheduler->submit(work, m_events.now()); });
    pollScheduler(node);
}

void Simulation::pollScheduler(uint32_t node)
{
    Scheduler& scheduler = *m_nodes[node].scheduler;
    for (const Decision& decision : timed([&] { return scheduler.poll(m_events.now()); }))
        apply(node, decision);
    for (const std::string& endpoint : timed([&] { return scheduler.takeYieldRequests(); })) {
        m_events.after(peerDelaySeconds, [this, node, endpoint] {
            for (uint32_t n = 0; n < m_nodes.size(); ++n) {
                if (n == node)
                    continue;
                timed([&] { m_nodes[n].scheduler->yieldBatch(endpoint, m_events.now()); });
                pollScheduler(n);
            }
        });
    }
    if (m_makeBatch)
        measureYield();
    const MonotonicTime next = timed([&] { return scheduler.nextPoll(m_events.now()); });
    // A pending timer for the same or an earlier time suffices.
    Node& it = m_nodes[node];
    if (it.nextPoll <= next && it.nextPoll > m_events.now())
        return;
    it.nextPoll = next;
    m_events.at(next, [this, node, next] {
        if (m_nodes[node].nextPoll != next)
            return;
        m_nodes[node].nextPoll = MonotonicTime::max();
        pollScheduler(node);
    });
}

void Simulation::apply(uint32_t node, const Decision& decision)
{
    RequestRecord& record = m_records[decision.work - 1];
    if (decision.kind == Decision::Kind::Refuse) {
        record.refused = m_events.now();
        return;
    }
    const uint32_t endpoint = m_engineIndexes.at(decision.endpoint);
    const EngineModel::Key key { node, decision.work };
    if (decision.kind == Decision::Kind::Cancel) {
        if (!m_engines[endpoint]->cancel(key))
            return;
        // Reported in a separate event, as a message from the network would be.
        m_events.after(
            0, [this, key, endpoint] { m_observer.onAttemptEnded(key, endpoint, AttemptOutcome::Cancelled); });
        return;
    }
    if (!record.started) {
        record.started = m_events.now();
        record.firstEndpoint = endpoint;
    }
    ++record.attempts;
    ++m_attempts;
    countRegionBytes(endpoint,
        static_cast<double>(m_works[decision.work - 1].promptTokens) * m_options.settings.bytesPerPromptToken);
    m_engines[endpoint]->start(key, m_works[decision.work - 1], record.length);
}

void Simulation::countRegionBytes(uint32_t endpoint, double bytes)
{
    if (endpoint < m_options.firstRemoteEndpoint)
        return;
    const auto second = static_cast<size_t>(toSeconds(m_events.now() - m_begin));
    if (m_regionBytes.size() <= second)
        m_regionBytes.resize(second + 1);
    m_regionBytes[second] += bytes;
}

void Simulation::supplyBatch(std::function<std::pair<Work, uint32_t>()> make)
{
    m_makeBatch = std::move(make);
    for (uint32_t n = 0; n < m_nodes.size(); ++n)
        refillBatch(n);
}

void Simulation::refillBatch(uint32_t node)
{
    const uint32_t freeCapacity
        = std::min(maxItemsPerRefill, timed([&] { return m_nodes[node].scheduler->batchRoom(m_events.now()); }));
    for (uint32_t n = 0; n < freeCapacity; ++n) {
        auto [work, length] = m_makeBatch();
        submit(node, std::move(work), length);
    }
    m_events.after(batchRefillIntervalSeconds, [this, node] { refillBatch(node); });
}

void Simulation::measureYield()
{
    const bool isWaiting
        = std::ranges::any_of(m_nodes, [](const Node& it) { return it.scheduler->counters().onlineQueued > 0; });
    const bool hasBatch
        = isWaiting && std::ranges::any_of(m_engines, [](const auto& it) { return it->running(WorkClass::Batch) > 0; });
    if (hasBatch && !m_yieldSince)
        m_yieldSince = m_events.now();
    if (m_yieldSince)
        m_longestYield = std::max(m_longestYield, toSeconds(m_events.now() - *m_yieldSince));
    if (!hasBatch)
        m_yieldSince.reset();
}

void Simulation::exchangeSummaries()
{
    for (uint32_t n = 0; n < m_nodes.size(); ++n) {
        const auto summary = timed([&] { return m_nodes[n].scheduler->summary(m_events.now()); });
        m_events.after(peerDelaySeconds, [this, n, summary] {
            for (uint32_t i = 0; i < m_nodes.size(); ++i) {
                if (i == n)
                    continue;
                timed([&] {
                    m_nodes[i].scheduler->recordPeerSummary("node" + std::to_string(n), summary, m_events.now());
                });
                pollScheduler(i);
            }
        });
    }
    m_events.after(summaryIntervalSeconds, [this] { exchangeSummaries(); });
}

void Simulation::reportLoads()
{
    for (uint32_t n = 0; n < m_engines.size(); ++n) {
        const uint32_t running = m_engines[n]->running();
        m_events.after(m_options.reportDelaySeconds, [this, n, running] {
            const Milliseconds age { static_cast<int64_t>(m_options.reportDelaySeconds * 1'000) };
            for (Node& node : m_nodes)
                timed([&] { node.scheduler->recordLoadReport(endpointName(n), running, 0, age, m_events.now()); });
        });
    }
    m_events.after(loadReportIntervalSeconds, [this] { reportLoads(); });
}

void Simulation::reportCaches()
{
    for (uint32_t n = 0; n < m_engines.size(); ++n) {
        const auto stored = m_engines[n]->takeStored();
        const auto evicted = m_engines[n]->takeEvicted();
        if (stored.empty() && evicted.empty())
            continue;
        const bool isLost = m_random.unit() < m_options.lostCacheEvents;
        m_events.after(m_options.cacheEventDelaySeconds, [this, n, stored, evicted, isLost] {
            for (Node& node : m_nodes) {
                timed([&] {
                    if (isLost)
                        node.scheduler->recordCacheEvents(endpointName(n), {}, {}, true, m_events.now());
                    else
                        node.scheduler->recordCacheEvents(endpointName(n), stored, evicted, false, m_events.now());
                });
            }
        });
    }
    m_events.after(cacheReportIntervalSeconds, [this] { reportCaches(); });
}

}

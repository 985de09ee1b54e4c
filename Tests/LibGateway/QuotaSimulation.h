#pragma once

#include <LibCore/SeededRandom.h>
#include <LibGateway/CoordinatorChoice.h>
#include <LibGateway/PeerReport.h>
#include <LibGateway/ReportPlan.h>
#include <LibGateway/SlotCoordinator.h>
#include <LibGateway/SlotMember.h>
#include <Tests/Support/SimulatedClock.h>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Chicorydock {

/// The decision code of the nodes of a deployment, connected by a network that loses, delays and repeats messages and
/// can be cut. Callers of several workspaces send requests to the nodes; endpoints have a slot for each.
class QuotaSimulation final {
public:
    /// Callers of a workspace.
    struct Traffic {
        WorkspaceLimits limits;
        double perSecond { 0 };
        /// Whether all callers are at one node, which changes every few seconds.
        bool isAtOneNode { false };
    };

    struct Options {
        size_t nodes { 90 };
        size_t domains { 6 };
        double messageLoss { 0.01 };
        double lateMessages { 0.01 };
        double repeatedMessages { 0.02 };
        uint64_t seed { 1 };
    };

    struct Counts {
        size_t arrivals { 0 };
        /// Requests that one bucket for the whole deployment would have admitted.
        size_t allowed { 0 };
        size_t started { 0 };
        /// Requests refused although that bucket held a token.
        size_t refusedWrongly { 0 };
        /// The same if each node had an equal share of the limit.
        size_t refusedByEqualShares { 0 };
        size_t refusedForLoad { 0 };
    };

    explicit QuotaSimulation(const Options& options, std::vector<Traffic> traffic)
        : m_options(options)
        , m_random(options.seed)
    {
        for (size_t n = 0; n < options.domains; ++n)
            m_regions["z" + std::to_string(n)] = "r" + std::to_string(n / 3);
        for (size_t n = 0; n < options.domains * 12; ++n)
            m_endpoints.push_back(
                { "e" + std::to_string(n), "10.0.0.1:80", "lm", domainName(n), slotsPerEndpoint, false, 1 });
        for (Traffic& it : traffic)
            m_workspaces.push_back({ std::move(it), {}, {}, {}, {}, 0 });
        for (size_t n = 0; n < options.nodes; ++n)
            addNode();
        m_clock.advance(std::chrono::seconds { 100 });
    }

    /// Adds a node, which starts at once.
    void addNode()
    {
        m_nodes.emplace_back();
        m_nodes.back().domain = domainName(m_nodes.size() - 1);
        restart(m_nodes.size() - 1);
    }

    /// Ends the process of a node and starts the next one, which knows nothing.
    void restart(size_t n)
    {
        Node& node = m_nodes[n];
        node.name = "n" + std::to_string(n) + "." + std::to_string(++m_processes);
        node.random = std::make_unique<SeededRandom>(m_options.seed * 100'000 + m_processes);
        node.member.reset();
        node.coordinator.reset();
        node.scheduler = std::make_unique<SlotScheduler>(
            SlotScheduler::Location { node.name, node.domain, m_regions }, *node.random);
        node.scheduler->setEndpoints(m_endpoints);
        node.coordinator = std::make_unique<SlotCoordinator>(*node.scheduler);
        node.member = std::make_unique<SlotMember>(node.name, *node.coordinator);
        node.scheduler->quota().setKnownNodes(static_cast<uint32_t>(std::max(m_nodes.size(), m_options.nodes)));
        node.member->setWorkspaces(limits());
        node.work.clear();
        node.running.clear();
        node.lastHeard.clear();
        node.channels.clear();
        node.isStopped = false;
    }

    void stop(size_t n) { m_nodes[n].isStopped = true; }

    /// Splits the network: nodes reach only nodes with the same number.
    void setGroup(size_t n, size_t group) { m_nodes[n].group = group; }
    void heal()
    {
        for (Node& it : m_nodes)
            it.group = 0;
    }

    /// Changes the limits of a workspace at all nodes.
    void setLimits(size_t workspace, double perSecond, double burst)
    {
        Workspace& it = m_workspaces[workspace];
        settle(it);
        it.traffic.limits.requestsPerSecond = perSecond;
        it.traffic.limits.burst = burst;
        it.limitsChangedAt = m_clock.now();
        for (Node& node : m_nodes)
            node.member->setWorkspaces(limits());
    }

    void setLoad(size_t workspace, double perSecond) { m_workspaces[workspace].traffic.perSecond = perSecond; }

    void run(Milliseconds duration)
    {
        const MonotonicTime end = m_clock.now() + duration;
        while (m_clock.now() < end) {
            for (Workspace& it : m_workspaces)
                arrive(it);
            deliver();
            if (++m_steps % stepsPerTick == 0)
                tick();
            for (size_t n = 0; n < m_nodes.size(); ++n) {
                if (!m_nodes[n].isStopped)
                    runNode(n);
            }
            m_clock.advance(step);
        }
    }

    const Counts& counts(size_t workspace) const { return m_workspaces[workspace].counts; }
    void resetCounts()
    {
        for (Workspace& it : m_workspaces)
            it.counts = {};
    }

    /// Returns the most starts of the workspace in one window, relative to the bound.
    double worstWindow(size_t workspace) const { return m_workspaces[workspace].worst; }

    /// Returns the bytes of all reports between allocators, and of the charges in them.
    uint64_t reportBytes() const { return m_reportBytes; }
    uint64_t quotaBytes() const { return m_quotaBytes; }
    size_t allocators() const
    {
        return static_cast<size_t>(std::ranges::count_if(m_nodes, [&](const Node& it) { return isAllocating(it); }));
    }
    void measureBytes() { m_isMeasuringBytes = true; }

private:
    static constexpr Milliseconds step { 10 };
    static constexpr size_t stepsPerTick = 25;
    static constexpr uint32_t slotsPerEndpoint = 16;
    static constexpr Milliseconds holdTime { 60 };
    static constexpr Milliseconds livenessTime { 1'200 };
    static constexpr Milliseconds quotaInterval { 200 };
    static constexpr QuotaBounds bounds {};

    struct Workspace {
        Traffic traffic;
        Counts counts;
        std::deque<MonotonicTime> starts;
        /// Tokens of the one bucket, and of the buckets with equal shares, by node.
        double level;
        std::map<size_t, std::pair<double, MonotonicTime>> levels;
        double worst { 0 };
        MonotonicTime settledAt {};
        MonotonicTime limitsChangedAt {};
        bool isFilled { false };
    };

    struct Request {
        size_t workspace { 0 };
        bool isAllowed { false };
    };

    struct Channel {
        MonotonicTime sentAt;
        MonotonicTime quotasSentAt;
        uint64_t version { 0 };
    };

    struct Node {
        std::string name;
        std::string domain;
        std::unique_ptr<SeededRandom> random;
        std::unique_ptr<SlotScheduler> scheduler;
        std::unique_ptr<SlotCoordinator> coordinator;
        std::unique_ptr<SlotMember> member;
        bool isStopped { false };
        size_t group { 0 };
        std::map<uint64_t, Request> work;
        std::deque<std::pair<MonotonicTime, uint64_t>> running;
        std::map<size_t, MonotonicTime> lastHeard;
        std::map<size_t, Channel> channels;
    };

    struct Message {
        size_t from { 0 };
        size_t to { 0 };
        /// Process that it is for.
        std::string recipient;
        PeerReport report;
    };

    std::string domainName(size_t n) const { return "z" + std::to_string(n % m_options.domains); }

    std::vector<WorkspaceLimits> limits() const
    {
        std::vector<WorkspaceLimits> all;
        for (const Workspace& it : m_workspaces)
            all.push_back(it.traffic.limits);
        return all;
    }

    bool isAllocating(const Node& it) const
    {
        return !it.isStopped && (it.member->isIndependent() || it.coordinator->isActive());
    }

    bool isReachable(const Node& from, const Node& to) const
    {
        return !from.isStopped && !to.isStopped && from.group == to.group;
    }

    /// Fills the one bucket.
    void settle(Workspace& it)
    {
        const double rate = it.traffic.limits.requestsPerSecond;
        const double burst = std::max(1.0, it.traffic.limits.burst);
        it.level = it.isFilled ? std::min(burst, it.level + rate * toSeconds(m_clock.now() - it.settledAt)) : burst;
        it.isFilled = true;
        it.settledAt = m_clock.now();
    }

    bool drawEqualShare(Workspace& it, size_t n)
    {
        const double count = static_cast<double>(m_nodes.size());
        const double rate = it.traffic.limits.requestsPerSecond;
        const double burst = it.traffic.limits.burst;
        const double most = std::max(
            1.0, (burst + bounds.overshoot * (rate * toSeconds(bounds.window) + burst) + bounds.slack) / count);
        const auto [found, isNew] = it.levels.try_emplace(n, most, m_clock.now());
        auto& [level, at] = found->second;
        level = std::min(most, level + rate / count * toSeconds(m_clock.now() - at));
        at = m_clock.now();
        if (level < 1)
            return false;
        level -= 1;
        return true;
    }

    void arrive(Workspace& it)
    {
        const double expected = it.traffic.perSecond * toSeconds(step);
        // Poisson arrivals.
        double time = -std::log(1 - m_random.unit());
        while (time < expected) {
            submit(it);
            time -= std::log(1 - m_random.unit());
        }
    }

    size_t callersNode(const Workspace& it)
    {
        const auto n
            = static_cast<size_t>(toSeconds(m_clock.now() - MonotonicTime {}) / 3 + 7 * (&it - m_workspaces.data()));
        size_t node = it.traffic.isAtOneNode ? n * 31 % m_nodes.size() : m_random.below(m_nodes.size());
        while (m_nodes[node].isStopped)
            node = (node + 1) % m_nodes.size();
        return node;
    }

    void submit(Workspace& it)
    {
        const size_t n = callersNode(it);
        const MonotonicTime now = m_clock.now();
        settle(it);
        ++it.counts.arrivals;
        const bool isAllowed = it.level >= 1;
        it.level -= isAllowed ? 1 : 0;
        it.counts.allowed += isAllowed ? 1 : 0;
        it.counts.refusedByEqualShares += isAllowed && !drawEqualShare(it, n) ? 1 : 0;
        const uint64_t id = ++m_lastWork;
        m_nodes[n].work[id] = { static_cast<size_t>(&it - m_workspaces.data()), isAllowed };
        OnlineWork work { .id = id,
            .service = "lm",
            .startBy = now + Milliseconds { 300 },
            .deadline = now + std::chrono::seconds { 5 } };
        work.profile.workspace = it.traffic.limits.name;
        m_nodes[n].member->submit(work, now);
    }

    void recordStart(Workspace& it)
    {
        const MonotonicTime now = m_clock.now();
        ++it.counts.started;
        it.starts.push_back(now);
        while (now - it.starts.front() > bounds.window)
            it.starts.pop_front();
        // A lower limit binds a window after it is in force.
        if (now - it.limitsChangedAt <= bounds.window)
            return;
        const WorkspaceLimits& limits = it.traffic.limits;
        const double bound
            = (limits.requestsPerSecond * toSeconds(bounds.window) + limits.burst) * (1 + bounds.overshoot)
            + bounds.slack;
        it.worst = std::max(it.worst, static_cast<double>(it.starts.size()) / bound);
    }

    void send(size_t from, size_t to, PeerReport report)
    {
        if (!isReachable(m_nodes[from], m_nodes[to]) || m_random.unit() < m_options.messageLoss)
            return;
        report.node = m_nodes[from].name;
        report.failureDomain = m_nodes[from].domain;
        const bool isRepeated = m_random.unit() < m_options.repeatedMessages;
        for (int n = 0; n < (isRepeated ? 2 : 1); ++n) {
            const bool isLate = m_random.unit() < m_options.lateMessages;
            const Milliseconds delay { (isLate ? 400 : 5) + m_random.below(isLate ? 800 : 30) };
            m_messages.emplace(m_clock.now() + delay, Message { from, to, m_nodes[to].name, report });
        }
    }

    void deliver()
    {
        while (!m_messages.empty() && m_messages.begin()->first <= m_clock.now()) {
            const Message message = std::move(m_messages.begin()->second);
            m_messages.erase(m_messages.begin());
            Node& to = m_nodes[message.to];
            // Messages that were sent before a cut arrive.
            if (!to.isStopped && to.name == message.recipient)
                receive(to, message.report);
        }
    }

    void receive(Node& to, const PeerReport& report)
    {
        const MonotonicTime now = m_clock.now();
        // `PeerGroup` ignores what is older than the latest report.
        uint64_t& last = m_lastSequences[to.name][report.node];
        if (report.sequence <= last)
            return;
        last = report.sequence;
        if (report.slotReport)
            to.coordinator->receive(report.node, *report.slotReport, now);
        if (report.slotReply)
            to.member->receive(report.node, *report.slotReply, now);
        if (report.isCoordinating)
            to.scheduler->setPeerUse(report.node,
                { report.failureDomain, report.use, report.waiting, livenessTime, {}, report.servedNodes,
                    report.quotas },
                now);
        else
            to.scheduler->removePeer(report.node);
    }

    PeerReport makeReport(const Node& node)
    {
        PeerReport report;
        report.sequence = ++m_lastSequence;
        report.isCoordinating = isAllocating(node);
        report.use = node.scheduler->ownUse();
        report.servedNodes = node.scheduler->quota().servedNodes();
        return report;
    }

    void sendReports(size_t n)
    {
        Node& node = m_nodes[n];
        if (!isAllocating(node))
            return;
        const MonotonicTime now = m_clock.now();
        const size_t others = allocatorCount();
        for (size_t k = 0; k < m_nodes.size(); ++k) {
            Node& peer = m_nodes[k];
            if (k == n || !isReachable(node, peer) || !isAllocating(peer))
                continue;
            Channel& channel = node.channels[k];
            const PeerDistance distance = distanceBetween(node.domain, peer.domain, m_regions);
            const uint64_t version = node.scheduler->useVersion();
            const Milliseconds interval
                = version != channel.version ? reportInterval(distance, others) : heartbeatInterval(distance, others);
            if (now - channel.sentAt < interval)
                continue;
            PeerReport report = makeReport(node);
            if (now - channel.quotasSentAt >= quotaInterval) {
                if (m_isMeasuringBytes)
                    m_quotaBytes -= static_cast<uint64_t>(encodePeerReport(report).size());
                report.quotas = node.scheduler->quota().report(now);
                if (m_isMeasuringBytes)
                    m_quotaBytes += static_cast<uint64_t>(encodePeerReport(report).size());
                channel.quotasSentAt = now;
            }
            if (m_isMeasuringBytes)
                m_reportBytes += static_cast<uint64_t>(encodePeerReport(report).size());
            channel.sentAt = now;
            channel.version = version;
            send(n, k, std::move(report));
        }
    }

    size_t allocatorCount()
    {
        if (m_countedAt != m_clock.now()) {
            m_countedAt = m_clock.now();
            m_allocatorCount = allocators();
        }
        return m_allocatorCount;
    }

    /// Updates what the nodes know of each other.
    void tick()
    {
        const MonotonicTime now = m_clock.now();
        for (size_t n = 0; n < m_nodes.size(); ++n) {
            Node& node = m_nodes[n];
            if (node.isStopped)
                continue;
            std::vector<CoordinatorCandidate> peers;
            for (size_t k = 0; k < m_nodes.size(); ++k) {
                if (k == n || m_nodes[k].domain != node.domain)
                    continue;
                if (isReachable(node, m_nodes[k]))
                    node.lastHeard[k] = now;
                if (node.lastHeard.contains(k) && now - node.lastHeard[k] <= livenessTime)
                    peers.push_back({ m_nodes[k].name });
            }
            node.scheduler->quota().setKnownNodes(static_cast<uint32_t>(m_nodes.size()));
            node.member->setCandidates(chooseCoordinators({ node.name }, node.domain, peers), now);
        }
    }

    size_t indexOf(const std::string& name) const { return std::stoul(name.substr(1)); }

    void runNode(size_t n)
    {
        Node& node = m_nodes[n];
        const MonotonicTime now = m_clock.now();
        while (!node.running.empty() && node.running.front().first <= now) {
            node.member->finish(node.running.front().second, EndpointOutcome::Answered, now);
            node.running.pop_front();
        }
        node.member->checkCoordinator(now);
        if (node.coordinator->isActive())
            node.coordinator->poll(now);
        for (const auto& [to, reply] : node.coordinator->takeReplies(now)) {
            if (to == node.name) {
                node.member->receive(to, reply, now);
            } else {
                PeerReport report = makeReport(node);
                report.slotReply = reply;
                send(n, indexOf(to), std::move(report));
            }
        }
        for (const SlotMember::OutgoingReport& it : node.member->takeReports(now)) {
            PeerReport report = makeReport(node);
            report.slotReport = it.report;
            send(n, indexOf(it.coordinator), std::move(report));
        }
        for (const SlotDecision& it : node.member->poll(now))
            apply(node, it);
        sendReports(n);
    }

    void apply(Node& node, const SlotDecision& decision)
    {
        const auto found = node.work.find(decision.work);
        if (found == node.work.end())
            return;
        Workspace& workspace = m_workspaces[found->second.workspace];
        if (decision.kind == SlotDecision::Kind::Start) {
            recordStart(workspace);
            node.running.emplace_back(m_clock.now() + holdTime, decision.work);
        } else if (decision.reason == RefusalReason::Quota) {
            workspace.counts.refusedWrongly += found->second.isAllowed ? 1 : 0;
        } else {
            ++workspace.counts.refusedForLoad;
        }
        node.work.erase(found);
    }

    const Options m_options;
    SeededRandom m_random;
    SimulatedClock m_clock;
    std::map<std::string, std::string> m_regions;
    std::vector<EndpointRecord> m_endpoints;
    std::vector<Workspace> m_workspaces;
    std::deque<Node> m_nodes;
    std::multimap<MonotonicTime, Message> m_messages;
    std::map<std::string, std::map<std::string, uint64_t>> m_lastSequences;
    uint64_t m_lastSequence { 0 };
    uint64_t m_lastWork { 0 };
    uint64_t m_processes { 0 };
    size_t m_steps { 0 };
    MonotonicTime m_countedAt;
    size_t m_allocatorCount { 0 };
    bool m_isMeasuringBytes { false };
    uint64_t m_reportBytes { 0 };
    uint64_t m_quotaBytes { 0 };
};

}

#pragma once

#include <LibCore/SeededRandom.h>
#include <LibGateway/CoordinatorChoice.h>
#include <LibGateway/ReportPlan.h>
#include <LibGateway/SlotCoordinator.h>
#include <LibGateway/SlotMember.h>
#include <Tests/Support/SimulatedClock.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace Chicorydock {

/// Discrete-time simulation of several nodes that share endpoints. The endpoints admit work in order of arrival, and
/// the reports between the nodes arrive with a delay. The nodes allocate their own slots, or coordinators of the
/// failure domains do so.
class SlotSimulation final {
public:
    struct Options {
        size_t nodes { 12 };
        size_t endpoints { 18 };
        uint32_t slotCount { 8 };
        /// Time that an online request or an item holds a slot.
        Milliseconds onlineHold { 750 };
        Milliseconds batchHold { 5'100 };
        Milliseconds onlineTarget { 220 };
        Milliseconds itemTarget { 18'000 };
        /// Number of failure domains, over which the nodes and endpoints are spread evenly.
        size_t domains { 3 };
        size_t domainsPerRegion { 2 };
        /// Transfer time of a report.
        Milliseconds reportLatency { 5 };
        /// Whether coordinators allocate the slots where a failure domain has enough nodes.
        bool isCoordinated { false };
        /// Share of the messages between members and coordinators that are lost.
        double messageLoss { 0 };
        /// Number of endpoints that state a rate limit in their responses, and the limit in requests per second.
        size_t limitedEndpoints { 0 };
        double rateLimit { 0 };
        /// Number of workspaces, 0 if the deployment has none. The load of workspace n is in proportion to 1 / (n + 1),
        /// so a few are large.
        size_t workspaces { 0 };
        /// Load of workspace 0, relative to its usual load.
        double hotFactor { 1 };
        /// Spread of the output lengths, and of the callers' estimates of them: standard deviations of the logarithms.
        double lengthSpread { 0 };
        double hintSpread { 0 };
        /// Whether callers state estimates.
        bool hasHints { true };
        /// Share of the time in which an endpoint takes 2.5 times as long, in phases of 600 ms.
        double slowShare { 0 };
        /// Whether refused callers retry once, after the time that they are told.
        bool hasRetries { false };
        uint64_t seed { 1 };
    };

    /// Requests of the callers of one group.
    struct Group {
        size_t arrivals { 0 };
        /// First event within the target, at the first attempt and at the retry.
        size_t onTime { 0 };
        size_t onTimeAtRetry { 0 };

        double onTimeShare() const
        {
            return static_cast<double>(onTime + onTimeAtRetry) / static_cast<double>(std::max<size_t>(arrivals, 1));
        }
    };

    struct Totals {
        size_t onlineArrivals { 0 };
        /// Admitted by the endpoint within the target.
        size_t onlineOnTime { 0 };
        size_t onlineLate { 0 };
        size_t onlineRefused { 0 };
        Milliseconds longestOnlineWait { 0 };
        /// Total time for which items held slots.
        Milliseconds batchSlotTime { 0 };
        size_t yields { 0 };
        /// Starts of items that yielded before the endpoint had admitted them.
        size_t wastedStarts { 0 };
        size_t itemStarts { 0 };
        size_t datagrams { 0 };
        size_t itemsOnTime { 0 };
        size_t itemsLate { 0 };
        /// Workspace 0, and all others.
        Group hot;
        Group others;
        /// Retries; those that found no slot in time, those that were not served, and those at whose arrival a tenth of
        /// all slots was free.
        size_t retries { 0 };
        size_t retriesTooEarly { 0 };
        size_t retriesInVain { 0 };
        size_t retriesTooLate { 0 };
    };

    explicit SlotSimulation(const Options& options)
        : m_options(options)
        , m_random(options.seed)
    {
        std::map<std::string, std::string> regions;
        for (size_t n = 0; n < options.domains; ++n)
            regions["z" + std::to_string(n)] = "r" + std::to_string(n / options.domainsPerRegion);
        std::vector<EndpointRecord> records;
        for (size_t n = 0; n < options.endpoints; ++n) {
            records.push_back({ "e" + std::to_string(n), "10.0.0.1:80", "lm", "z" + std::to_string(n % options.domains),
                options.slotCount, false, 1 });
            m_endpoints[records.back().id].rateLimit = n < options.limitedEndpoints ? options.rateLimit : unlimitedRate;
        }
        for (size_t n = 0; n < options.nodes; ++n) {
            m_nodes.push_back(std::make_unique<Node>(options.seed * 100 + n));
            m_nodes.back()->name = "n" + std::to_string(n);
            m_nodes.back()->failureDomain = "z" + std::to_string(n % options.domains);
            m_nodes.back()->scheduler = std::make_unique<SlotScheduler>(
                SlotScheduler::Location { m_nodes.back()->name, m_nodes.back()->failureDomain, regions },
                m_nodes.back()->random);
            m_nodes.back()->scheduler->setEndpoints(records);
            m_nodes.back()->coordinator = std::make_unique<SlotCoordinator>(*m_nodes.back()->scheduler);
            m_nodes.back()->member = std::make_unique<SlotMember>(m_nodes.back()->name, *m_nodes.back()->coordinator);
        }
        for (const auto& from : m_nodes) {
            for (const auto& to : m_nodes) {
                if (to == from)
                    continue;
                const PeerDistance distance = distanceBetween(from->failureDomain, to->failureDomain, regions);
                from->channels.at(static_cast<size_t>(distance)).peers.push_back(to.get());
                if (!options.isCoordinated)
                    to->scheduler->setPeerUse(from->name, { from->failureDomain, {}, 0, lifetime }, m_clock.now());
            }
        }
        if (options.isCoordinated)
            updateCandidates();
    }

    /// Stops a node. Its work ends, and the messages to it are lost.
    void stopNode(size_t n)
    {
        m_nodes[n]->isStopped = true;
        for (auto& [id, endpoint] : m_endpoints) {
            std::erase_if(endpoint.running, [&](const Work& it) { return it.node == n; });
            std::erase_if(endpoint.queue, [&](const Work& it) { return it.node == n; });
        }
    }

    /// Lets all nodes know which nodes have stopped.
    void updateCandidates()
    {
        for (const auto& node : m_nodes) {
            std::vector<CoordinatorCandidate> peers;
            for (const auto& it : m_nodes) {
                if (it != node && !it->isStopped && it->failureDomain == node->failureDomain)
                    peers.push_back({ it->name });
            }
            node->member->setCandidates(chooseCoordinators({ node->name }, node->failureDomain, peers), m_clock.now());
        }
    }

    /// Returns a node that allocates slots for others.
    size_t findCoordinator() const
    {
        for (size_t n = 0; n < m_nodes.size(); ++n) {
            if (!m_nodes[n]->isStopped && m_nodes[n]->coordinator->members().size() > 1)
                return n;
        }
        return m_nodes.size();
    }

    /// Returns the number of slots that the schedulers of all nodes count as used.
    size_t allocatedSlots() const
    {
        size_t slotCount = 0;
        for (const auto& node : m_nodes) {
            if (node->isStopped)
                continue;
            for (const auto& [endpoint, use] : node->scheduler->ownUse())
                slotCount += use.online + use.batch;
        }
        return slotCount;
    }

    /// Simulates the duration with a rate of online requests and at least `queuedItems` items queued at each node.
    void run(Milliseconds duration, double onlinePerSecond, size_t queuedItems)
    {
        simulate(duration, onlinePerSecond, [&] {
            for (const auto& node : m_nodes) {
                while (!node->isStopped && node->queuedItems < queuedItems)
                    submitItem(*node);
            }
        });
    }

    /// Simulates the duration with rates of online requests and of new items.
    void runWithItems(Milliseconds duration, double onlinePerSecond, double itemsPerSecond)
    {
        simulate(duration, onlinePerSecond, [&] {
            if (m_random.unit() < itemsPerSecond * toSeconds(step))
                submitItem(*m_nodes[randomNode()]);
        });
    }

    /// Changes the limit of the limited endpoints.
    void setRateLimit(double perSecond)
    {
        for (auto& [id, endpoint] : m_endpoints) {
            if (endpoint.rateLimit != unlimitedRate)
                endpoint.rateLimit = perSecond;
        }
    }

    /// Returns the number of requests that a limited endpoint got in the busiest `window` since the last reset of the
    /// totals, the largest one over all limited endpoints.
    size_t mostArrivalsWithin(Milliseconds window) const
    {
        size_t most = 0;
        for (const auto& [id, endpoint] : m_endpoints) {
            const std::vector<MonotonicTime>& arrivals = endpoint.limitedArrivals;
            for (size_t first = 0, last = 0; last < arrivals.size(); ++last) {
                while (arrivals[last] - arrivals[first] > window)
                    ++first;
                most = std::max(most, last - first + 1);
            }
        }
        return most;
    }

    const Totals& totals() const { return m_totals; }
    void resetTotals()
    {
        m_totals = {};
        for (auto& [id, endpoint] : m_endpoints)
            endpoint.limitedArrivals.clear();
    }

private:
    static constexpr Milliseconds step { 5 };
    static constexpr Milliseconds lifetime { 5'000 };

    template <typename AddItems> void simulate(Milliseconds duration, double onlinePerSecond, AddItems addItems)
    {
        const MonotonicTime end = m_clock.now() + duration;
        while (m_clock.now() < end) {
            const double hotLoad = m_options.workspaces > 0 ? shareOfHot() * (m_options.hotFactor - 1) : 0;
            const double expected = onlinePerSecond * (1 + hotLoad) * toSeconds(step);
            for (double remaining = expected; remaining > 0 && m_random.unit() < remaining; remaining -= 1)
                submitOnline();
            addItems();
            submitRetries();
            deliverReports();
            deliverMessages();
            for (size_t n = 0; n < m_nodes.size(); ++n) {
                if (!m_nodes[n]->isStopped)
                    decide(n);
            }
            advanceEndpoints();
            m_clock.advance(step);
        }
    }

    struct Work {
        size_t node { 0 };
        uint64_t id { 0 };
        bool isBatch { false };
        MonotonicTime arrival;
        Milliseconds remaining { 0 };
        /// Set for items only.
        MonotonicTime dueAt;
        /// Time at which it was sent to its endpoint.
        MonotonicTime startedAt {};
        bool isRetry { false };
        WorkProfile profile {};
    };

    struct Report {
        std::unordered_map<uint32_t, SlotUse> use;
        uint32_t waiting { 0 };
        std::unordered_map<uint32_t, ReportedRate> rates {};

        bool operator==(const Report&) const = default;
    };

    struct Node;

    /// The reports of a node to its peers at one distance.
    struct ReportChannel {
        std::vector<Node*> peers;
        MonotonicTime sentAt;
        Report sent;
        std::deque<std::pair<MonotonicTime, Report>> inTransit;
    };

    struct Node {
        explicit Node(uint64_t seed)
            : random(seed)
        {
        }

        std::string name;
        std::string failureDomain;
        SeededRandom random;
        std::unique_ptr<SlotScheduler> scheduler;
        std::unique_ptr<SlotCoordinator> coordinator;
        std::unique_ptr<SlotMember> member;
        bool isStopped { false };
        size_t queuedItems { 0 };
        std::map<uint64_t, Work> work;
        std::array<ReportChannel, peerDistanceCount> channels;
    };

    /// A slot message between a member and its coordinator.
    struct Message {
        MonotonicTime arrivesAt;
        std::string from;
        Node* to { nullptr };
        std::variant<SlotReport, SlotReply> content;
    };

    struct Endpoint {
        std::vector<Work> running;
        std::deque<Work> queue;
        double rateLimit { unlimitedRate };
        /// Times of the requests that arrived while the endpoint had a limit.
        std::vector<MonotonicTime> limitedArrivals;
        bool isSlow { false };
        MonotonicTime phaseEnd {};
    };

    SlotAllocator& allocatorOf(Node& node) const
    {
        return m_options.isCoordinated ? static_cast<SlotAllocator&>(*node.member) : *node.scheduler;
    }

    bool isCoordinating(const Node& node) const
    {
        if (node.isStopped)
            return false;
        return !m_options.isCoordinated || node.member->isIndependent() || node.coordinator->isActive();
    }

    size_t randomNode()
    {
        size_t n = m_random.below(m_nodes.size());
        while (m_nodes[n]->isStopped)
            n = m_random.below(m_nodes.size());
        return n;
    }

    /// Returns a normally distributed number (sum of uniform ones).
    double normal()
    {
        double sum = -6;
        for (int n = 0; n < 12; ++n)
            sum += m_random.unit();
        return sum;
    }

    double weightOf(size_t workspace) const { return 1.0 / static_cast<double>(workspace + 1); }

    double shareOfHot() const
    {
        double sum = 0;
        for (size_t n = 0; n < m_options.workspaces; ++n)
            sum += weightOf(n);
        return weightOf(0) / sum;
    }

    std::string drawWorkspace()
    {
        double sum = weightOf(0) * m_options.hotFactor;
        for (size_t n = 1; n < m_options.workspaces; ++n)
            sum += weightOf(n);
        double left = m_random.unit() * sum;
        size_t n = 0;
        for (left -= weightOf(0) * m_options.hotFactor; left > 0 && n + 1 < m_options.workspaces; left -= weightOf(n))
            ++n;
        return "w" + std::to_string(n);
    }

    /// Draws the length of work that takes `mean` on average, and states the caller's estimate of it.
    Milliseconds drawLength(Milliseconds mean, WorkProfile& profile)
    {
        if (m_options.workspaces > 0)
            profile.workspace = drawWorkspace();
        if (m_options.lengthSpread == 0)
            return mean;
        const double spread = m_options.lengthSpread;
        const double factor = std::exp(normal() * spread - spread * spread / 2);
        constexpr double tokensPerMillisecond = 0.25;
        const double tokens = std::max(1.0, factor * static_cast<double>(mean.count()) * tokensPerMillisecond);
        profile.promptTokens = m_options.hasHints ? 250 : 0;
        if (m_options.hasHints)
            profile.outputTokensHint = static_cast<uint32_t>(1 + tokens * std::exp(normal() * m_options.hintSpread));
        return Milliseconds { std::lround(tokens / tokensPerMillisecond) };
    }

    void submitOnline()
    {
        const size_t n = randomNode();
        Work work { n, ++m_lastWork, false, m_clock.now(), m_options.onlineHold, {} };
        if (m_options.lengthSpread > 0 || m_options.workspaces > 0)
            work.remaining = drawLength(m_options.onlineHold, work.profile);
        ++groupOf(work).arrivals;
        ++m_totals.onlineArrivals;
        submitOnline(work);
    }

    void submitOnline(const Work& work)
    {
        const MonotonicTime now = m_clock.now();
        Node& node = *m_nodes[work.node];
        node.work[work.id] = work;
        OnlineWork online { work.id, "lm", 0, now + m_options.onlineTarget, now + std::chrono::seconds { 5 },
            work.isRetry, {} };
        online.profile = work.profile;
        allocatorOf(node).submit(online, now);
    }

    void submitRetries()
    {
        while (!m_retries.empty() && m_retries.begin()->first <= m_clock.now()) {
            Work work = m_retries.begin()->second;
            m_retries.erase(m_retries.begin());
            work.node = m_nodes[work.node]->isStopped ? randomNode() : work.node;
            work.arrival = m_clock.now();
            work.id = ++m_lastWork;
            size_t used = 0;
            for (const auto& [id, endpoint] : m_endpoints)
                used += endpoint.running.size();
            const size_t all = m_options.endpoints * m_options.slotCount;
            ++m_totals.retries;
            m_totals.retriesTooLate += used * 10 < all * 9 ? 1 : 0;
            submitOnline(work);
        }
    }

    void retryOrGiveUp(Work work, Milliseconds retryAfter)
    {
        if (!m_options.hasRetries || work.isRetry || work.isBatch) {
            m_totals.retriesInVain += work.isRetry ? 1 : 0;
            return;
        }
        work.isRetry = true;
        // Callers honour the delay up to a third of the time that they have left; messages take 3 ms each way.
        m_retries.emplace(m_clock.now() + std::min(retryAfter, Milliseconds { 1'650 }) + Milliseconds { 6 }, work);
    }

    Group& groupOf(const Work& work) { return work.profile.workspace == "w0" ? m_totals.hot : m_totals.others; }

    void submitItem(Node& node)
    {
        const uint64_t id = ++m_lastWork;
        const size_t n = indexOf(node);
        const MonotonicTime dueAt = m_clock.now() + m_options.itemTarget;
        node.work[id] = { n, id, true, m_clock.now(), m_options.batchHold, dueAt };
        ++node.queuedItems;
        allocatorOf(node).submit(BatchWork { id, "lm", dueAt, {} });
    }

    size_t indexOf(const Node& node) const
    {
        size_t n = 0;
        while (m_nodes[n].get() != &node)
            ++n;
        return n;
    }

    void deliverReports()
    {
        for (const auto& from : m_nodes) {
            if (!isCoordinating(*from))
                continue;
            const Report report { from->scheduler->ownUse(), from->scheduler->waitingOnline() };
            for (size_t n = 0; n < peerDistanceCount; ++n) {
                const auto distance = static_cast<PeerDistance>(n);
                ReportChannel& channel = from->channels.at(n);
                const size_t peers = static_cast<size_t>(
                    std::ranges::count_if(channel.peers, [&](const Node* it) { return isCoordinating(*it); }));
                const bool isChanged = report != channel.sent;
                const Milliseconds interval
                    = isChanged ? reportInterval(distance, peers) : heartbeatInterval(distance, peers);
                if (m_clock.now() >= channel.sentAt + interval) {
                    channel.sentAt = m_clock.now();
                    channel.sent = report;
                    channel.inTransit.emplace_back(m_clock.now() + m_options.reportLatency, report);
                    channel.inTransit.back().second.rates = from->scheduler->ownRates(m_clock.now());
                    m_totals.datagrams += peers;
                }
                deliver(*from, channel);
            }
        }
    }

    void deliver(const Node& from, ReportChannel& channel)
    {
        while (!channel.inTransit.empty() && channel.inTransit.front().first <= m_clock.now()) {
            const Report& report = channel.inTransit.front().second;
            for (Node* to : channel.peers) {
                if (isCoordinating(*to))
                    to->scheduler->setPeerUse(from.name,
                        { from.failureDomain, report.use, report.waiting, lifetime, report.rates }, m_clock.now());
            }
            channel.inTransit.pop_front();
        }
    }

    void send(const Node& from, const std::string& to, std::variant<SlotReport, SlotReply> content)
    {
        ++m_totals.datagrams;
        if (m_random.unit() < m_options.messageLoss)
            return;
        const auto node = std::ranges::find_if(m_nodes, [&](const auto& it) { return it->name == to; });
        m_messages.push_back({ m_clock.now() + m_options.reportLatency, from.name, node->get(), std::move(content) });
    }

    void deliverMessages()
    {
        while (!m_messages.empty() && m_messages.front().arrivesAt <= m_clock.now()) {
            const Message message = std::move(m_messages.front());
            m_messages.pop_front();
            if (message.to->isStopped)
                continue;
            if (const auto* report = std::get_if<SlotReport>(&message.content))
                message.to->coordinator->receive(message.from, *report, m_clock.now());
            else
                message.to->member->receive(message.from, std::get<SlotReply>(message.content), m_clock.now());
        }
    }

    void exchangeMessages(Node& node)
    {
        const MonotonicTime now = m_clock.now();
        node.member->checkCoordinator(now);
        if (node.coordinator->isActive())
            node.coordinator->poll(now);
        for (const auto& [to, reply] : node.coordinator->takeReplies(now)) {
            if (to == node.name)
                node.member->receive(to, reply, now);
            else
                send(node, to, reply);
        }
        for (const SlotMember::OutgoingReport& it : node.member->takeReports(now))
            send(node, it.coordinator, it.report);
    }

    void decide(size_t n)
    {
        Node& node = *m_nodes[n];
        if (m_options.isCoordinated)
            exchangeMessages(node);
        for (const SlotDecision& it : allocatorOf(node).poll(m_clock.now())) {
            Work work = node.work.at(it.work);
            switch (it.kind) {
            case SlotDecision::Kind::Start:
                m_totals.itemStarts += work.isBatch ? 1 : 0;
                node.queuedItems -= work.isBatch ? 1 : 0;
                work.startedAt = m_clock.now();
                enqueue(m_endpoints.at(it.endpoint), work);
                break;
            case SlotDecision::Kind::Refuse:
                ++m_totals.onlineRefused;
                retryOrGiveUp(work, it.retryAfter);
                node.work.erase(it.work);
                break;
            case SlotDecision::Kind::Yield:
                ++m_totals.yields;
                requeueItem(node, it);
                break;
            }
        }
    }

    void enqueue(Endpoint& endpoint, const Work& work)
    {
        endpoint.queue.push_back(work);
        if (endpoint.rateLimit != unlimitedRate)
            endpoint.limitedArrivals.push_back(m_clock.now());
    }

    /// Queues a preempted item again. It keeps the progress it has made.
    void requeueItem(Node& node, const SlotDecision& decision)
    {
        Endpoint& endpoint = m_endpoints.at(decision.endpoint);
        for (const Work& it : endpoint.running) {
            if (it.id == decision.work)
                node.work.at(it.id).remaining = it.remaining;
        }
        std::erase_if(endpoint.running, [&](const Work& it) { return it.id == decision.work; });
        m_totals.wastedStarts += std::erase_if(endpoint.queue, [&](const Work& it) { return it.id == decision.work; });
        Work work = node.work.at(decision.work);
        node.work.erase(decision.work);
        work.id = ++m_lastWork;
        node.work[work.id] = work;
        ++node.queuedItems;
        allocatorOf(node).submit(BatchWork { work.id, "lm", work.dueAt, {}, m_options.batchHold - work.remaining });
    }

    void advanceEndpoints()
    {
        for (auto& [id, endpoint] : m_endpoints) {
            if (m_options.slowShare > 0 && m_clock.now() >= endpoint.phaseEnd) {
                endpoint.isSlow = m_random.unit() < m_options.slowShare;
                endpoint.phaseEnd = m_clock.now() + Milliseconds { 600 };
            }
            for (Work& it : endpoint.running) {
                it.remaining -= endpoint.isSlow ? step * 2 / 5 : step;
                if (it.isBatch)
                    m_totals.batchSlotTime += step;
                if (it.remaining.count() <= 0) {
                    if (it.isBatch)
                        ++(m_clock.now() <= it.dueAt ? m_totals.itemsOnTime : m_totals.itemsLate);
                    allocatorOf(*m_nodes[it.node]).finish(it.id, EndpointOutcome::Answered, m_clock.now());
                    m_nodes[it.node]->work.erase(it.id);
                }
            }
            std::erase_if(endpoint.running, [](const Work& it) { return it.remaining.count() <= 0; });
            while (endpoint.running.size() < m_options.slotCount && !endpoint.queue.empty()) {
                admit(endpoint.queue.front());
                endpoint.running.push_back(endpoint.queue.front());
                endpoint.queue.pop_front();
                sendHead(id, endpoint);
            }
        }
    }

    /// The head of the latest response reports the load and the rate limit.
    void sendHead(const std::string& id, const Endpoint& endpoint)
    {
        const Work& work = endpoint.running.back();
        SlotAllocator& allocator = allocatorOf(*m_nodes[work.node]);
        const ObservedLoad load { static_cast<uint32_t>(endpoint.running.size()),
            static_cast<uint32_t>(endpoint.queue.size()) };
        allocator.observe(id, load, m_clock.now());
        const bool isLimited = endpoint.rateLimit != unlimitedRate;
        allocator.observeRate(id, { endpoint.rateLimit, isLimited ? m_clock.now() : work.startedAt }, m_clock.now());
    }

    void admit(const Work& work)
    {
        if (work.isBatch)
            return;
        const auto wait = std::chrono::duration_cast<Milliseconds>(m_clock.now() - work.arrival);
        const bool isOnTime = wait <= m_options.onlineTarget;
        ++(isOnTime ? m_totals.onlineOnTime : m_totals.onlineLate);
        (work.isRetry ? groupOf(work).onTimeAtRetry : groupOf(work).onTime) += isOnTime ? 1 : 0;
        m_totals.retriesTooEarly += work.isRetry && !isOnTime ? 1 : 0;
        m_totals.longestOnlineWait = std::max(m_totals.longestOnlineWait, wait);
    }

    const Options m_options;
    SeededRandom m_random;
    SimulatedClock m_clock;
    std::vector<std::unique_ptr<Node>> m_nodes;
    std::map<std::string, Endpoint> m_endpoints;
    std::deque<Message> m_messages;
    std::multimap<MonotonicTime, Work> m_retries;
    uint64_t m_lastWork { 0 };
    Totals m_totals;
};

}

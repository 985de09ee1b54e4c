#pragma once

#include <LibCore/SeededRandom.h>
#include <LibGateway/ReportPlan.h>
#include <LibGateway/SlotScheduler.h>
#include <Tests/Support/SimulatedClock.h>

#include <array>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Chicorydock {

/// Several nodes in front of shared endpoints that admit in order of arrival, in steps of simulated time. What nodes
/// tell each other arrives late.
class SlotWorld final {
public:
    struct Options {
        size_t nodes { 12 };
        size_t endpoints { 18 };
        uint32_t slotCount { 8 };
        /// Time that online work and items hold a slot.
        Milliseconds onlineHold { 750 };
        Milliseconds batchHold { 5'100 };
        Milliseconds onlineTarget { 220 };
        Milliseconds itemTarget { 18'000 };
        /// The nodes and endpoints are spread over so many failure domains, and those over regions.
        size_t domains { 3 };
        size_t domainsPerRegion { 2 };
        /// Time that a report is on its way.
        Milliseconds latency { 5 };
        uint64_t seed { 1 };
    };

    struct Totals {
        size_t onlineArrivals { 0 };
        /// Started at the endpoint within the target.
        size_t onlineOnTime { 0 };
        size_t onlineLate { 0 };
        size_t onlineRefused { 0 };
        Milliseconds longestOnlineWait { 0 };
        /// Slot time that items have had.
        Milliseconds batchSlotTime { 0 };
        size_t yields { 0 };
        /// Items that yielded before the endpoint had admitted them.
        size_t vainStarts { 0 };
        size_t itemStarts { 0 };
        size_t datagrams { 0 };
        size_t itemsOnTime { 0 };
        size_t itemsLate { 0 };
    };

    explicit SlotWorld(const Options& options)
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
            m_endpoints[records.back().id];
        }
        for (size_t n = 0; n < options.nodes; ++n) {
            m_nodes.push_back(std::make_unique<Node>(options.seed * 100 + n));
            m_nodes.back()->name = "n" + std::to_string(n);
            m_nodes.back()->failureDomain = "z" + std::to_string(n % options.domains);
            m_nodes.back()->scheduler = std::make_unique<SlotScheduler>(
                SlotScheduler::Location { m_nodes.back()->name, m_nodes.back()->failureDomain, regions },
                m_nodes.back()->random);
            m_nodes.back()->scheduler->setEndpoints(records);
        }
        for (const auto& from : m_nodes) {
            for (const auto& to : m_nodes) {
                if (to == from)
                    continue;
                const PeerDistance distance = distanceBetween(from->failureDomain, to->failureDomain, regions);
                from->outlets.at(static_cast<size_t>(distance)).peers.push_back(to.get());
                to->scheduler->setPeerUse(from->name, { from->failureDomain, {}, 0, lifetime }, m_clock.now());
            }
        }
    }

    /// Plays for that long with so many online requests a second, and never fewer than `itemsWaiting` items waiting at
    /// each node.
    void run(Milliseconds duration, double onlinePerSecond, size_t itemsWaiting)
    {
        play(duration, onlinePerSecond, [&] {
            for (const auto& node : m_nodes) {
                while (node->scheduler->waitingBatch() < itemsWaiting)
                    submitItem(*node);
            }
        });
    }

    /// Plays for that long with so many online requests and so many new items a second.
    void runWithItems(Milliseconds duration, double onlinePerSecond, double itemsPerSecond)
    {
        play(duration, onlinePerSecond, [&] {
            if (m_random.unit() < itemsPerSecond * toSeconds(step))
                submitItem(*m_nodes[m_random.below(m_nodes.size())]);
        });
    }

    const Totals& totals() const { return m_totals; }
    void resetTotals() { m_totals = {}; }

private:
    static constexpr Milliseconds step { 5 };
    static constexpr Milliseconds lifetime { 5'000 };

    template <typename AddItems> void play(Milliseconds duration, double onlinePerSecond, AddItems addItems)
    {
        const MonotonicTime end = m_clock.now() + duration;
        while (m_clock.now() < end) {
            const double expected = onlinePerSecond * toSeconds(step);
            for (double left = expected; left > 0 && m_random.unit() < left; left -= 1)
                arrive();
            addItems();
            deliverReports();
            for (size_t n = 0; n < m_nodes.size(); ++n)
                decide(n);
            serve();
            m_clock.advance(step);
        }
    }

    struct Work {
        size_t node { 0 };
        uint64_t id { 0 };
        bool isBatch { false };
        MonotonicTime arrival;
        Milliseconds left { 0 };
        /// For items.
        MonotonicTime dueAt;
    };

    struct Report {
        std::unordered_map<uint32_t, SlotUse> use;
        uint32_t waiting { 0 };

        bool operator==(const Report&) const = default;
    };

    struct Node;

    /// The reports of a node to its peers at one distance.
    struct Outlet {
        std::vector<Node*> peers;
        MonotonicTime sentAt;
        Report sent;
        std::deque<std::pair<MonotonicTime, Report>> onTheWay;
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
        std::map<uint64_t, Work> work;
        std::array<Outlet, peerDistanceCount> outlets;
    };

    struct Endpoint {
        std::vector<Work> running;
        std::deque<Work> queue;
    };

    void arrive()
    {
        const size_t n = m_random.below(m_nodes.size());
        const MonotonicTime now = m_clock.now();
        Node& node = *m_nodes[n];
        const uint64_t id = ++m_lastWork;
        node.work[id] = { n, id, false, now, m_options.onlineHold, {} };
        node.scheduler->submit(
            OnlineWork { id, "lm", 0, now + m_options.onlineTarget, now + std::chrono::seconds { 5 }, false, {} }, now);
        ++m_totals.onlineArrivals;
    }

    void submitItem(Node& node)
    {
        const uint64_t id = ++m_lastWork;
        const size_t n = indexOf(node);
        const MonotonicTime dueAt = m_clock.now() + m_options.itemTarget;
        node.work[id] = { n, id, true, m_clock.now(), m_options.batchHold, dueAt };
        node.scheduler->submit(BatchWork { id, "lm", dueAt, {} });
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
            const Report report { from->scheduler->ownUse(), from->scheduler->waitingOnline() };
            for (size_t n = 0; n < peerDistanceCount; ++n) {
                const auto distance = static_cast<PeerDistance>(n);
                Outlet& outlet = from->outlets.at(n);
                const size_t peers = outlet.peers.size();
                const bool isChanged = report != outlet.sent;
                const Milliseconds pause
                    = isChanged ? reportInterval(distance, peers) : heartbeatInterval(distance, peers);
                if (m_clock.now() >= outlet.sentAt + pause) {
                    outlet.sentAt = m_clock.now();
                    outlet.sent = report;
                    outlet.onTheWay.emplace_back(m_clock.now() + m_options.latency, report);
                    m_totals.datagrams += peers;
                }
                deliver(*from, outlet);
            }
        }
    }

    void deliver(const Node& from, Outlet& outlet)
    {
        while (!outlet.onTheWay.empty() && outlet.onTheWay.front().first <= m_clock.now()) {
            const Report& report = outlet.onTheWay.front().second;
            for (Node* to : outlet.peers)
                to->scheduler->setPeerUse(
                    from.name, { from.failureDomain, report.use, report.waiting, lifetime }, m_clock.now());
            outlet.onTheWay.pop_front();
        }
    }

    void decide(size_t n)
    {
        Node& node = *m_nodes[n];
        for (const SlotDecision& it : node.scheduler->poll(m_clock.now())) {
            Work work = node.work.at(it.work);
            switch (it.kind) {
            case SlotDecision::Kind::Start:
                m_totals.itemStarts += work.isBatch ? 1 : 0;
                m_endpoints.at(it.endpoint).queue.push_back(work);
                break;
            case SlotDecision::Kind::Refuse:
                ++m_totals.onlineRefused;
                node.work.erase(it.work);
                break;
            case SlotDecision::Kind::Yield:
                ++m_totals.yields;
                giveBack(node, it);
                break;
            }
        }
    }

    /// The item keeps what it received and waits again.
    void giveBack(Node& node, const SlotDecision& decision)
    {
        Endpoint& endpoint = m_endpoints.at(decision.endpoint);
        for (const Work& it : endpoint.running) {
            if (it.id == decision.work)
                node.work.at(it.id).left = it.left;
        }
        std::erase_if(endpoint.running, [&](const Work& it) { return it.id == decision.work; });
        m_totals.vainStarts += std::erase_if(endpoint.queue, [&](const Work& it) { return it.id == decision.work; });
        const Work& work = node.work.at(decision.work);
        node.scheduler->submit(BatchWork { decision.work, "lm", work.dueAt, {}, m_options.batchHold - work.left });
    }

    void serve()
    {
        for (auto& [id, endpoint] : m_endpoints) {
            for (Work& it : endpoint.running) {
                it.left -= step;
                if (it.isBatch)
                    m_totals.batchSlotTime += step;
                if (it.left.count() <= 0) {
                    if (it.isBatch)
                        ++(m_clock.now() <= it.dueAt ? m_totals.itemsOnTime : m_totals.itemsLate);
                    m_nodes[it.node]->scheduler->finish(it.id, EndpointOutcome::Answered, m_clock.now());
                    m_nodes[it.node]->work.erase(it.id);
                }
            }
            std::erase_if(endpoint.running, [](const Work& it) { return it.left.count() <= 0; });
            while (endpoint.running.size() < m_options.slotCount && !endpoint.queue.empty()) {
                admit(endpoint.queue.front());
                endpoint.running.push_back(endpoint.queue.front());
                endpoint.queue.pop_front();
                // The answer begins and tells the load.
                m_nodes[endpoint.running.back().node]->scheduler->observe(id,
                    { static_cast<uint32_t>(endpoint.running.size()), static_cast<uint32_t>(endpoint.queue.size()) },
                    m_clock.now());
            }
        }
    }

    void admit(const Work& work)
    {
        if (work.isBatch)
            return;
        const auto wait = std::chrono::duration_cast<Milliseconds>(m_clock.now() - work.arrival);
        ++(wait <= m_options.onlineTarget ? m_totals.onlineOnTime : m_totals.onlineLate);
        m_totals.longestOnlineWait = std::max(m_totals.longestOnlineWait, wait);
    }

    const Options m_options;
    SeededRandom m_random;
    SimulatedClock m_clock;
    std::vector<std::unique_ptr<Node>> m_nodes;
    std::map<std::string, Endpoint> m_endpoints;
    uint64_t m_lastWork { 0 };
    Totals m_totals;
};

}

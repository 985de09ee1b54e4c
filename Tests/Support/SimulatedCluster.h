#pragma once

#include <LibConfiguration/ConfigurationController.h>
#include <LibMembership/Membership.h>
#include <LibPlatform/MemoryTableService.h>
#include <Tests/Support/FaultyTableService.h>
#include <Tests/Support/SimulatedNetwork.h>

namespace Chicorydock {

/// A node of a simulated cluster: membership and configuration as the daemon assembles them.
class SimulatedNode final : private MembershipObserver {
public:
    SimulatedNode(SimulatedNetwork& network, SimulatedClock& clock, MemoryTableService& memory,
        const RecordPolicy& policy, MemberUpdate self, uint64_t seed, const MembershipOptions& options)
        : address(self.address)
        , random(seed)
        , link(network, self.address)
        , faults(seed)
        , table(memory, faults)
        , store(table, clock)
        , hybridClock(clock)
        , membership(clock, hybridClock, random, link, *this, policy, std::move(self), options)
        , configuration(clock, random, link, store, inlinePost(), inlinePost(), published,
              [this](const Configuration& it) {
                  revisions.push_back(it.revision);
                  membership.setRevision(it.revision);
              },
              {})
    {
    }

    void tick(MonotonicTime now)
    {
        membership.tick(now);
        configuration.tick(now);
    }

    /// Returns the state of a member as this node knows it, or nothing for an unknown member.
    std::optional<MemberUpdate::State> stateOf(const std::string& id) const
    {
        const auto members = membership.members().read();
        for (const MemberUpdate& it : *members) {
            if (it.nodeId == id)
                return it.state;
        }
        return {};
    }

    const std::string& id() const { return membership.self().nodeId; }
    const std::string& domain() const { return membership.self().failureDomain; }

    std::string address;
    bool isRunning { true };
    /// Revisions in the order in which they came into force at this node.
    std::vector<uint64_t> revisions;
    /// Ids and incarnations of members that this node has seen as leaving.
    std::set<std::pair<std::string, uint64_t>> leavingMembers;
    /// Whether one of them later had a state other than leaving or dead.
    bool sawLeavingRevert { false };
    /// Number of times that this node has seen a member become dead.
    uint64_t deathsSeen { 0 };
    /// Those of members of this node's failure domain.
    uint64_t localDeathsSeen { 0 };

    SeededRandom random;
    SimulatedNetwork::Link link;
    FaultInjector faults;
    FaultyTableService table;
    ConfigurationStore store;
    RcuCell<Configuration> published;
    HybridLogicalClock hybridClock;
    Membership membership;
    ConfigurationController configuration;

private:
    static Post inlinePost()
    {
        return [](const std::function<void()>& function) { function(); };
    }

    void onMemberChanged(const MemberUpdate& update) override
    {
        const std::pair key(update.nodeId, update.incarnation);
        if (update.state == MemberUpdate::State::Leaving)
            leavingMembers.insert(key);
        else if (update.state != MemberUpdate::State::Dead && leavingMembers.contains(key))
            sawLeavingRevert = true;
        const bool isDeath = update.state == MemberUpdate::State::Dead;
        deathsSeen += isDeath ? 1 : 0;
        localDeathsSeen += isDeath && update.failureDomain == domain() ? 1 : 0;
    }
    void onRecordChanged(const GossipRecord&) override { }
    void onRevision(uint64_t revision, const std::string& from) override
    {
        configuration.recordPeerRevision(revision, from);
    }
};

/// Nodes in failure domains `d0`, `d1`, ... of regions with three domains each, in a simulated network.
class SimulatedCluster {
public:
    explicit SimulatedCluster(uint64_t seed, MembershipOptions options = {})
        : network(clock, seed)
        , m_random(seed)
        , m_options(options)
    {
        network.setDeliveryFilter([this](const std::string& from, const std::string& to) {
            return !m_cuts.contains({ m_domains.at(from), m_domains[to] });
        });
    }

    /// Starts `count` nodes spread evenly over `domains` failure domains.
    void start(size_t count, size_t domains)
    {
        for (size_t n = 0; n < count; ++n)
            add(n % domains);
    }

    /// Starts a node. An `id` of an earlier node simulates its restart at another address.
    SimulatedNode& add(size_t domain, std::string id = {})
    {
        const size_t number = nodes.size();
        const std::string address = "10.0." + std::to_string(domain) + "." + std::to_string(number) + ":7000";
        MemberUpdate self { id.empty() ? "n" + std::to_string(number) : std::move(id), address,
            "r" + std::to_string(domain / 3), "d" + std::to_string(domain), 0, MemberUpdate::State::Alive };
        m_domains[address] = domain;
        nodes.push_back(std::make_unique<SimulatedNode>(
            network, clock, memory, policy, std::move(self), m_random.next(), m_options));
        SimulatedNode& node = *nodes.back();
        std::vector<std::string> seeds;
        for (const auto& it : nodes) {
            if (it->isRunning && it.get() != &node && seeds.size() < 3)
                seeds.push_back(it->address);
        }
        node.membership.setSeeds(seeds);
        network.attach(address,
            { [&node](const PeerMessage& message) { return node.membership.receive(message); },
                [&node](uint64_t revision, uint64_t held) { return node.configuration.document(revision, held); } });
        scheduleTick(node);
        return node;
    }

    void kill(SimulatedNode& node)
    {
        node.isRunning = false;
        network.detach(node.address);
        // Drops replies that are in transit to the dead process.
        network.pause(node.address);
    }

    void run(MonotonicTime::duration duration) { network.runUntil(clock.now() + duration); }

    /// Runs until the condition holds or the time limit expires. Returns whether the condition holds.
    bool runUntil(MonotonicTime::duration limit, const std::function<bool()>& condition)
    {
        const MonotonicTime end = clock.now() + limit;
        // Conditions over long times look at every pair of nodes and are evaluated less often.
        const Milliseconds step { limit > std::chrono::seconds(10) ? 1000 : 50 };
        while (clock.now() < end && !condition())
            run(step);
        return condition();
    }

    /// Disconnects the domain from all others, or reconnects it.
    void setCut(size_t domain, bool isCut)
    {
        for (size_t n = 0; n < 16; ++n) {
            if (n == domain)
                continue;
            for (const auto& pair : { std::pair(domain, n), std::pair(n, domain) }) {
                if (isCut)
                    m_cuts.insert(pair);
                else
                    m_cuts.erase(pair);
            }
        }
    }

    /// Returns whether every running node that the predicate accepts satisfies the condition.
    bool all(const std::function<bool(const SimulatedNode&)>& condition) const
    {
        return std::ranges::all_of(nodes, [&](const auto& it) { return !it->isRunning || condition(*it); });
    }

    /// Returns whether every running node considers exactly the running nodes alive and suspects none.
    bool hasConverged() const
    {
        std::set<std::string> running;
        for (const auto& it : nodes) {
            if (it->isRunning && it->membership.self().state == MemberUpdate::State::Alive)
                running.insert(it->id());
        }
        return all([&](const SimulatedNode& node) {
            const auto members = node.membership.members().read();
            const auto alive = std::ranges::count(*members, MemberUpdate::State::Alive, &MemberUpdate::state);
            return static_cast<size_t>(alive) == running.size()
                && std::ranges::all_of(*members, [&](const MemberUpdate& it) {
                       return it.state == MemberUpdate::State::Alive ? running.contains(it.nodeId)
                                                                     : it.state != MemberUpdate::State::Suspect;
                   });
        });
    }

    SimulatedClock clock;
    SimulatedNetwork network;
    MemoryTableService memory;
    RecordPolicy policy;
    std::vector<std::unique_ptr<SimulatedNode>> nodes;

private:
    void scheduleTick(SimulatedNode& node)
    {
        constexpr auto tickInterval = Milliseconds { 100 };
        network.schedule(node.address, tickInterval, [this, &node] {
            if (!node.isRunning)
                return;
            node.tick(clock.now());
            scheduleTick(node);
        });
    }

    SeededRandom m_random;
    MembershipOptions m_options;
    std::map<std::string, size_t> m_domains;
    std::set<std::pair<size_t, size_t>> m_cuts;
};

}

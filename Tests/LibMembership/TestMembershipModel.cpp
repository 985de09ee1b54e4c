#include <Tests/Support/SeededProperty.h>
#include <Tests/Support/SimulatedCluster.h>

using namespace Chicorydock;
using namespace std::chrono_literals;

namespace {

using State = MemberUpdate::State;

constexpr size_t domains = 3;
constexpr size_t startNodes = 9;

/// Runs random events on a simulated cluster and tracks in a naive model which processes run or have left and which
/// domains are cut off.
class ModelRun {
public:
    explicit ModelRun(uint64_t seed)
        : m_random(seed)
        , m_cluster(seed)
    {
        m_cluster.network.setLoss(0.01);
        m_cluster.start(startNodes, domains);
        m_cluster.run(60s);
    }

    void step()
    {
        SimulatedNode& node = *m_cluster.nodes[m_random.below(m_cluster.nodes.size())];
        switch (m_random.below(8)) {
        case 0:
            m_cluster.add(m_random.below(domains));
            break;
        case 1:
            kill(node);
            break;
        case 2:
            restart(node);
            break;
        case 3:
            leave(node);
            break;
        case 4:
            pause(node);
            break;
        case 5:
            m_cut[m_random.below(domains)] = m_random.below(2) == 0;
            for (const auto& [domain, isCut] : m_cut)
                m_cluster.setCut(domain, isCut);
            break;
        default:
            break;
        }
        m_cluster.run(std::chrono::seconds(m_random.below(60)));
    }

    void settle()
    {
        for (size_t n = 0; n < domains; ++n)
            m_cluster.setCut(n, false);
        // Lost messages would cause transient suspicions, on which the members would not agree.
        m_cluster.network.setLoss(0);
        m_cluster.runUntil(900s, [&] { return m_cluster.hasConverged(); });
    }

    void check() const
    {
        RC_ASSERT(m_cluster.hasConverged());
        for (const auto& node : m_cluster.nodes) {
            RC_ASSERT(!node->sawLeavingRevert);
            if (!node->isRunning)
                continue;
            for (const std::string& id : m_left)
                RC_ASSERT(node->stateOf(id) != State::Alive && node->stateOf(id) != State::Suspect);
        }
    }

private:
    size_t runningIn(const std::string& domain) const
    {
        return static_cast<size_t>(std::ranges::count_if(m_cluster.nodes,
            [&](const auto& it) { return it->isRunning && it->domain() == domain && !m_left.contains(it->id()); }));
    }

    bool isRunning(const SimulatedNode& node) const { return node.isRunning && !m_left.contains(node.id()); }

    // The last node of a domain keeps running, so that the other domains can find it again.
    bool mayStop(const SimulatedNode& node) const { return isRunning(node) && runningIn(node.domain()) > 1; }

    void kill(SimulatedNode& node)
    {
        if (mayStop(node))
            m_cluster.kill(node);
    }

    void restart(SimulatedNode& node)
    {
        if (!mayStop(node))
            return;
        const size_t domain = node.domain().back() - '0';
        const std::string id = node.id();
        m_cluster.kill(node);
        m_cluster.add(domain, id);
    }

    void leave(SimulatedNode& node)
    {
        if (!mayStop(node))
            return;
        node.membership.leave();
        m_left.insert(node.id());
        m_cluster.run(3s);
        m_cluster.kill(node);
    }

    void pause(SimulatedNode& node)
    {
        if (!isRunning(node))
            return;
        m_cluster.network.pause(node.address);
        m_cluster.run(std::chrono::seconds(m_random.below(90)));
        m_cluster.network.resume(node.address);
    }

    SeededRandom m_random;
    SimulatedCluster m_cluster;
    std::map<size_t, bool> m_cut;
    std::set<std::string> m_left;
};

}

// Guards against any sequence of failures, restarts, departures, pauses and partitions after which members disagree
// permanently, a live reachable member stays dead, or a member that has left becomes alive again.
TEST_CASE("after quiet time all live members agree with the model")
{
    checkSeededProperty("membership", 11, 40, [](uint64_t seed) {
        ModelRun run(seed);
        for (int n = 0; n < 20; ++n)
            run.step();
        run.settle();
        run.check();
    });
}

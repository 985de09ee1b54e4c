#include <LibGateway/PromptQuarantine.h>

#include "QuarantineExchange.h"

#include <LibCore/SeededRandom.h>
#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

using namespace Chicorydock;

namespace {

constexpr Milliseconds step { 100 };
/// Nodes hear of each other in rounds of reports.
constexpr Milliseconds reportRound { 300 };
/// An item that is kept back asks again after this time.
constexpr Milliseconds itemInterval { 1'000 };
/// Time from the sending of a trial to the second event of its answer, or to the crash of its endpoint.
constexpr Milliseconds verdictTime { 300 };

/// Nodes that report to each other, and items that wait at some of them because endpoints crashed while they ran there.
class TrialWorld {
public:
    explicit TrialWorld(size_t nodes)
    {
        for (size_t n = 0; n < nodes; ++n)
            m_nodes.push_back(std::make_unique<PromptQuarantine>("n" + std::to_string(n)));
    }

    /// Lets endpoints crash one after the other, observed by the node, while they run a request with the parts.
    void crash(size_t node, const std::vector<std::string>& parts, int endpoints = 3)
    {
        for (int n = 0; n < endpoints; ++n)
            m_nodes.at(node)->recordBrokenConnection(parts, nextEndpoint(), m_now);
        m_crashes += static_cast<size_t>(endpoints);
    }

    /// Adds an item that waits at the node.
    void addItem(size_t node, std::vector<std::string> parts)
    {
        const Milliseconds offset { 100 * (m_items.size() % 10) };
        m_items.push_back({ node, std::move(parts), m_now + offset });
    }

    /// Makes one node deaf and mute: it neither reports nor hears reports.
    void cutOff(size_t node) { m_cutOff.insert(node); }

    /// Removes the node with its items.
    void endNode(size_t node)
    {
        cutOff(node);
        std::erase_if(m_items, [&](const Item& it) { return it.node == node; });
    }

    void run(Milliseconds time)
    {
        for (Milliseconds left = time; left.count() > 0; left -= step) {
            m_now += step;
            ++m_steps;
            endTrials();
            for (Item& it : m_items)
                stepItem(it);
            if (m_steps % (reportRound / step) == 0)
                exchange();
        }
    }

    size_t trials() const { return m_trials; }
    size_t crashes() const { return m_crashes; }
    size_t mostTrialsAtOnce() const { return m_mostAtOnce; }
    size_t waiting() const
    {
        return static_cast<size_t>(std::ranges::count_if(m_items, [](const Item& it) { return !it.isDone; }));
    }
    /// The node whose item was sent last.
    size_t lastTrialNode() const { return m_lastTrialNode; }

    /// Parts on which endpoints crash.
    std::set<std::string> crashing {};

private:
    struct Item {
        size_t node { 0 };
        std::vector<std::string> parts;
        MonotonicTime asksAt;
        std::optional<MonotonicTime> sentAt {};
        bool isTrial { false };
        bool isDone { false };
    };

    EndpointRecord nextEndpoint()
    {
        return { "e" + std::to_string(++m_lastEndpoint), "10.0.0.1:80", "lm", "z1", 8, false, 1 };
    }

    bool isCrashing(const Item& item) const
    {
        return std::ranges::any_of(item.parts, [&](const std::string& it) { return crashing.contains(it); });
    }

    void stepItem(Item& item)
    {
        if (item.isDone || item.sentAt || m_now < item.asksAt)
            return;
        item.asksAt = m_now + itemInterval;
        const PromptDecision decision = m_nodes.at(item.node)->decide(item.parts, m_now);
        if (decision.kind == PromptDecision::Kind::Refuse) {
            item.asksAt = m_now + std::min(decision.retryAfter, itemInterval);
            return;
        }
        m_nodes.at(item.node)->recordSent(item.parts, m_now);
        item.sentAt = m_now;
        item.isTrial = decision.kind == PromptDecision::Kind::SendOnTrial;
        if (!item.isTrial)
            return;
        ++m_trials;
        m_lastTrialNode = item.node;
        const auto atOnce = std::ranges::count_if(
            m_items, [&](const Item& it) { return it.sentAt && it.isTrial && it.parts.front() == item.parts.front(); });
        m_mostAtOnce = std::max(m_mostAtOnce, static_cast<size_t>(atOnce));
    }

    void endTrials()
    {
        for (Item& it : m_items) {
            if (!it.sentAt || m_now - *it.sentAt < verdictTime)
                continue;
            it.sentAt.reset();
            if (isCrashing(it)) {
                crash(it.node, it.parts, 1);
                it.asksAt = m_now + step;
            } else {
                m_nodes.at(it.node)->recordAnswer(it.parts, m_now);
                it.isDone = true;
            }
        }
    }

    void exchange()
    {
        std::vector<std::vector<SuspectPart>> reports(m_nodes.size());
        for (size_t n = 0; n < m_nodes.size(); ++n) {
            m_nodes[n]->update(m_now);
            if (!m_cutOff.contains(n))
                reports[n] = m_nodes[n]->report(m_now);
        }
        for (size_t n = 0; n < m_nodes.size(); ++n) {
            for (const auto& it : reports) {
                if (!m_cutOff.contains(n))
                    m_nodes[n]->merge(it, m_now);
            }
        }
    }

    MonotonicTime m_now { std::chrono::hours { 1 } };
    std::vector<std::unique_ptr<PromptQuarantine>> m_nodes;
    std::vector<Item> m_items;
    std::set<size_t> m_cutOff;
    int m_lastEndpoint { 0 };
    uint64_t m_steps { 0 };
    size_t m_crashes { 0 };
    size_t m_trials { 0 };
    size_t m_mostAtOnce { 0 };
    size_t m_lastTrialNode { 0 };
};

/// The rules count an item that waits for longer than this after its last failure.
constexpr std::chrono::seconds allowedWait { 20 };
constexpr size_t nodeCount = 12;
/// Time after which all nodes know of crashes.
constexpr std::chrono::seconds newsTime { 1 };

}

// Guards against sound items that lie for minutes after the endpoints of a zone have crashed under them (review, case
// 7, LOST), whichever node has them.
TEST_CASE("sound items on which endpoints crashed run again a few seconds later, at whichever node they are")
{
    const size_t owner = GENERATE(range(size_t { 0 }, nodeCount));
    TrialWorld world(nodeCount);
    world.crash(owner, { "shared", "own" }, GENERATE(3, 6));
    world.run(newsTime);
    for (int n = 0; n < 6; ++n)
        world.addItem(owner, { "shared", n == 0 ? "own" : "own" + std::to_string(n) });
    world.run(allowedWait / 2);
    CHECK(world.waiting() == 0);
}

// Guards against a part that all nodes try at once, and against trials that are so many that they crash the fleet
// (BUDGET).
TEST_CASE("a part that crashes endpoints is tried by one node at a time, and seldom")
{
    TrialWorld world(nodeCount);
    world.crashing = { "crashing" };
    world.crash(3, { "crashing" }, GENERATE(3, 5));
    world.run(newsTime);
    const size_t before = world.crashes();
    for (size_t n = 0; n < nodeCount; ++n)
        world.addItem(n, { "crashing", "own" + std::to_string(n) });
    world.run(std::chrono::seconds { 100 });
    CHECK(world.mostTrialsAtOnce() == 1);
    CHECK(world.trials() >= 1);
    // The rules allow three more requests after the first crashes.
    CHECK(world.crashes() - before <= 3);
    world.crashing.clear();
    world.run(std::chrono::minutes { 8 });
    CHECK(world.waiting() == 0);
}

namespace {

/// Returns a deployment in which each node has an item that waits for the trial of a shared part.
TrialWorld worldBeforeTrial()
{
    TrialWorld world(nodeCount);
    world.crash(0, { "shared" });
    world.run(newsTime);
    for (size_t n = 0; n < nodeCount; ++n)
        world.addItem(n, { "shared", "own" + std::to_string(n) });
    world.run(std::chrono::seconds { 3 });
    return world;
}

}

// Guards against a trial that never comes because the node that was to send it has ended.
TEST_CASE("a node that ends before its trial is replaced by another one that has such work")
{
    TrialWorld rehearsal = worldBeforeTrial();
    REQUIRE(rehearsal.trials() == 0);
    rehearsal.run(allowedWait / 2);
    REQUIRE(rehearsal.trials() == 1);
    TrialWorld world = worldBeforeTrial();
    world.endNode(rehearsal.lastTrialNode());
    world.run(allowedWait / 2);
    CHECK(world.waiting() == 0);
}

// Guards against work that waits for a node which it cannot hear, and against a cut that makes many nodes try.
TEST_CASE("nodes that are cut off try a part themselves, once each")
{
    TrialWorld world(nodeCount);
    world.crashing = { "crashing" };
    world.crash(0, { "crashing" });
    const size_t before = world.crashes();
    world.run(newsTime);
    world.cutOff(4);
    for (size_t n = 0; n < nodeCount; ++n)
        world.addItem(n, { "crashing", "own" + std::to_string(n) });
    world.run(std::chrono::seconds { 15 });
    CHECK(world.trials() == 2);
    CHECK(world.crashes() - before == 2);
}

// Guards against nodes that wait for each other because their items have several parts in quarantine, of which each
// node may try another one.
TEST_CASE("items with several parts in quarantine do not keep each other back")
{
    SeededRandom random(GENERATE(range(1, 21)));
    TrialWorld world(nodeCount);
    const std::vector<std::string> shared { "a", "b", "c", "d" };
    for (const std::string& it : shared)
        world.crash(random.below(nodeCount), { it });
    world.run(newsTime);
    for (size_t n = 0; n < nodeCount; ++n)
        world.addItem(n, { shared[random.below(4)], shared[random.below(4)], "own" + std::to_string(n) });
    world.run(std::chrono::seconds { 25 });
    CHECK(world.waiting() == 0);
}

// Guards against requests with a sound part that are refused without end because they come seldom, each at another node
// (a trial needs such a request).
TEST_CASE("a sound part whose requests come seldom is tried with the next one")
{
    const std::chrono::seconds pause { GENERATE(1, 2, 5, 20) };
    SeededRandom random(7);
    size_t requests = 0;
    std::vector<std::unique_ptr<PromptQuarantine>> nodes;
    MonotonicTime now { std::chrono::hours { 1 } };
    for (size_t n = 0; n < nodeCount; ++n)
        nodes.push_back(std::make_unique<PromptQuarantine>("n" + std::to_string(n)));
    for (int n = 0; n < 3; ++n)
        nodes[0]->recordBrokenConnection(
            { "shared" }, { "e" + std::to_string(n), "10.0.0.1:80", "lm", "z1", 8, false, 1 }, now);
    now += Milliseconds { 300 };
    exchangeReports(nodes, now);
    MonotonicTime next = now + std::chrono::seconds { 6 };
    for (bool isSent = false; !isSent && requests < 40;) {
        now += reportRound;
        exchangeReports(nodes, now);
        if (now < next)
            continue;
        next += pause;
        ++requests;
        const auto decision = nodes[random.below(nodeCount)]->decide({ "shared" }, now);
        isSent = decision.kind == PromptDecision::Kind::SendOnTrial;
    }
    CHECK(requests <= 10);
}

// Guards against a part that nobody tries because the request that was let through waits for a slot, or is refused for
// another reason, and against several requests that waited meanwhile and are then sent together.
TEST_CASE("a trial is under way from the moment at which its request is sent")
{
    MonotonicTime now { std::chrono::hours { 1 } };
    PromptQuarantine quarantine("n1");
    for (int n = 0; n < 3; ++n)
        quarantine.recordBrokenConnection(
            { "p" }, { "e" + std::to_string(n), "10.0.0.1:80", "lm", "z1", 8, false, 1 }, now);
    now += std::chrono::seconds { 6 };
    CHECK(quarantine.decide({ "p", "first" }, now).kind == PromptDecision::Kind::SendOnTrial);
    now += std::chrono::seconds { 1 };
    CHECK(quarantine.decide({ "p", "second" }, now).kind == PromptDecision::Kind::SendOnTrial);
    quarantine.recordSent({ "p", "second" }, now);
    CHECK(quarantine.decide({ "p", "first" }, now).kind == PromptDecision::Kind::Refuse);
}

#include <Tests/Support/SimulatedCluster.h>

#include <catch2/catch.hpp>

using namespace Chicorydock;
using namespace std::chrono_literals;

namespace {

using State = MemberUpdate::State;

size_t domainsFor(size_t nodes) { return nodes == 340 ? 9 : 3; }

/// Starts a cluster and waits until its members agree on the membership.
void startAndSettle(SimulatedCluster& cluster, size_t nodes)
{
    cluster.start(nodes, domainsFor(nodes));
    REQUIRE(cluster.runUntil(300s, [&] { return cluster.hasConverged(); }));
}

Configuration makeConfiguration(const std::string& requestId)
{
    Configuration configuration;
    configuration.requestId = requestId;
    return configuration;
}

/// Stores a new revision and puts it into force at the node, as its operator interface does.
uint64_t change(SimulatedNode& node, const std::string& requestId, uint64_t expected)
{
    const uint64_t revision = node.store.apply(makeConfiguration(requestId), expected);
    Configuration configuration = makeConfiguration(requestId);
    configuration.revision = revision;
    node.configuration.adopt(configuration);
    return revision;
}

bool allHave(const SimulatedCluster& cluster, uint64_t revision)
{
    return cluster.all([&](const SimulatedNode& it) { return it.configuration.revision() == revision; });
}

}

// Guards against new work for a node that is leaving: every node of its domain must receive the state within 2 s of
// simulated time, with 1% loss.
TEST_CASE("leaving reaches every node of the domain within 2 s")
{
    const size_t nodes = GENERATE(10, 40, 340);
    SimulatedCluster cluster(nodes);
    startAndSettle(cluster, nodes);
    cluster.network.setLoss(0.01);
    for (size_t n = 0; n < 5; ++n) {
        SimulatedNode& leaver = *cluster.nodes[n];
        leaver.membership.leave();
        INFO(nodes << " nodes, leaver " << n);
        CHECK(cluster.runUntil(2s, [&] {
            return cluster.all([&](const SimulatedNode& it) {
                return it.domain() != leaver.domain() || it.stateOf(leaver.id()) == State::Leaving;
            });
        }));
        cluster.kill(leaver);
    }
    CHECK(cluster.runUntil(300s, [&] { return cluster.hasConverged(); }));
    CHECK(cluster.all([](const SimulatedNode& it) { return !it.sawLeavingRevert; }));
}

// Guards against an accepted configuration that some nodes do not have after 6 s of simulated time, with 1% loss, or
// that is reverted.
TEST_CASE("a revision is in force everywhere within 6 s")
{
    const size_t nodes = GENERATE(10, 40, 340);
    SimulatedCluster cluster(nodes + 1);
    startAndSettle(cluster, nodes);
    cluster.network.setLoss(0.01);
    for (uint64_t n = 0; n < 10; ++n) {
        change(*cluster.nodes[n % nodes], "change" + std::to_string(n), n);
        INFO(nodes << " nodes, revision " << n + 1);
        CHECK(cluster.runUntil(6s, [&] { return allHave(cluster, n + 1); }));
    }
    CHECK(cluster.all([](const SimulatedNode& it) { return std::ranges::is_sorted(it.revisions); }));
}

// Guards against a domain that keeps an old configuration while the platform is unreachable, although its peers have
// the new one.
TEST_CASE("a domain cut off from the platform gets the configuration from its peers")
{
    SimulatedCluster cluster(5);
    startAndSettle(cluster, 10);
    for (const auto& it : cluster.nodes)
        it->faults.setOutage(it->domain() == "d2");
    change(*cluster.nodes[0], "a", 0);
    CHECK(cluster.runUntil(6s, [&] { return allHave(cluster, 1); }));

    // A new node in the partitioned domain gets the configuration from its peers, while the domain is also cut off from
    // the others.
    cluster.setCut(2, true);
    cluster.run(10s);
    SimulatedNode& added = cluster.add(2);
    added.faults.setOutage(true);
    added.membership.setSeeds({ cluster.nodes[2]->address });
    CHECK(cluster.runUntil(10s, [&] { return added.configuration.revision() == 1; }));
}

// Guards against a partition that never heals, and against revisions that a partition loses or reverts.
TEST_CASE("domains merge after a partition of several minutes")
{
    SimulatedCluster cluster(6);
    startAndSettle(cluster, 40);
    change(*cluster.nodes[0], "a", 0);
    cluster.run(10s);
    cluster.setCut(2, true);
    for (const auto& it : cluster.nodes)
        it->faults.setOutage(it->domain() == "d2");
    cluster.run(300s);
    change(*cluster.nodes[0], "b", 1);
    cluster.run(300s);
    CHECK(cluster.nodes[0]->stateOf("n2") == State::Dead);
    CHECK(cluster.nodes[2]->stateOf("n0") == State::Dead);
    CHECK(cluster.nodes[2]->stateOf("n5") == State::Alive);
    CHECK(cluster.nodes[2]->configuration.revision() == 1);
    cluster.setCut(2, false);
    CHECK(cluster.runUntil(60s, [&] { return allHave(cluster, 2); }));
    CHECK(cluster.runUntil(180s, [&] { return cluster.hasConverged(); }));
    CHECK(cluster.all([](const SimulatedNode& it) { return std::ranges::is_sorted(it.revisions); }));
}

// Guards against a domain that, when a partition heals, accepts the failure reports of the other side about its own
// live members.
TEST_CASE("after a partition no domain declares its own live members dead")
{
    SimulatedCluster cluster(7);
    startAndSettle(cluster, 40);
    cluster.setCut(2, true);
    cluster.run(400s);
    cluster.setCut(2, false);
    CHECK(cluster.runUntil(300s, [&] { return cluster.hasConverged(); }));
    for (const auto& it : cluster.nodes)
        CHECK(it->localDeathsSeen == 0);
}

// Guards against a failed node that is never declared dead, and against a restarted one that is considered dead.
TEST_CASE("a lost node is declared dead and a restarted one joins again")
{
    SimulatedCluster cluster(8);
    startAndSettle(cluster, 10);
    SimulatedNode& lost = *cluster.nodes[4];
    const uint64_t incarnation = lost.membership.self().incarnation;
    cluster.kill(lost);
    CHECK(cluster.runUntil(120s,
        [&] { return cluster.all([&](const SimulatedNode& it) { return it.stateOf(lost.id()) == State::Dead; }); }));
    SimulatedNode& restarted = cluster.add(1, lost.id());
    CHECK(restarted.membership.self().incarnation > incarnation);
    CHECK(cluster.runUntil(60s, [&] { return cluster.hasConverged(); }));
}

// Guards against a process that, after a pause, finds all its timeouts expired and declares all members dead.
TEST_CASE("a paused node does not declare the others dead when it resumes")
{
    SimulatedCluster cluster(9);
    startAndSettle(cluster, 10);
    SimulatedNode& paused = *cluster.nodes[3];
    const SimulatedNode& suspect = *cluster.nodes[0];
    for (int n = 0; n < 5; ++n) {
        // A suspicion is pending when the pause begins, and the refutation arrives during the pause.
        cluster.network.setDeliveryFilter([&](const std::string& from, const std::string& to) {
            return from != suspect.address && to != suspect.address;
        });
        REQUIRE(cluster.runUntil(60s, [&] { return paused.stateOf(suspect.id()) == State::Suspect; }));
        cluster.network.setDeliveryFilter({});
        cluster.network.pause(paused.address);
        cluster.run(40s);
        const uint64_t before = paused.deathsSeen;
        cluster.network.resume(paused.address);
        cluster.run(1s);
        CHECK(paused.deathsSeen == before);
        CHECK(cluster.runUntil(120s, [&] { return cluster.hasConverged(); }));
    }
}

// Guards against a live member that is declared dead because one path to it fails or because some messages are lost.
TEST_CASE("indirect probes and refutation keep a live member alive")
{
    SimulatedCluster cluster(10);
    startAndSettle(cluster, 40);
    const std::string first = cluster.nodes[0]->address;
    const std::string second = cluster.nodes[3]->address;
    cluster.network.setDeliveryFilter([&](const std::string& from, const std::string& to) {
        return !(from == first && to == second) && !(from == second && to == first);
    });
    cluster.network.setLoss(0.05);
    cluster.run(300s);
    for (const auto& it : cluster.nodes)
        CHECK(it->deathsSeen == 0);
}

// Guards against a leaving endpoint that gets new work, and against records that spread to other domains.
TEST_CASE("an urgent record reaches the domain within 2 s and stays there")
{
    SimulatedCluster cluster(11);
    startAndSettle(cluster, 40);
    cluster.network.setLoss(0.01);
    const auto versionAt = [](const SimulatedNode& it) {
        const auto records = it.membership.records("endpoint/e1");
        return records.empty() ? 0 : records.front().version;
    };
    cluster.nodes[0]->membership.publish({ "endpoint/e1", 1, "live" });
    const auto domainHas = [&](uint64_t version) {
        return cluster.all([&](const SimulatedNode& it) { return it.domain() != "d0" || versionAt(it) == version; });
    };
    CHECK(cluster.runUntil(60s, [&] { return domainHas(1); }));
    cluster.nodes[3]->membership.publish({ "endpoint/e1", 2, "leaving" }, Membership::Urgency::Urgent);
    CHECK(cluster.runUntil(2s, [&] { return domainHas(2); }));
    cluster.nodes[6]->membership.publish({ "endpoint/e1", 1, "stale" }, Membership::Urgency::Urgent);
    cluster.run(60s);
    CHECK(domainHas(2));
    CHECK(cluster.all([&](const SimulatedNode& it) { return it.domain() == "d0" || versionAt(it) == 0; }));

    // A new node gets the records with its first sync.
    SimulatedNode& added = cluster.add(0);
    CHECK(cluster.runUntil(10s, [&] { return versionAt(added) == 2; }));
}

// Guards against a record that is too large for one message and blocks all the others.
TEST_CASE("a large record is delivered and does not block small ones")
{
    SimulatedCluster cluster(12);
    startAndSettle(cluster, 10);
    cluster.nodes[0]->membership.publish({ "endpoint/large", 1, std::string(4000, 'x') });
    cluster.nodes[0]->membership.publish({ "endpoint/e1", 1, "live" });
    CHECK(cluster.runUntil(60s, [&] {
        return cluster.all(
            [&](const SimulatedNode& it) { return it.domain() != "d0" || it.membership.records({}).size() == 2; });
    }));
}

#include "TestSystem.h"

#include <LibCore/Error.h>

#include <Tests/Support/WaitFor.h>
#include <catch2/catch.hpp>

#include <QElapsedTimer>

using namespace Chicorydock;

namespace {

/// Keeps a number of requests in flight at several nodes and counts successes and failures.
class Load {
public:
    Load(TestSystem& system, std::vector<std::string> nodes)
        : m_system(system)
        , m_nodes(std::move(nodes))
    {
    }

    void setNodes(std::vector<std::string> nodes) { m_nodes = std::move(nodes); }

    /// Counts the requests that have ended, and starts new ones up to the number in flight.
    void step(size_t inFlight)
    {
        std::erase_if(m_calls, [this](const auto& call) {
            if (!call->hasEnded())
                return false;
            const bool hasSucceeded = call->isFinished() && call->status() == 200;
            ++(hasSucceeded ? m_succeeded : m_failed);
            if (!hasSucceeded && m_firstFailure.empty())
                m_firstFailure = std::to_string(call->status()) + ' ' + call->response().body.left(300).toStdString();
            return true;
        });
        while (m_calls.size() < inFlight) {
            const std::string& node = m_nodes[static_cast<size_t>(m_started) % m_nodes.size()];
            m_calls.push_back(m_system.post(node, "/v1/completions",
                TestSystem::completion("load " + QString::number(m_started), 10, m_started % 2 == 0)));
            ++m_started;
        }
    }

    void finish()
    {
        REQUIRE(waitFor([this] {
            step(0);
            return m_calls.empty();
        }));
    }

    int succeeded() const { return m_succeeded; }
    int failed() const { return m_failed; }
    const std::string& firstFailure() const { return m_firstFailure; }

private:
    TestSystem& m_system;
    std::vector<std::string> m_nodes;
    std::vector<std::unique_ptr<TestCall>> m_calls;
    int m_started { 0 };
    int m_succeeded { 0 };
    int m_failed { 0 };
    std::string m_firstFailure;
};

bool isLeaving(TestSystem& system, const std::string& node, const std::string& endpoint)
{
    for (const EndpointStatus& it : system.operatorOf(node).endpoints()) {
        if (it.id == endpoint)
            return it.state == EndpointStatus::State::Leaving;
    }
    return true;
}

struct LeavingSystem {
    TestSystem system;
    std::string a = system.addEngine("d1", { "--base_gap_ms=5" });
    std::string b = system.addEngine("d1", { "--base_gap_ms=5" });
    std::vector<std::string> nodes { system.addNode(), system.addNode(), system.addNode() };

    LeavingSystem()
    {
        for (const std::string& node : nodes) {
            system.waitUntilReady(node, 2);
            REQUIRE(waitFor([&] { return system.operatorOf(node).status().members.size() >= nodes.size(); }));
        }
    }

    /// Waits until every node reports that the endpoint is leaving, then checks that it receives no new work.
    void checkNoNewWork(const std::string& endpoint)
    {
        Load load(system, nodes);
        REQUIRE(waitFor([&] {
            load.step(6);
            return std::ranges::all_of(nodes, [&](const auto& node) { return isLeaving(system, node, endpoint); });
        }));
        // Requests that were dispatched earlier may still be on their way to the endpoint.
        load.finish();
        const int arrivals = system.counters(endpoint).value("arrivals").toInt();
        const int before = load.succeeded();
        REQUIRE(waitFor([&] {
            load.step(6);
            return load.succeeded() > before + 150;
        }));
        load.finish();
        CHECK(system.counters(endpoint).value("arrivals").toInt() == arrivals);
        INFO(load.firstFailure());
        CHECK(load.failed() == 0);
    }
};

}

// Guards against work that other nodes send to an endpoint that an operator drains at one node.
TEST_CASE("a drained endpoint gets no new work from any node, and no request is aborted")
{
    LeavingSystem it;
    it.system.operatorOf(it.nodes[0]).drain(it.a);
    it.checkNoNewWork(it.a);
}

// Guards against a drain that depends on the platform.
TEST_CASE("a drain spreads while the platform cannot be reached")
{
    LeavingSystem it;
    it.system.control({}, { { "outage", true } });
    it.system.operatorOf(it.nodes[0]).drain(it.a);
    it.checkNoNewWork(it.a);
}

// Guards against ignoring an endpoint that is marked as leaving only in the platform's list.
TEST_CASE("an endpoint that the platform lists as leaving gets no new work")
{
    LeavingSystem it;
    it.system.markLeaving(it.a);
    it.checkNoNewWork(it.a);
}

// Guards against requests that are aborted when nodes are replaced one after the other.
TEST_CASE("a rolling restart of every node under load aborts no request")
{
    LeavingSystem it;
    Load load(it.system, it.nodes);
    for (const std::string& node : it.nodes) {
        REQUIRE(waitFor([&, before = load.succeeded()] {
            load.step(6);
            return load.succeeded() > before + 50;
        }));
        it.system.process(node).terminate();
        // The load balancer stops sending requests to a node as soon as it reports that it is not ready.
        std::vector<std::string> others = it.nodes;
        std::erase(others, node);
        load.setNodes(others);
        REQUIRE(waitFor([&] {
            load.step(6);
            return !it.system.process(node).isRunning();
        }));
        CHECK(it.system.process(node).waitForExit() == 0);
        it.system.restartNode(node);
        it.system.waitUntilReady(node, 2);
        load.setNodes(it.nodes);
    }
    load.finish();
    INFO(load.firstFailure());
    CHECK(load.failed() == 0);
}

// Guards against a stopping node that keeps a batch chunk until its lease expires, or loses its results.
TEST_CASE("a node that stops releases its batch chunks")
{
    LeavingSystem it;
    JobSubmission submission;
    submission.workspace = "w";
    submission.items = TestSystem::jobLines(150, 20);
    const std::string job = it.system.operatorOf(it.nodes[0]).submitJob(submission).id;
    REQUIRE(waitFor([&] { return it.system.operatorOf(it.nodes[0]).jobStatus(job).completed >= 10; }));
    it.system.process(it.nodes[1]).terminate();
    CHECK(it.system.process(it.nodes[1]).waitForExit() == 0);
    REQUIRE(waitFor([&] { return it.system.operatorOf(it.nodes[0]).jobStatus(job).completed == 150; }));
}

// Guards against a second signal that ends the process at once.
TEST_CASE("a second termination signal changes nothing")
{
    LeavingSystem it;
    const auto call = it.system.post(it.nodes[0], "/v1/completions", TestSystem::completion("long", 100));
    REQUIRE(waitFor([&] {
        return it.system.counters(it.a).value("running").toInt() + it.system.counters(it.b).value("running").toInt()
            > 0;
    }));
    it.system.process(it.nodes[0]).terminate();
    it.system.process(it.nodes[0]).terminate();
    CHECK(call->wait().status() == 200);
    CHECK(call->response().headers.find("Connection").value_or("").toLower() == "close");
    CHECK(it.system.process(it.nodes[0]).waitForExit() == 0);
}

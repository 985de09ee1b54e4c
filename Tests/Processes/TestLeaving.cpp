#include "TestSystem.h"

#include <LibCore/Digest.h>
#include <LibCore/Error.h>

#include <Tests/Support/WaitFor.h>
#include <catch2/catch.hpp>

#include <QDeadlineTimer>
#include <QJsonObject>

#include <optional>
#include <set>

using namespace Chicorydock;

namespace {

/// Keeps a number of requests in flight at several nodes and counts how they end. A node may refuse a request at any
/// load, because how soon it can start depends on the speed of the machine. As a caller does, the load sends a request
/// that was refused as not run again after the stated retry time, until it is served.
class Load {
public:
    Load(TestSystem& system, std::vector<std::string> nodes)
        : m_system(system)
        , m_nodes(std::move(nodes))
    {
    }

    void setNodes(std::vector<std::string> nodes) { m_nodes = std::move(nodes); }

    /// Counts the requests that have ended, repeats those that were refused, and starts new ones up to the number in
    /// flight.
    void step(size_t inFlight)
    {
        for (Request& it : m_requests) {
            if (it.call && it.call->hasEnded())
                recordOutcome(it);
            if (it.retryAt && it.retryAt->hasExpired())
                send(it);
        }
        std::erase_if(m_requests, [](const Request& it) { return !it.call && !it.retryAt; });
        while (m_requests.size() < inFlight) {
            m_requests.push_back({ ++m_started, {}, {}, {} });
            send(m_requests.back());
        }
    }

    void finish()
    {
        REQUIRE(waitFor([this] {
            step(0);
            return m_requests.empty();
        }));
    }

    /// Checks that each request was served, and that the attempts that were refused as not run reached no endpoint.
    /// `endpoints` are all that there are. Precondition: `finish()` has been called.
    void check(const std::vector<std::string>& endpoints)
    {
        INFO(m_firstFailure);
        CHECK(m_failed == 0);
        std::set<QString> arrivals;
        for (const std::string& it : endpoints) {
            const QStringList hashes = m_system.counters(it).value("arrivals_by_prompt").toObject().keys();
            arrivals.insert(hashes.begin(), hashes.end());
        }
        const auto hasArrived = [&](const QString& prompt) {
            return arrivals.contains(QString::fromStdString(sha256Hex(prompt.toStdString())));
        };
        CHECK(std::ranges::all_of(m_servedPrompts, hasArrived));
        CHECK(std::ranges::none_of(m_refusedPrompts, hasArrived));
    }

    size_t succeeded() const { return m_servedPrompts.size(); }

private:
    struct Request {
        int number { 0 };
        /// Differs from attempt to attempt.
        QString prompt;
        /// The attempt in progress, or null.
        std::unique_ptr<TestCall> call;
        /// Set while the request waits to be repeated.
        std::optional<QDeadlineTimer> retryAt;
    };

    void send(Request& request)
    {
        const std::string& node = m_nodes[static_cast<size_t>(m_sent) % m_nodes.size()];
        request.prompt = QString("load %1, attempt %2").arg(request.number).arg(++m_sent);
        request.retryAt.reset();
        request.call = m_system.post(
            node, "/v1/completions", TestSystem::completion(request.prompt, 10, request.number % 2 == 0));
    }

    /// Counts a request that has ended, or determines when a refused one is repeated.
    void recordOutcome(Request& request)
    {
        const std::unique_ptr<TestCall> call = std::move(request.call);
        if (call->isFinished() && call->status() == 200) {
            m_servedPrompts.push_back(request.prompt);
        } else if (isRefusedInTime(*call)) {
            m_refusedPrompts.push_back(request.prompt);
            request.retryAt = QDeadlineTimer(errorOf(*call).value("retry_after_ms").toInteger());
        } else {
            ++m_failed;
            if (m_firstFailure.empty())
                m_firstFailure = std::to_string(call->status()) + ' ' + call->response().body.left(300).toStdString();
        }
    }

    static QJsonObject errorOf(const TestCall& call) { return call.json().value("error").toObject(); }

    /// Returns whether the call was refused as not run, with a retry time, because it could not start in time.
    static bool isRefusedInTime(const TestCall& call)
    {
        if (!call.isFinished())
            return false;
        const QJsonObject error = errorOf(call);
        const bool isLoad = (call.status() == 429 && call.errorKind() == "overloaded")
            || (call.status() == 503 && call.errorKind() == "deadline_unattainable");
        return isLoad && error.value("not_run").toBool() && error.value("retry_after_ms").toInteger() > 0;
    }

    TestSystem& m_system;
    std::vector<std::string> m_nodes;
    std::vector<Request> m_requests;
    std::vector<QString> m_servedPrompts;
    std::vector<QString> m_refusedPrompts;
    int m_started { 0 };
    int m_sent { 0 };
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
        const size_t before = load.succeeded();
        REQUIRE(waitFor([&] {
            load.step(6);
            return load.succeeded() > before + 150;
        }));
        load.finish();
        CHECK(system.counters(endpoint).value("arrivals").toInt() == arrivals);
        load.check({ a, b });
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
    load.check({ it.a, it.b });
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

#include "TestSystem.h"

#include <LibCore/Error.h>

#include <Tests/Support/WaitFor.h>
#include <catch2/catch.hpp>

#include <QJsonArray>
#include <QJsonDocument>

#include <set>

using namespace Chicorydock;

namespace {

/// Two nodes and a few engines in one failure domain.
struct BatchSystem {
    TestSystem system;
    std::vector<std::string> engines;
    std::string first;
    std::string second;

    explicit BatchSystem(int engineCount = 2, const QStringList& engineArguments = { "--base_gap_ms=5" })
    {
        for (int n = 0; n < engineCount; ++n)
            engines.push_back(system.addEngine("d1", engineArguments));
        first = system.addNode();
        second = system.addNode();
        system.waitUntilReady(first, engines.size());
        system.waitUntilReady(second, engines.size());
    }

    JobView submit(const std::string& node, const std::string& lines, bool isUnrepeatable = false)
    {
        JobSubmission submission;
        submission.workspace = "w";
        submission.items = lines;
        submission.unrepeatable = isUnrepeatable;
        return system.operatorOf(node).submitJob(submission);
    }

    /// Returns the status, or nothing while the platform or the node does not respond.
    std::optional<JobView> status(const std::string& node, const std::string& job)
    {
        try {
            return system.operatorOf(node).jobStatus(job);
        } catch (const Error&) {
            return {};
        }
    }

    uint32_t endedItems(const std::string& node, const std::string& job)
    {
        const auto view = status(node, job);
        return view ? view->completed + view->failed : 0;
    }

    /// Waits until the job has completed and returns its result lines as read from the node.
    std::vector<std::string> waitForResults(const std::string& node, const std::string& job)
    {
        REQUIRE(waitFor([&] {
            const auto view = status(node, job);
            return view && view->state == JobView::State::Completed;
        }));
        return results(node, job);
    }

    std::vector<std::string> results(const std::string& node, const std::string& job)
    {
        std::vector<std::string> lines;
        uint32_t after = 0;
        for (;;) {
            const ResultPage page = system.operatorOf(node).jobResults(job, after, 1000);
            lines.insert(lines.end(), page.lines.begin(), page.lines.end());
            if (page.complete || page.next == after)
                return lines;
            after = page.next;
        }
    }
};

QJsonObject parse(const std::string& line) { return QJsonDocument::fromJson(QByteArray::fromStdString(line)).object(); }

int statusOf(const std::string& line) { return parse(line).value("response").toObject().value("status_code").toInt(); }

/// Fails the test unless there is exactly one result for each item, in the order of the items.
void checkOneResultEach(const std::vector<std::string>& lines, int count)
{
    REQUIRE(lines.size() == static_cast<size_t>(count));
    for (int n = 0; n < count; ++n)
        CHECK(parse(lines[static_cast<size_t>(n)]).value("custom_id").toString() == "item-" + QString::number(n));
}

}

// Guards against results that can be read only from the node that accepted the job.
TEST_CASE("a job accepted by one node is read from another")
{
    BatchSystem it;
    const JobView job = it.submit(it.first, TestSystem::jobLines(35));
    CHECK(job.total == 35);
    const auto lines = it.waitForResults(it.second, job.id);
    checkOneResultEach(lines, 35);
    for (const std::string& line : lines)
        CHECK(statusOf(line) == 200);
    CHECK(it.results(it.first, job.id) == lines);
}

// Guards against a job that runs twice because its client did not receive the confirmation.
TEST_CASE("a job resent to another node is the same job")
{
    BatchSystem it;
    const std::string lines = TestSystem::jobLines(20);
    const JobView job = it.submit(it.first, lines);
    it.system.process(it.first).kill();
    CHECK(it.submit(it.second, lines).id == job.id);
    checkOneResultEach(it.waitForResults(it.second, job.id), 20);
}

// Guards against items that are lost, or that have two results, when a node dies with them in flight.
TEST_CASE("a job survives the loss of a node with items in flight")
{
    BatchSystem it(2, { "--base_gap_ms=10" });
    const JobView job = it.submit(it.first, TestSystem::jobLines(120, 30));
    REQUIRE(waitFor([&] { return it.endedItems(it.second, job.id) >= 10; }));
    it.system.process(it.first).kill();
    const auto lines = it.waitForResults(it.second, job.id);
    checkOneResultEach(lines, 120);
    it.system.restartNode(it.first);
    CHECK(it.results(it.first, job.id) == lines);
}

// Guards against a lease holder that is suspended until its lease expires, and then overwrites the results of the next
// holder.
TEST_CASE("a node frozen past its lease changes no result when it resumes")
{
    BatchSystem it(2, { "--base_gap_ms=10" });
    const JobView job = it.submit(it.first, TestSystem::jobLines(120, 30));
    REQUIRE(waitFor([&] { return it.endedItems(it.second, job.id) >= 10; }));
    it.system.process(it.first).freeze();
    const auto lines = it.waitForResults(it.second, job.id);
    checkOneResultEach(lines, 120);
    it.system.process(it.first).resume();
    // The node responds again once it has processed its backlog.
    REQUIRE(waitFor([&] { return it.status(it.first, job.id).has_value(); }));
    CHECK(it.results(it.first, job.id) == lines);
    CHECK(it.results(it.second, job.id) == lines);
}

// Guards against duplicate or lost segments when the store's responses are lost after the writes took effect.
TEST_CASE("a job survives lost responses of the store")
{
    BatchSystem it;
    const JobView job = it.submit(it.first, TestSystem::jobLines(80));
    it.system.control({}, { { "lost_share", 0.3 }, { "seed", 7 } });
    checkOneResultEach(it.waitForResults(it.second, job.id), 80);
}

// Guards against work that is lost, or online requests that fail, while the store is down.
TEST_CASE("a job survives an outage of the store, and online requests are not affected")
{
    BatchSystem it(2, { "--base_gap_ms=10" });
    const JobView job = it.submit(it.first, TestSystem::jobLines(100, 20));
    REQUIRE(waitFor([&] { return it.endedItems(it.second, job.id) >= 10; }));
    it.system.control({}, { { "outage", true } });
    for (int n = 0; n < 20; ++n) {
        const auto call = it.system.post(it.first, "/v1/completions", TestSystem::completion("online"));
        CHECK(call->wait().status() == 200);
    }
    it.system.control({}, { { "outage", false } });
    checkOneResultEach(it.waitForResults(it.second, job.id), 100);
}

// Guards against a cancelled job that continues, or that gains results after the cancellation was acknowledged.
TEST_CASE("a cancelled job stops")
{
    BatchSystem it(2, { "--base_gap_ms=10" });
    const JobView job = it.submit(it.first, TestSystem::jobLines(2000, 40));
    REQUIRE(waitFor([&] { return it.endedItems(it.second, job.id) >= 10; }));
    const JobView cancelled = it.system.operatorOf(it.second).cancelJob(job.id);
    CHECK(cancelled.state == JobView::State::Cancelled);
    const auto lines = it.results(it.second, job.id);
    REQUIRE(waitFor([&] {
        int running = 0;
        for (const std::string& engine : it.engines)
            running += it.system.counters(engine).value("running").toInt();
        return running == 0;
    }));
    CHECK(it.results(it.first, job.id) == lines);
    CHECK(it.status(it.first, job.id)->completed == cancelled.completed);
    CHECK(cancelled.completed < 2000);
}

// Guards against an item that crashes its workers and makes the rest of its job fail.
TEST_CASE("an item that kills every worker ends as failed, and the others complete")
{
    const QStringList arguments { "--base_gap_ms=2", "--allow_poison", "--poison_marker=venom" };
    BatchSystem it(8, arguments);
    std::string lines = TestSystem::jobLines(19);
    const QJsonObject poison { { "custom_id", "item-19" }, { "method", "POST" }, { "url", "/v1/completions" },
        { "body", TestSystem::completion("venom") } };
    lines += QJsonDocument(poison).toJson(QJsonDocument::Compact).toStdString() + '\n';
    const JobView job = it.submit(it.first, lines);
    // Replaces crashed workers, as the platform does. Their number depends on how often leases expire on a busy
    // machine.
    size_t deaths = 0;
    REQUIRE(waitFor([&] {
        for (std::string& engine : it.engines) {
            if (it.system.process(engine).isRunning())
                continue;
            ++deaths;
            it.system.removeFromVmList(engine);
            engine = it.system.addEngine("d1", arguments);
        }
        const auto view = it.status(it.second, job.id);
        return view && view->state == JobView::State::Completed;
    }));
    const auto results = it.results(it.second, job.id);
    checkOneResultEach(results, 20);
    INFO(deaths << " engines died");
    for (size_t n = 0; n < 19; ++n)
        CHECK(statusOf(results[n]) == 200);
    CHECK(statusOf(results[19]) != 200);
}

// Guards against a certificate that is issued twice when the node that requested it is lost.
TEST_CASE("unrepeatable items run at most once, even if their node is lost")
{
    BatchSystem it(1);
    const std::string ledger = it.system.addService();
    it.system.control(ledger, { { "delay_ms", 30 } });
    QByteArray lines;
    constexpr int count = 100;
    for (int n = 0; n < count; ++n) {
        const QJsonObject line { { "custom_id", "item-" + QString::number(n) }, { "method", "POST" },
            { "url", "/services/ledger/certificates" }, { "body", QJsonObject { { "team", n } } } };
        lines += QJsonDocument(line).toJson(QJsonDocument::Compact) + '\n';
    }
    const JobView job = it.submit(it.first, lines.toStdString(), true);
    REQUIRE(waitFor([&] { return it.system.counters(ledger).value("calls").toInt() >= 20; }));
    it.system.process(it.first).kill();
    const auto results = it.waitForResults(it.second, job.id);
    checkOneResultEach(results, count);
    const QJsonObject byBody = it.system.counters(ledger).value("calls_by_body").toObject();
    for (const QString& body : byBody.keys())
        CHECK(byBody.value(body).toInt() == 1);
}

#include "BatchCluster.h"

#include <LibCore/Error.h>

#include <QJsonDocument>

#include <catch2/catch.hpp>

using namespace Chicorydock;

namespace {

std::string messageOf(const std::function<void()>& function, ErrorKind kind)
{
    try {
        function();
    } catch (const Error& error) {
        CHECK(error.kind() == kind);
        return error.message();
    }
    FAIL("no error was thrown");
    return {};
}

}

// Guards against a resubmitted job that runs twice, and against a job that replaces another one.
TEST_CASE("a resubmitted job is the same job, and a different job with its id is rejected")
{
    BatchCluster cluster;
    const JobView first = cluster.service.submit(cluster.submission("", 25));
    CHECK(first.total == 25);
    cluster.clock.advance(Milliseconds { 1'000 });
    CHECK(cluster.service.submit(cluster.submission("", 25)) == first);
    CHECK(cluster.service.submit(cluster.submission("", 24)).id != first.id);
    cluster.service.submit(cluster.submission("job", 5));
    messageOf([&] { cluster.service.submit(cluster.submission("job", 6)); }, ErrorKind::Conflict);
    CHECK(cluster.service.list("w", "", 10).size() == 3);
    CHECK(cluster.service.list("other", "", 10).empty());
}

// Guards against a second job when the response to the insert was lost, and against a job accepted during an outage.
TEST_CASE("a lost response to the submission neither rejects nor duplicates the job")
{
    BatchCluster cluster;
    FaultInjector faults(1);
    FaultyTableService tables(cluster.tables, faults);
    SeededRandom random(2);
    TableJobService service(tables, cluster.objects, cluster.clock, random, BatchCluster::chunkItems);
    faults.setOutage(true);
    messageOf([&] { service.submit(cluster.submission("job", 5)); }, ErrorKind::PlatformUnavailable);
    messageOf([&] { cluster.service.status("w", "job"); }, ErrorKind::NotFound);
    faults.setOutage(false);
    faults.loseResponses(1);
    CHECK(service.submit(cluster.submission("job", 5)).id == "job");
    faults.loseResponses(1);
    CHECK(service.cancel("w", "job").state == JobView::State::Cancelled);
}

// Guards against a "not run" error although the job was accepted or cancelled.
TEST_CASE("an outage after a write that took effect is reported as an unknown outcome")
{
    BatchCluster cluster;
    FaultInjector faults(1);
    FaultyTableService tables(cluster.tables, faults);
    SeededRandom random(2);
    TableJobService service(tables, cluster.objects, cluster.clock, random, BatchCluster::chunkItems);
    faults.startOutageAfterWrite();
    messageOf([&] { service.submit(cluster.submission("job", 5)); }, ErrorKind::OutcomeUnknown);
    CHECK(cluster.service.status("w", "job").state == JobView::State::InProgress);
    faults.setOutage(false);
    faults.startOutageAfterWrite();
    messageOf([&] { service.cancel("w", "job"); }, ErrorKind::OutcomeUnknown);
    CHECK(cluster.service.status("w", "job").state == JobView::State::Cancelled);
}

// Guards against accepting a job with an item that cannot be run, and against an error message without line and reason.
TEST_CASE("a malformed item is rejected with its line and the reason")
{
    BatchCluster cluster;
    const std::string good = BatchCluster::items(1);
    const std::vector<std::pair<std::string, std::string>> cases {
        { "{", "line 2: not JSON" },
        { "[]", "line 2: not a JSON object" },
        { R"({"method":"POST","url":"/v1/completions","body":{}})", "line 2: custom_id" },
        { R"({"custom_id":"a","method":"GET","url":"/v1/completions","body":{}})", "line 2: method" },
        { R"({"custom_id":"a","method":"POST","url":"/v1/models","body":{}})", "line 2: url" },
        { R"({"custom_id":"a","method":"POST","url":"/services/","body":{}})", "line 2: url" },
        { R"({"custom_id":"a","method":"POST","url":"/v1/completions","body":1})", "line 2: body" },
        { R"({"custom_id":"item-0","method":"POST","url":"/v1/completions","body":{}})", "line 2: custom_id item-0" },
    };
    for (const auto& [line, reason] : cases) {
        JobSubmission submission { .id = "job", .workspace = "w", .items = good + line };
        const std::string message = messageOf([&] { cluster.service.submit(submission); }, ErrorKind::MalformedRequest);
        INFO(message);
        CHECK(message.starts_with(reason));
    }
    messageOf([&] { cluster.service.submit({ .id = "job", .workspace = "w", .items = "\n \n" }); },
        ErrorKind::MalformedRequest);
    const std::string tooMany = BatchCluster::items(200'001);
    const std::string message
        = messageOf([&] { cluster.service.submit({ .id = "job", .workspace = "w", .items = tooMany }); },
            ErrorKind::MalformedRequest);
    CHECK(message.starts_with("line 200001: "));
    messageOf(
        [&] { cluster.service.submit({ .id = "a/b", .workspace = "w", .items = good }); }, ErrorKind::MalformedRequest);
    messageOf([&] { cluster.service.status("w", "job"); }, ErrorKind::NotFound);
}

// Guards against result pages that skip, repeat or reorder items, also while the job is running.
TEST_CASE("results are paged in item order")
{
    BatchCluster cluster;
    const std::string id = cluster.service.submit(cluster.submission("", 25)).id;
    CHECK(cluster.service.results("w", id, 0, 10).lines.empty());
    REQUIRE(cluster.runToEnd(id));
    const JobView view = cluster.service.status("w", id);
    CHECK(view.state == JobView::State::Completed);
    CHECK(view.completed == 25);
    uint32_t next = 0;
    uint32_t expected = 0;
    while (true) {
        const ResultPage page = cluster.service.results("w", id, next, 7);
        for (const std::string& line : page.lines) {
            const QJsonObject object = QJsonDocument::fromJson(QByteArray::fromStdString(line)).object();
            CHECK(object["custom_id"].toString() == QString("item-%1").arg(expected++));
            CHECK(object["response"].toObject()["status_code"].toInt() == 200);
            CHECK(object["error"].isNull());
        }
        next = page.next;
        if (page.complete)
            break;
    }
    CHECK(expected == 25);
    messageOf([&] { cluster.service.results("other", id, 0, 1); }, ErrorKind::NotFound);
}

// Guards against input files that other workspaces can read.
TEST_CASE("an input file is visible only to its workspace")
{
    BatchCluster cluster;
    const std::string id = cluster.service.putFile("w", "content");
    CHECK(cluster.service.putFile("w", "content") == id);
    CHECK(cluster.service.file("w", id) == "content");
    messageOf([&] { cluster.service.file("x", id); }, ErrorKind::NotFound);
}

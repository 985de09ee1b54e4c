#include "BatchWorld.h"

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

// Guards against a resent job that runs twice, and against a job that takes the place of another.
TEST_CASE("a resent job is the same job, and another job under its id is refused")
{
    BatchWorld world;
    const JobView first = world.service.submit(world.submission("", 25));
    CHECK(first.total == 25);
    world.clock.advance(Milliseconds { 1'000 });
    CHECK(world.service.submit(world.submission("", 25)) == first);
    CHECK(world.service.submit(world.submission("", 24)).id != first.id);
    world.service.submit(world.submission("job", 5));
    messageOf([&] { world.service.submit(world.submission("job", 6)); }, ErrorKind::Conflict);
    CHECK(world.service.list("w", "", 10).size() == 3);
    CHECK(world.service.list("other", "", 10).empty());
}

// Guards against a second job when the response to the insert was lost, and against one that was accepted in an outage.
TEST_CASE("a lost response to the submission does not refuse or double the job")
{
    BatchWorld world;
    FaultInjector faults(1);
    FaultyTableService tables(world.tables, faults);
    SeededRandom random(2);
    TableJobService service(tables, world.objects, world.clock, random, BatchWorld::chunkItems);
    faults.setOutage(true);
    messageOf([&] { service.submit(world.submission("job", 5)); }, ErrorKind::PlatformUnavailable);
    messageOf([&] { world.service.status("w", "job"); }, ErrorKind::NotFound);
    faults.setOutage(false);
    faults.loseResponses(1);
    CHECK(service.submit(world.submission("job", 5)).id == "job");
    faults.loseResponses(1);
    CHECK(service.cancel("w", "job").state == JobView::State::Cancelled);
}

// Guards against a job that is accepted with an item that cannot be run, and against an unhelpful refusal.
TEST_CASE("a malformed item is refused with its line and the reason")
{
    BatchWorld world;
    const std::string good = BatchWorld::items(1);
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
        const std::string message = messageOf([&] { world.service.submit(submission); }, ErrorKind::MalformedRequest);
        INFO(message);
        CHECK(message.starts_with(reason));
    }
    messageOf([&] { world.service.submit({ .id = "job", .workspace = "w", .items = "\n \n" }); },
        ErrorKind::MalformedRequest);
    messageOf(
        [&] { world.service.submit({ .id = "a/b", .workspace = "w", .items = good }); }, ErrorKind::MalformedRequest);
    messageOf([&] { world.service.status("w", "job"); }, ErrorKind::NotFound);
}

// Guards against pages of results that skip, repeat or reorder items, also while the job still runs.
TEST_CASE("results come in the order of items, page by page")
{
    BatchWorld world;
    const std::string id = world.service.submit(world.submission("", 25)).id;
    CHECK(world.service.results("w", id, 0, 10).lines.empty());
    REQUIRE(world.runToEnd(id));
    const JobView view = world.service.status("w", id);
    CHECK(view.state == JobView::State::Completed);
    CHECK(view.completed == 25);
    uint32_t next = 0;
    uint32_t expected = 0;
    while (true) {
        const ResultPage page = world.service.results("w", id, next, 7);
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
    messageOf([&] { world.service.results("other", id, 0, 1); }, ErrorKind::NotFound);
}

// Guards against input files that another workspace can read.
TEST_CASE("an input file is found by its workspace only")
{
    BatchWorld world;
    const std::string id = world.service.putFile("w", "content");
    CHECK(world.service.putFile("w", "content") == id);
    CHECK(world.service.file("w", id) == "content");
    messageOf([&] { world.service.file("x", id); }, ErrorKind::NotFound);
}

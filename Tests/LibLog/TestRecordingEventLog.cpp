#include <LibCore/Error.h>
#include <LibLog/RecordingEventLog.h>
#include <Tests/Support/SimulatedClock.h>

#include <QJsonDocument>
#include <QTemporaryDir>

#include <catch2/catch.hpp>

#include <fstream>
#include <latch>

using namespace Chicorydock;

namespace {

Event eventAt(int64_t wallMilliseconds, uint32_t counter, const std::string& node)
{
    Event event;
    event.time = { wallMilliseconds, counter };
    event.node = node;
    return event;
}

}

// Guards against unbounded memory, and against a filter that counts events of other identifiers toward the limit.
TEST_CASE("the newest events are kept and filtered by identifier or trace id")
{
    const SimulatedClock clock;
    HybridLogicalClock hybrid(clock);
    RecordingEventLog log({ .node = "n1", .failureDomain = "d1", .recentEvents = 3, .file = "" }, hybrid);
    log.record("job", "accepted", "dropped");
    log.record("request", "accepted", "r1", "t1");
    log.record("job", "accepted", "j1");
    log.record("request", "finished", "r1", "t1", { { "status", 200 } });
    const auto all = log.recent(10);
    REQUIRE(all.size() == 3);
    CHECK(all[0].id == "r1");
    CHECK(all[0].node == "n1");
    CHECK(all[0].failureDomain == "d1");
    CHECK(all[0].time < all[1].time);
    CHECK(all[1].time < all[2].time);
    CHECK(log.recent(2, "t1").size() == 2);
    REQUIRE(log.recent(1, "r1").size() == 1);
    CHECK(log.recent(1, "r1")[0].action == "finished");
}

// Guards against a job's timeline that omits its chunks or includes those of a job whose identifier has the same
// prefix.
TEST_CASE("the identifier of a job selects its chunks and items")
{
    const SimulatedClock clock;
    HybridLogicalClock hybrid(clock);
    RecordingEventLog log({ .node = "n1", .failureDomain = "d1", .file = "" }, hybrid);
    log.record("chunk", "claimed", "job/0");
    log.record("chunk", "claimed", "job2/0");
    log.record("chunk", "claimed", "job2");
    REQUIRE(log.recent(10, "job").size() == 1);
    CHECK(log.recent(10, "job")[0].id == "job/0");
    CHECK(log.recent(10, "job2").size() == 2);
}

// Guards against events that are lost when the process stops.
TEST_CASE("all events are in the file after the log is destroyed")
{
    const QTemporaryDir folder;
    const std::string path = folder.filePath("events.jsonl").toStdString();
    const SimulatedClock clock;
    HybridLogicalClock hybrid(clock);
    {
        RecordingEventLog log({ .node = "n1", .failureDomain = "d1", .file = path }, hybrid);
        for (int n = 0; n < 100; ++n)
            log.record("request", "accepted", std::to_string(n));
        CHECK(log.dropped() == 0);
    }
    std::ifstream file(path);
    std::string line;
    int n = 0;
    while (std::getline(file, line))
        CHECK(QJsonDocument::fromJson(QByteArray::fromStdString(line))["id"].toString() == QString::number(n++));
    CHECK(n == 100);
}

// Guards against a node that starts although the event file in its settings cannot be opened.
TEST_CASE("an event file that cannot be opened is an error")
{
    const SimulatedClock clock;
    HybridLogicalClock hybrid(clock);
    const RecordingEventLog::Options options { .node = "n1", .failureDomain = "d1", .file = "/nonexistent/events" };
    CHECK_THROWS_AS(RecordingEventLog(options, hybrid), Error);
}

// Guards against a request that waits for a slow disk, and against drops that are not counted.
TEST_CASE("a full queue drops lines without waiting for the writer")
{
    std::latch entered(1);
    std::latch released(1);
    std::string written;
    {
        LineWriter writer(2, [&](std::string_view text) {
            written += text;
            if (written == "first\n")
                entered.count_down();
            released.wait();
            return true;
        });
        writer.push("first");
        entered.wait();
        writer.push("second");
        writer.push("third");
        writer.push("fourth");
        CHECK(writer.dropped() == 1);
        released.count_down();
    }
    CHECK(written == "first\nsecond\nthird\n");
}

// Guards against failed writes that are not counted.
TEST_CASE("lines that cannot be written count as dropped")
{
    LineWriter writer(2, [&](std::string_view) { return false; });
    writer.push("first");
    while (writer.dropped() == 0)
        std::this_thread::yield();
    CHECK(writer.dropped() == 1);
}

// Guards against a timeline ordered by node or arrival instead of time, and against duplicate events.
TEST_CASE("events of several nodes merge by hybrid logical time")
{
    const auto merged = mergeEvents({ { eventAt(5, 1, "b"), eventAt(9, 0, "b") },
        { eventAt(5, 0, "a"), eventAt(5, 1, "a"), eventAt(7, 0, "a") }, { eventAt(9, 0, "b") } });
    CHECK(merged
        == std::vector {
            eventAt(5, 0, "a"), eventAt(5, 1, "a"), eventAt(5, 1, "b"), eventAt(7, 0, "a"), eventAt(9, 0, "b") });
}

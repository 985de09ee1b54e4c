#include <LibLog/StreamEventLog.h>

#include <Tests/Support/SimulatedClock.h>

#include <QJsonDocument>
#include <QJsonObject>
#include <catch2/catch.hpp>

#include <array>
#include <fcntl.h>
#include <unistd.h>

using namespace Chicorydock;

namespace {

/// A pipe whose reading end does not block.
struct Pipe {
    std::array<int, 2> ends {};

    Pipe()
    {
        REQUIRE(::pipe(ends.data()) == 0);
        ::fcntl(ends[0], F_SETFL, O_NONBLOCK);
    }
    ~Pipe()
    {
        ::close(ends[0]);
        ::close(ends[1]);
    }

    std::vector<QJsonObject> lines()
    {
        QByteArray text;
        std::array<char, 4096> buf;
        for (ssize_t n = 0; (n = ::read(ends[0], buf.data(), buf.size())) > 0;)
            text.append(buf.data(), n);
        std::vector<QJsonObject> lines;
        for (const QByteArray& it : text.split('\n')) {
            if (!it.isEmpty())
                lines.push_back(QJsonDocument::fromJson(it).object());
        }
        return lines;
    }
};

}

// Guards against a line that cannot be correlated with the other lines of the same request.
TEST_CASE("each event is one JSON line with its identifier and inputs")
{
    SimulatedClock clock;
    Pipe pipe;
    StreamEventLog log({ "n1", "z1", pipe.ends[1] }, clock);
    log.record("request", "finished", "q1", {}, { { "outcome", "answered" }, { "queued_ms", 4 } });
    const auto lines = pipe.lines();
    REQUIRE(lines.size() == 1);
    CHECK(lines[0]["node"] == "n1");
    CHECK(lines[0]["subject"] == "request");
    CHECK(lines[0]["action"] == "finished");
    CHECK(lines[0]["id"] == "q1");
    CHECK(lines[0]["details"].toObject()["queued_ms"] == 4);
}

// Guards against a process that blocks because nobody reads its log, and against drops that are not reported.
TEST_CASE("a full pipe drops lines, and the next line reports how many")
{
    SimulatedClock clock;
    Pipe pipe;
    StreamEventLog log({ "n1", "z1", pipe.ends[1], 1'000'000 }, clock);
    constexpr int lines = 3000;
    for (int n = 0; n < lines; ++n)
        log.record("request", "finished", std::to_string(n));
    CHECK(log.dropped() > 0);
    const size_t written = pipe.lines().size();
    CHECK(written + log.dropped() == lines);
    log.record("request", "finished", "after");
    const auto after = pipe.lines();
    REQUIRE(after.size() == 1);
    CHECK(static_cast<uint64_t>(after[0]["dropped_lines"].toInteger()) == log.dropped());
}

// Guards against failures missing from the log because routine lines used up the rate.
TEST_CASE("above the rate, routine lines are dropped first")
{
    SimulatedClock clock;
    Pipe pipe;
    StreamEventLog log({ "n1", "z1", pipe.ends[1], 10 }, clock);
    for (int n = 0; n < 30; ++n)
        log.record("request", "finished", "routine", {}, { { "outcome", "answered" } });
    log.record("request", "finished", "failure", {}, { { "outcome", "endpoint_failed" } });
    const auto lines = pipe.lines();
    CHECK(lines.size() == 11);
    CHECK(lines.back()["id"] == "failure");
    clock.advance(std::chrono::seconds { 1 });
    log.record("request", "finished", "routine", {}, { { "outcome", "answered" } });
    CHECK(pipe.lines().size() == 1);
}

#include <Tests/Utilities/chicorydock/ToolFixture.h>

#include <QJsonArray>

using namespace Chicorydock;

namespace {

QByteArray line(int wallMilliseconds, const char* node, const char* subject, const char* action, const char* id,
    const QJsonObject& details = {})
{
    const QJsonObject object { { "wall_ms", wallMilliseconds }, { "sequence", 1 }, { "node", node },
        { "subject", subject }, { "action", action }, { "id", id }, { "details", details } };
    return QJsonDocument(object).toJson(QJsonDocument::Compact) + '\n';
}

}

// Guards against a timeline that omits the events of another process or shows them in the wrong order.
TEST_CASE_METHOD(ToolFixture, "explain merges the log lines of all processes about a request")
{
    const auto first = writeFile("a.log",
        (line(30, "n1", "request", "finished", "q1", { { "outcome", "endpoint_failed" } })
            + line(10, "n1", "request", "moved", "q1", { { "reason", "the endpoint was silent" } })
            + line(20, "n1", "request", "finished", "other"))
            .toStdString());
    // The benchmark and log collectors put their own text in front of a line.
    const auto second = writeFile("b.log",
        ("  39.58 edge-1 " + line(5, "n2", "request", "refused", "q1") + "half a line {\"subj\nplain text\n")
            .toStdString());
    REQUIRE(run({ "explain", "q1", first, second, "--json" }) == 0);
    const QJsonArray lines = outJson()["lines"].toArray();
    REQUIRE(lines.size() == 3);
    CHECK(lines[0].toObject()["node"] == "n2");
    CHECK(lines[1].toObject()["action"] == "moved");
    CHECK(lines[2].toObject()["action"] == "finished");
    CHECK_THAT(err(), Catch::Contains("skipped 2 of 6 lines"));
    REQUIRE(run({ "explain", "q1", first, second }) == 0);
    CHECK_THAT(out(), Catch::Contains("the endpoint was silent"));
}

// Guards against an item whose delay is not explained because the lines of its job are missing.
TEST_CASE_METHOD(ToolFixture, "explain shows the job of an item, and the items of a job")
{
    const auto file = writeFile("a.log",
        (line(10, "n1", "job", "accepted", "j1") + line(20, "n2", "job", "claimed", "j1")
            + line(30, "n2", "item", "given_up", "i1", { { "job", "j1" } })
            + line(40, "n2", "item", "completed", "i2", { { "job", "j1" } }))
            .toStdString());
    REQUIRE(run({ "explain", "i1", file, "--json" }) == 0);
    CHECK(outJson()["lines"].toArray().size() == 3);
    REQUIRE(run({ "explain", "j1", file, "--json" }) == 0);
    CHECK(outJson()["lines"].toArray().size() == 4);
}

// Guards against a job of a workspace that is not found by the identifier that its caller knows.
TEST_CASE_METHOD(ToolFixture, "explain finds the job of a workspace by the identifier of its caller")
{
    const auto file = writeFile("a.log",
        (line(10, "n1", "job", "accepted", "j1@5f", { { "workspace", "acme" } })
            + line(20, "n2", "item", "placed", "i1", { { "job", "j1@5f" }, { "workspace", "acme" } })
            + line(30, "n2", "item", "placed", "i2", { { "job", "j2@5f" } }))
            .toStdString());
    REQUIRE(run({ "explain", "j1", file, "--json" }) == 0);
    CHECK(outJson()["lines"].toArray().size() == 2);
    REQUIRE(run({ "explain", "i1", file, "--json" }) == 0);
    CHECK(outJson()["lines"].toArray().size() == 2);
}

// Guards against an unknown identifier that is mistaken for a request without problems.
TEST_CASE_METHOD(ToolFixture, "explain fails for an unknown identifier and an unreadable file")
{
    const auto file = writeFile("a.log", line(10, "n1", "job", "accepted", "j1").toStdString());
    CHECK(run({ "explain", "nobody", file }) == 1);
    CHECK_THAT(err(), Catch::Contains("none of 1 lines mentions \"nobody\""));
    CHECK(run({ "explain", "j1", file + ".none" }) == 2);
}

// Guards against a request whose node stopped before it finished and whose timeline does not show why it ends.
TEST_CASE_METHOD(ToolFixture, "explain shows where the log of a process ends before the request has finished")
{
    const auto file = writeFile("a.log",
        (line(10, "n1", "request", "placed", "q1", { { "endpoint", "e1" } })
            + line(20, "n1", "request", "finished", "q2") + line(30, "n2", "request", "placed", "q3")
            + line(40, "n2", "request", "finished", "q3") + line(50, "n2", "request", "finished", "q4"))
            .toStdString());
    REQUIRE(run({ "explain", "q1", file, "--json" }) == 0);
    const QJsonArray lines = outJson()["lines"].toArray();
    REQUIRE(lines.size() == 2);
    CHECK(lines[1].toObject()["action"] == "log_ends");
    CHECK(lines[1].toObject()["wall_ms"].toInt() == 20);
    REQUIRE(run({ "explain", "q3", file, "--json" }) == 0);
    CHECK(outJson()["lines"].toArray().size() == 2);
}

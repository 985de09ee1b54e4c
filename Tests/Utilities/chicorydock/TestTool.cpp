#include <Tests/Utilities/chicorydock/ToolFixture.h>
#include <Utilities/chicorydock/RequestFile.h>

#include <QJsonArray>

using namespace Chicorydock;
using namespace Qt::Literals::StringLiterals;
using trompeloeil::_;

namespace {

const std::string declarations = R"([[service]]
name = "flag-assistant"
[[model]]
name = "flag"
service = "flag-assistant"
version = "v1"
)";

Event eventAt(int64_t wallMilliseconds, const std::string& node)
{
    Event event;
    event.time = { wallMilliseconds, 0 };
    event.node = node;
    event.subject = "job";
    return event;
}

}

// Guards against scripts that mistake an invalid command line for a success or for a fault of the system.
TEST_CASE_METHOD(ToolFixture, "an invalid command line ends with exit code 2 and sends nothing")
{
    const auto arguments = GENERATE(std::vector<std::string> {}, std::vector<std::string> { "no-such-command" },
        std::vector<std::string> { "job" }, std::vector<std::string> { "job", "status" },
        std::vector<std::string> { "status", "extra" }, std::vector<std::string> { "status", "--no-such-flag" },
        std::vector<std::string> { "history", "--limit", "many" }, std::vector<std::string> { "status", "--v=1" },
        std::vector<std::string> { "status", "--node=localhost:1" }, std::vector<std::string> { "drain", "" });
    CHECK(run(arguments) == 2);
    CHECK(out().empty());
    CHECK_THAT(err(), Catch::StartsWith("chicorydock: usage: "));
    std::vector<std::string> withJson = arguments;
    withJson.push_back("--json");
    CHECK(run(withJson) == 2);
    CHECK(errJson()["error"][u"kind"_s].toString() == "usage");
}

// Guards against flags of one run that persist into the next, and against help that requires a node.
TEST_CASE_METHOD(ToolFixture, "help and digest need no node")
{
    isFirstReachable = isSecondReachable = false;
    CHECK(run({ "--help" }) == 0);
    CHECK_THAT(out(), Catch::Contains("job submit FILE") && Catch::Contains("Exit codes"));
    CHECK(run({ "job", "status", "--help" }) == 0);
    CHECK_THAT(out(), Catch::StartsWith("chicorydock job status ID"));
    CHECK(run({ "digest", "abc", "--json" }) == 0);
    CHECK(outJson()["digest"].toString() == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
    CHECK(run({ "digest", "abc" }) == 0);
    CHECK(out() == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad\n");
}

// Guards against scripts that mistake unreachable nodes for a refused command.
TEST_CASE_METHOD(ToolFixture, "exit code 3 reports that no node could be reached")
{
    isFirstReachable = isSecondReachable = false;
    for (const std::vector<std::string>& it : { std::vector<std::string> { "status" }, { "endpoints" },
             { "job", "status", "j" }, { "drain", "e" }, { "timeline" } }) {
        CHECK(run(it) == 3);
        CHECK_THAT(err(), Catch::StartsWith("chicorydock: unreachable: node 127.0.0.1:1"));
    }
}

// Guards against commands that fail because of one stuck or stopping node although other nodes respond.
TEST_CASE_METHOD(ToolFixture, "a command is retried at the next node unless the error is final")
{
    SECTION("the first node cannot be reached")
    {
        isFirstReachable = false;
        REQUIRE_CALL(second, drain("e1"));
        CHECK(run({ "drain", "e1" }) == 0);
    }
    SECTION("the first node fails with a retryable error")
    {
        REQUIRE_CALL(first, drain("e1")).THROW(Error(ErrorKind::ShuttingDown, "stopping"));
        REQUIRE_CALL(second, drain("e1"));
        CHECK(run({ "drain", "e1", "--json" }) == 0);
        CHECK(outJson()["draining"].toString() == "e1");
    }
    SECTION("a command that failed with a final error is not retried")
    {
        REQUIRE_CALL(first, drain("e1")).THROW(Error(ErrorKind::NotFound, "no endpoint e1"));
        CHECK(run({ "drain", "e1" }) == 1);
        CHECK(err() == "chicorydock: not_found: no endpoint e1\n");
    }
    SECTION("an error of a node takes precedence over a node that cannot be reached")
    {
        isSecondReachable = false;
        REQUIRE_CALL(first, cancelJob("j")).THROW(Error(ErrorKind::OutcomeUnknown, "no answer"));
        CHECK(run({ "job", "cancel", "j", "--json" }) == 1);
        CHECK(errJson()["error"][u"kind"_s].toString() == "outcome_unknown");
        CHECK(errJson()["error"][u"exit_code"_s].toInt() == 1);
    }
}

// Guards against a repeated change that is sent with another request id, and against one that replaces a revision the
// operator has not seen.
TEST_CASE_METHOD(ToolFixture, "apply derives the request id from content, expected revision and author")
{
    const std::string path = writeFile("d.toml", declarations);
    std::vector<std::string> ids;
    ALLOW_CALL(first, apply(_, _)).LR_SIDE_EFFECT(ids.push_back(_1.requestId)).RETURN(8);
    ALLOW_CALL(first, configuration()).RETURN(Configuration { .revision = 7 });
    CHECK(run({ "apply", path, "--expect=7", "--author", "amaya" }) == 0);
    CHECK(out() == "revision 8 accepted\n");
    CHECK(run({ "apply", path, "--json", "--author=amaya" }) == 0);
    CHECK(outJson()["revision"].toInt() == 8);
    CHECK(run({ "apply", path, "--expect=9", "--author=amaya" }) == 0);
    CHECK(run({ "apply", path, "--expect=7", "--request_id=mine" }) == 0);
    CHECK(run({ "apply", path, "--expect=7", "--author=berta" }) == 0);
    REQUIRE(ids.size() == 5);
    CHECK(ids[0] == ids[1]);
    CHECK(ids[0] != ids[2]);
    CHECK(ids[3] == "mine");
    CHECK(ids[0] != ids[4]);
}

// Guards against an operator who cannot find out whether a change was made.
TEST_CASE_METHOD(ToolFixture, "the error of an apply with an unknown outcome states how to repeat it")
{
    const std::string path = writeFile("d.toml", declarations);
    isSecondReachable = false;
    REQUIRE_CALL(first, apply(_, 7)).THROW(Error(ErrorKind::OutcomeUnknown, "no answer"));
    CHECK(run({ "apply", path, "--expect=7", "--request_id=mine" }) == 1);
    CHECK_THAT(err(), Catch::Contains("--expect 7 --request_id mine"));
    REQUIRE_CALL(first, apply(_, 7)).THROW(Error(ErrorKind::Conflict, "current revision: 9"));
    CHECK(run({ "apply", path, "--expect=7" }) == 1);
    CHECK(err() == "chicorydock: conflict: current revision: 9\n");
}

// Guards against mistakes in a declaration file that are sent to a node or reported one at a time.
TEST_CASE_METHOD(ToolFixture, "an invalid declaration file ends with exit code 2 and names every line")
{
    const std::string path = writeFile("d.toml", declarations + R"([[model]]
name = "flag"
service = "other"
version = "v1"
[[workspace]]
name = "judges"
key_digests = ["secret"]
wroth = 2
)");
    CHECK(run({ "apply", path }) == 2);
    CHECK_THAT(err(),
        Catch::Contains("d.toml:8: model[1].name: found \"flag\" a second time")
            && Catch::Contains("d.toml:9: model[1].service: found \"other\"")
            && Catch::Contains("d.toml:13: workspace[0].key_digests[0]: ")
            && Catch::Contains("d.toml:14: workspace[0].wroth: found an unknown key"));
    CHECK(run({ "apply", "/nonexistent.toml" }) == 2);
}

// Guards against keys of a declaration that are ignored or stored in the wrong member of the configuration.
TEST_CASE_METHOD(ToolFixture, "every key of a declaration is stored in its member")
{
    const std::string digest(64, 'a');
    const std::string path = writeFile("d.toml",
        R"([[model]]
name = "flag"
service = "flag-assistant"
version = "v1"
adapters = ["dye"]
replicas_per_domain = 2
[[service]]
name = "flag-assistant"
checks_fencing = true
[[service]]
name = "registry"
kind = "plain"
unrepeatable_routes = ["POST /certificates"]
first_token_target_ms = 900
token_gap_target_ms = 20
[[workspace]]
name = "judges"
key_digests = [")"
            + digest + R"("]
worth = 2.5
max_in_flight = 8
)");
    const Configuration expected {
        .requestId = "r",
        .author = "amaya",
        .services = { { .name = "flag-assistant", .checksFencing = true },
            { "registry", Service::Kind::Plain, false, { "POST /certificates" }, 900, 20 } },
        .models = { { "flag", "flag-assistant", "v1", { "dye" }, 2 } },
        .workspaces = { { "judges", { digest }, 2.5, 8 } },
    };
    REQUIRE_CALL(first, apply(expected, 0)).RETURN(1);
    CHECK(run({ "apply", path, "--expect=0", "--author=amaya", "--request_id=r" }) == 0);
}

// Guards against a job with malformed items that is accepted and fails hours later.
TEST_CASE_METHOD(ToolFixture, "job submit checks every item before it sends the job")
{
    const std::string item = R"({"custom_id":"a","method":"POST","url":"/v1/completions","body":{}})"
                             "\n";
    const std::string path = writeFile("items.jsonl", item);
    const JobSubmission expected {
        .id = "j", .workspace = "w", .items = item, .unrepeatable = true, .completionWindow = Milliseconds { 5 }
    };
    REQUIRE_CALL(first, submitJob(expected)).RETURN(JobView { .id = "j" });
    CHECK(run({ "job", "submit", path, "--workspace=w", "--id=j", "--unrepeatable", "--completion_window_ms=5",
              "--json" })
        == 0);
    CHECK(outJson()["job"][u"state"_s].toString() == "in_progress");

    CHECK(run({ "job", "submit", path }) == 2);
    const std::string bad = writeFile("bad.jsonl", item + "{\n" + item + "{\"custom_id\":\"b\",\"body\":1}\n");
    CHECK(run({ "job", "submit", bad, "--workspace=w" }) == 2);
    CHECK_THAT(err(),
        Catch::Contains("bad.jsonl:2: found ") && Catch::Contains("bad.jsonl:3: custom_id: found \"a\" a second time")
            && Catch::Contains("bad.jsonl:4: method: found no text")
            && Catch::Contains("bad.jsonl:4: body: found no object"));
    CHECK(run({ "job", "submit", writeFile("empty.jsonl", ""), "--workspace=w" }) == 2);
}

// Guards against results that are printed twice, omitted, or waited for after the job was cancelled.
TEST_CASE_METHOD(ToolFixture, "job results prints every page and waits for the end of the job only with --wait")
{
    trompeloeil::sequence order;
    SECTION("without --wait it prints the available results")
    {
        REQUIRE_CALL(first, jobResults("j", 0, _)).IN_SEQUENCE(order).RETURN(ResultPage { { "1", "2" }, 2, false });
        REQUIRE_CALL(first, jobResults("j", 2, _)).IN_SEQUENCE(order).RETURN(ResultPage { {}, 2, false });
        CHECK(run({ "job", "results", "j" }) == 0);
        CHECK(out() == "1\n2\n");
        CHECK(sleeps == 0);
    }
    SECTION("with --wait it continues until the job is complete")
    {
        REQUIRE_CALL(first, jobResults("j", 0, _)).IN_SEQUENCE(order).RETURN(ResultPage { {}, 0, false });
        REQUIRE_CALL(first, jobStatus("j")).IN_SEQUENCE(order).RETURN(JobView {});
        REQUIRE_CALL(first, jobResults("j", 0, _)).IN_SEQUENCE(order).RETURN(ResultPage { { "1" }, 1, true });
        CHECK(run({ "job", "results", "j", "--wait", "--json" }) == 0);
        CHECK(out() == "{\"results\":[1],\"complete\":true}\n");
        CHECK(sleeps == 1);
    }
    SECTION("with --wait it ends when the job was cancelled")
    {
        REQUIRE_CALL(first, jobResults("j", 0, _)).RETURN(ResultPage { {}, 0, false });
        REQUIRE_CALL(first, jobStatus("j")).RETURN(JobView { .state = JobView::State::Cancelled });
        CHECK(run({ "job", "results", "j", "--wait" }) == 1);
        CHECK_THAT(err(), Catch::StartsWith("chicorydock: cancelled: "));
    }
}

// Guards against a system status that omits nodes or fails because of one node.
TEST_CASE_METHOD(ToolFixture, "status shows all nodes and lists those that do not respond")
{
    ALLOW_CALL(first, status()).RETURN(NodeStatus { .nodeId = "n1" });
    ALLOW_CALL(second, status()).RETURN(NodeStatus { .nodeId = "n2" });
    CHECK(run({ "status" }) == 0);
    CHECK_THAT(out(), Catch::Contains("n1") && Catch::Contains("n2"));
    isSecondReachable = false;
    CHECK(run({ "status" }) == 0);
    CHECK_THAT(err(), Catch::StartsWith("warning: no response from 127.0.0.1:2"));
    CHECK(run({ "status", "--json" }) == 0);
    CHECK(outJson()["nodes"].toArray().size() == 1);
    CHECK(outJson()["missing"][0][u"address"_s].toString() == "127.0.0.1:2");
}

// Guards against a timeline of one node only, and against terminal control sequences in identifiers set by callers.
TEST_CASE_METHOD(ToolFixture, "the timeline merges the events of all nodes")
{
    Event hostile = eventAt(6, "n2");
    hostile.id = "\x1b[2J";
    ALLOW_CALL(first, timeline("j", 2)).RETURN(std::vector { eventAt(5, "n1"), eventAt(7, "n1") });
    ALLOW_CALL(second, timeline("j", 2)).RETURN(std::vector { hostile });
    CHECK(run({ "timeline", "j", "--limit=2", "--json" }) == 0);
    CHECK(outJson()["events"].toArray().size() == 2);
    CHECK(outJson()["events"][0][u"wall_ms"_s].toInt() == 6);
    CHECK(outJson()["events"][1][u"wall_ms"_s].toInt() == 7);
    CHECK(run({ "timeline", "j", "--limit=2" }) == 0);
    CHECK_THAT(out(), Catch::Contains("?[2J") && !Catch::Contains("\x1b"));
}

// Guards against tables that omit values that on-call engineers need.
TEST_CASE_METHOD(ToolFixture, "endpoints and history print tables and JSON")
{
    ALLOW_CALL(first, endpoints())
        .RETURN(std::vector { EndpointStatus { .id = "e1", .state = EndpointStatus::State::Leaving, .health = 0.25 } });
    CHECK(run({ "endpoints" }) == 0);
    CHECK_THAT(out(), Catch::Contains("e1") && Catch::Contains("leaving") && Catch::Contains("0.2"));
    CHECK(run({ "endpoints", "--json" }) == 0);
    CHECK(outJson()["endpoints"][0][u"health"_s].toDouble() == 0.25);

    ALLOW_CALL(first, history(200)).RETURN(std::vector { RevisionInfo { 4, "amaya", "r", fromUnixMilliseconds(0) } });
    CHECK(run({ "history" }) == 0);
    CHECK_THAT(out(), Catch::Contains("1970-01-01T00:00:00.000Z") && Catch::Contains("amaya"));
    CHECK(run({ "history", "--json" }) == 0);
    CHECK(outJson()["revisions"][0][u"revision"_s].toInt() == 4);
}

// Guards against a file of a request that is sent in another form than its author wrote.
TEST_CASE("a file of a request becomes a message with a length")
{
    CHECK(toRequestMessage("GET /a HTTP/1.1\nHost: h\n") == "GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK(toRequestMessage("POST /a HTTP/1.1\r\nHost: h\r\n\r\nhi\n")
        == "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi");
    const std::string whole = "POST /a HTTP/1.1\r\ncontent-length: 3\r\n\r\nhi\n";
    CHECK(toRequestMessage(whole) == whole);
}

// Guards against an operator who cannot tell from the output where a request goes, or why not.
TEST_CASE_METHOD(ToolFixture, "route explain prints the decision, or the refusal, and no key")
{
    const std::string file = writeFile("request", "GET /s/1 HTTP/1.1\nHost: h\nAuthorization: Bearer secret\n");
    RequestExplanation explanation { .node = "n1", .configuration = 3, .route = "r", .prefix = "/s/" };
    explanation.coordinator = "n1";
    SlotExplanation decision;
    decision.service = "lm";
    decision.endpoint = "e1";
    decision.endpoints = { { .endpoint = "e1" }, { .endpoint = "e2", .obstacle = EndpointObstacle::Full } };
    explanation.services = { { 1, decision } };
    ALLOW_CALL(first, explainRequest(_)).RETURN(explanation);
    REQUIRE(run({ "route", "explain", file }) == 0);
    CHECK_THAT(out(), Catch::Contains("starts at e1") && Catch::Contains("full") && !Catch::Contains("secret"));
    REQUIRE(run({ "route", "explain", file, "--json" }) == 0);
    CHECK(outJson()["services"][0]["endpoints"][1]["obstacle"] == "full");
    CHECK_THAT(out(), !Catch::Contains("secret"));

    explanation.refusal = Error(ErrorKind::UnknownRoute, "no route matches the request");
    ALLOW_CALL(first, explainRequest(_)).RETURN(explanation);
    REQUIRE(run({ "route", "explain", file }) == 0);
    CHECK_THAT(out(), Catch::Contains("refused with 404: no route matches the request"));

    explanation.refusal.reset();
    explanation.coordinator = "n2";
    ALLOW_CALL(first, explainRequest(_)).RETURN(explanation);
    REQUIRE(run({ "route", "explain", file }) == 0);
    CHECK_THAT(out(), Catch::Contains("node n2 allocates the slots"));
    CHECK(run({ "route", "explain", "/nowhere" }) == 2);
}

#include <LibConfiguration/ConfigurationSchema.h>
#include <LibCore/Error.h>
#include <LibOperator/OperatorClient.h>
#include <Tests/LibOperator/MockOperatorHandler.h>
#include <Tests/LibOperator/OperatorTestServer.h>

#include <QTcpServer>

using namespace Chicorydock;
using trompeloeil::_;

namespace {

const OperatorClient::Timeouts ampleTimeouts { .connect = Milliseconds { 60'000 }, .call = Milliseconds { 60'000 } };

NodeStatus someStatus()
{
    return {
        .nodeId = "n1",
        .region = "bajio",
        .failureDomain = "bajio-1",
        .revision = 7,
        .isReady = true,
        .isStopping = true,
        .isPlatformReachable = true,
        .uptime = Milliseconds { 5 },
        .members = { { "n2", "127.0.0.1:2", "noroeste", "noroeste-1", 9, MemberUpdate::State::Leaving } },
        .services = { { "flag-assistant", { 1, 2, 3, 4, 5, 6, 7 } } },
        .claimedChunks = 3,
        .holdsPlacementLease = true,
    };
}

EndpointStatus someEndpoint()
{
    return { "e1", "127.0.0.1:3", "flag-assistant", "bajio", "bajio-1", EndpointStatus::State::Unreachable, 1, 2, 3,
        0.25, 40.5, 12.5 };
}

Configuration someConfiguration()
{
    return {
        .revision = 4,
        .requestId = "r",
        .author = "amaya",
        .services = { { "registry", Service::Kind::Plain, true, { "POST /certificates" }, 900, 20 } },
        .models = { { "flag", "flag-assistant", "v2", { "dye", "sew" }, 2 } },
        .workspaces = { { "judges", { std::string(64, 'a') }, 2.5, 8 } },
    };
}

JobView someJob()
{
    return { "j1", "judges", JobView::State::Cancelling, 10, 4, 1, fromUnixMilliseconds(1'700'000'000'001),
        fromUnixMilliseconds(1'700'000'900'002) };
}

RequestExplanation someExplanation()
{
    const EndpointEvaluation evaluation { "e1", "z1", EndpointObstacle::OtherTurn,
        { 0.5, 0.02, 0.25, 0.125, 0.7, 1, -0.9 }, { 3, 2, 8, Milliseconds { 40 } } };
    SlotExplanation decision;
    decision.service = "lm";
    decision.endpoint = "e1";
    decision.refusal = RefusalReason::Quota;
    decision.retryAfter = Milliseconds { 150 };
    decision.ahead = 3;
    decision.expectedWait = Milliseconds { 20 };
    decision.expectedSlotTime = Milliseconds { 800 };
    decision.quota = QuotaView { { "acme", 5, 7 }, 1.5, 0.75, 0.25, Milliseconds { 300 } };
    decision.endpoints = { evaluation, { .endpoint = "e2" } };
    return { "n1", 9, std::nullopt, "r", "/s/", { "/u/" }, "acme", 2, 4, "n1", { { 3, decision }, {} } };
}

RequestExplanation someRefusal()
{
    RequestExplanation explanation { .node = "n1", .configuration = 9 };
    explanation.refusal = Error(ErrorKind::UnknownRoute, "no route", Milliseconds { 5 });
    explanation.workspace = "";
    return explanation;
}

Event someEvent()
{
    return { { 1'700'000'000'003, 2 }, "n1", "bajio-1", "job", "accepted", "j1", "t1", { { "items", 10 } } };
}

template <typename Call> Error errorOf(Call call)
{
    try {
        call();
    } catch (const Error& error) {
        return error;
    }
    return { ErrorKind::Internal, "no error was thrown" };
}

}

// Guards against a value that is lost, truncated or swapped in a request or response.
TEST_CASE("every call carries its parameters and results unchanged")
{
    MockOperatorHandler handler;
    const OperatorTestServer node(handler);
    OperatorClient client(node.address(), ampleTimeouts);

    SECTION("status")
    {
        REQUIRE_CALL(handler, status()).RETURN(someStatus());
        CHECK(client.status() == someStatus());
    }
    SECTION("endpoints")
    {
        REQUIRE_CALL(handler, endpoints()).RETURN(std::vector { someEndpoint(), EndpointStatus {} });
        CHECK(client.endpoints() == std::vector { someEndpoint(), EndpointStatus {} });
    }
    SECTION("apply")
    {
        REQUIRE_CALL(handler, apply(someConfiguration(), 3)).RETURN(4);
        CHECK(client.apply(someConfiguration(), 3) == 4);
    }
    SECTION("configuration")
    {
        REQUIRE_CALL(handler, configuration()).RETURN(someConfiguration());
        CHECK(client.configuration() == someConfiguration());
    }
    SECTION("history")
    {
        const RevisionInfo revision { 4, "amaya", "r", fromUnixMilliseconds(1'700'000'000'001) };
        REQUIRE_CALL(handler, history(5)).RETURN(std::vector { revision });
        CHECK(client.history(5) == std::vector { revision });
    }
    SECTION("submitJob")
    {
        const JobSubmission job { "j1", "judges", std::string("{\"a\":\"\xc3\xa9\"}\n\0x", 13), true,
            Milliseconds { 9 } };
        REQUIRE_CALL(handler, submitJob(job)).RETURN(someJob());
        CHECK(client.submitJob(job) == someJob());
    }
    SECTION("jobStatus")
    {
        REQUIRE_CALL(handler, jobStatus("j1")).RETURN(someJob());
        CHECK(client.jobStatus("j1") == someJob());
    }
    SECTION("jobResults")
    {
        const ResultPage page { { "{\"id\":1}", "" }, 12, true };
        REQUIRE_CALL(handler, jobResults("j1", 10, 2)).RETURN(page);
        CHECK(client.jobResults("j1", 10, 2) == page);
    }
    SECTION("cancelJob")
    {
        REQUIRE_CALL(handler, cancelJob("j1")).RETURN(someJob());
        CHECK(client.cancelJob("j1") == someJob());
    }
    SECTION("drain")
    {
        REQUIRE_CALL(handler, drain("e1"));
        client.drain("e1");
    }
    SECTION("timeline")
    {
        REQUIRE_CALL(handler, timeline("t1", 50)).RETURN(std::vector { someEvent() });
        CHECK(client.timeline("t1", 50) == std::vector { someEvent() });
    }
    SECTION("explanation of a request")
    {
        const RequestExplanation explanation = GENERATE(someExplanation(), RequestExplanation {}, someRefusal());
        REQUIRE_CALL(handler, explainRequest("GET / HTTP/1.1\r\n\r\n")).RETURN(explanation);
        CHECK(client.explainRequest("GET / HTTP/1.1\r\n\r\n") == explanation);
    }
}

// Guards against an operator who cannot distinguish a conflicting change from a fault of the node.
TEST_CASE("an error of the node keeps its kind and message")
{
    MockOperatorHandler handler;
    const OperatorTestServer node(handler);
    OperatorClient client(node.address(), ampleTimeouts);
    const Error conflict { ErrorKind::Conflict, "current revision: 8" };
    REQUIRE_CALL(handler, apply(_, _)).THROW(Error { conflict });
    CHECK(errorOf([&] { client.apply({}, 7); }) == conflict);
    CHECK_FALSE(client.hasLostConnection());

    REQUIRE_CALL(handler, drain(_)).THROW(std::runtime_error("boom: x"));
    CHECK(errorOf([&] { client.drain("e1"); }) == Error { ErrorKind::Internal, "boom: x" });
}

// Guards against jobs of a supported size that fail at Cap'n Proto's default limit of 64 MiB for one message.
TEST_CASE("a job larger than 64 MiB is submitted whole")
{
    MockOperatorHandler handler;
    const OperatorTestServer node(handler);
    OperatorClient client(node.address(), ampleTimeouts);
    const JobSubmission job { .id = "large", .workspace = "w", .items = std::string(70 * 1024 * 1024, 'x') };
    REQUIRE_CALL(handler, submitJob(_)).WITH(_1 == job).RETURN(JobView {});
    client.submitJob(job);
}

// Guards against a caller that makes the node build a response of unlimited size.
TEST_CASE("the node bounds the size of its responses")
{
    MockOperatorHandler handler;
    const OperatorTestServer node(handler);
    OperatorClient client(node.address(), ampleTimeouts);
    REQUIRE_CALL(handler, history(10'000)).RETURN(std::vector<RevisionInfo> {});
    REQUIRE_CALL(handler, jobResults(_, 0, 10'000)).RETURN(ResultPage {});
    REQUIRE_CALL(handler, timeline(_, 100'000)).RETURN(std::vector<Event> {});
    client.history(UINT32_MAX);
    client.jobResults("j", 0, UINT32_MAX);
    client.timeline("", UINT32_MAX);
}

// Guards against a command that hangs on a node that accepts connections but does not respond.
TEST_CASE("a node that accepts a connection and never responds is reported as not ready")
{
    QTcpServer server;
    REQUIRE(server.listen(QHostAddress::LocalHost));
    const std::string address = "127.0.0.1:" + std::to_string(server.serverPort());
    const OperatorClient::Timeouts brief { .connect = Milliseconds { 20 }, .call = Milliseconds { 20 } };
    const Error error = errorOf([&] { OperatorClient(address, brief); });
    CHECK(error.kind() == ErrorKind::NotReady);
    CHECK_THAT(error.message(), Catch::StartsWith("node " + address + " did not answer: "));
}

// Guards against a change reported as not made although the node may still make it.
TEST_CASE("a call that times out after it was sent has an unknown outcome only if it changes something")
{
    MockOperatorHandler handler;
    std::promise<void> released;
    const std::shared_future<void> release = released.get_future().share();
    ALLOW_CALL(handler, cancelJob(_)).LR_SIDE_EFFECT(release.wait()).RETURN(JobView {});
    ALLOW_CALL(handler, jobStatus(_)).LR_SIDE_EFFECT(release.wait()).RETURN(JobView {});
    // Declared last, because its destructor waits for the calls that the expectations above serve.
    const OperatorTestServer node(handler);
    OperatorClient client(node.address(), { .connect = Milliseconds { 60'000 }, .call = Milliseconds { 20 } });
    CHECK(errorOf([&] { client.cancelJob("j"); }).kind() == ErrorKind::OutcomeUnknown);
    CHECK(client.hasLostConnection());
    CHECK(errorOf([&] { client.jobStatus("j"); }).kind() == ErrorKind::NotReady);
    released.set_value();
}

// Guards against a refused connection that looks like an internal error.
TEST_CASE("a node that does not listen is reported as not ready")
{
    QTcpServer server;
    REQUIRE(server.listen(QHostAddress::LocalHost));
    const std::string address = "127.0.0.1:" + std::to_string(server.serverPort());
    server.close();
    CHECK(errorOf([&] { OperatorClient(address, ampleTimeouts); }).kind() == ErrorKind::NotReady);
}

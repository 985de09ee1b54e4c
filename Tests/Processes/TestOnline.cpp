#include "TestSystem.h"

#include <Tests/Support/WaitFor.h>
#include <catch2/catch.hpp>

#include <QJsonArray>
#include <QJsonDocument>

using namespace Chicorydock;

namespace {

std::string textOf(const TestCall& call)
{
    return call.json().value("choices").toArray().at(0).toObject().value("text").toString().toStdString();
}

/// Returns the text of a streamed response, or nothing if it did not end with `[DONE]`.
std::optional<std::string> streamedText(const TestCall& call)
{
    if (!call.isFinished() || !call.response().body.endsWith("data: [DONE]\n\n"))
        return {};
    std::string text;
    for (const QByteArray& event : call.response().body.split('\n')) {
        if (!event.startsWith("data: {"))
            continue;
        const QJsonObject object = QJsonDocument::fromJson(event.mid(6)).object();
        text += object.value("choices").toArray().at(0).toObject().value("text").toString().toStdString();
    }
    return text;
}

}

// Guards against components that work alone but not together, on the path from the caller through the entry node to the
// endpoint and back.
TEST_CASE("requests are served from end to end by separate processes")
{
    TestSystem system;
    const std::string engine = system.addEngine();
    const std::string ledger = system.addService();
    const std::string first = system.addNode();
    const std::string second = system.addNode();
    system.waitUntilReady(first, 1);
    system.waitUntilReady(second, 1);

    const auto plain = system.post(first, "/v1/completions", TestSystem::completion("hello"));
    REQUIRE(plain->wait().status() == 200);
    CHECK_FALSE(textOf(*plain).empty());
    const auto streamed = system.post(second, "/v1/completions", TestSystem::completion("hello", 8, true));
    CHECK(streamedText(streamed->wait()) == textOf(*plain));
    const auto service = system.post(first, "/services/ledger/rules", {});
    CHECK(service->wait().status() == 200);
    CHECK(system.call(second, "GET", "/v1/models")->wait().json().value("data").toArray().size() == 1);
}

// Guards against bad input that makes a running node return the wrong error kind, is forwarded to an endpoint, or
// crashes the node.
TEST_CASE("a running node responds to bad input with the matching error kind and keeps serving")
{
    TestSystem system;
    const std::string engine = system.addEngine();
    const std::string node = system.addNode();
    system.waitUntilReady(node, 1);
    const QByteArray tooLarge(9 * 1024 * 1024, 'x');
    struct Row {
        QByteArray method;
        QByteArray target;
        QByteArray body;
        const char* kind;
    };
    const Row rows[] = {
        { "POST", "/v1/completions", "{\"model\":", "malformed_request" },
        { "POST", "/v1/completions", "{\"model\":\"other\",\"prompt\":\"x\"}", "unknown_model" },
        { "POST", "/v1/completions", tooLarge, "body_too_large" },
        { "POST", "/v1/unknown", "{}", "unknown_route" },
        { "DELETE", "/v1/models", "", "unsupported_method" },
        { "POST", "/services/unknown/x", "{}", "unknown_service" },
        { "GET", "/v1/batches/unknown", "", "not_found" },
    };
    for (const Row& row : rows) {
        INFO(row.kind);
        const auto call = system.call(node, row.method, row.target, row.body);
        CHECK(call->wait().errorKind() == row.kind);
        CHECK(call->json().value("error").toObject().value("not_run").toBool());
    }
    CHECK(system.counters(engine).value("arrivals").toInt() == 0);
    CHECK(system.post(node, "/v1/completions", TestSystem::completion("x"))->wait().status() == 200);
}

// Guards against a stream that loses or repeats a token when its endpoint dies.
TEST_CASE("a repeatable stream survives the loss of its endpoint")
{
    TestSystem system;
    const std::string a = system.addEngine("d1", { "--base_gap_ms=20" });
    const std::string node = system.addNode();
    system.waitUntilReady(node, 1);
    const auto expected = system.post(node, "/v1/completions", TestSystem::completion("long", 60));
    REQUIRE(expected->wait().status() == 200);

    const std::string b = system.addEngine("d1", { "--base_gap_ms=20" });
    system.waitUntilReady(node, 2);
    std::vector<std::unique_ptr<TestCall>> calls;
    for (int n = 0; n < 8; ++n)
        calls.push_back(system.post(node, "/v1/completions", TestSystem::completion("long", 60, true)));
    REQUIRE(waitFor([&] {
        return system.counters(a).value("running").toInt() > 0 && system.counters(b).value("running").toInt() > 0;
    }));
    system.process(a).kill();
    for (const auto& call : calls) {
        call->wait();
        INFO(call->status() << ' ' << call->response().body.right(300).toStdString());
        CHECK(streamedText(*call) == textOf(*expected));
    }
}

// Guards against upstream work that continues after its caller has disconnected, and against a crash of the node.
TEST_CASE("work of callers that disconnect early is cancelled, and the node keeps serving")
{
    TestSystem system;
    const std::string engine = system.addEngine("d1", { "--base_gap_ms=20" });
    const std::string node = system.addNode();
    system.waitUntilReady(node, 1);
    std::vector<std::unique_ptr<TestCall>> calls;
    for (int n = 0; n < 4; ++n)
        calls.push_back(system.post(node, "/v1/completions", TestSystem::completion("x", 2000, n % 2 == 0)));
    REQUIRE(waitFor([&] { return system.counters(engine).value("running").toInt() == 4; }));
    calls.clear();
    CHECK(waitFor([&] { return system.counters(engine).value("cancelled").toInt() == 4; }));
    CHECK(system.post(node, "/v1/completions", TestSystem::completion("x"))->wait().status() == 200);
}

// Guards against marking endpoints as failed, or losing requests, when open connections stop responding while new ones
// work.
TEST_CASE("a request whose connection goes silent completes over a new one")
{
    TestSystem system;
    const std::string engine = system.addEngine("d1", { "--base_gap_ms=20" });
    const std::string node = system.addNode();
    system.waitUntilReady(node, 1);
    const auto expected = system.post(node, "/v1/completions", TestSystem::completion("x", 100));
    REQUIRE(expected->wait().status() == 200);
    const auto call = system.post(node, "/v1/completions", TestSystem::completion("x", 100, true));
    REQUIRE(waitFor([&] { return call->response().body.count("data: ") > 3; }));
    system.control(engine, { { "silence", "open" } });
    CHECK(streamedText(call->wait()) == textOf(*expected));
}

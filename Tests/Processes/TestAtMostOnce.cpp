#include "TestSystem.h"

#include <Tests/Support/WaitFor.h>
#include <catch2/catch.hpp>

using namespace Chicorydock;

namespace {

/// Two nodes that serve one plain service whose route for certificates is unrepeatable.
struct LedgerSystem {
    TestSystem system;
    std::string ledger = system.addService();
    std::string first = system.addNode();
    std::string second = system.addNode();
    int lastKey { 0 };

    LedgerSystem()
    {
        for (const std::string& node : { first, second }) {
            system.waitUntilReady(node, 0);
            REQUIRE(waitFor([&] { return issue(node, "probe-" + node)->wait().status() == 200; }));
        }
    }

    std::string newKey() { return "key-" + std::to_string(++lastKey); }

    /// Requests a certificate from a node. The key is also the call's id at the service, which counts arrivals by id.
    std::unique_ptr<TestCall> issue(
        const std::string& node, const std::string& key, const HttpHeaders& extraHeaders = {})
    {
        HttpHeaders headers = extraHeaders;
        headers.add("Idempotency-Key", QByteArray::fromStdString(key));
        headers.add("X-Call-Id", QByteArray::fromStdString(key));
        return system.post(node, "/services/ledger/certificates", {}, headers);
    }

    int arrivals(const std::string& key)
    {
        const QJsonObject byId = system.counters(ledger).value("calls_by_id").toObject();
        return byId.value(QString::fromStdString(key)).toInt();
    }
};

}

// Guards against a second certificate, and against a wrong response, when the service closes the connection.
TEST_CASE("an unrepeatable call runs once whatever the service does with its connection")
{
    LedgerSystem it;
    for (const char* moment : { "before", "during", "after" }) {
        INFO(moment);
        const std::string key = it.newKey();
        it.system.control(it.ledger, { { "close", moment }, { "close_count", 1 } });
        const auto first = it.issue(it.first, key);
        first->wait();
        const bool hasSucceeded = first->status() == 200;
        CHECK((hasSucceeded || first->errorKind() == "may_have_run"));
        for (const std::string& node : { it.first, it.second }) {
            std::unique_ptr<TestCall> resend;
            // The record of the outcome is written after the response, so a resent call may arrive before it.
            REQUIRE(waitFor([&] {
                resend = it.issue(node, key);
                resend->wait();
                return resend->errorKind() != "call_in_progress";
            }));
            CHECK(resend->status() == first->status());
            CHECK((!hasSucceeded || resend->response().body == first->response().body));
        }
        CHECK(it.arrivals(key) == 1);
    }
}

// Guards against a call that is sent again because its connection stopped responding.
TEST_CASE("an unrepeatable call on a silent connection may have run and is not sent again")
{
    LedgerSystem it;
    const std::string key = it.newKey();
    it.system.control(it.ledger, { { "silence", "open" } });
    const auto call = it.issue(it.first, key, { { "X-Request-Deadline-Ms", "1500" } });
    call->wait();
    it.system.control(it.ledger, { { "silence", "none" } });
    CHECK((call->status() == 200 || call->errorKind() == "may_have_run"));
    CHECK(it.arrivals(key) <= 1);
    it.issue(it.second, key)->wait();
    CHECK(it.arrivals(key) <= 1);
}

// Guards against a second run when the node dies while the service executes the call, and the client resends it to
// another node.
TEST_CASE("an unrepeatable call whose node is killed is not run again by another node")
{
    LedgerSystem it;
    const std::string key = it.newKey();
    it.system.control(it.ledger, { { "delay_ms", 60'000 } });
    const auto call = it.issue(it.first, key, { { "X-Request-Deadline-Ms", "2000" } });
    REQUIRE(waitFor([&] { return it.arrivals(key) == 1; }));
    it.system.process(it.first).kill();
    call->wait();
    CHECK_FALSE(call->isFinished());
    it.system.control(it.ledger, { { "delay_ms", 0 } });
    std::unique_ptr<TestCall> resend;
    REQUIRE(waitFor([&] {
        resend = it.issue(it.second, key);
        resend->wait();
        return resend->errorKind() != "call_in_progress";
    }));
    CHECK(resend->errorKind() == "may_have_run");
    CHECK(it.arrivals(key) == 1);
}

// Guards against a call that runs although its record could not be written, and against an error that wrongly states
// that the call has not run.
TEST_CASE("an unrepeatable call with a key does not run while the store is down")
{
    LedgerSystem it;
    const std::string key = it.newKey();
    it.system.control({}, { { "outage", true } });
    const auto call = it.issue(it.first, key);
    CHECK(call->wait().errorKind() == "platform_unavailable");
    CHECK(call->json().value("error").toObject().value("not_run").toBool());
    CHECK(call->response().headers.find("Retry-After"));
    CHECK(it.arrivals(key) == 0);
    it.system.control({}, { { "outage", false } });
    REQUIRE(waitFor([&] { return it.issue(it.second, key)->wait().status() == 200; }));
    CHECK(it.arrivals(key) == 1);
}

// Guards against two runs when two nodes receive the same call at the same time, and responses of the store are lost.
TEST_CASE("the same call at two nodes runs once, even if responses of the store are lost")
{
    LedgerSystem it;
    it.system.control({}, { { "lost_share", 0.5 }, { "seed", 3 } });
    std::vector<std::string> keys;
    std::vector<std::unique_ptr<TestCall>> calls;
    for (int n = 0; n < 30; ++n) {
        keys.push_back(it.newKey());
        calls.push_back(it.issue(it.first, keys.back()));
        calls.push_back(it.issue(it.second, keys.back()));
    }
    for (const auto& call : calls)
        call->wait();
    for (const std::string& key : keys)
        CHECK(it.arrivals(key) <= 1);
}

#include <platform/PlatformRowStore.h>

#include <LibHTTP/PooledHttpClient.h>
#include <Tests/Support/FakeHttpClient.h>
#include <Tests/Support/ScriptedServer.h>
#include <Tests/Support/SimulatedEventLoop.h>
#include <Tests/Support/WaitFor.h>
#include <catch2/catch.hpp>

using namespace Chicorydock;

namespace {

QByteArray answer(int status, const QByteArray& body = "{}")
{
    return "HTTP/1.1 " + QByteArray::number(status) + " Status\r\nContent-Length: " + QByteArray::number(body.size())
        + "\r\n\r\n" + body;
}

/// A store that sends the same reply to each call, or closes the connection if the reply is empty.
struct StoreFixture {
    explicit StoreFixture(QByteArray reply)
        : m_reply(std::move(reply))
    {
    }

    ScriptedServer server { [this](QTcpSocket& socket, const QByteArray&) {
        if (m_reply.isEmpty())
            socket.disconnectFromHost();
        else
            socket.write(m_reply);
    } };
    PooledHttpClient client;
    PlatformRowStore store { client, server.address(), Milliseconds { 1'000 } };

    StoreResult<RowCommit> commit(const RowTransaction& transaction = {})
    {
        std::optional<StoreResult<RowCommit>> result;
        store.commit(transaction, [&](const StoreResult<RowCommit>& it) { result = it; });
        REQUIRE(waitFor([&] { return result.has_value(); }));
        return *result;
    }

    StoreResult<RowPage> changes()
    {
        std::optional<StoreResult<RowPage>> result;
        store.changes("t", 5, Milliseconds { 50 }, [&](const StoreResult<RowPage>& it) { result = it; });
        REQUIRE(waitFor([&] { return result.has_value(); }));
        return *result;
    }

private:
    QByteArray m_reply;
};

StoreFailure::Kind failureOf(const StoreResult<RowCommit>& result)
{
    REQUIRE(std::holds_alternative<StoreFailure>(result));
    return std::get<StoreFailure>(result).kind;
}

}

// Guards against a transaction that the store decodes differently, and against a commit version that is lost.
TEST_CASE("a transaction is sent completely and the version of its commit is returned")
{
    StoreFixture fixture(answer(200, R"({"ver":412,"now_ms":51230})"));
    const auto result = fixture.commit(
        { { { { "my", "p7", "owner" }, 3 } }, { { { "my", "p7", "owner" }, "node-1" } }, { { "my", "p7", "old" } } });
    CHECK(std::get<RowCommit>(result) == RowCommit { true, 412, {} });
    CHECK(fixture.server.received().contains("POST /api/rows-tx HTTP/1.1\r\n"));
    CHECK(fixture.server.received().contains(R"("expected_rev":[{"key":"owner","part":"p7","table":"my","ver":3}])"));
    CHECK(
        fixture.server.received().contains(R"("puts":[{"key":"owner","part":"p7","table":"my","value":"bm9kZS0x"}])"));
    CHECK(fixture.server.received().contains(R"("delete":[{"key":"old","part":"p7","table":"my"}])"));
    CHECK(fixture.store.time() >= Milliseconds { 51'230 });
}

// Guards against a commit that a broken response reports, and against one that is taken for not executed.
TEST_CASE("a broken response leaves the outcome of a transaction unknown, and gives no rows")
{
    const QByteArray body = R"({"ver":412,"now_ms":51230,"rows":[]})";
    const QByteArray sized = "Content-Length: " + QByteArray::number(body.size()) + "\r\n\r\n" + body;
    const QByteArray reply = GENERATE_COPY(as<QByteArray> {}, "HTTP/1.1 000 OK\r\n" + sized,
        "HTTP/2.0 200 OK\r\n" + sized, "HTTP/1.1 200 OK\r\nX Name: value\r\n" + sized,
        "HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\n" + sized, "HTTP/1.1 503 Busy\r\nno field\r\n" + sized,
        "HTTP/1.1 429 Busy\r\n folded\r\n" + sized, "HTTP/1.1 412 No\r\nTransfer-Encoding: chunke\r\n\r\n" + body);
    CAPTURE(reply.toStdString());
    StoreFixture fixture(reply);
    CHECK(failureOf(fixture.commit()) == StoreFailure::Kind::OutcomeUnknown);
    CHECK(std::holds_alternative<StoreFailure>(fixture.changes()));
    CHECK(fixture.server.connections() == 2);
}

// Guards against a conflict that is mistaken for an outage.
TEST_CASE("a condition that does not hold gives a result with the current rows")
{
    StoreFixture fixture(
        answer(412, R"({"rows":[{"table":"my","part":"p","key":"k","value":"eA==","ver":9}],"ver":20,"now_ms":1})"));
    const auto result = fixture.commit();
    CHECK(std::get<RowCommit>(result) == RowCommit { false, 20, { { { "my", "p", "k" }, "x", 9, false } } });
}

// Guards against reporting a write as not done that may have been executed.
TEST_CASE("only a refusal by the store or a refused connection means that a write was not done")
{
    CHECK(failureOf(StoreFixture(answer(503)).commit()) == StoreFailure::Kind::NotExecuted);
    CHECK(failureOf(StoreFixture(answer(429)).commit()) == StoreFailure::Kind::NotExecuted);
    CHECK(failureOf(StoreFixture(answer(500)).commit()) == StoreFailure::Kind::OutcomeUnknown);
    CHECK(failureOf(StoreFixture("").commit()) == StoreFailure::Kind::OutcomeUnknown);
}

// Guards against waiting forever for a feed whose connection stays open but delivers nothing.
TEST_CASE("a feed that does not answer ends with a failure")
{
    StoreFixture fixture("HTTP/1.1 200 OK\r\n");
    CHECK(std::holds_alternative<StoreFailure>(fixture.changes()));
}

// Guards against missing the removal of rows or the loss of the change history.
TEST_CASE("a feed reports removed rows and the loss of its history")
{
    StoreFixture fixture(
        answer(200, R"({"rows":[{"table":"t","part":"","key":"k","ver":7,"deleted":true}],"ver":8,"now_ms":1})"));
    const auto page = std::get<RowPage>(fixture.changes());
    REQUIRE(page.rows.size() == 1);
    CHECK(page.rows[0].isRemoved);
    CHECK(page.storeVersion == 8);
    StoreFixture lost(answer(410));
    CHECK(std::get<StoreFailure>(lost.changes()).kind == StoreFailure::Kind::HistoryLost);
}

// Guards against a configuration of 1,400 routes that a node never receives: over a link that all nodes of a region
// share, the response takes longer than a call may be silent, and a node that gives up starts again from nothing.
TEST_CASE("a response that keeps arriving is received, and one that stops arriving fails")
{
    const bool stops = GENERATE(true, false);
    std::optional<StoreResult<RowPage>> result;
    runOnSimulatedTime([&](SimulatedEventLoop& loop) {
        FakeHttpClient client;
        PlatformRowStore store(client, "10.0.0.1:80", Milliseconds { 700 });
        store.changes("t", 5, Milliseconds { 1'200 }, [&](const StoreResult<RowPage>& it) { result = it; });
        client.handOver();
        loop.advance(Milliseconds { 1'800 });
        client.headers(200, {});
        const QByteArray body = "{\"rows\":[],\"ver\":9,\"now_ms\":5,\"more_pages\":false}";
        for (qsizetype n = 0; n + 10 < body.size(); n += 10) {
            client.data(body.mid(n, 10));
            loop.advance(Milliseconds { 600 });
        }
        CHECK_FALSE(result);
        if (stops) {
            loop.advance(Milliseconds { 200 });
        } else {
            client.data(body.mid((body.size() - 1) / 10 * 10));
            client.finish();
        }
    });
    REQUIRE(result);
    CHECK(std::holds_alternative<RowPage>(*result) != stops);
}

// Guards against a call that never ends because its response arrives in drops.
TEST_CASE("a response that arrives too slowly fails in the end")
{
    std::optional<StoreResult<RowPage>> result;
    runOnSimulatedTime([&](SimulatedEventLoop& loop) {
        FakeHttpClient client;
        PlatformRowStore store(client, "10.0.0.1:80", Milliseconds { 700 });
        store.changes("t", 5, Milliseconds { 1'200 }, [&](const StoreResult<RowPage>& it) { result = it; });
        client.handOver();
        client.headers(200, {});
        for (int n = 0; n < 100 && !result; ++n) {
            client.data(" ");
            loop.advance(Milliseconds { 500 });
        }
    });
    REQUIRE(result);
    CHECK(std::holds_alternative<StoreFailure>(*result));
}

// Guards against endpoints and jobs that are given up, and calls without a pause, because a response cannot be read.
TEST_CASE("a page that cannot be read is a failure, not an empty page")
{
    const auto body = GENERATE(as<QByteArray>(), "", "no json", "[]", R"({"rows":{},"ver":8})", R"({"rows":5,"ver":8})",
        R"({"rows":[],"ver":"8"})", R"({"rows":[],"ver":-1})", R"({"rows":[],"ver":1e300})",
        R"({"rows":[],"ver":8,"x":)" + QByteArray("[").repeated(5'000) + QByteArray("]").repeated(5'000) + "}");
    CAPTURE(body.left(60).toStdString());
    StoreFixture fixture(answer(200, body));
    const auto result = fixture.changes();
    REQUIRE(std::holds_alternative<StoreFailure>(result));
    CHECK(std::get<StoreFailure>(result).kind == StoreFailure::Kind::OutcomeUnknown);
}

// Guards against a node that goes on with a version of a row that the store did not state.
TEST_CASE("a commit whose response cannot be read has an unknown outcome")
{
    CHECK(failureOf(StoreFixture(answer(200, "no json")).commit()) == StoreFailure::Kind::OutcomeUnknown);
    CHECK(failureOf(StoreFixture(answer(200, "{}")).commit()) == StoreFailure::Kind::OutcomeUnknown);
    CHECK(failureOf(StoreFixture(answer(200, R"({"ver":"412"})")).commit()) == StoreFailure::Kind::OutcomeUnknown);
    CHECK(failureOf(StoreFixture(answer(412, "no json")).commit()) == StoreFailure::Kind::OutcomeUnknown);
}

// Guards against an odd row that hides the others, or that counts as the row without a key.
TEST_CASE("rows whose key or version cannot be read are left out")
{
    StoreFixture fixture(answer(200, R"({"rows":[{"table":"t","part":"","key":7,"value":"eA==","ver":3},
        {"table":"t","part":"","value":"eA==","ver":3}, {"table":"t","part":"","key":"a","value":"eA==","ver":"3"},
        {"table":"t","part":"","key":"b","value":"eA==","ver":-1}, {"table":"t","part":"","key":"c","value":"eA=="},
        {"table":"t","part":"","key":"d","value":"eA==","ver":1e300}, 5, null, [[[]]],
        {"table":"t","part":"","key":"e","value":{"x":1},"ver":4},
        {"table":"t","part":"","key":"f","value":"?!?","ver":5},
        {"table":"t","part":"","key":"g","value":"eA==","ver":6}],"ver":8,"now_ms":1e300})"));
    const auto page = std::get<RowPage>(fixture.changes());
    CHECK(page.rows
        == std::vector<StoredRow> {
            { { "t", "", "e" }, "", 4 }, { { "t", "", "f" }, "", 5 }, { { "t", "", "g" }, "x", 6 } });
    CHECK(page.storeVersion == 8);
    CHECK_FALSE(fixture.store.time());
}

// Guards against a node that accepts no jobs because the store states its time with a fraction.
TEST_CASE("the time of the store may have a fraction")
{
    StoreFixture fixture(answer(200, R"({"rows":[],"ver":8,"now_ms":51230.5})"));
    fixture.changes();
    REQUIRE(fixture.store.time());
    CHECK(*fixture.store.time() >= Milliseconds { 51'230 });
    CHECK(*fixture.store.time() < Milliseconds { 51'230 } + std::chrono::minutes { 5 });
}

// Guards against a store, or what has its address, that sends a response without end.
TEST_CASE("a response of the store that has no end is a failure")
{
    FakeHttpClient client;
    PlatformRowStore store(client, "10.0.0.1:1", Milliseconds { 1'000 });
    store.read({ "t", "", "", "" }, [](const StoreResult<RowPage>&) {});
    store.changes("t", 5, Milliseconds { 50 }, [](const StoreResult<RowPage>&) {});
    store.commit({}, [](const StoreResult<RowCommit>&) {});
    store.getObject("o", [](const StoreResult<QByteArray>&) {});
    REQUIRE(client.count() == 4);
    for (size_t n = 0; n < client.count(); ++n)
        CHECK(client.call(n).request.maxAnswerBytes.value_or(0) > 0);
}

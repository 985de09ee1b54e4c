#include <Tests/Soak/Judge.h>
#include <catch2/catch.hpp>

using namespace Chicorydock;

namespace {

SoakNode::Life stoppedLife() { return { .startedAt = 1, .terminatedAt = 10'000, .endedAt = 17'000 }; }

/// A stream that is cut in the middle, 7 s after SIGTERM.
Exchange cutStream()
{
    return { .request = { .kind = RequestKind::Stream, .id = "a", .size = 30, .delayMs = 100, .deadlineMs = 5'000 },
        .sentAt = 14'000,
        .endedAt = 17'000,
        .end = ExchangeEnd::Closed,
        .status = 200 };
}

Run runOfIt(Run::End end = Run::End::CallerClosed)
{
    return { .endpoint = "e", .id = "a", .path = "/stream/a", .beganAt = 14'010, .endedAt = 17'000, .end = end };
}

Verdict judged(const Exchange& exchange, const std::vector<Run>& runs, const SoakNode::Life& life = stoppedLife())
{
    const Judge judge({ { life } },
        { { RequestKind::Stream, 5'000 }, { RequestKind::Repeatable, 1'500 }, { RequestKind::Unrepeatable, 4'000 } });
    return judge.judge({ exchange }, runs);
}

bool finds(const Verdict& verdict, const std::string& rule)
{
    return std::ranges::any_of(verdict.findings, [&](const std::string& it) { return it.starts_with(rule); });
}

}

TEST_CASE("a request that was passed on and cut around a planned stop is lost unless the rules excuse it")
{
    CHECK(finds(judged(cutStream(), { runOfIt() }), "LOST around SIGTERM"));
    SECTION("the time limit was reached")
    {
        Exchange exchange = cutStream();
        exchange.sentAt = 12'000;
        CHECK(judged(exchange, { runOfIt() }).findings.empty());
        exchange.sentAt = 12'001;
        CHECK(judged(exchange, { runOfIt() }).findings.empty()); // It was sent soon after SIGTERM.
        exchange.endedAt = 16'600;
        Run run = runOfIt();
        run.endedAt = 16'600;
        CHECK(finds(judged(exchange, { run }), "LOST around SIGTERM"));
    }
    SECTION("the endpoint broke off") { CHECK(judged(cutStream(), { runOfIt(Run::End::BrokenOff) }).findings.empty()); }
    SECTION("an unplanned disruption")
    {
        SoakNode::Life life = stoppedLife();
        life.disruptions = { 11'000 };
        CHECK(judged(cutStream(), { runOfIt() }, life).findings.empty());
        life.disruptions = { 10'999 };
        CHECK(finds(judged(cutStream(), { runOfIt() }, life), "LOST around SIGTERM"));
    }
    SECTION("later than 1 s after the grace time")
    {
        Exchange exchange = cutStream();
        exchange.sentAt = 18'000;
        exchange.endedAt = 19'001;
        CHECK(judged(exchange, { runOfIt() }).findings.empty());
    }
}

TEST_CASE("a request that was not passed on is lost only if it had been read and was held")
{
    Exchange exchange = cutStream();
    exchange.status = 0;
    exchange.sentAt = 16'799;
    CHECK(finds(judged(exchange, {}), "LOST around SIGTERM"));
    exchange.sentAt = 16'800;
    CHECK(judged(exchange, {}).findings.empty());
    exchange.sentAt = 14'000;
    exchange.end = ExchangeEnd::Reset;
    CHECK(judged(exchange, {}).findings.empty());
}

TEST_CASE("answers that break a promise or belong to another request are found")
{
    Exchange exchange = cutStream();
    exchange.end = ExchangeEnd::Whole;
    CHECK(judged(exchange, { runOfIt() }).findings.empty());
    CHECK(finds(judged(exchange, { runOfIt(), runOfIt() }), "TWICE"));
    CHECK(finds(judged(exchange, {}), "UNASKED") == false);
    Run other = runOfIt();
    other.id = "b";
    CHECK(finds(judged(exchange, { other }), "UNASKED"));
    Run altered = runOfIt();
    altered.isAltered = true;
    CHECK(finds(judged(exchange, { altered }), "UNASKED"));
    exchange.status = GENERATE(408, 421, 429, 503);
    CHECK(finds(judged(exchange, { runOfIt() }), "REFUSED"));
    CHECK_FALSE(finds(judged(exchange, {}), "REFUSED"));
    exchange.request.kind = RequestKind::Repeatable;
    CHECK(judged(exchange, { runOfIt(), runOfIt() }).findings.empty());
    exchange.bearsOtherId = true;
    CHECK(finds(judged(exchange, {}), "MIXED"));
    exchange.bearsOtherId = false;
    exchange.hasWrongBody = true;
    CHECK(finds(judged(exchange, {}), "MIXED"));
}

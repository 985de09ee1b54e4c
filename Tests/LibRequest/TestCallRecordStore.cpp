#include <LibRequest/CallRecordStore.h>

#include <LibCore/Error.h>
#include <LibPlatform/MemoryTableService.h>

#include <Tests/Support/FaultyTableService.h>
#include <Tests/Support/SeededProperty.h>
#include <Tests/Support/SimulatedClock.h>
#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <map>

using namespace Chicorydock;
using namespace std::chrono_literals;

namespace {

struct Fixture {
    SimulatedClock clock;
    MemoryTableService memory;
    FaultInjector faults { 7 };
    FaultyTableService tables { memory, faults };
    CallRecordStore store { tables, clock };
    int claimCount { 0 };

    CallClaim claim(const std::string& key, bool isUnrepeatable = true, const std::string& digest = "d")
    {
        return { "w", key, digest, isUnrepeatable, clock.wallNow() + 10s, "t" + std::to_string(++claimCount) };
    }

    ErrorKind failureOf(const CallClaim& it)
    {
        try {
            store.begin(it);
        } catch (const Error& error) {
            return error.kind();
        }
        FAIL("the call was permitted");
        return ErrorKind::Internal;
    }
};

const HttpResponse answer { 201, { { "Content-Type", "application/json" } }, "{\"certificate\":7}" };

/// Returns a generator of integers in [0, bound). At small sizes, `inRange()` alone does not generate the upper ones.
rc::Gen<int> anyBelow(int bound) { return rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, bound)); }

CallPermit permitOf(const std::variant<CallPermit, HttpResponse>& outcome)
{
    REQUIRE(std::holds_alternative<CallPermit>(outcome));
    return std::get<CallPermit>(outcome);
}

}

// Guards against a second certificate when a client resends a call to another node.
TEST_CASE("a resend gets the stored answer")
{
    Fixture fixture;
    fixture.store.finish(permitOf(fixture.store.begin(fixture.claim("k"))), answer);
    CallRecordStore otherNode(fixture.tables, fixture.clock);
    const auto outcome = otherNode.begin(fixture.claim("k"));
    REQUIRE(std::holds_alternative<HttpResponse>(outcome));
    CHECK(std::get<HttpResponse>(outcome) == answer);
}

// Guards against running a call again while, or after, another node may have run it.
TEST_CASE("a call without a known outcome is in progress until its deadline and may have run after it")
{
    Fixture fixture;
    fixture.store.begin(fixture.claim("k"));
    CHECK(fixture.failureOf(fixture.claim("k")) == ErrorKind::CallInProgress);
    fixture.clock.advance(13s);
    CHECK(fixture.failureOf(fixture.claim("k")) == ErrorKind::MayHaveRun);
}

// Guards against a repeatable call that stays blocked forever after its node crashed.
TEST_CASE("a repeatable call may run again after the deadline of the one before")
{
    Fixture fixture;
    fixture.store.begin(fixture.claim("k", false));
    fixture.clock.advance(13s);
    permitOf(fixture.store.begin(fixture.claim("k", false)));
}

// Guards against a rejected call that can never be sent again.
TEST_CASE("an abandoned call may run")
{
    Fixture fixture;
    fixture.store.abandon(permitOf(fixture.store.begin(fixture.claim("k"))));
    permitOf(fixture.store.begin(fixture.claim("k")));
}

// Guards against sending the response of one call to the caller of another.
TEST_CASE("a key that stands for another call is refused")
{
    Fixture fixture;
    fixture.store.begin(fixture.claim("k"));
    CHECK(fixture.failureOf(fixture.claim("k", true, "other")) == ErrorKind::KeyReused);
}

// Guards against sending a call whose record may not exist.
TEST_CASE("a call is not permitted while the store cannot be reached")
{
    Fixture fixture;
    fixture.faults.setOutage(true);
    CHECK(fixture.failureOf(fixture.claim("k")) == ErrorKind::PlatformUnavailable);
}

// Guards against a call that blocks itself because the response to its own insert was lost.
TEST_CASE("a permit whose response was lost is recognised by its token")
{
    Fixture fixture;
    fixture.faults.loseResponses(1);
    const CallPermit permit = permitOf(fixture.store.begin(fixture.claim("k")));
    fixture.store.finish(permit, answer);
    CHECK(std::holds_alternative<HttpResponse>(fixture.store.begin(fixture.claim("k"))));
}

// Guards against a stored response that a late writer overwrites.
TEST_CASE("a stored answer is never replaced")
{
    Fixture fixture;
    const CallPermit permit = permitOf(fixture.store.begin(fixture.claim("k")));
    fixture.store.finish(permit, answer);
    fixture.store.finishAsMayHaveRun(permit);
    fixture.store.abandon(permit);
    CHECK(std::get<HttpResponse>(fixture.store.begin(fixture.claim("k"))) == answer);
}

// Compares the store with the calls that endpoints received, under outages, lost responses and crashes. Guards against
// any order of events in which an unrepeatable call runs twice or its stored response changes.
TEST_CASE("an unrepeatable call runs at most once under any sequence of failures")
{
    checkSeededProperty("an unrepeatable call runs at most once", 20261204, 300, [] {
        Fixture fixture;
        std::map<std::string, int> arrivals;
        std::map<std::string, HttpResponse> answers;
        std::vector<std::pair<std::string, CallPermit>> running;
        const auto steps
            = *rc::gen::container<std::vector<std::pair<int, int>>>(rc::gen::pair(anyBelow(10), anyBelow(3)));
        for (const auto& [action, n] : steps) {
            const std::string key = "k" + std::to_string(n);
            try {
                if (action <= 3) {
                    const auto outcome = fixture.store.begin(fixture.claim(key));
                    if (const auto* permit = std::get_if<CallPermit>(&outcome)) {
                        ++arrivals[key];
                        running.emplace_back(key, *permit);
                    } else {
                        RC_ASSERT(answers.contains(key));
                        RC_ASSERT(std::get<HttpResponse>(outcome) == answers[key]);
                    }
                } else if (action == 4 && !running.empty()) {
                    const auto [name, permit] = running.back();
                    running.pop_back();
                    answers[name]
                        = HttpResponse { 200, { { "Content-Type", "t" } }, QByteArray::number(arrivals[name]) };
                    fixture.store.finish(permit, answers[name]);
                } else if (action == 5 && !running.empty()) {
                    running.pop_back(); // The node crashes.
                } else if (action == 6) {
                    fixture.faults.setOutage(n == 0);
                } else if (action == 7) {
                    fixture.faults.loseResponses(1);
                } else if (action == 8) {
                    fixture.clock.advance(std::chrono::seconds(7 * n));
                } else if (action == 9 && !running.empty()) {
                    fixture.store.finishAsMayHaveRun(running.back().second);
                    running.pop_back();
                }
            } catch (const Error&) {
                // Every rejection is allowed; only a second run or a changed response is not.
            }
            for (const auto& [name, count] : arrivals)
                RC_ASSERT(count <= 1);
        }
    });
}

#include "ForwardingFixture.h"

#include <LibGateway/ItemRun.h>
#include <Tests/Support/SimulatedEventLoop.h>

using namespace Chicorydock;

namespace {

/// An endpoint's refusal of a request as misdirected.
struct Refusal {
    /// Whether the request states a version of the weights.
    bool hasCondition { false };
    /// Identifier that the endpoint states, empty for none; "own" stands for the intended one.
    std::string instance;
    /// Whether the refusal shows that another endpoint has the address.
    bool showsReplacement { false };
};

}

// Load: callers and items that expect other weights than the endpoints have. Guards against a node that one of them
// keeps from using any endpoint, for all callers and for good (LOST, review/1), and against an endpoint that stays in
// use although its address belongs to another one.
TEST_CASE("a refusal excludes an endpoint only if it shows that another one has the address")
{
    const Refusal refusal
        = GENERATE(Refusal { true, "", false }, Refusal { true, "own", false }, Refusal { true, "other", true },
            Refusal { false, "", true }, Refusal { false, "own", false }, Refusal { false, "other", true });
    CAPTURE(refusal.hasCondition, refusal.instance);
    ForwardingFixture fixture;
    HttpRequest request = ForwardingFixture::makeRequest("/i/1", "q1");
    if (refusal.hasCondition)
        request.headers.add("Expect-Version", "1");
    fixture.forward(request);
    for (int n = 0; n < 2; ++n) {
        REQUIRE(fixture.http.count() == static_cast<size_t>(n) + 1);
        const QByteArray intended = fixture.http.last().request.headers.find("Expect-Instance").value();
        HttpHeaders headers;
        headers.add("Not-Executed", "1");
        if (!refusal.instance.empty())
            headers.add("Instance-Id", refusal.instance == "own" ? intended : "i-other");
        fixture.http.handOver();
        fixture.http.headers(421, headers);
        fixture.http.finish();
        ForwardingFixture::settle();
    }
    // The caller may try again later, at the same endpoints or others.
    CHECK(fixture.status() == 503);
    CHECK(fixture.directory.usable().size() == (refusal.showsReplacement ? 1 : 3));
}

// Guards against an item that goes from endpoint to endpoint many times a second, because none has the weights that it
// expects, and takes slots from others (LOST).
TEST_CASE("an item that is refused everywhere tries less and less often, and runs once it may")
{
    runOnSimulatedTime([](SimulatedEventLoop& loop) {
        ForwardingFixture fixture;
        const MonotonicTime now = fixture.clock.now();
        const ItemRun::Job job { "j", "b", "h.example", now + std::chrono::seconds { 18 },
            now + std::chrono::seconds { 300 } };
        int results = 0;
        ItemRun run(fixture.environment, job, { "i", "/b/1", { { "Expect-Version", "1" } }, "body", 10 },
            [&](const JobResult& result) { results += result.isCompleted ? 1 : 0; });
        run.start();
        size_t refused = 0;
        const auto advance = [&](std::chrono::seconds time, bool isRefused) {
            for (Milliseconds left = time; left.count() > 0; left -= Milliseconds { 25 }) {
                fixture.clock.advance(Milliseconds { 25 });
                loop.advance(Milliseconds { 25 });
                ForwardingFixture::settle();
                if (fixture.http.count() == refused)
                    continue;
                ++refused;
                fixture.http.handOver();
                fixture.http.headers(isRefused ? 421 : 200);
                if (!isRefused)
                    fixture.http.data("id: 1\ndata: text\n\n");
                fixture.http.finish();
            }
        };
        advance(std::chrono::seconds { 60 }, true);
        // 0.1, 0.2, 0.4, 0.8, 1.6 and 3.2 s, then every 5 s.
        CHECK(refused <= 18);
        CHECK(refused >= 12);
        advance(std::chrono::seconds { 6 }, false);
        CHECK(results == 1);
    });
}

#include "SchedulerFixture.h"

#include <catch2/catch.hpp>

#include <map>

using namespace Chicorydock;

using Kind = Decision::Kind;

// Guards against online work that waits until batch work completes.
TEST_CASE("online work starts at once on a full endpoint and preempts the batch work with the least progress")
{
    SchedulerSettings settings;
    settings.maxConcurrency = 8;
    SchedulerFixture fixture(settings);
    fixture.setEndpoints(1);
    const std::vector<WorkId> batch = fixture.fillWithBatch();
    REQUIRE(batch.size() == 7);
    for (size_t n = 0; n < batch.size(); ++n)
        fixture.scheduler.recordTokens(batch[n], "e0", static_cast<uint32_t>(n == 3 ? 1 : 10 + n), fixture.clock.now());
    fixture.poll();
    // The first one uses the reserve, the second one preempts batch work.
    CHECK(fixture.submit(fixture.online()).size() == 1);
    const auto decisions = fixture.submit(fixture.online());
    REQUIRE(decisions.size() == 2);
    CHECK(decisions[0].kind == Kind::Cancel);
    CHECK(decisions[0].work == batch[3]);
    CHECK(decisions[1].kind == Kind::Start);
    CHECK(fixture.scheduler.counters().yielded == 1);
    for (int n = 0; n < 6; ++n)
        CHECK(SchedulerFixture::count(fixture.submit(fixture.online()), Kind::Start) == 1);
    CHECK(fixture.scheduler.counters().batchInFlight == 0);
}

// Guards against batch work that lengthens the token gap of online work beyond the allowance, and against capacity that
// batch work leaves unused while there is no online work.
TEST_CASE("batch work fills an endpoint without online work, and uses only the gap allowance beside online work")
{
    SchedulerFixture fixture;
    fixture.setEndpoints(1);
    // Four times the limit of 8, less the reserve.
    CHECK(fixture.scheduler.batchRoom(fixture.clock.now()) == 28);
    CHECK(fixture.submit(fixture.online()).size() == 1);
    // 10.5 ms with one stream; 8% more are 1.7 streams.
    CHECK(fixture.fillWithBatch().size() == 1);
}

// Guards against preempted batch items that are lost or start again at once on the same endpoint.
TEST_CASE("preempted batch work is queued again and starts after the yield hold")
{
    SchedulerSettings settings;
    settings.maxConcurrency = 8;
    SchedulerFixture fixture(settings);
    fixture.setEndpoints(1);
    const WorkId first = fixture.fillWithBatch().front();
    fixture.scheduler.yieldBatch("e0", fixture.clock.now());
    const auto decisions = fixture.poll();
    REQUIRE(decisions.size() == 1);
    CHECK(decisions[0] == Decision { Kind::Cancel, first, "e0", {} });
    CHECK(fixture.finish(first, "e0", AttemptOutcome::Cancelled));
    CHECK(fixture.poll().empty());
    CHECK(fixture.scheduler.counters().batchQueued == 1);
    fixture.clock.advance(Milliseconds { 301 });
    CHECK(fixture.scheduler.nextPoll(fixture.clock.now()) <= fixture.clock.now());
    const auto again = fixture.poll();
    REQUIRE(again.size() == 1);
    CHECK(again[0] == Decision { Kind::Start, first, "e0", {} });
}

// Guards against a certificate that is issued twice because its batch item was cancelled and started again.
TEST_CASE("unrepeatable work is neither preempted nor started again")
{
    SchedulerFixture fixture;
    fixture.setEndpoints(2);
    Work work = fixture.batch();
    work.repeatable = false;
    const auto started = fixture.submit(work);
    REQUIRE(started.size() == 1);
    fixture.scheduler.yieldBatch(started[0].endpoint, fixture.clock.now());
    CHECK(fixture.poll().empty());

    Work online = fixture.online();
    online.repeatable = false;
    for (int n = 0; n < 100; ++n) {
        const auto it = fixture.submit(fixture.online()).at(0);
        fixture.finish(it.work, it.endpoint, AttemptOutcome::Completed);
    }
    const auto first = fixture.submit(online);
    REQUIRE(first.size() == 1);
    fixture.clock.advance(std::chrono::seconds { 5 });
    CHECK(fixture.poll().empty());
    CHECK_FALSE(fixture.finish(online.id, first[0].endpoint, AttemptOutcome::Refused, true));
    CHECK(fixture.poll().empty());
}

// Guards against batch work of another node that slows down online work of this node.
TEST_CASE("a peer whose batch work fills the endpoint gets a single yield request")
{
    SchedulerFixture fixture;
    fixture.setEndpoints(1);
    fixture.scheduler.recordPeerSummary("owner", { { "e0", 0, 8, 0, 0, 0 } }, fixture.clock.now());
    CHECK(fixture.submit(fixture.online()).size() == 1);
    CHECK(fixture.scheduler.takeYieldRequests() == std::vector<std::string> { "e0" });
    CHECK(fixture.submit(fixture.online()).size() == 1);
    CHECK(fixture.scheduler.takeYieldRequests().empty());
}

// Guards against requests that are held until shortly before their deadline and then refused.
TEST_CASE("work that cannot meet its deadline is refused at once with a retry time")
{
    SchedulerFixture fixture;
    fixture.setEndpoints(1);
    const auto unattainable = fixture.submit(fixture.online(0.2));
    REQUIRE(unattainable.size() == 1);
    CHECK(unattainable[0].kind == Kind::Refuse);
    REQUIRE(unattainable[0].error);
    CHECK(unattainable[0].error->kind() == ErrorKind::DeadlineUnattainable);
    CHECK(unattainable[0].error->retryAfter() >= Milliseconds { 500 });

    // 8 slots and answers of 4 s: half a second per start.
    for (int n = 0; n < 20; ++n) {
        const WorkId id = fixture.submit(fixture.online()).at(0).work;
        fixture.clock.advance(std::chrono::seconds { 4 });
        fixture.finish(id, "e0", AttemptOutcome::Completed);
        fixture.update();
        fixture.poll();
    }
    size_t started = 0;
    size_t refused = 0;
    for (int n = 0; n < 30; ++n) {
        const auto decisions = fixture.submit(fixture.online());
        started += SchedulerFixture::count(decisions, Kind::Start);
        refused += SchedulerFixture::count(decisions, Kind::Refuse);
    }
    CHECK(started == 8);
    CHECK(refused >= 18);
    CHECK(fixture.scheduler.counters().onlineQueued == 30 - started - refused);
    // Queued work is refused after the maximum wait and not later.
    fixture.clock.advance(Milliseconds { 1'000 });
    CHECK(SchedulerFixture::count(fixture.poll(), Kind::Refuse) == 30 - started - refused);
}

// Guards against requests that wait for an endpoint that does not exist or is leaving.
TEST_CASE("leaving endpoints get no new work, and work without an eligible endpoint is refused")
{
    SchedulerFixture fixture;
    fixture.setEndpoints(2);
    fixture.endpoints[0].isLeaving = true;
    fixture.endpoints[1].models = { "m" };
    fixture.update();
    for (int n = 0; n < 8; ++n)
        CHECK(fixture.submit(fixture.online()).at(0).endpoint == "e1");
    const Work waiting = fixture.online();
    CHECK(fixture.submit(waiting).empty());
    Work other = fixture.online();
    other.model = "other";
    CHECK(fixture.submit(other).at(0).error->kind() == ErrorKind::NoEndpoint);
    Work excluded = fixture.online();
    excluded.excludedEndpoints = { "e1", "unknown" };
    CHECK(fixture.submit(excluded).at(0).error->kind() == ErrorKind::NoEndpoint);
    // No endpoint is left for the queued work.
    fixture.endpoints[1].isLeaving = true;
    fixture.update();
    const auto decisions = fixture.poll();
    REQUIRE(decisions.size() == 1);
    CHECK(decisions[0].work == waiting.id);
    CHECK(decisions[0].error->kind() == ErrorKind::NoEndpoint);
}

// Guards against retry storms when many endpoints fail.
TEST_CASE("with a third of the endpoints failing, attempts stay within 1.1 times the requests")
{
    SchedulerFixture fixture;
    fixture.setEndpoints(9);
    size_t attempts = 0;
    size_t completed = 0;
    constexpr size_t requests = 2'000;
    for (size_t n = 0; n < requests; ++n) {
        auto decisions = fixture.submit(fixture.online());
        while (!decisions.empty()) {
            const Decision it = decisions.front();
            decisions.erase(decisions.begin());
            if (it.kind != Kind::Start)
                continue;
            ++attempts;
            fixture.clock.advance(Milliseconds { 20 });
            const bool fails = it.endpoint < "e3";
            fixture.finish(it.work, it.endpoint, fails ? AttemptOutcome::Failed : AttemptOutcome::Completed);
            completed += fails ? 0 : 1;
            const auto more = fixture.poll();
            decisions.insert(decisions.end(), more.begin(), more.end());
        }
    }
    CHECK(attempts <= requests * 1.1);
    CHECK(completed > requests * 0.95);
}

// Guards against retries beyond the budget while no endpoint is suspect yet, as right after many endpoints fail at
// once.
TEST_CASE("only a tenth of the requests is retried even if all of them fail")
{
    SchedulerFixture fixture;
    fixture.setEndpoints(50);
    size_t retried = 0;
    for (int n = 0; n < 50; ++n) {
        for (const Decision& it : fixture.submit(fixture.online())) {
            if (it.kind == Kind::Start)
                retried += fixture.finish(it.work, it.endpoint, AttemptOutcome::Refused) ? 1 : 0;
        }
    }
    CHECK(retried == 5);
}

// Guards against requests of high worth that are refused while requests of low worth wait.
TEST_CASE("while the queue fills, requests of low worth are refused first")
{
    SchedulerFixture fixture;
    fixture.setEndpoints(10);
    for (int n = 0; n < 20; ++n) {
        const auto it = fixture.submit(fixture.online()).at(0);
        fixture.clock.advance(std::chrono::seconds { 4 });
        fixture.finish(it.work, it.endpoint, AttemptOutcome::Completed);
        fixture.update();
        fixture.poll();
    }
    size_t refusedLow = 0;
    size_t refusedHigh = 0;
    // 80 slots and answers of 4 s: 20 requests may wait a second. With fewer than 12 queued, a request of a worth above
    // the median is queued.
    for (int n = 0; fixture.scheduler.counters().onlineQueued < 12 && n < 300; ++n) {
        Work work = fixture.online();
        work.worth = n % 2 == 0 ? 1 : 8;
        if (SchedulerFixture::count(fixture.submit(work), Kind::Refuse) > 0)
            ++(n % 2 == 0 ? refusedLow : refusedHigh);
    }
    CHECK(fixture.scheduler.counters().onlineQueued == 12);
    CHECK(refusedLow > 0);
    CHECK(refusedHigh == 0);
}

// Guards against a request that waits for an endpoint which hangs before its first token.
TEST_CASE("a late first token is hedged within the budget, and the slower attempt is cancelled")
{
    SchedulerFixture fixture;
    fixture.setEndpoints(2);
    for (int n = 0; n < 40; ++n) {
        const auto it = fixture.submit(fixture.online()).at(0);
        fixture.finish(it.work, it.endpoint, AttemptOutcome::Completed);
        fixture.poll();
    }
    fixture.update();
    const auto first = fixture.submit(fixture.online()).at(0);
    fixture.clock.advance(std::chrono::seconds { 2 });
    const auto hedge = fixture.poll();
    REQUIRE(hedge.size() == 1);
    CHECK(hedge[0].kind == Kind::Start);
    CHECK(hedge[0].work == first.work);
    CHECK(hedge[0].endpoint != first.endpoint);
    CHECK(fixture.scheduler.counters().hedged == 1);
    fixture.scheduler.recordTokens(first.work, hedge[0].endpoint, 1, fixture.clock.now());
    const auto cancel = fixture.poll();
    REQUIRE(cancel.size() == 1);
    CHECK(cancel[0] == Decision { Kind::Cancel, first.work, first.endpoint, {} });
    CHECK_FALSE(fixture.finish(first.work, first.endpoint, AttemptOutcome::Cancelled));
    CHECK_FALSE(fixture.finish(first.work, hedge[0].endpoint, AttemptOutcome::Completed));
    CHECK(fixture.scheduler.counters().onlineInFlight == 0);
    size_t hedged = 0;
    for (int n = 0; n < 4; ++n)
        fixture.submit(fixture.online());
    for (int n = 0; n < 20; ++n) {
        fixture.clock.advance(std::chrono::seconds { 1 });
        hedged += SchedulerFixture::count(fixture.poll(), Kind::Start);
    }
    CHECK(hedged <= 2);
}

// Guards against work that stays queued after it has ended: the faster attempt of a hedged request fails, and while the
// work waits for a retry, the cancelled attempt turns out to have completed.
TEST_CASE("a cancelled attempt that completes ends work that waits for a retry")
{
    SchedulerFixture fixture;
    fixture.setEndpoints(3);
    for (int n = 0; n < 40; ++n) {
        const auto it = fixture.submit(fixture.online()).at(0);
        fixture.finish(it.work, it.endpoint, AttemptOutcome::Completed);
        fixture.poll();
    }
    const auto first = fixture.submit(fixture.online()).at(0);
    fixture.clock.advance(std::chrono::seconds { 2 });
    const auto hedge = fixture.poll().at(0);
    fixture.scheduler.recordTokens(first.work, hedge.endpoint, 1, fixture.clock.now());
    fixture.poll();
    CHECK(fixture.finish(first.work, hedge.endpoint, AttemptOutcome::Failed));
    CHECK_FALSE(fixture.finish(first.work, first.endpoint, AttemptOutcome::Completed));
    CHECK(fixture.poll().empty());
    CHECK(fixture.scheduler.counters().onlineQueued == 0);
}

// Guards against a failing endpoint that keeps getting work because it is always free.
TEST_CASE("an endpoint that failed twice is probed with one request at a time")
{
    SchedulerFixture fixture;
    fixture.setEndpoints(2);
    Work work = fixture.online();
    work.excludedEndpoints = { "e1" };
    for (int n = 0; n < 2; ++n) {
        work.id += 1'000;
        fixture.submit(work);
        fixture.finish(work.id, "e0", AttemptOutcome::Failed, false);
    }
    for (int n = 0; n < 8; ++n)
        CHECK(fixture.submit(fixture.online()).at(0).endpoint == "e1");
    // The other endpoint is full, so the next request becomes the probe as soon as one is due.
    const Work probe = fixture.online();
    CHECK(fixture.submit(probe).empty());
    fixture.clock.advance(Milliseconds { 501 });
    const auto decisions = fixture.poll();
    REQUIRE(decisions.size() == 1);
    CHECK(decisions[0] == Decision { Kind::Start, probe.id, "e0", {} });
    CHECK(SchedulerFixture::count(fixture.submit(fixture.online()), Kind::Start) == 0);
    fixture.finish(probe.id, "e0", AttemptOutcome::Completed);
    CHECK(fixture.poll().at(0).endpoint == "e0");
}

// Guards against requests that are refused while the only endpoint has free slots, because it was slow for a moment.
TEST_CASE("slowness takes no work from an endpoint that no others can replace")
{
    SchedulerFixture fixture;
    fixture.setEndpoints(3);
    Work work = fixture.online();
    work.excludedEndpoints = { "e1", "e2" };
    REQUIRE(fixture.submit(work).size() == 1);
    const auto stream = [&](int tokens, Milliseconds gap) {
        for (int n = 0; n < tokens; ++n) {
            fixture.clock.advance(gap);
            fixture.scheduler.recordTokens(work.id, "e0", 1, fixture.clock.now());
        }
        fixture.poll();
    };
    const auto drainOthers = [&] {
        fixture.endpoints[1].isLeaving = fixture.endpoints[2].isLeaving = true;
        fixture.update();
    };
    stream(200, Milliseconds { 10 });
    const bool isSlowBefore = GENERATE(true, false);
    if (!isSlowBefore)
        drainOthers();
    stream(20, Milliseconds { 100 });
    if (isSlowBefore) {
        for (int n = 0; n < 4; ++n)
            CHECK(fixture.submit(fixture.online()).at(0).endpoint != "e0");
        drainOthers();
    }
    for (int n = 0; n < 6; ++n) {
        const auto decisions = fixture.submit(fixture.online());
        REQUIRE(decisions.size() == 1);
        CHECK(decisions[0].kind == Kind::Start);
        CHECK(decisions[0].endpoint == "e0");
    }
}

// Guards against traffic to other failure domains and regions that the node's own domain could serve, and against more
// traffic than the link to other regions may carry.
TEST_CASE("work spills to other domains only when its own is full, and to other regions within the byte budget")
{
    SchedulerSettings settings;
    settings.failureDomain = "domain";
    settings.regionBytesPerSecond = 50'000;
    SchedulerFixture fixture(settings);
    fixture.setEndpoints(3);
    fixture.endpoints[1].failureDomain = "near";
    fixture.endpoints[2].isRemote = true;
    fixture.update();
    const WorkId slow = fixture.submit(fixture.online()).at(0).work;
    fixture.clock.advance(std::chrono::seconds { 20 });
    fixture.finish(slow, "e0", AttemptOutcome::Completed);
    fixture.update();
    std::map<std::string, int> starts;
    size_t refused = 0;
    for (int n = 0; n < 30; ++n) {
        for (const Decision& it : fixture.submit(fixture.online())) {
            if (it.kind == Kind::Start)
                ++starts[it.endpoint];
            else
                ++refused;
        }
        if (n < 8)
            CHECK(starts["e0"] == n + 1);
    }
    CHECK(starts["e0"] == 8);
    CHECK(starts["e1"] == 8);
    // 100 prompt tokens and 100 expected tokens are 22,500 bytes.
    CHECK(starts["e2"] == 2);
    CHECK(refused == 12);
}

// Guards against short requests that queue behind long ones.
TEST_CASE("some slots are reserved for short work")
{
    SchedulerFixture fixture;
    fixture.setEndpoints(1);
    Work report = fixture.online(3'600);
    report.workspace = "reports";
    report.maxTokens = 50'000;
    for (int n = 0; n < 50; ++n) {
        const Work work = n % 10 == 0 ? report : fixture.online();
        Work numbered = work;
        numbered.id = 1'000 + n;
        fixture.submit(numbered);
        fixture.scheduler.recordTokens(numbered.id, "e0", n % 10 == 0 ? 6'000 : 100, fixture.clock.now());
        fixture.finish(numbered.id, "e0", AttemptOutcome::Completed);
        fixture.poll();
    }
    size_t longStarted = 0;
    for (int n = 0; n < 8; ++n) {
        report.id = 2'000 + n;
        longStarted += SchedulerFixture::count(fixture.submit(report), Kind::Start);
    }
    CHECK(longStarted == 6);
    CHECK(SchedulerFixture::count(fixture.submit(fixture.online()), Kind::Start) == 1);
    CHECK(SchedulerFixture::count(fixture.submit(fixture.online()), Kind::Start) == 1);
}

// Guards against shared prompts that are processed from the start again, and against a popular prompt that overloads
// one endpoint.
TEST_CASE("work goes to the endpoint with its prefix unless that is loaded more than the others")
{
    SchedulerSettings settings;
    settings.initialConcurrency = 34;
    SchedulerFixture fixture(settings);
    fixture.setEndpoints(4);
    Work work = fixture.online();
    work.prefixes = { 11, 12, 13 };
    work.promptTokens = 4'000;
    const std::string warm = fixture.submit(work).at(0).endpoint;
    for (int n = 0; n < 10; ++n) {
        work.id += 100;
        const auto decisions = fixture.submit(work);
        CHECK(decisions.at(0).endpoint == warm);
        fixture.finish(work.id, warm, AttemptOutcome::Completed);
        fixture.poll();
    }
    std::map<std::string, int> starts;
    for (int n = 0; n < 40; ++n) {
        work.id += 100;
        for (const Decision& it : fixture.submit(work))
            ++starts[it.endpoint];
    }
    // The prefix is preferred below 1.25 times the mean load of 10, plus one.
    for (const auto& [endpoint, count] : starts)
        CHECK(count <= 14);
    CHECK(starts.size() >= 3);
}

// Guards against several nodes that exceed a limit together, and against the load of a dead peer that is counted
// forever.
TEST_CASE("a peer's work counts against the limit until its summary is replaced or expires")
{
    SchedulerFixture fixture;
    fixture.setEndpoints(1);
    fixture.scheduler.recordPeerSummary("other", { { "e0", 6, 0, 0, 0, 0 } }, fixture.clock.now());
    CHECK(fixture.submit(fixture.online()).size() == 1);
    CHECK(fixture.submit(fixture.online()).size() == 1);
    const Work third = fixture.online(60);
    CHECK(fixture.submit(third).empty());
    fixture.scheduler.recordPeerSummary("other", {}, fixture.clock.now());
    CHECK(fixture.poll().at(0).work == third.id);
    fixture.scheduler.recordPeerSummary("other", { { "e0", 50, 0, 0, 0, 0 } }, fixture.clock.now());
    fixture.poll();
    fixture.clock.advance(std::chrono::seconds { 6 });
    fixture.poll();
    CHECK(fixture.submit(fixture.online()).size() == 1);
}

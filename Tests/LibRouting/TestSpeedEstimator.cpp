#include <LibCore/SeededRandom.h>
#include <LibRouting/ConcurrencyLimit.h>
#include <LibRouting/SpeedEstimator.h>
#include <Tests/Support/SimulatedClock.h>

#include <catch2/catch.hpp>

using namespace Chicorydock;

namespace {

// Feeds streams with a gap of base + slope * concurrency for a while.
void stream(
    SpeedEstimator& speed, SimulatedClock& clock, double seconds, double concurrency, double gap, double others = 0)
{
    const MonotonicTime end = clock.now() + fromSeconds(seconds);
    while (clock.now() < end) {
        clock.advance(fromSeconds(gap));
        for (int n = 0; n < static_cast<int>(concurrency); ++n)
            speed.addTokens(1, fromSeconds(gap), concurrency, others, clock.now());
    }
}

}

// Guards against a limit computed from a wrong speed: base and slope must be distinguished when the concurrency varies.
TEST_CASE("the gap's base and slope are learned")
{
    SimulatedClock clock;
    SpeedEstimator speed;
    for (int n = 0; n < 10; ++n) {
        for (const double concurrency : { 2.0, 10.0, 25.0 })
            stream(speed, clock, 0.3, concurrency, 0.008 + 0.0006 * concurrency);
    }
    CHECK(speed.gapBaseSeconds() == Approx(0.008).epsilon(0.1));
    CHECK(speed.gapSlopeSeconds() == Approx(0.0006).epsilon(0.1));
    CHECK(speed.health() > 0.9);
}

// Guards against an underestimated slope because the peers' part of the concurrency is known late.
TEST_CASE("the slope is learned although peers' counts lag by a second")
{
    SimulatedClock clock;
    SpeedEstimator speed;
    SeededRandom random(1);
    double others = 20;
    double known = 20;
    constexpr double own = 4;
    for (int second = 0; second < 200; ++second) {
        for (int step = 0; step < 10; ++step) {
            others += 0.05 * (20 - others) + (random.unit() - 0.5) * 6;
            stream(speed, clock, 0.1, own, 0.008 + 0.0006 * (own + others), known);
        }
        known = others;
    }
    CHECK(speed.gapSlopeSeconds() == Approx(0.0006).epsilon(0.25));
}

// Guards against coefficients that jump when the concurrency varies again after a long time without variation.
TEST_CASE("a constant concurrency does not change the learned slope")
{
    SimulatedClock clock;
    SpeedEstimator speed;
    for (const double concurrency : { 2.0, 10.0, 25.0, 4.0, 18.0 })
        stream(speed, clock, 1, concurrency, 0.008 + 0.0006 * concurrency);
    stream(speed, clock, 600, 10, 0.014);
    stream(speed, clock, 0.2, 20, 0.020);
    CHECK(speed.gapSeconds(30) == Approx(0.026).epsilon(0.1));
}

// Guards against the same fault in the regression itself, where one wrong sample must not outweigh a thousand.
TEST_CASE("the regression is stable after many samples at one point")
{
    LinearEstimator estimator(0.012, 0.0005, 0.985);
    for (int n = 0; n < 200; ++n)
        estimator.add(5 + n % 20, 0.008 + 0.0006 * (5 + n % 20));
    for (int n = 0; n < 3'000; ++n)
        estimator.add(10, 0.014);
    estimator.add(11, 0.016);
    CHECK(estimator.at(30) == Approx(0.026).epsilon(0.1));
}

// Guards against a disturbance that changes the reference: the health must drop within a few gaps, so that the endpoint
// gets less work meanwhile, and must recover afterwards, so that it gets its share again.
TEST_CASE("a slowed endpoint loses health at once, keeps its reference and recovers")
{
    SimulatedClock clock;
    SpeedEstimator speed;
    stream(speed, clock, 5, 10, 0.014);
    const double reference = speed.gapSeconds(10);
    stream(speed, clock, 0.3, 10, 0.070);
    CHECK(speed.health() < 0.5);
    stream(speed, clock, 5, 10, 0.070);
    CHECK(speed.health() == Approx(0.2).epsilon(0.1));
    CHECK(speed.gapSeconds(10) == Approx(reference).epsilon(0.02));
    stream(speed, clock, 0.5, 10, 0.014);
    CHECK(speed.health() > 0.75);
}

// Guards against an endpoint that looks healthy because it stopped sending tokens altogether.
TEST_CASE("silence reduces the health before the next token")
{
    SimulatedClock clock;
    SpeedEstimator speed;
    stream(speed, clock, 5, 10, 0.014);
    clock.advance(Milliseconds { 300 });
    CHECK(speed.health() > 0.9);
    CHECK(speed.healthWhileStreaming(clock.now()) < 0.5);
}

// Guards against an endpoint that is treated as disturbed forever after its hardware changed.
TEST_CASE("a lasting change becomes the reference")
{
    SimulatedClock clock;
    SpeedEstimator speed;
    stream(speed, clock, 5, 10, 0.014);
    stream(speed, clock, 120, 10, 0.042);
    CHECK(speed.gapSeconds(10) == Approx(0.042).epsilon(0.1));
    CHECK(speed.health() > 0.9);
}

// Guards against a replaced node that schedules its first minute of requests without estimates.
TEST_CASE("a peer's estimates are used until own samples exist")
{
    SimulatedClock clock;
    SpeedEstimator speed;
    CHECK_FALSE(speed.isProven());
    speed.seed(0.05, 0.009, 0.001);
    CHECK(speed.isProven());
    CHECK(speed.gapSeconds(10) == Approx(0.019));
    stream(speed, clock, 10, 10, 0.014);
    CHECK(speed.gapSeconds(10) == Approx(0.014).epsilon(0.05));
}

// Guards against a deadline prediction that ignores the prompt.
TEST_CASE("the time to the first token is learned against the prompt")
{
    SpeedEstimator speed;
    for (int n = 0; n < 200; ++n) {
        const double prompt = 100 + 37 * (n % 50);
        speed.addFirstToken(prompt, 0.03 + 0.00015 * prompt);
    }
    CHECK(speed.firstTokenSeconds(0) == Approx(0.03).epsilon(0.15));
    CHECK(speed.firstTokenSeconds(1'500) == Approx(0.255).epsilon(0.05));
}

// Guards against a limit beyond the token gap target, and against full load on an endpoint without samples.
TEST_CASE("the limit starts at one, ramps up and ends where the gap meets its target")
{
    SimulatedClock clock;
    SchedulerSettings settings;
    SpeedEstimator speed;
    ConcurrencyLimit limit(settings);
    CHECK(limit.value() == 1);
    stream(speed, clock, 0.3, 1, 0.0106);
    limit.update(speed, 1, clock.now());
    CHECK(limit.value() <= settings.initialConcurrency);
    uint32_t previous = limit.value();
    for (int n = 0; n < 40; ++n) {
        const double used = limit.value();
        stream(speed, clock, 0.6, used, 0.010 + 0.0006 * used);
        limit.update(speed, used, clock.now());
        CHECK(limit.value() <= previous * 1.5 + 1);
        previous = limit.value();
    }
    // (0.027 - 0.010) / 0.0006 = 28.3
    CHECK(limit.value() >= 26);
    CHECK(limit.value() <= 29);
}

// Guards against a limit that does not drop when first tokens are late although the token gap is fine.
TEST_CASE("late first tokens lower the limit and timely ones restore it")
{
    SimulatedClock clock;
    SpeedEstimator speed;
    ConcurrencyLimit limit(SchedulerSettings {});
    for (int n = 0; n < 30; ++n) {
        stream(speed, clock, 0.6, 20, 0.010);
        limit.update(speed, limit.value(), clock.now());
    }
    const uint32_t full = limit.value();
    for (int n = 0; n < 5; ++n)
        limit.recordFirstToken(false);
    limit.update(speed, 1, clock.now());
    CHECK(limit.value() < full * 0.7);
    for (int n = 0; n < 200; ++n)
        limit.recordFirstToken(true);
    for (int n = 0; n < 10; ++n) {
        clock.advance(std::chrono::seconds { 1 });
        limit.update(speed, limit.value(), clock.now());
    }
    CHECK(limit.value() == full);
}

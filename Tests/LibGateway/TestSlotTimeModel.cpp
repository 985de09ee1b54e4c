#include <LibCore/SeededRandom.h>
#include <LibGateway/SlotTimeEstimator.h>

#include <catch2/catch.hpp>

#include <cmath>

using namespace Chicorydock;

namespace {

/// Draws work whose output length has a spread of 0.57, with a hint that is off by a factor of `hintSpread`.
class WorkSource {
public:
    explicit WorkSource(double hintSpread)
        : m_hintSpread(hintSpread)
    {
    }

    /// Returns the time that the work takes: 40 ms, and 3 ms for each token.
    Milliseconds draw(WorkProfile& profile)
    {
        const double tokens = 250 * std::exp(normal() * 0.57);
        profile.promptTokens = 200 + static_cast<uint32_t>(m_random.below(300));
        profile.outputTokensHint = static_cast<uint32_t>(1 + tokens * std::exp(normal() * m_hintSpread));
        return Milliseconds { std::lround(40 + 3 * tokens) };
    }

private:
    double normal()
    {
        double sum = -6;
        for (int n = 0; n < 12; ++n)
            sum += m_random.unit();
        return sum;
    }

    SeededRandom m_random { 5 };
    double m_hintSpread;
};

struct Errors {
    double ofModel { 0 };
    double ofMean { 0 };
    double bias { 0 };
};

/// Returns the mean errors over 2,000 samples, relative to the mean time, after 500 samples.
Errors measure(double hintSpread)
{
    WorkSource source(hintSpread);
    SlotTimeModel model;
    Errors errors;
    double sum = 0;
    for (int n = 0; n < 2'500; ++n) {
        WorkProfile profile;
        const Milliseconds held = source.draw(profile);
        if (n >= 500) {
            const double time = static_cast<double>(held.count());
            const double expected = static_cast<double>(model.expected(profile)->count());
            errors.ofModel += std::abs(expected - time);
            errors.ofMean += std::abs(static_cast<double>(model.mean()->count()) - time);
            errors.bias += expected - time;
            sum += time;
        }
        model.add(profile, held);
    }
    return { errors.ofModel / sum, errors.ofMean / sum, errors.bias / sum };
}

}

// Guards against estimates that ignore what is known about the work.
TEST_CASE("the slot time follows hints as far as they are right")
{
    const Errors exact = measure(0.05);
    const Errors rough = measure(0.5);
    const Errors useless = measure(3);
    INFO("errors " << exact.ofModel << ", " << rough.ofModel << ", " << useless.ofModel << "; of the mean "
                   << exact.ofMean << ", " << rough.ofMean << ", " << useless.ofMean);
    CHECK(exact.ofModel < 0.35 * exact.ofMean);
    CHECK(rough.ofModel < 0.85 * rough.ofMean);
    // A hint that says nothing must not make the estimate worse.
    CHECK(useless.ofModel < 1.05 * useless.ofMean);
    CHECK(std::abs(exact.bias) < 0.05);
    CHECK(std::abs(rough.bias) < 0.05);
}

// Guards against different decisions in deployments that state nothing about their work.
TEST_CASE("without profiles the slot time is the mean of the service")
{
    SlotTimeEstimator estimator;
    CHECK(estimator.requestTime("lm", {}) == Milliseconds { 500 });
    CHECK(estimator.itemTime("lm", {}) == Milliseconds { 0 });
    for (int n = 0; n < 50; ++n)
        estimator.addRequest("lm", {}, Milliseconds { n % 2 == 0 ? 400 : 600 });
    CHECK(estimator.requestTime("lm", {}) == estimator.requestTime("lm"));
    CHECK(estimator.requestTime("other", {}) == Milliseconds { 500 });
    // Too few samples with a profile say nothing yet.
    estimator.addRequest("lm", { .outputTokensHint = 10 }, Milliseconds { 100 });
    CHECK(estimator.requestTime("lm", { .outputTokensHint = 10 }) == estimator.requestTime("lm"));
}

// Guards against estimates that stay at the speed of endpoints that have slowed down, and against times of 0.
TEST_CASE("the slot time follows a change of the speed, and extreme work has a bounded effect")
{
    WorkSource source(0.5);
    SlotTimeModel model;
    WorkProfile profile;
    for (int n = 0; n < 300; ++n) {
        const Milliseconds held = source.draw(profile);
        model.add(profile, held);
    }
    const WorkProfile typical { .promptTokens = 350, .outputTokensHint = 250 };
    const double before = static_cast<double>(model.expected(typical)->count());
    for (int n = 0; n < 40; ++n) {
        const Milliseconds held = source.draw(profile);
        model.add(profile, held * 5 / 2);
    }
    CHECK(static_cast<double>(model.expected(typical)->count()) > 1.8 * before);
    CHECK(*model.expected({ .outputTokensHint = 4'000'000'000 }) < *model.mean() * 10);
    CHECK(*model.expected({ .promptTokens = 1, .outputTokensHint = 1 }) > Milliseconds { 0 });
}

#include <LibMetrics/Histogram.h>

#include <Tests/Support/SeededProperty.h>
#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>
#include <thread>

using namespace Chicorydock;

namespace {

/// Counts the observations of each bucket by comparing every value with every bound.
std::vector<uint64_t> naiveBuckets(const std::vector<double>& bounds, const std::vector<double>& values)
{
    std::vector<uint64_t> buckets(bounds.size() + 1, 0);
    for (const double value : values) {
        size_t n = 0;
        while (n < bounds.size() && value > bounds[n])
            ++n;
        ++buckets[n];
    }
    return buckets;
}

}

// Guards against values counted in the wrong bucket, in particular values equal to a bound.
TEST_CASE("buckets agree with a naive count")
{
    const auto property = [] {
        // Small integers make values that equal a bound frequent.
        const auto numbers = rc::gen::container<std::vector<int>>(rc::gen::inRange(-20, 20));
        const auto drawn = *numbers;
        std::set<double> bounds(drawn.begin(), drawn.end());
        RC_PRE(bounds.size() >= 2);
        std::vector<double> values;
        for (const int it : *numbers)
            values.push_back(it * 0.5);
        values.push_back(std::numeric_limits<double>::infinity());
        values.push_back(-std::numeric_limits<double>::infinity());

        Histogram histogram({ bounds.begin(), bounds.end() });
        for (const double it : values)
            histogram.observe(it);
        RC_ASSERT(histogram.snapshot().buckets == naiveBuckets(histogram.upperBounds(), values));
        RC_ASSERT(histogram.snapshot().count == values.size());
    };
    checkSeededProperty("buckets agree with a naive count", 20261204, 300, property);
}

// Guards against lost updates when several threads observe at once.
TEST_CASE("observations of several threads all count")
{
    constexpr int perThread = 20'000;
    Histogram histogram({ 1, 2 });
    std::vector<std::thread> threads;
    for (int n = 0; n < 4; ++n) {
        threads.emplace_back([&, n] {
            for (int m = 0; m < perThread; ++m)
                histogram.observe(n);
        });
    }
    for (std::thread& it : threads)
        it.join();
    const Histogram::Snapshot snapshot = histogram.snapshot();
    CHECK(snapshot.buckets == std::vector<uint64_t> { 2 * perThread, perThread, perThread });
    CHECK(snapshot.sum == 6.0 * perThread);
}

// Guards against one NaN observation that makes the sum NaN for the life of the process.
TEST_CASE("an observation that is not a number is ignored")
{
    Histogram histogram(Histogram::latencyBounds());
    histogram.observe(std::nan(""));
    histogram.observeDuration(std::chrono::milliseconds(27));
    CHECK(histogram.snapshot().count == 1);
    CHECK(histogram.snapshot().sum == Approx(0.027));
}

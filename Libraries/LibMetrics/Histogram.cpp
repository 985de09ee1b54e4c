#include <LibMetrics/Histogram.h>

#include <boost/histogram.hpp>

#include <cassert>
#include <cmath>
#include <limits>

namespace Chicorydock {

namespace {

    using Axis = boost::histogram::axis::variable<double>;
    using Count = boost::histogram::accumulators::thread_safe<uint64_t>;

    /// Bins of Boost.Histogram contain their lower edge, buckets of Prometheus their upper bound. With each edge moved
    /// up by one representable number, a value that equals a bound falls into the bin below the edge.
    Axis makeAxis(const std::vector<double>& upperBounds)
    {
        assert(upperBounds.size() >= 2);
        std::vector<double> edges;
        for (const double it : upperBounds) {
            assert(std::isfinite(it));
            edges.push_back(std::nextafter(it, std::numeric_limits<double>::infinity()));
        }
        return Axis(edges);
    }

}

struct Histogram::Buckets {
    explicit Buckets(const std::vector<double>& upperBounds)
        : histogram(boost::histogram::make_histogram_with(std::vector<Count> {}, makeAxis(upperBounds)))
    {
    }

    decltype(boost::histogram::make_histogram_with(std::vector<Count> {}, std::declval<Axis>())) histogram;
};

Histogram::Histogram(std::vector<double> upperBounds)
    : m_upperBounds(std::move(upperBounds))
    , m_buckets(std::make_unique<Buckets>(m_upperBounds))
{
}

Histogram::~Histogram() = default;

void Histogram::observe(double value)
{
    if (std::isnan(value))
        return;
    m_buckets->histogram(value);
    m_sum.fetch_add(value, std::memory_order_relaxed);
}

Histogram::Snapshot Histogram::snapshot() const
{
    Snapshot snapshot;
    const auto bins = static_cast<int>(m_upperBounds.size());
    // Bin -1 (underflow) counts values up to the first bound, the last bin (overflow) values above the last bound.
    for (int bin = -1; bin < bins; ++bin) {
        const uint64_t n = m_buckets->histogram.at(bin).load(std::memory_order_relaxed);
        snapshot.buckets.push_back(n);
        snapshot.count += n;
    }
    snapshot.sum = m_sum.load(std::memory_order_relaxed);
    return snapshot;
}

std::vector<double> Histogram::latencyBounds()
{
    return { 0.001, 0.002, 0.005, 0.01, 0.015, 0.02, 0.027, 0.04, 0.06, 0.1, 0.15, 0.25, 0.5, 1, 1.5, 2.5, 5, 10, 30,
        60, 120 };
}

}

#pragma once

#include <LibMetrics/Counter.h>
#include <LibMetrics/Gauge.h>
#include <LibMetrics/Histogram.h>

#include <compare>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Chicorydock {

/// One label of a time series, for example `service="flag-assistant"`.
struct MetricLabel {
    std::string name;
    std::string value;

    auto operator<=>(const MetricLabel&) const = default;
};

/// Labels in the order in which they are written. Values come from small closed sets, never from callers, because each
/// combination is a time series that is kept for the life of the process.
using MetricLabels = std::vector<MetricLabel>;

/// All metrics of one process.
///
/// Thread safety: all methods may be called from any thread. Looking a metric up takes a lock, so the request path
/// keeps the returned reference, which is valid as long as the registry; using the metric does not lock.
class MetricsRegistry {
public:
    /// Returns the metric with this name and these labels and creates it on the first call. Precondition: name and
    /// label names are valid in Prometheus, and one name always has the same type. The first call with a name sets the
    /// help text, and the first call with a name and labels sets the bounds.
    Counter& counter(std::string_view name, std::string_view help, const MetricLabels& = {});
    Gauge& gauge(std::string_view name, std::string_view help, const MetricLabels& = {});
    Histogram& histogram(std::string_view name, std::string_view help, const MetricLabels& = {},
        const std::vector<double>& upperBounds = Histogram::latencyBounds());

    /// Returns all metrics in the Prometheus text format, version 0.0.4, sorted by name.
    std::string text() const;

private:
    using Metric = std::variant<std::unique_ptr<Counter>, std::unique_ptr<Gauge>, std::unique_ptr<Histogram>>;

    struct Family {
        std::string help;
        std::string type;
        std::map<MetricLabels, Metric> metrics;
    };

    template <typename T, typename... Arguments>
    T& findOrCreate(
        std::string_view name, std::string_view help, std::string_view type, const MetricLabels&, const Arguments&...);

    mutable std::mutex m_mutex;
    std::map<std::string, Family, std::less<>> m_families;
};

}

#include <LibMetrics/MetricsRegistry.h>

#include <LibMetrics/PrometheusText.h>

#include <algorithm>
#include <cassert>

namespace Chicorydock {

namespace {

    bool isNameCharacter(char c)
    {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '_';
    }

    /// Excludes colons, which are valid in metric names but reserved for recording rules.
    [[maybe_unused]] bool isName(std::string_view name)
    {
        return !name.empty() && !(name[0] >= '0' && name[0] <= '9') && std::ranges::all_of(name, isNameCharacter);
    }

}

template <typename T, typename... Arguments>
T& MetricsRegistry::findOrCreate(std::string_view name, std::string_view help, std::string_view type,
    const MetricLabels& labels, const Arguments&... arguments)
{
    assert(isName(name));
    assert(std::ranges::all_of(labels, [](const MetricLabel& it) { return isName(it.name) && it.name != "le"; }));
    const std::lock_guard guard(m_mutex);
    Family& family
        = m_families.try_emplace(std::string(name), Family { std::string(help), std::string(type), {} }).first->second;
    assert(family.type == type);
    const auto [it, isNew] = family.metrics.try_emplace(labels);
    if (isNew)
        it->second = std::make_unique<T>(arguments...);
    return *std::get<std::unique_ptr<T>>(it->second);
}

Counter& MetricsRegistry::counter(std::string_view name, std::string_view help, const MetricLabels& labels)
{
    return findOrCreate<Counter>(name, help, "counter", labels);
}

Gauge& MetricsRegistry::gauge(std::string_view name, std::string_view help, const MetricLabels& labels)
{
    return findOrCreate<Gauge>(name, help, "gauge", labels);
}

Histogram& MetricsRegistry::histogram(
    std::string_view name, std::string_view help, const MetricLabels& labels, const std::vector<double>& upperBounds)
{
    return findOrCreate<Histogram>(name, help, "histogram", labels, upperBounds);
}

std::string MetricsRegistry::text() const
{
    PrometheusText out;
    const std::lock_guard guard(m_mutex);
    for (const auto& [name, family] : m_families) {
        out.addFamily(name, family.help, family.type);
        for (const auto& [labels, metric] : family.metrics)
            std::visit(
                [&out, &name = name, &labels = labels](const auto& it) { out.addSample(name, labels, *it); }, metric);
    }
    return out.text();
}

}

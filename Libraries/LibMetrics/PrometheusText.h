#pragma once

#include <LibMetrics/MetricsRegistry.h>

namespace Chicorydock {

/// Writes metrics in the Prometheus text format, version 0.0.4.
///
/// Thread safety: none.
class PrometheusText {
public:
    void addFamily(std::string_view name, std::string_view help, std::string_view type);
    void addSample(std::string_view name, const MetricLabels&, const Counter&);
    void addSample(std::string_view name, const MetricLabels&, const Gauge&);
    void addSample(std::string_view name, const MetricLabels&, const Histogram&);

    const std::string& text() const { return m_text; }

private:
    void addLine(std::string_view name, std::string_view suffix, const MetricLabels&, std::string_view value);

    std::string m_text;
};

}

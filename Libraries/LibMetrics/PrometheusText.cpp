#include <LibMetrics/PrometheusText.h>

#include <array>
#include <charconv>
#include <cmath>

namespace Chicorydock {

namespace {

    std::string formatNumber(double number)
    {
        if (std::isnan(number))
            return "NaN";
        if (std::isinf(number))
            return number > 0 ? "+Inf" : "-Inf";
        std::array<char, 32> buf {};
        const auto [end, ec] = std::to_chars(buf.data(), buf.data() + buf.size(), number);
        return { buf.data(), end };
    }

    /// Help texts escape backslash and line break; label values escape the double quote as well.
    std::string escape(std::string_view text, bool escapesQuotes)
    {
        std::string escaped;
        for (const char c : text) {
            if (c == '\n')
                escaped += "\\n";
            else if (c == '\\' || (c == '"' && escapesQuotes))
                escaped.append(1, '\\').push_back(c);
            else
                escaped += c;
        }
        return escaped;
    }

}

void PrometheusText::addFamily(std::string_view name, std::string_view help, std::string_view type)
{
    m_text.append("# HELP ").append(name).append(" ").append(escape(help, false)).append("\n");
    m_text.append("# TYPE ").append(name).append(" ").append(type).append("\n");
}

void PrometheusText::addSample(std::string_view name, const MetricLabels& labels, const Counter& counter)
{
    addLine(name, "", labels, std::to_string(counter.value()));
}

void PrometheusText::addSample(std::string_view name, const MetricLabels& labels, const Gauge& gauge)
{
    addLine(name, "", labels, formatNumber(gauge.value()));
}

void PrometheusText::addSample(std::string_view name, const MetricLabels& labels, const Histogram& histogram)
{
    const Histogram::Snapshot snapshot = histogram.snapshot();
    const auto& bounds = histogram.upperBounds();
    uint64_t cumulative = 0;
    for (size_t n = 0; n < snapshot.buckets.size(); ++n) {
        cumulative += snapshot.buckets[n];
        MetricLabels withBound = labels;
        withBound.push_back({ "le", n < bounds.size() ? formatNumber(bounds[n]) : "+Inf" });
        addLine(name, "_bucket", withBound, std::to_string(cumulative));
    }
    addLine(name, "_sum", labels, formatNumber(snapshot.sum));
    addLine(name, "_count", labels, std::to_string(snapshot.count));
}

void PrometheusText::addLine(
    std::string_view name, std::string_view suffix, const MetricLabels& labels, std::string_view value)
{
    m_text.append(name).append(suffix);
    char separator = '{';
    for (const MetricLabel& it : labels) {
        m_text.append(1, separator).append(it.name).append("=\"").append(escape(it.value, true)).append("\"");
        separator = ',';
    }
    m_text.append(labels.empty() ? " " : "} ").append(value).append("\n");
}

}

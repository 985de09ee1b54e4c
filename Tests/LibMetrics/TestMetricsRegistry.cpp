#include <LibMetrics/MetricsRegistry.h>

#include <catch2/catch.hpp>

#include <limits>

using namespace Chicorydock;

// Guards against text that Prometheus rejects: escapes, cumulative buckets, special numbers, one header per family.
TEST_CASE("the text follows the format of Prometheus")
{
    MetricsRegistry registry;
    registry.counter("requests_total", "Requests.\nWith \\ and \".", { { "service", "a\"b\\c\nd" } }).add(3);
    registry.counter("requests_total", "ignored", { { "service", "plain" }, { "class", "online" } }).add();
    registry.gauge("queue_length", "Queue.").set(2.5);
    registry.gauge("slack_seconds", "Slack.").set(-std::numeric_limits<double>::infinity());
    Histogram& histogram = registry.histogram("latency_seconds", "Latency.", { { "service", "s" } }, { 0.001, 0.5 });
    histogram.observe(0.001);
    histogram.observe(0.25);
    histogram.observe(7);
    CHECK(registry.text() == R"(# HELP latency_seconds Latency.
# TYPE latency_seconds histogram
latency_seconds_bucket{service="s",le="0.001"} 1
latency_seconds_bucket{service="s",le="0.5"} 2
latency_seconds_bucket{service="s",le="+Inf"} 3
latency_seconds_sum{service="s"} 7.251
latency_seconds_count{service="s"} 3
# HELP queue_length Queue.
# TYPE queue_length gauge
queue_length 2.5
# HELP requests_total Requests.\nWith \\ and ".
# TYPE requests_total counter
requests_total{service="a\"b\\c\nd"} 3
requests_total{service="plain",class="online"} 1
# HELP slack_seconds Slack.
# TYPE slack_seconds gauge
slack_seconds -Inf
)");
}

// Guards against a lookup that resets a metric or returns the metric of another label set.
TEST_CASE("the same name and labels return the same metric")
{
    MetricsRegistry registry;
    Counter& counter = registry.counter("c_total", "C.", { { "a", "1" } });
    CHECK(&registry.counter("c_total", "C.", { { "a", "1" } }) == &counter);
    CHECK(&registry.counter("c_total", "C.", { { "a", "2" } }) != &counter);
}

#include "EventLoopThread.h"
#include "LoadCaller.h"
#include "OriginService.h"
#include "RelayService.h"

#include <QCoreApplication>

#include <gflags/gflags.h>

#include <algorithm>
#include <cstdio>
#include <ctime>

DEFINE_double(seconds, 3, "duration of each row");
DEFINE_string(commit, "", "commit to record in every row");

using namespace Chicorydock;

namespace {

double cpuSeconds() { return static_cast<double>(std::clock()) / CLOCKS_PER_SEC; }

double quantile(const std::vector<double>& sorted, double q)
{
    return sorted[std::min(sorted.size() - 1, static_cast<size_t>(q * static_cast<double>(sorted.size())))];
}

std::vector<double> runCallers(uint16_t port, const std::string& path, int connections)
{
    const auto end = std::chrono::steady_clock::now()
        + std::chrono::duration_cast<std::chrono::steady_clock::duration>(std::chrono::duration<double>(FLAGS_seconds));
    std::vector<std::future<std::vector<double>>> callers;
    for (int n = 0; n < connections; ++n)
        callers.push_back(std::async(std::launch::async, [&] { return LoadCaller(port, path).run(end); }));
    std::vector<double> latencies;
    for (auto& it : callers) {
        const std::vector<double> part = it.get();
        latencies.insert(latencies.end(), part.begin(), part.end());
    }
    std::ranges::sort(latencies);
    return latencies;
}

void measure(const char* setup, uint16_t port, const std::string& path, int connections)
{
    const double cpuBefore = cpuSeconds();
    const std::vector<double> latencies = runCallers(port, path, connections);
    // Processor time of the whole process, which contains callers, relay and origin.
    const double cpu = cpuSeconds() - cpuBefore;
    const double count = static_cast<double>(latencies.size());
    std::printf("{\"benchmark\":\"http\",\"way\":\"%s\",\"path\":\"%s\",\"connections\":%d,\"requests_per_s\":%.0f,"
                "\"p50_us\":%.0f,\"p99_us\":%.0f,\"process_cpu_us_per_request\":%.1f,\"commit\":\"%s\"}\n",
        setup, path.c_str(), connections, count / FLAGS_seconds, quantile(latencies, 0.5), quantile(latencies, 0.99),
        cpu * 1e6 / count, FLAGS_commit.c_str());
    std::fflush(stdout);
}

}

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("measures what HttpServer and PooledHttpClient add to a call");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const QCoreApplication application(argc, argv);
    const EventLoopThread<OriginService> origin([] { return std::make_unique<OriginService>(); });
    const uint16_t originPort = origin.service().port();
    const EventLoopThread<RelayService> relay(
        [&] { return std::make_unique<RelayService>("127.0.0.1:" + std::to_string(originPort)); });
    for (const char* path : { "/call", "/stream" }) {
        for (const int connections : { 1, 16 }) {
            measure("direct", originPort, path, connections);
            measure("relay", relay.service().port(), path, connections);
        }
    }
}

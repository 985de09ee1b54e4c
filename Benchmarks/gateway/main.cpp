#include <LibCore/Digest.h>
#include <LibGateway/GatewayHandler.h>
#include <Tests/LibGateway/FakeJobPeers.h>
#include <Tests/LibGateway/GatewayFixture.h>
#include <Tests/Support/FakeExchange.h>

#include <QCoreApplication>
#include <gflags/gflags.h>

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <vector>

// Measures the processor time of one forwarded request without sockets, and of one look-up of a key, and prints one
// JSON line per row. Rows with and without workspaces alternate, so that other load of the machine meets both.
DEFINE_uint32(requests, 4'000, "requests per row");
DEFINE_uint32(rounds, 9, "rows of each kind");
DEFINE_string(commit, "unknown", "commit that is measured, copied into every row");

using namespace Chicorydock;

namespace {

constexpr size_t workspaceCount = 560;

double processorSeconds()
{
    timespec time {};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

QByteArray keyOf(size_t n) { return "h5mgjy5rcpihhac" + QByteArray::number(static_cast<qulonglong>(n)); }

std::vector<GatewayWorkspace> makeWorkspaces(size_t keys)
{
    std::vector<GatewayWorkspace> workspaces(std::min(keys, workspaceCount));
    for (size_t n = 0; n < workspaces.size(); ++n)
        workspaces[n].limits.name = "workspace" + std::to_string(n);
    for (size_t n = 0; n < keys; ++n)
        workspaces[n % workspaces.size()].keyDigests.push_back(sha256(keyOf(n).toStdString()));
    return workspaces;
}

/// Returns microseconds per request.
double measureRequests(size_t keys)
{
    GatewayFixture node;
    FakeJobPeers peers;
    JobController jobs { node.environment, node.rows, peers, "n1" };
    GatewayHandler handler { node.environment, jobs };
    if (keys > 0) {
        GatewayConfiguration configuration = *node.environment.configuration;
        configuration.hasWorkspaces = true;
        configuration.workspaces = makeWorkspaces(keys);
        node.environment.configuration = std::make_shared<const GatewayConfiguration>(configuration);
        node.environment.keys();
    }
    const double start = processorSeconds();
    for (size_t n = 0; n < FLAGS_requests; ++n) {
        HttpRequest request { "POST", "/i/1", {},
            { { "Host", "h.example" }, { "Request-Id", "9c41d07be2a35f68" }, { "Deadline-Ms", "4000" },
                { "Authorization", "Bearer " + keyOf(keys > 0 ? n % keys : n) } },
            {}, "/i/1" };
        handler.handle(std::make_shared<FakeExchange>(std::move(request)));
        GatewayFixture::settle();
        node.http.handOver();
        node.http.headers(200);
        node.http.data("body");
        node.http.finish();
        GatewayFixture::settle();
    }
    return (processorSeconds() - start) * 1e6 / FLAGS_requests;
}

/// Returns microseconds per look-up.
double measureLookUps(size_t keys)
{
    const KeyTable table(makeWorkspaces(keys), 1);
    constexpr size_t lookUps = 100'000;
    size_t found = 0;
    const double start = processorSeconds();
    for (size_t n = 0; n < lookUps; ++n)
        found += table.find(keyOf(n % (2 * keys))).has_value() ? 1 : 0;
    const double time = (processorSeconds() - start) * 1e6 / lookUps;
    return found > 0 ? time : 0;
}

double median(std::vector<double> values)
{
    std::ranges::sort(values);
    return values[values.size() / 2];
}

void print(const char* name, size_t keys, const std::vector<double>& values)
{
    std::printf("{\"commit\":\"%s\",\"row\":\"%s\",\"keys\":%zu,\"median_us\":%.3f,\"min_us\":%.3f}\n",
        FLAGS_commit.c_str(), name, keys, median(values), *std::ranges::min_element(values));
}

}

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const QCoreApplication application(argc, argv);
    const std::vector<size_t> keyCounts { 0, 10, 10'000 };
    std::vector<std::vector<double>> requests(keyCounts.size());
    std::vector<std::vector<double>> lookUps(keyCounts.size());
    for (size_t round = 0; round < FLAGS_rounds; ++round) {
        for (size_t n = 0; n < keyCounts.size(); ++n) {
            requests[n].push_back(measureRequests(keyCounts[n]));
            if (keyCounts[n] > 0)
                lookUps[n].push_back(measureLookUps(keyCounts[n]));
        }
    }
    for (size_t n = 0; n < keyCounts.size(); ++n)
        print("request", keyCounts[n], requests[n]);
    for (size_t n = 1; n < keyCounts.size(); ++n)
        print("look_up", keyCounts[n], lookUps[n]);
    return 0;
}

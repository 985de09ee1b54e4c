#include "Rows.h"

#include <Commit.h>

#include <QJsonDocument>
#include <QJsonObject>

#include <gflags/gflags.h>

#include <algorithm>
#include <cstdio>
#include <future>

DEFINE_string(row, "", "Run only the rows whose names begin with this.");
DEFINE_string(policy, "", "Run only this policy: naive or learned.");
DEFINE_uint32(seeds, 3, "Number of seeds per row.");
DEFINE_uint32(first_seed, 1, "First seed.");

using namespace Chicorydock;

namespace {

const char* nameOf(Policy policy) { return policy == Policy::Naive ? "naive" : "learned"; }

void print(const QJsonObject& object)
{
    std::puts(QJsonDocument(object).toJson(QJsonDocument::Compact).constData());
    std::fflush(stdout);
}

QJsonObject makeLine(const Row& row, Policy policy, const QJsonValue& seed, const Metric& metric)
{
    QJsonObject line;
    line["row"] = QString::fromStdString(row.name);
    line["policy"] = nameOf(policy);
    line["seed"] = seed;
    line["commit"] = CHICORYDOCK_COMMIT;
    line["metric"] = QString::fromStdString(metric.name);
    line["value"] = metric.value;
    line["target"] = metric.target ? QJsonValue(*metric.target) : QJsonValue();
    if (metric.target)
        line["met"] = metric.isLowerBound ? metric.value >= *metric.target : metric.value <= *metric.target;
    return line;
}

// Runs one row with all seeds and prints the values of each seed, their median and the worst.
void runRow(const Row& row, Policy policy)
{
    std::vector<std::vector<Metric>> runs;
    // Rows that measure real time run one seed at a time. Others measure simulated time and run all seeds at once.
    const bool isTimed = row.name.starts_with("h ");
    std::vector<std::future<std::vector<Metric>>> pending;
    for (uint32_t n = 0; n < FLAGS_seeds; ++n)
        pending.push_back(
            std::async(isTimed ? std::launch::deferred : std::launch::async, row.run, policy, FLAGS_first_seed + n));
    for (auto& it : pending)
        runs.push_back(it.get());
    for (size_t metric = 0; metric < runs.front().size(); ++metric) {
        std::vector<double> values;
        for (uint32_t n = 0; n < FLAGS_seeds; ++n) {
            print(makeLine(row, policy, static_cast<int>(FLAGS_first_seed + n), runs[n][metric]));
            values.push_back(runs[n][metric].value);
        }
        std::ranges::sort(values);
        Metric summary = runs.front()[metric];
        summary.value = values[values.size() / 2];
        print(makeLine(row, policy, "median", summary));
        summary.value = summary.isLowerBound ? values.front() : values.back();
        print(makeLine(row, policy, "worst", summary));
    }
}

}

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("Measures the schedulers on a simulated clock and prints one JSON line per value.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    for (const Row& row : rows()) {
        if (!row.name.starts_with(FLAGS_row))
            continue;
        for (const Policy policy : { Policy::Naive, Policy::Learned }) {
            if (FLAGS_policy.empty() || FLAGS_policy == nameOf(policy))
                runRow(row, policy);
        }
    }
    return 0;
}

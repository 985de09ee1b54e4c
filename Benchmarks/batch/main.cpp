#include "Commit.h"
#include "StepClock.h"
#include "StepTableService.h"
#include "TimedExecutor.h"

#include <LibBatch/BatchController.h>
#include <LibBatch/TableJobService.h>
#include <LibPlatform/MemoryObjectStore.h>
#include <LibPlatform/MemoryTableService.h>

#include <QJsonDocument>

#include <gflags/gflags.h>

#include <algorithm>
#include <cstdio>
#include <memory>
#include <vector>

DEFINE_uint64(seed, 1, "seed of item times, job sizes and claims");
DEFINE_uint32(in_flight, 32, "items in flight per node");
DEFINE_uint32(items_per_node, 20'000, "items of all jobs, per node");
DEFINE_double(item_seconds, 4, "mean time of an item");

using namespace Chicorydock;

namespace {

constexpr uint32_t chunkItems = 200;
/// Interval at which executors and controllers are polled, one node after the other.
constexpr Milliseconds step { 250 };
constexpr Milliseconds idleTime { 60'000 };

/// One node of the simulation.
struct Node {
    Node(uint32_t number, TableService& tables, ObjectStore& objects, const Clock& clock)
        : random(FLAGS_seed * 1'000 + number)
        , executor(clock, random, FLAGS_in_flight, FLAGS_item_seconds)
        , controller({ .nodeId = "node-" + std::to_string(number) }, tables, objects, executor, clock,
              FLAGS_seed * 1'000 + number)
    {
    }

    SeededRandom random;
    TimedExecutor executor;
    BatchController controller;
};

/// Number of store calls up to some time.
struct CallCounts {
    uint64_t tableReads { 0 };
    uint64_t tableWrites { 0 };
    uint64_t objectReads { 0 };
    uint64_t objectWrites { 0 };
};

/// Nodes that process jobs until all have ended and are then idle for `idleTime`.
class Fleet {
public:
    explicit Fleet(uint32_t nodeCount)
        : m_random(FLAGS_seed)
        , m_service(m_tables, m_objects, m_clock, m_random, chunkItems)
    {
        for (uint32_t n = 0; n < nodeCount; ++n)
            m_nodes.push_back(std::make_unique<Node>(n, m_stepTables, m_objects, m_clock));
    }

    QJsonObject run()
    {
        submitJobs(FLAGS_items_per_node * static_cast<uint32_t>(m_nodes.size()));
        const CallCounts submitted = callCounts();
        const MonotonicTime start = m_clock.now();
        while (!m_tables.scan("open_jobs", {}, {}, 1).empty())
            advance();
        const CallCounts ended = callCounts();
        const double seconds = toSeconds(m_clock.now() - start);
        const MonotonicTime idleEnd = m_clock.now() + idleTime;
        while (m_clock.now() < idleEnd)
            advance();
        const CallCounts idle = callCounts();
        return row(submitted, ended, idle, seconds);
    }

private:
    void submitJobs(uint32_t total)
    {
        // Many small jobs and a few large ones.
        for (uint32_t n = 0; m_items < total; ++n) {
            const uint32_t largest = n % 10 == 0 ? total / 5 : total / 100;
            const auto size = std::min(total - m_items, static_cast<uint32_t>(1 + m_random.below(largest)));
            submitJob(n, size);
            m_items += size;
            ++m_jobs;
        }
    }

    void submitJob(uint32_t number, uint32_t size)
    {
        std::string items;
        for (uint32_t n = 0; n < size; ++n) {
            items += "{\"custom_id\":\"" + std::to_string(n)
                + "\",\"method\":\"POST\",\"url\":\"/v1/completions\",\"body\":{\"prompt\":\"sheet\"}}\n";
        }
        m_service.submit({ .id = "job-" + std::to_string(number),
            .workspace = "w",
            .items = std::move(items),
            .completionWindow = std::chrono::minutes { 60 + m_random.below(600) } });
    }

    void advance()
    {
        m_clock.setNow(m_clock.now() + step);
        m_stepTables.beginStep();
        for (const auto& node : m_nodes) {
            node->executor.poll();
            if (node->controller.nextTick() <= m_clock.now())
                node->controller.tick(m_clock.now());
        }
    }

    CallCounts callCounts() const
    {
        return { m_stepTables.reads(), m_tables.writes(), m_objects.reads(), m_objects.writes() };
    }

    QJsonObject row(const CallCounts& before, const CallCounts& after, const CallCounts& idle, double seconds) const
    {
        BatchCounters sum;
        for (const auto& node : m_nodes) {
            sum.claims += node->controller.counters().claims;
            sum.claimConflicts += node->controller.counters().claimConflicts;
            sum.lostChunks += node->controller.counters().lostChunks;
        }
        const double thousands = m_items / 1'000.0;
        const auto nodeCount = static_cast<double>(m_nodes.size());
        const double slotSeconds = nodeCount * FLAGS_in_flight * seconds;
        return { { "benchmark", "batch_store_calls" }, { "commit", CHICORYDOCK_COMMIT },
            { "seed", static_cast<qint64>(FLAGS_seed) }, { "controllers", static_cast<qint64>(m_nodes.size()) },
            { "items", static_cast<qint64>(m_items) }, { "jobs", static_cast<qint64>(m_jobs) },
            { "table_writes_per_1000_items", static_cast<double>(after.tableWrites - before.tableWrites) / thousands },
            { "table_reads_per_1000_items", static_cast<double>(after.tableReads - before.tableReads) / thousands },
            { "object_writes_per_1000_items",
                static_cast<double>(after.objectWrites - before.objectWrites) / thousands },
            { "object_reads_per_1000_items", static_cast<double>(after.objectReads - before.objectReads) / thousands },
            { "conflicts_per_claim", static_cast<double>(sum.claimConflicts) / static_cast<double>(sum.claims) },
            { "lost_chunks", static_cast<qint64>(sum.lostChunks) }, { "simulated_seconds", seconds },
            { "slot_use", m_items * FLAGS_item_seconds / slotSeconds },
            { "idle_table_reads_per_second_per_controller",
                static_cast<double>(idle.tableReads - after.tableReads) / nodeCount / toSeconds(idleTime) },
            { "idle_table_writes", static_cast<qint64>(idle.tableWrites - after.tableWrites) } };
    }

    StepClock m_clock;
    MemoryTableService m_tables;
    StepTableService m_stepTables { m_tables };
    MemoryObjectStore m_objects;
    SeededRandom m_random;
    TableJobService m_service;
    std::vector<std::unique_ptr<Node>> m_nodes;
    uint32_t m_items { 0 };
    uint32_t m_jobs { 0 };
};

}

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("measures the store calls and lost races of batch controllers on a simulated clock");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    for (const uint32_t controllers : { 1U, 10U, 40U }) {
        const QJsonObject row = Fleet(controllers).run();
        std::printf("%s\n", QJsonDocument(row).toJson(QJsonDocument::Compact).constData());
        std::fflush(stdout);
    }
    return 0;
}

#pragma once

#include "FakeExecutor.h"

#include <LibBatch/BatchController.h>
#include <LibBatch/TableJobService.h>
#include <LibPlatform/MemoryObjectStore.h>
#include <LibPlatform/MemoryTableService.h>
#include <Tests/Support/FaultyObjectStore.h>
#include <Tests/Support/FaultyTableService.h>
#include <Tests/Support/SimulatedClock.h>

#include <memory>
#include <string>
#include <vector>

namespace Chicorydock {

/// Several batch controllers that share a store and a simulated clock.
class BatchCluster {
public:
    static constexpr uint32_t chunkItems = 10;

    /// One node, with its own fault injection between it and the store.
    struct Node {
        Node(BatchCluster& cluster, uint64_t number)
            : faults(number)
            , tables(cluster.tables, faults)
            , objects(cluster.objects, faults)
            , executor(std::make_unique<FakeExecutor>(cluster.runs))
        {
            start(cluster, number);
        }

        /// Restarts the controller as after a crash, which loses the items in flight.
        void start(BatchCluster& cluster, uint64_t seed)
        {
            controller.reset();
            executor = std::make_unique<FakeExecutor>(cluster.runs);
            BatchOptions options = cluster.options;
            options.nodeId = "node";
            controller = std::make_unique<BatchController>(options, tables, objects, *executor, cluster.clock, seed);
        }

        FaultInjector faults;
        FaultyTableService tables;
        FaultyObjectStore objects;
        std::unique_ptr<FakeExecutor> executor;
        std::unique_ptr<BatchController> controller;
    };

    explicit BatchCluster(size_t nodeCount = 1, const BatchOptions& batchOptions = {})
        : options(batchOptions)
    {
        for (size_t n = 0; n < nodeCount; ++n)
            nodes.push_back(std::make_unique<Node>(*this, ++lastSeed));
    }

    Node& node(size_t n) { return *nodes[n]; }

    void crash(size_t n) { nodes[n]->start(*this, ++lastSeed); }

    void tick(size_t n) { nodes[n]->controller->tick(clock.now()); }

    void tickAll()
    {
        for (size_t n = 0; n < nodes.size(); ++n)
            tick(n);
    }

    /// Ticks all nodes and ends all items as `decide` determines until the job has ended. Returns whether it has.
    bool runToEnd(const std::string& id, const FakeExecutor::Decision& decide = &FakeExecutor::succeed)
    {
        constexpr int maxSteps = 2'000;
        for (int step = 0; step < maxSteps; ++step) {
            tickAll();
            for (const auto& it : nodes)
                it->executor->finish(decide);
            if (service.status("", id).state != JobView::State::InProgress)
                return true;
            clock.advance(Milliseconds { 500 });
        }
        return false;
    }

    static std::string items(uint32_t count, const std::string& path = "/v1/completions")
    {
        std::string text;
        for (uint32_t n = 0; n < count; ++n) {
            text += "{\"custom_id\":\"item-" + std::to_string(n) + "\",\"method\":\"POST\",\"url\":\"" + path
                + "\",\"body\":{\"prompt\":\"flag\"}}\n";
        }
        return text;
    }

    JobSubmission submission(const std::string& id, uint32_t count, bool unrepeatable = false) const
    {
        return { .id = id, .workspace = "w", .items = items(count), .unrepeatable = unrepeatable };
    }

    uint32_t runsOf(const std::string& job, uint32_t index) const
    {
        const auto it = runs.find({ job, index });
        return it == runs.end() ? 0 : it->second;
    }

    SimulatedClock clock;
    MemoryTableService tables;
    MemoryObjectStore objects;
    RunCounts runs;
    SeededRandom serviceRandom { 1'000 };
    TableJobService service { tables, objects, clock, serviceRandom, chunkItems };
    BatchOptions options;
    uint64_t lastSeed { 0 };
    std::vector<std::unique_ptr<Node>> nodes;
};

}

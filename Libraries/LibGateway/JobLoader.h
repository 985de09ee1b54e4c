#pragma once

#include <LibGateway/JobHead.h>
#include <LibPlatform/RowStore.h>

#include <functional>
#include <string>
#include <vector>

namespace Chicorydock {

/// All stored data of a job except its `JobHead`.
struct JobContent {
    std::vector<JobItem> items;
    std::vector<JobResult> results;
    /// At most one entry per item, merged from its checkpoints; starts at its first event.
    std::vector<ItemProgress> progress;
    /// Sequence number of the next checkpoint.
    size_t nextProgress { 0 };

    bool operator==(const JobContent&) const = default;
};

/// Reads jobs from the store. Replies are asynchronous, on the caller's thread, and stop when the store is
/// destroyed.
namespace JobLoader {

    /// Reads the items of the job.
    void loadItems(RowStore&, const JobHead&, std::function<void(StoreResult<std::vector<JobItem>>)>);

    /// Reads results starting at position `from`, as many as one call to the store returns.
    void loadResults(
        RowStore&, const std::string& jobId, size_t from, std::function<void(StoreResult<std::vector<JobResult>>)>);

    /// Reads the items, all results and the progress of the job.
    void loadAll(RowStore&, const JobHead&, std::function<void(StoreResult<JobContent>)>);

}

}

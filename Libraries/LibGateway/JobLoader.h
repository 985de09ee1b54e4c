#pragma once

#include <LibGateway/JobHead.h>
#include <LibPlatform/RowStore.h>

#include <functional>
#include <string>
#include <vector>

namespace Chicorydock {

/// All that the store holds of a job, beside its record.
struct JobContent {
    std::vector<JobItem> items;
    std::vector<JobResult> results;
    /// One entry an item, from its first event on.
    std::vector<ItemProgress> progress;
    /// Number of the next row of progress.
    size_t nextProgress { 0 };

    bool operator==(const JobContent&) const = default;
};

/// Reads jobs from the store. The replies come later, on the thread of the caller, as long as the store exists.
namespace JobLoader {

    /// Reads the items of the job.
    void loadItems(RowStore&, const JobHead&, std::function<void(StoreResult<std::vector<JobItem>>)>);

    /// Reads the results at the positions from `from` on, as many as one call returns.
    void loadResults(
        RowStore&, const std::string& jobId, size_t from, std::function<void(StoreResult<std::vector<JobResult>>)>);

    /// Reads everything.
    void loadAll(RowStore&, const JobHead&, std::function<void(StoreResult<JobContent>)>);

}

}

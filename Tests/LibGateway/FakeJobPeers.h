#pragma once

#include <LibGateway/JobController.h>
#include <Tests/Support/MemoryRowStore.h>

#include <set>
#include <string>
#include <vector>

namespace Chicorydock {

/// Peers whose state the test sets. Not thread safe.
class FakeJobPeers final : public JobPeers {
public:
    std::set<std::string> alive;

    bool canRunJobs(const std::string& node) const override { return alive.contains(node); }
    std::vector<std::string> nodesForJobs() const override { return { alive.begin(), alive.end() }; }
};

/// Returns the head rows of all jobs, as a listing of the table does.
inline std::vector<StoredRow> jobHeadRows(const MemoryRowStore& store)
{
    std::vector<StoredRow> rows;
    for (const std::string& it : JobRows::partitions()) {
        for (StoredRow& row : store.rowsIn({ JobRows::recordTable, it, {}, {} }))
            rows.push_back(std::move(row));
    }
    return rows;
}

}

#pragma once

#include <LibGateway/JobController.h>
#include <Tests/Support/MemoryRowStore.h>

#include <set>
#include <string>
#include <vector>

namespace Chicorydock {

/// The other nodes as the test says. Not thread safe.
class FakeJobPeers final : public JobPeers {
public:
    std::set<std::string> alive;

    bool canRunJobs(const std::string& node) const override { return alive.contains(node); }
    std::vector<std::string> nodesForJobs() const override { return { alive.begin(), alive.end() }; }
};

/// Returns the heads of all jobs, as a listing does.
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

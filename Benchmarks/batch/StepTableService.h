#pragma once

#include <LibPlatform/TableService.h>

#include <map>
#include <string>
#include <tuple>

namespace Chicorydock {

/// A table service whose scans do not see the writes of the same step. The nodes of a simulation run one after the
/// other, so that otherwise none of them could lose a race between its scan and its claim. The step is far longer than
/// the response time of a real store, so that lost races are overestimated. Not thread safe.
class StepTableService final : public TableService {
public:
    explicit StepTableService(TableService& inner)
        : m_inner(inner)
    {
    }

    std::optional<Row> get(std::string_view table, std::string_view key) override
    {
        ++m_reads;
        return m_inner.get(table, key);
    }

    std::vector<Row> scan(
        std::string_view table, std::string_view prefix, std::string_view after, size_t limit) override
    {
        ++m_reads;
        const auto [it, isNew]
            = m_cachedScans.try_emplace({ std::string(table), std::string(prefix), std::string(after), limit });
        if (isNew)
            it->second = m_inner.scan(table, prefix, after, limit);
        return it->second;
    }

    CommitResult commit(const Transaction& transaction) override { return m_inner.commit(transaction); }

    void beginStep() { m_cachedScans.clear(); }

    /// Returns the number of calls of `get()` and `scan()`.
    uint64_t reads() const { return m_reads; }

private:
    TableService& m_inner;
    std::map<std::tuple<std::string, std::string, std::string, size_t>, std::vector<Row>> m_cachedScans;
    uint64_t m_reads { 0 };
};

}

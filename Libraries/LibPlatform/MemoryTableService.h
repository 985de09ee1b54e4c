#pragma once

#include <LibPlatform/TableService.h>

#include <map>
#include <mutex>

namespace Chicorydock {

/// A table service in memory, for tests, benchmarks and the fake platform.
///
/// Versions come from one counter over all rows, so that a row that is removed and inserted again never gets a version
/// that an earlier reader has seen.
///
/// Thread safety: all methods may be called from any thread.
class MemoryTableService final : public TableService {
public:
    std::optional<Row> get(std::string_view table, std::string_view key) override;
    std::vector<Row> scan(
        std::string_view table, std::string_view prefix, std::string_view after, size_t limit) override;
    CommitResult commit(const Transaction&) override;

    /// Returns the number of calls of `get()` and `scan()`.
    uint64_t reads() const;
    /// Returns the number of calls of `commit()`.
    uint64_t writes() const;

private:
    using Table = std::map<std::string, Row, std::less<>>;

    const Row* find(std::string_view table, std::string_view key) const;
    uint64_t apply(const Operation&);

    mutable std::mutex m_mutex;
    std::map<std::string, Table, std::less<>> m_tables;
    uint64_t m_lastVersion { 0 };
    uint64_t m_reads { 0 };
    uint64_t m_writes { 0 };
};

}

#include <LibPlatform/MemoryTableService.h>

namespace Chicorydock {

const Row* MemoryTableService::find(std::string_view table, std::string_view key) const
{
    const auto it = m_tables.find(table);
    if (it == m_tables.end())
        return nullptr;
    const auto row = it->second.find(key);
    return row == it->second.end() ? nullptr : &row->second;
}

std::optional<Row> MemoryTableService::get(std::string_view table, std::string_view key)
{
    const std::lock_guard guard(m_mutex);
    ++m_reads;
    const Row* row = find(table, key);
    return row ? std::optional(*row) : std::nullopt;
}

std::vector<Row> MemoryTableService::scan(
    std::string_view table, std::string_view prefix, std::string_view after, size_t limit)
{
    const std::lock_guard guard(m_mutex);
    ++m_reads;
    std::vector<Row> rows;
    const auto found = m_tables.find(table);
    if (found == m_tables.end())
        return rows;
    const Table& content = found->second;
    auto it = after < prefix ? content.lower_bound(prefix) : content.upper_bound(after);
    for (; it != content.end() && rows.size() < limit && it->first.starts_with(prefix); ++it)
        rows.push_back(it->second);
    return rows;
}

CommitResult MemoryTableService::commit(const Transaction& transaction)
{
    const std::lock_guard guard(m_mutex);
    ++m_writes;
    for (size_t n = 0; n < transaction.size(); ++n) {
        const Operation& operation = transaction[n];
        if (!operation.expectedVersion)
            continue;
        const Row* row = find(operation.table, operation.key);
        if ((row ? row->version : 0) != *operation.expectedVersion)
            return { .committed = false, .conflictingOperation = n, .versions = {} };
    }
    CommitResult result { .committed = true, .conflictingOperation = 0, .versions = {} };
    result.versions.reserve(transaction.size());
    for (const Operation& operation : transaction)
        result.versions.push_back(apply(operation));
    return result;
}

uint64_t MemoryTableService::apply(const Operation& operation)
{
    switch (operation.kind) {
    case Operation::Kind::Put:
        ++m_lastVersion;
        m_tables[operation.table][operation.key] = { operation.key, operation.value, m_lastVersion };
        return m_lastVersion;
    case Operation::Kind::Remove:
        m_tables[operation.table].erase(operation.key);
        return 0;
    case Operation::Kind::Check:
        return 0;
    }
    return 0;
}

uint64_t MemoryTableService::reads() const
{
    const std::lock_guard guard(m_mutex);
    return m_reads;
}

uint64_t MemoryTableService::writes() const
{
    const std::lock_guard guard(m_mutex);
    return m_writes;
}

}

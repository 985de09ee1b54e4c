#include <LibGateway/TableCopy.h>

#include <algorithm>

namespace Chicorydock {

void TableCopy::putListing(const std::vector<StoredRow>& rows, uint64_t storeVersion)
{
    // After it has dropped its history, the store may return older state for some seconds.
    if (m_isListed && storeVersion < m_version)
        return;
    std::map<std::string, StoredRow> listed;
    for (const StoredRow& it : rows)
        listed[it.address.key] = newest(it);
    std::erase_if(listed, [](const auto& it) { return it.second.isRemoved; });
    m_rows = std::move(listed);
    m_changes.clear();
    m_isListed = true;
    m_version = storeVersion;
    m_oldestVersion = storeVersion;
}

StoredRow TableCopy::newest(const StoredRow& row) const
{
    const auto known = m_rows.find(row.address.key);
    if (known != m_rows.end() && known->second.version > row.version)
        return known->second;
    const auto removed = m_removals.find(row.address.key);
    if (removed != m_removals.end() && removed->second > row.version)
        return { row.address, {}, removed->second, true };
    return row;
}

void TableCopy::putChanges(uint64_t after, const RowPage& page)
{
    if (!m_isListed || after > m_version)
        return;
    for (const StoredRow& it : page.rows) {
        if (it.version > m_version)
            apply(it);
    }
    m_version = std::max(m_version, page.storeVersion);
    while (m_changes.size() > maxChanges) {
        m_oldestVersion = m_changes.front().version;
        m_changes.pop_front();
    }
}

void TableCopy::apply(const StoredRow& row)
{
    m_changes.push_back(row);
    if (!row.isRemoved) {
        m_rows[row.address.key] = row;
        return;
    }
    m_rows.erase(row.address.key);
    m_removals[row.address.key] = row.version;
    if (m_removals.size() > maxChanges)
        m_removals.erase(std::ranges::min_element(m_removals, {}, [](const auto& it) { return it.second; }));
}

void TableCopy::confirm(MonotonicTime time)
{
    if (m_isListed && (!m_confirmedAt || *m_confirmedAt < time))
        m_confirmedAt = time;
}

RowPage TableCopy::rows() const
{
    RowPage page { {}, false, m_version };
    for (const auto& [key, row] : m_rows)
        page.rows.push_back(row);
    return page;
}

std::optional<bool> TableCopy::hasChangesAfter(uint64_t version) const
{
    if (!m_isListed || version < m_oldestVersion)
        return {};
    return !m_changes.empty() && m_changes.back().version > version;
}

std::optional<RowPage> TableCopy::changesAfter(uint64_t version) const
{
    if (!hasChangesAfter(version))
        return {};
    const auto first = std::ranges::upper_bound(m_changes, version, {}, &StoredRow::version);
    return RowPage { { first, m_changes.end() }, false, m_version };
}

}

#include <LibGateway/TableCopy.h>

#include <algorithm>

namespace Chicorydock {

void TableCopy::putListing(const std::vector<StoredRow>& rows, uint64_t storeVersion)
{
    std::map<std::string, StoredRow> listed;
    for (const StoredRow& it : rows)
        listed[it.address.key] = it;
    // A row that changed after the listing is kept as it is known.
    for (auto& [key, row] : m_rows) {
        const auto it = listed.find(key);
        const bool isNewer = it == listed.end() ? row.version > storeVersion : row.version > it->second.version;
        if (isNewer)
            listed[key] = std::move(row);
    }
    m_rows = std::move(listed);
    m_changes.clear();
    m_isListed = true;
    m_version = std::max(m_version, storeVersion);
    m_oldestVersion = m_version;
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
    if (row.isRemoved)
        m_rows.erase(row.address.key);
    else
        m_rows[row.address.key] = row;
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

std::optional<RowPage> TableCopy::changesAfter(uint64_t version) const
{
    if (!m_isListed || version < m_oldestVersion)
        return {};
    RowPage page { {}, false, m_version };
    std::ranges::copy_if(
        m_changes, std::back_inserter(page.rows), [&](const StoredRow& it) { return it.version > version; });
    return page;
}

}

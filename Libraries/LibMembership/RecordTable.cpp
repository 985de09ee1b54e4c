#include <LibMembership/RecordTable.h>

#include <LibCore/Digest.h>

#include <algorithm>
#include <cassert>

namespace Chicorydock {

namespace {

    uint32_t digestOf(const GossipRecord& record)
    {
        return RecordTable::isVolatile(record.key) ? 0 : static_cast<uint32_t>(stableHash(record.key, record.version));
    }

}

bool RecordTable::put(const GossipRecord& record, MonotonicTime now)
{
    const auto [it, isNew] = m_entries.try_emplace(record.key);
    if (!isNew && it->second.record.version >= record.version)
        return false;
    if (!isNew)
        m_digest ^= digestOf(it->second.record);
    it->second = { record, now };
    m_digest ^= digestOf(record);
    return true;
}

void RecordTable::remove(const std::string& key)
{
    const auto it = m_entries.find(key);
    if (it == m_entries.end())
        return;
    m_digest ^= digestOf(it->second.record);
    m_entries.erase(it);
}

const GossipRecord* RecordTable::find(const std::string& key) const
{
    const auto it = m_entries.find(key);
    return it == m_entries.end() ? nullptr : &it->second.record;
}

std::vector<GossipRecord> RecordTable::withPrefix(const std::string& prefix) const
{
    std::vector<GossipRecord> records;
    for (auto it = m_entries.lower_bound(prefix); it != m_entries.end() && it->first.starts_with(prefix); ++it)
        records.push_back(it->second.record);
    return records;
}

std::string RecordTable::oldest() const
{
    assert(!m_entries.empty());
    return std::ranges::min_element(m_entries, {}, [](const auto& it) { return it.second.changedAt; })->first;
}

}

#include <LibGateway/JobRecords.h>

namespace Chicorydock {

namespace {

    /// No reply of the store is later than this.
    constexpr std::chrono::minutes removalMemory { 10 };

}

bool JobRecords::isNewest(const JobHead& record) const
{
    if (const JobHead* known = find(record.id))
        return record.version >= known->version;
    const auto removal = m_removals.find(record.id);
    return removal == m_removals.end() || record.version > removal->second.version;
}

bool JobRecords::put(const JobHead& record)
{
    if (!isNewest(record))
        return false;
    m_records[record.id] = record;
    m_removals.erase(record.id);
    return true;
}

bool JobRecords::remove(const std::string& jobId, uint64_t version, MonotonicTime now)
{
    const JobHead* known = find(jobId);
    if (known && known->version > version)
        return false;
    Removal& removal = m_removals[jobId];
    removal = { std::max(removal.version, version), now };
    m_records.erase(jobId);
    return true;
}

const JobHead* JobRecords::find(const std::string& jobId) const
{
    const auto it = m_records.find(jobId);
    return it == m_records.end() ? nullptr : &it->second;
}

void JobRecords::forgetOldRemovals(MonotonicTime now)
{
    std::erase_if(m_removals, [&](const auto& it) { return now - it.second.at > removalMemory; });
}

}

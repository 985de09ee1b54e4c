#include <LibGateway/EndpointDirectory.h>

#include <set>

namespace Chicorydock {

namespace {

    /// The platform's pages: registrations of living endpoints are back about two seconds after the store is.
    constexpr Milliseconds lapsedRegistrationTime { 2'200 };

}

void EndpointDirectory::replaceAll(const std::vector<EndpointRecord>& records, MonotonicTime now)
{
    std::set<std::string> listed;
    for (const EndpointRecord& it : records) {
        listed.insert(it.id);
        put(it);
    }
    std::vector<std::string> missing;
    for (const auto& [id, entry] : m_entries) {
        if (!listed.contains(id))
            missing.push_back(id);
    }
    for (const std::string& it : missing)
        remove(it, now);
}

void EndpointDirectory::put(const EndpointRecord& record)
{
    Entry& entry = m_entries[record.id];
    entry.isMissing = false;
    if (entry.record == record)
        return;
    entry.record = record;
    entry.isReplaced = false;
}

void EndpointDirectory::remove(const std::string& id, MonotonicTime now)
{
    const auto it = m_entries.find(id);
    if (it == m_entries.end())
        return;
    // An endpoint that announced its leave does not come back.
    if (isAroundOutage(now) && !it->second.record.isLeaving)
        it->second.isMissing = true;
    else
        m_entries.erase(it);
}

void EndpointDirectory::setStoreReachable(bool isReachable, MonotonicTime now)
{
    if (isReachable && !m_isStoreReachable)
        m_reachableSince = now;
    m_isStoreReachable = isReachable;
}

void EndpointDirectory::markReplaced(const std::string& id)
{
    if (const auto it = m_entries.find(id); it != m_entries.end())
        it->second.isReplaced = true;
}

bool EndpointDirectory::applyRemovals(MonotonicTime now)
{
    if (isAroundOutage(now))
        return false;
    return std::erase_if(m_entries, [](const auto& it) { return it.second.isMissing; }) > 0;
}

std::vector<EndpointRecord> EndpointDirectory::usable() const
{
    std::vector<EndpointRecord> records;
    for (const auto& [id, entry] : m_entries) {
        if (entry.isUsable())
            records.push_back(entry.record);
    }
    return records;
}

std::optional<EndpointRecord> EndpointDirectory::find(const std::string& id) const
{
    const auto it = m_entries.find(id);
    return it == m_entries.end() || !it->second.isUsable() ? std::nullopt : std::optional(it->second.record);
}

bool EndpointDirectory::isAroundOutage(MonotonicTime now) const
{
    return !m_isStoreReachable || now < m_reachableSince + lapsedRegistrationTime;
}

}

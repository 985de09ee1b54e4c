#include <LibGateway/EndpointDirectory.h>

#include <algorithm>
#include <set>
#include <utility>

namespace Chicorydock {

namespace {

    /// According to the platform's documentation, live endpoints renew their registrations about two seconds after the
    /// store has recovered.
    constexpr Milliseconds registrationRecoveryTime { 2'200 };

    /// Time for which the departure of an endpoint without a registration is remembered. No registration of the same
    /// incarnation returns later.
    constexpr std::chrono::minutes departureMemory { 10 };

}

void EndpointDirectory::replaceAll(const std::vector<EndpointRecord>& records, uint64_t storeVersion, MonotonicTime now,
    const std::vector<UnreadableRegistration>& unreadable)
{
    std::set<std::string> listed;
    for (const UnreadableRegistration& it : unreadable) {
        listed.insert(it.id);
        putUnreadable(it, now);
    }
    for (const EndpointRecord& it : records) {
        listed.insert(it.id);
        put(it);
    }
    std::vector<std::string> missing;
    for (const auto& [id, entry] : m_entries) {
        if (!listed.contains(id) && entry.record.version <= storeVersion)
            missing.push_back(id);
    }
    // The version of the removal is unknown; the listing may be older than it claims.
    for (const std::string& it : missing)
        remove(it, m_entries.at(it).record.version, now);
}

void EndpointDirectory::put(const EndpointRecord& record)
{
    if (record.version < newestVersion(record.id))
        return;
    m_removals.erase(record.id);
    Entry& entry = m_entries[record.id];
    entry.isRemovalPending = false;
    EndpointRecord known = std::exchange(entry.record, record);
    known.version = record.version;
    if (known != record)
        m_replaced.erase(record.id);
}

void EndpointDirectory::putUnreadable(const UnreadableRegistration& registration, MonotonicTime now)
{
    if (registration.version < newestVersion(registration.id))
        return;
    // A listing that is behind may still contain the earlier registration.
    m_removals[registration.id] = { registration.version, now };
    m_entries.erase(registration.id);
}

uint64_t EndpointDirectory::newestVersion(const std::string& id) const
{
    const auto entry = m_entries.find(id);
    const auto removal = m_removals.find(id);
    return std::max(entry == m_entries.end() ? 0 : entry->second.record.version,
        removal == m_removals.end() ? 0 : removal->second.version);
}

bool EndpointDirectory::remove(const std::string& id, uint64_t version, MonotonicTime now)
{
    const auto it = m_entries.find(id);
    if (it == m_entries.end() || version < it->second.record.version)
        return true;
    m_removals[id] = { version, now };
    // An endpoint that has announced that it is leaving does not register again.
    if (areRemovalsDeferred(now) && !it->second.record.isLeaving) {
        it->second.isRemovalPending = true;
        return false;
    }
    m_entries.erase(it);
    return true;
}

void EndpointDirectory::setStoreReachable(bool isReachable, MonotonicTime now)
{
    if (isReachable && !m_isStoreReachable)
        m_reachableSince = now;
    m_isStoreReachable = isReachable;
}

void EndpointDirectory::recordStoreAvailable(MonotonicTime since)
{
    if (m_isStoreReachable)
        m_reachableSince = std::min(m_reachableSince, since);
}

bool EndpointDirectory::markReplaced(const std::string& id)
{
    const auto it = m_entries.find(id);
    if (it == m_entries.end())
        return false;
    const bool wasUsable = isUsable(it->second);
    m_replaced.insert(id);
    return wasUsable;
}

bool EndpointDirectory::markLeaving(const std::string& id, MonotonicTime now)
{
    const auto it = m_entries.find(id);
    if (it == m_entries.end() || !isUsable(it->second))
        return false;
    m_departures[id] = { it->second.record.startedAt, now };
    return true;
}

bool EndpointDirectory::isUsable(const Entry& entry) const
{
    return !entry.record.isLeaving && !m_replaced.contains(entry.record.id) && !hasDeparted(entry.record);
}

bool EndpointDirectory::hasDeparted(const EndpointRecord& record) const
{
    const auto departure = m_departures.find(record.id);
    return departure != m_departures.end() && record.startedAt <= departure->second.startedAt;
}

std::vector<std::string> EndpointDirectory::excluded() const
{
    std::vector<std::string> ids(m_replaced.begin(), m_replaced.end());
    for (const auto& [id, departure] : m_departures) {
        const auto it = m_entries.find(id);
        if (it != m_entries.end() && !it->second.record.isLeaving && hasDeparted(it->second.record))
            ids.push_back(id);
    }
    return ids;
}

void EndpointDirectory::forgetOldExclusions(MonotonicTime now)
{
    std::erase_if(m_replaced, [&](const std::string& it) { return !m_entries.contains(it); });
    std::erase_if(m_removals, [&](const auto& it) { return now - it.second.at > departureMemory; });
    std::erase_if(m_departures,
        [&](const auto& it) { return !m_entries.contains(it.first) && now - it.second.announcedAt > departureMemory; });
}

std::vector<std::string> EndpointDirectory::applyRemovals(MonotonicTime now)
{
    forgetOldExclusions(now);
    if (areRemovalsDeferred(now))
        return {};
    std::vector<std::string> removed;
    for (const auto& [id, entry] : m_entries) {
        if (entry.isRemovalPending)
            removed.push_back(id);
    }
    for (const std::string& it : removed)
        m_entries.erase(it);
    return removed;
}

std::vector<EndpointRecord> EndpointDirectory::usable() const
{
    std::vector<EndpointRecord> records;
    for (const auto& [id, entry] : m_entries) {
        if (isUsable(entry))
            records.push_back(entry.record);
    }
    return records;
}

std::optional<EndpointRecord> EndpointDirectory::find(const std::string& id) const
{
    const auto it = m_entries.find(id);
    return it == m_entries.end() || !isUsable(it->second) ? std::nullopt : std::optional(it->second.record);
}

std::optional<EndpointRecord> EndpointDirectory::findFor(
    const std::string& id, const std::string& service, const std::optional<std::string>& softwareVersion) const
{
    auto record = find(id);
    if (!record || record->service != service)
        return {};
    if (softwareVersion && record->softwareVersion != *softwareVersion)
        return {};
    return record;
}

bool EndpointDirectory::offers(const std::string& service) const
{
    return std::ranges::any_of(
        m_entries, [&](const auto& it) { return it.second.record.service == service && isUsable(it.second); });
}

bool EndpointDirectory::canResume(const StreamOrigin& origin) const
{
    return std::ranges::any_of(m_entries, [&](const auto& it) {
        const EndpointRecord& record = it.second.record;
        return StreamOrigin { record.service, record.softwareVersion } == origin && isUsable(it.second);
    });
}

std::map<std::string, VersionCounts> EndpointDirectory::softwareVersions() const
{
    std::map<std::string, VersionCounts> services;
    for (const auto& [id, entry] : m_entries)
        ++services[entry.record.service][entry.record.softwareVersion];
    return services;
}

bool EndpointDirectory::areRemovalsDeferred(MonotonicTime now) const
{
    return !m_isStoreReachable || now < m_reachableSince + registrationRecoveryTime;
}

}

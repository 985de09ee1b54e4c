#include <LibGateway/EndpointRegistrations.h>

#include <utility>

namespace Chicorydock {

EndpointRegistrations::EndpointRegistrations(const WireFormat& wire, EndpointDirectory& directory,
    StreamOrigins& origins, const Clock& clock, EventLog& log, std::function<void()> onChanged)
    : m_wire(wire)
    , m_directory(directory)
    , m_origins(origins)
    , m_clock(clock)
    , m_log(log)
    , m_onChanged(std::move(onChanged))
{
}

void EndpointRegistrations::onTableListed(const TableListing& listing)
{
    std::vector<EndpointRecord> records;
    std::vector<UnreadableRegistration> unreadable;
    for (const StoredRow& it : listing.rows) {
        if (auto record = decode(it))
            records.push_back(std::move(*record));
        else
            unreadable.push_back({ it.address.key, it.version });
    }
    m_directory.replaceAll(records, listing.storeVersion, m_clock.now(), unreadable);
    m_onChanged();
}

void EndpointRegistrations::onRowsChanged(const std::vector<StoredRow>& rows)
{
    for (const StoredRow& it : rows) {
        if (it.isRemoved)
            remove(it);
        else if (const auto record = decode(it))
            put(*record);
        else
            m_directory.putUnreadable({ it.address.key, it.version }, m_clock.now());
    }
    m_onChanged();
}

void EndpointRegistrations::remove(const StoredRow& row)
{
    const bool isRemoved = m_directory.remove(row.address.key, row.version, m_clock.now());
    m_log.record("endpoint", isRemoved ? "removed" : "removal_deferred", row.address.key, {},
        { { "version", static_cast<qint64>(row.version) } });
}

void EndpointRegistrations::put(const EndpointRecord& record)
{
    m_log.record("endpoint", record.isLeaving ? "leaving" : "changed", record.id, {},
        { { "version", static_cast<qint64>(record.version) } });
    m_directory.put(record);
}

std::optional<EndpointRecord> EndpointRegistrations::decode(const StoredRow& row) const
{
    auto record = m_wire.decodeEndpoint(row.address.key, row.value);
    if (record)
        record->version = row.version;
    else
        m_log.record("endpoint", "unreadable", row.address.key);
    return record;
}

void EndpointRegistrations::onReachableChanged(bool isReachable)
{
    const MonotonicTime now = m_clock.now();
    m_log.record("store", isReachable ? "regained" : "lost", "endpoints");
    m_directory.setStoreReachable(isReachable, now);
    m_origins.setStoreReachable(isReachable);
    m_reachableSince = isReachable ? std::optional(now) : std::nullopt;
}

Milliseconds EndpointRegistrations::reachableFor() const
{
    if (!m_reachableSince)
        return Milliseconds { 0 };
    return std::chrono::ceil<Milliseconds>(m_clock.now() - *m_reachableSince);
}

}

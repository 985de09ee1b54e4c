#pragma once

#include <LibGateway/EndpointDirectory.h>
#include <LibGateway/StreamOrigins.h>
#include <LibGateway/WireFormat.h>
#include <LibLog/EventLog.h>
#include <LibPlatform/TableFollower.h>

#include <functional>
#include <optional>
#include <vector>

namespace Chicorydock {

/// Keeps the directory of endpoints up to date with their registrations in the platform's store.
///
/// Thread safety: used on the thread that created it.
class EndpointRegistrations final : public TableListener {
public:
    /// All parameters outlive the object. `onChanged` is called when the usable endpoints may have changed.
    EndpointRegistrations(const WireFormat&, EndpointDirectory&, StreamOrigins&, const Clock&, EventLog&,
        std::function<void()> onChanged);

    void onTableListed(const TableListing&) override;
    void onRowsChanged(const std::vector<StoredRow>&) override;
    void onReachableChanged(bool) override;

    /// Returns the time for which the registrations have been followed without interruption, 0 if they are not.
    Milliseconds reachableFor() const;

private:
    std::optional<EndpointRecord> decode(const StoredRow&) const;
    void remove(const StoredRow&);
    void put(const EndpointRecord&);

    const WireFormat& m_wire;
    EndpointDirectory& m_directory;
    StreamOrigins& m_origins;
    const Clock& m_clock;
    EventLog& m_log;
    const std::function<void()> m_onChanged;
    std::optional<MonotonicTime> m_reachableSince;
};

}

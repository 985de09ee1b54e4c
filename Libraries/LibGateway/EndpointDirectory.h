#pragma once

#include <LibCore/Clock.h>
#include <LibGateway/EndpointRecord.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Chicorydock {

/// The endpoints that a node may use, from their registrations in the platform's store.
///
/// Registrations can lapse while the store is away, although the endpoints live. They are back soon after its return,
/// so a removal that is seen around an outage takes effect only when that time has passed.
///
/// Thread safety: none.
class EndpointDirectory {
public:
    /// Replaces all registrations by a complete listing.
    void replaceAll(const std::vector<EndpointRecord>&, MonotonicTime now);

    void put(const EndpointRecord&);
    void remove(const std::string& id, MonotonicTime now);

    /// Notes whether the store answers.
    void setStoreReachable(bool, MonotonicTime now);

    /// Drops an endpoint whose address belongs to another one, until it registers again with other content.
    void markReplaced(const std::string& id);

    /// Carries out the removals whose time has come. Returns whether anything changed.
    bool applyRemovals(MonotonicTime now);

    /// Returns the endpoints that take new work.
    std::vector<EndpointRecord> usable() const;

    /// Returns the endpoint if it takes new work.
    std::optional<EndpointRecord> find(const std::string& id) const;

private:
    struct Entry {
        EndpointRecord record;
        bool isReplaced { false };
        bool isMissing { false };

        bool isUsable() const { return !record.isLeaving && !isReplaced; }
    };

    bool isAroundOutage(MonotonicTime now) const;

    std::map<std::string, Entry> m_entries;
    bool m_isStoreReachable { true };
    MonotonicTime m_reachableSince;
};

}

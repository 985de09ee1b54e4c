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
/// Registrations can expire during an outage of the store although the endpoints are alive. Endpoints renew them soon
/// after the store has recovered, so a removal that is seen during an outage or shortly after it is deferred until
/// then.
///
/// Thread safety: none.
class EndpointDirectory {
public:
    /// Replaces all registrations by a complete listing of the store.
    void replaceAll(const std::vector<EndpointRecord>&, MonotonicTime now);

    void put(const EndpointRecord&);
    void remove(const std::string& id, MonotonicTime now);

    /// Records whether the store responds.
    void setStoreReachable(bool, MonotonicTime now);

    /// Excludes an endpoint whose address now belongs to another one, until its registration changes.
    void markReplaced(const std::string& id);

    /// Applies deferred removals that are due. Returns whether anything changed.
    bool applyRemovals(MonotonicTime now);

    /// Returns the endpoints that accept new work.
    std::vector<EndpointRecord> usable() const;

    /// Returns the endpoint if it accepts new work.
    std::optional<EndpointRecord> find(const std::string& id) const;

private:
    struct Entry {
        EndpointRecord record;
        bool isReplaced { false };
        bool isRemovalPending { false };

        bool isUsable() const { return !record.isLeaving && !isReplaced; }
    };

    /// Returns whether the store is unreachable or has recovered only recently.
    bool areRemovalsDeferred(MonotonicTime now) const;

    std::map<std::string, Entry> m_entries;
    bool m_isStoreReachable { true };
    MonotonicTime m_reachableSince;
};

}

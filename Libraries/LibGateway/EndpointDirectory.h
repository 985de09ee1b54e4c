#pragma once

#include <LibCore/Clock.h>
#include <LibGateway/DefaultVersions.h>
#include <LibGateway/EndpointRecord.h>
#include <LibGateway/StreamOrigin.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Chicorydock {

/// A registration that cannot be read.
struct UnreadableRegistration {
    std::string id;
    uint64_t version { 0 };

    auto operator<=>(const UnreadableRegistration&) const = default;
};

/// The endpoints that a node may use, from their registrations in the platform's store.
///
/// Registrations can expire during an outage of the store although the endpoints are alive. Endpoints renew them soon
/// after the store has recovered, so a removal that is seen during an outage or shortly after it is deferred until
/// then. This does not apply if only this node was cut off from the store.
///
/// An endpoint also announces in its responses that it is leaving, often before its registration says so and also while
/// the store is away. Such an announcement holds for the incarnation of the endpoint, whatever its registration says
/// and also if the registration disappears and returns: only a later start makes the endpoint usable again.
///
/// A registration that cannot be read names no endpoint, until it changes.
///
/// Thread safety: none.
class EndpointDirectory {
public:
    /// Replaces all registrations by a complete listing of the store as of that version. Registrations that changed
    /// later are kept.
    void replaceAll(const std::vector<EndpointRecord>&, uint64_t storeVersion, MonotonicTime now,
        const std::vector<UnreadableRegistration>& = {});

    /// Ignores a registration that is older than what is known about the endpoint.
    void put(const EndpointRecord&);
    /// Removes an endpoint whose registration can no longer be read, also around an outage of the store: the
    /// registration has not expired. Ignores a registration that is older than what is known about the endpoint.
    void putUnreadable(const UnreadableRegistration&, MonotonicTime now);
    /// Records that the registration was removed at that version. Returns whether the removal took effect; otherwise it
    /// is deferred.
    bool remove(const std::string& id, uint64_t version, MonotonicTime now);

    /// Records whether the store responds.
    void setStoreReachable(bool, MonotonicTime now);

    /// Records that the store has been available since then according to other nodes, so that this node was only cut
    /// off from it. Registrations that are missing were removed while their endpoints could renew them.
    void recordStoreAvailable(MonotonicTime since);

    /// Excludes an endpoint whose address now belongs to another one, until its registration changes. Returns whether
    /// the endpoint was usable before.
    bool markReplaced(const std::string& id);

    /// Excludes an endpoint that has announced in a response that it is leaving, until it has been started again.
    /// Returns whether the endpoint was usable before.
    bool markLeaving(const std::string& id, MonotonicTime now);

    /// Applies deferred removals that are due. Returns the endpoints that were removed.
    std::vector<std::string> applyRemovals(MonotonicTime now);

    /// Returns the endpoints that accept new work.
    std::vector<EndpointRecord> usable() const;

    /// Returns the endpoints that this node excludes although their registrations say that they are ready. Other nodes
    /// may still consider them usable.
    std::vector<std::string> excluded() const;

    /// Returns the endpoint if it accepts new work.
    std::optional<EndpointRecord> find(const std::string& id) const;

    /// Returns the endpoint if it accepts new work, offers the service, and has the software version if one is given.
    /// The scheduler that chose the endpoint may be another node's, and know an older or a newer registration.
    std::optional<EndpointRecord> findFor(
        const std::string& id, const std::string& service, const std::optional<std::string>& softwareVersion) const;

    /// Returns whether an endpoint that accepts new work offers the service.
    bool offers(const std::string& service) const;

    /// Returns whether an endpoint that accepts new work can resume streams that began there.
    bool canResume(const StreamOrigin&) const;

    /// Returns the software versions of all endpoints by service, including those that accept no new work.
    std::map<std::string, VersionCounts> softwareVersions() const;

private:
    struct Entry {
        EndpointRecord record;
        bool isRemovalPending { false };
    };

    /// Announcement of an endpoint that it is leaving.
    struct Departure {
        /// Identifies the incarnation that is leaving.
        int64_t startedAt { 0 };
        MonotonicTime announcedAt;
    };

    /// Removal of a registration.
    struct Removal {
        uint64_t version { 0 };
        MonotonicTime at;
    };

    bool isUsable(const Entry&) const;
    /// Returns the version of the newest change of the registration, 0 if none is known.
    uint64_t newestVersion(const std::string& id) const;
    bool hasDeparted(const EndpointRecord&) const;
    /// Removes what is known about endpoints that have been gone for a long time.
    void forgetOldExclusions(MonotonicTime now);

    /// Returns whether the store is unreachable or has recovered only recently.
    bool areRemovalsDeferred(MonotonicTime now) const;

    std::map<std::string, Entry> m_entries;
    /// By endpoint; outlives the registration.
    std::map<std::string, Departure> m_departures;
    /// By endpoint. A listing that is behind may still contain a registration that was removed.
    std::map<std::string, Removal> m_removals;
    /// Endpoints whose addresses belong to others.
    std::set<std::string> m_replaced;
    bool m_isStoreReachable { true };
    /// Time since which the store is known to be available.
    MonotonicTime m_reachableSince;
};

}

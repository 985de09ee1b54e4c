#pragma once

#include <LibCore/RcuCell.h>
#include <LibDispatch/EndpointSet.h>
#include <LibLog/EventLog.h>
#include <LibMembership/PeerMessage.h>
#include <LibPlatform/VmList.h>

#include <functional>
#include <set>
#include <vector>

namespace Chicorydock {

/// Maintains the set of known endpoints from three sources: the settings, the platform's list of VMs, which lags, and
/// the gossip records of peers. Any of them may be the first to report an endpoint, or that it is leaving.
///
/// Thread safety: none, except that `endpoints()` may be read from any thread; belongs to the controllers' thread.
class EndpointController {
public:
    /// `publish` gossips a record to the peers; `changed` is called after each change of the set. Records of live
    /// endpoints are published for `failureDomain` only, because those of all domains would be too much control traffic
    /// for a node; records of leaving endpoints are published for all domains.
    EndpointController(std::string failureDomain, EventLog&, std::function<void(const GossipRecord&)> publish,
        std::function<void()> changed);

    /// Returns whether a record marks an endpoint as leaving.
    static bool isLeavingRecord(const GossipRecord&);

    /// Adds endpoints from the settings. They stay known even if the platform's list does not contain them.
    void addConfigured(const std::vector<KnownEndpoint>&);

    /// Applies the platform's list. Endpoints that were in the previous list and are not in this one are removed for
    /// good, unless they are configured.
    void applyVmList(const std::vector<VmEntry>&);

    /// Applies a gossip record of the key space `endpoint/`. Other and malformed records are ignored.
    void applyRecord(const GossipRecord&);

    /// Marks an endpoint as leaving and publishes its record. Throws Error(NotFound).
    void drain(const std::string& id);

    const RcuCell<EndpointSet>& endpoints() const { return m_published; }

    /// Returns the gossip record that describes the endpoint.
    static GossipRecord toRecord(const KnownEndpoint&);

private:
    void merge(const KnownEndpoint&, bool mayPublish);
    void publishSet();

    std::string m_failureDomain;
    EventLog& m_eventLog;
    std::function<void(const GossipRecord&)> m_publish;
    std::function<void()> m_changed;
    EndpointSet m_set;
    std::set<std::string> m_configured;
    std::set<std::string> m_listed;
    // Removed endpoints; a late record of a peer must not add them again.
    std::set<std::string> m_removed;
    bool m_isDirty { false };
    RcuCell<EndpointSet> m_published;
};

}

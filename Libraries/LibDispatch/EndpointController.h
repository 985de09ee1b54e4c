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

/// Keeps the set of known endpoints from three sources: the settings, the platform's lagging list, and the records that
/// peers spread. Any of them may be the first to know an endpoint, and any may be the first to say that it is leaving.
///
/// Thread safety: none, except that `endpoints()` may be read from any thread; belongs to the controllers' thread.
class EndpointController {
public:
    /// `publish` spreads a record to the peers; `changed` is called after each change of the set. Records of live
    /// endpoints are published for `failureDomain` only, because nodes cannot pay for those of all domains; the news
    /// that an endpoint is leaving is published wherever it is.
    EndpointController(std::string failureDomain, EventLog&, std::function<void(const GossipRecord&)> publish,
        std::function<void()> changed);

    /// Returns whether a record says that an endpoint is leaving.
    static bool isLeavingRecord(const GossipRecord&);

    /// Adds endpoints from the settings. They stay known even when the platform's list does not name them.
    void addConfigured(const std::vector<KnownEndpoint>&);

    /// Takes in the platform's list. An endpoint that the list named before and no longer names is gone.
    void applyVmList(const std::vector<VmEntry>&);

    /// Takes in a record of the key space `endpoint/`. Other and malformed records are ignored.
    void applyRecord(const GossipRecord&);

    /// Marks an endpoint as leaving and tells the peers. Throws Error(NotFound).
    void drain(const std::string& id);

    const RcuCell<EndpointSet>& endpoints() const { return m_published; }

    /// Returns the record that says what is known of the endpoint.
    static GossipRecord toRecord(const KnownEndpoint&);

private:
    void merge(const KnownEndpoint&, bool tellPeers);
    void publishSet();

    std::string m_failureDomain;
    EventLog& m_eventLog;
    std::function<void(const GossipRecord&)> m_publish;
    std::function<void()> m_changed;
    EndpointSet m_set;
    std::set<std::string> m_configured;
    std::set<std::string> m_listed;
    // An endpoint that is gone must not come back through a late record of a peer.
    std::set<std::string> m_gone;
    bool m_isDirty { false };
    RcuCell<EndpointSet> m_published;
};

}

#pragma once

#include <LibCore/HybridLogicalClock.h>
#include <LibCore/Random.h>
#include <LibCore/RcuCell.h>
#include <LibMembership/MemberTable.h>
#include <LibMembership/MembershipObserver.h>
#include <LibMembership/MembershipOptions.h>
#include <LibMembership/PeerLink.h>
#include <LibMembership/RecordPolicy.h>
#include <LibMembership/RecordTable.h>
#include <LibMembership/TransmissionQueue.h>

#include <set>

namespace Chicorydock {

/// All members, including this node, in the order of their ids.
using MemberList = std::vector<MemberUpdate>;

/// Membership and gossip after Das, Gupta and Motivala, "SWIM" (2002), with the local health of Dadgar, Phillips and
/// Currey, "Lifeguard" (2018). Deterministic: time and random numbers are passed in.
///
/// Within a failure domain members probe each other; a member that replies neither directly nor through others is
/// suspected and, unless it refutes the suspicion with a higher incarnation, declared dead. Probes between failure
/// domains are rare. Every message piggybacks updates and records.
///
/// Thread safety: none, except that `members()` may be read from any thread; belongs to the controllers' thread.
class Membership {
public:
    /// `self` identifies this node; its incarnation is set to the wall time in milliseconds, so that a restarted
    /// process has a higher one than before. All references outlive this object.
    Membership(const Clock&, HybridLogicalClock&, Random&, PeerLink&, MembershipObserver&, const RecordPolicy&,
        MemberUpdate self, MembershipOptions = {});

    /// Replaces the addresses of nodes to join through, from the settings or from the platform's lagging VM list. An
    /// address is tried only while no live member has it.
    void setSeeds(std::vector<std::string> addresses) { m_seeds = std::move(addresses); }
    void setListedAddresses(std::vector<std::string> addresses) { m_listedAddresses = std::move(addresses); }

    /// Runs the periodic tasks that are due. Called about ten times a second.
    void tick(MonotonicTime now);

    /// Processes a message of a peer and returns the reply.
    PeerMessage receive(const PeerMessage&);

    enum class Urgency : uint8_t {
        /// Piggybacked on other messages.
        Normal,
        /// Sent directly to every member of the failure domain until it is acknowledged, with a limited number of
        /// attempts.
        Urgent,
    };
    /// Spreads a record by gossip. Ignored if its version is not higher than the known one.
    void publish(const GossipRecord&, Urgency = Urgency::Normal);

    /// Removes a record from this node; a peer that still has the record may send it again.
    void removeRecord(const std::string& key);

    /// Sets the configuration revision in force at this node and sends its number to some peers immediately.
    void setRevision(uint64_t revision);

    /// Announces that this node is leaving; final for this process.
    void leave();

    /// Returns whether every member of the domain has acknowledged all urgent gossip or used up its delivery attempts.
    bool isUrgentGossipDelivered() const { return m_urgentDeliveries.empty(); }

    const MemberUpdate& self() const { return m_self; }
    const RcuCell<MemberList>& members() const { return m_published; }
    std::vector<GossipRecord> records(const std::string& prefix) const { return m_records.withPrefix(prefix); }

private:
    struct Probe {
        std::string nodeId;
        uint64_t incarnation { 0 };
        MonotonicTime deadline;
    };

    /// Urgent gossip that a member has not acknowledged.
    struct UrgentDelivery {
        std::set<std::string> keys;
        uint32_t attempts { 0 };
        bool isInFlight { false };
    };

    using Reply = std::optional<PeerMessage>;
    using ReplyHandler = std::function<void(const Reply&)>;

    // Sending and receiving.
    PeerMessage makeMessage(PeerMessage::Kind, const std::string& recipient, bool isLocal);
    void addGossip(PeerMessage&, bool isLocal);
    void send(const std::string& address, const PeerMessage&, Milliseconds timeout, ReplyHandler);
    void applyMessage(const PeerMessage&);
    void fillSyncReply(PeerMessage& reply, const PeerMessage& request);

    // Members.
    void applyUpdate(const MemberUpdate&, const std::string& senderDomain);
    void applyToSelf(const MemberUpdate&);
    void changeMember(const MemberUpdate&);
    void forwardFailureReport(const MemberUpdate& report);
    void scheduleEarlyProbe(const std::string& nodeId);
    void suspect(const std::string& nodeId, uint64_t incarnation);
    MonotonicTime::duration suspicionTimeout(const MemberUpdate&) const;
    void expireSuspicions(MonotonicTime now);
    void removeOldMembers(MonotonicTime now);
    void applyRecord(const GossipRecord&, bool isLocalSender);
    void queueRecord(const GossipRecord&);

    // Probing.
    void probeNext(MonotonicTime now);
    void probe(const std::string& nodeId);
    void probeIndirectly(uint64_t probeId);
    void relayProbe(const PeerMessage& request);
    void endProbe(uint64_t probeId, bool succeeded);
    void expireProbes(MonotonicTime now);

    // Other domains, joining, syncs and urgent gossip.
    void probeOtherDomain();
    void probeRemote(const std::string& nodeId, uint32_t attempts);
    void reconnect();
    void sync(const std::string& address);
    void syncWithRandomMember();
    void spreadRevision();
    void addUrgent(const std::string& key);
    void sendUrgent();
    void sendUrgentTo(const std::string& nodeId, UrgentDelivery&);

    // Time.
    void checkPause(MonotonicTime now);
    void recordReply();
    bool isDue(MonotonicTime& next, Milliseconds interval, MonotonicTime now);

    bool isLocal(const MemberUpdate& update) const { return update.failureDomain == m_self.failureDomain; }
    std::vector<std::string> liveMembers(bool local) const;
    std::string pickOne(const std::vector<std::string>&);
    void shuffle(std::vector<std::string>&);
    uint32_t retransmissionLimit() const;
    double maxGossipCredit() const { return 4.0 * static_cast<double>(m_options.gossipBytesPerMessage); }
    void publishMembers();

    const Clock& m_clock;
    HybridLogicalClock& m_hybridClock;
    Random& m_random;
    PeerLink& m_link;
    MembershipObserver& m_observer;
    const RecordPolicy& m_policy;
    MembershipOptions m_options;

    MemberUpdate m_self;
    uint64_t m_revision { 0 };
    std::vector<std::string> m_seeds;
    std::vector<std::string> m_listedAddresses;

    MemberTable m_members;
    /// Failure reports of other domains about members of this one, to be forwarded to the members for refutation.
    std::map<std::string, MemberUpdate> m_foreignFailureReports;
    RecordTable m_records;
    TransmissionQueue m_memberQueue;
    TransmissionQueue m_recordQueue;
    /// The subset of these records that is also sent to other failure domains.
    TransmissionQueue m_remoteRecordQueue;
    double m_gossipCredit { 0 };
    std::map<std::string, UrgentDelivery> m_urgentDeliveries;

    std::vector<std::string> m_probeOrder;
    std::map<uint64_t, Probe> m_probes;
    uint64_t m_lastProbeId { 0 };
    uint32_t m_healthPenalty { 0 };

    MonotonicTime m_lastTick;
    MonotonicTime m_lastReply;
    MonotonicTime m_nextProbe;
    MonotonicTime m_nextRemoteProbe;
    MonotonicTime m_nextReconnect;
    MonotonicTime m_nextSync;
    MonotonicTime m_nextCleanup;

    /// Whether a member of the same domain has replied to a sync; until then this node lacks the domain's records.
    bool m_hasDomainRecords { false };
    bool m_isDirty { true };
    RcuCell<MemberList> m_published;
    /// Expires with this object, so that late callbacks can detect its destruction.
    std::shared_ptr<bool> m_lifetime { std::make_shared<bool>() };
};

}

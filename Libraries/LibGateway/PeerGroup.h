#pragma once

#include <LibCore/Clock.h>
#include <LibGateway/ConfigurationOffer.h>
#include <LibGateway/CoordinatorChoice.h>
#include <LibGateway/JobController.h>
#include <LibGateway/PeerReport.h>
#include <LibGateway/RelayPeers.h>
#include <LibGateway/ReportPlan.h>

#include <QObject>
#include <QTimer>
#include <QUdpSocket>

#include <array>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Chicorydock {

/// Exchanges load reports with the other nodes of the deployment and tracks which of them are alive. Reports are
/// datagrams: each replaces the previous one, so a lost report is made up for by the next.
///
/// Thread safety: used on the thread that created it.
class PeerGroup final : public QObject, public JobPeers, public ConfigurationPeers, public RelayPeers {
public:
    struct Options {
        std::string node;
        std::string failureDomain;
        /// `HOST:PORT` to listen on.
        std::string address;
        std::map<std::string, std::string> regions;
    };

    /// Receives a report and the time for which it is valid if no further one follows. A slot message for another
    /// process has been removed from it.
    using ReportHandler = std::function<void(const PeerReport&, Milliseconds lifetime)>;

    /// `makeReport` returns the current report of this node; `onReport` is called for each new report of a peer.
    PeerGroup(Options, const Clock&, std::function<PeerReport()> makeReport, ReportHandler onReport);

    /// Throws Error(Internal) if the address cannot be bound.
    void start();

    /// Adds the address of a node if the node is not known yet.
    void addAddress(const std::string& node, const std::string& address);
    /// Removes a node unless it is alive.
    void removeAddress(const std::string& node);

    /// Records whether this node allocates slots. Only such nodes send each other the changes of their slot use.
    void setCoordinating(bool);

    /// Sets what returns the charges of workspaces with rate limits. They are added to reports between nodes that
    /// allocate slots.
    void setQuotaSource(std::function<ReportedQuotas()> source) { m_makeQuotas = std::move(source); }

    /// Records whether the other nodes of the failure domain rely on this one for the configuration, so that they must
    /// notice soon if it fails.
    void setConfigurationSource(bool isSource) { m_isConfigurationSource = isSource; }

    /// Schedules reports to the peers that allocate slots, because the slot use of this node has changed.
    void scheduleReports();

    /// Sends a report to all peers at once, because this node is leaving, or has lost or regained the store or the
    /// endpoints.
    void announce();

    /// Sends a report to the peers of the failure domain at once, because this node has a newer configuration.
    void announceToDomain();

    /// Sends a slot message to a peer at once. Nothing is sent to an unknown peer.
    void send(const std::string& node, const SlotReport&);
    void send(const std::string& node, const SlotReply&);

    /// Returns whether a recent report of the node was received.
    bool isAlive(const std::string& node) const;

    /// Returns whether the node can run jobs: it is alive, is not leaving, and reaches the store and the endpoints.
    bool canRunJobs(const std::string& node) const override;

    /// Returns the other nodes that can run jobs.
    std::vector<std::string> nodesForJobs() const override;

    std::vector<ConfigurationOffer> configurationOffers() const override;

    std::vector<RelayPeer> relayPeers() const override;

    size_t aliveCount() const;

    /// Returns the number of nodes that have an address, this one included, whether or not they are alive. Processes
    /// that replaced each other at one address count once.
    uint32_t knownNodes() const;

    /// Returns the other nodes that are alive and not leaving.
    std::vector<std::string> aliveNodes() const;

    /// Returns the other nodes of this node's failure domain that are alive and not leaving.
    std::vector<CoordinatorCandidate> domainPeers() const;

    /// Returns the `HOST:PORT` of a node, empty if it is not known.
    std::string addressOf(const std::string& node) const;

    /// Returns the time since which the store has been available according to the live peers, or nothing if too few of
    /// them reach it.
    std::optional<MonotonicTime> storeAvailableSince() const;

    /// Returns whether the node is unknown or was removed because no report was received from it for a long time. It is
    /// sent no reports.
    bool isForgotten(const std::string& node) const { return !m_peers.contains(node); }

private:
    struct Peer {
        /// `HOST:PORT`.
        std::string address;
        QHostAddress host;
        uint16_t port { 0 };
        PeerDistance distance { PeerDistance::OtherRegion };
        /// Whether this node's report has changed since it was last sent to the peer.
        bool hasUnsentChange { false };
        MonotonicTime lastReportAt;
        /// Time without a report after which the peer is considered dead.
        Milliseconds timeout { 0 };
        MonotonicTime sentAt;
        /// When a report with the charges of workspaces was last sent to the peer.
        MonotonicTime quotasSentAt;
        /// Time within which the peer was promised the next report, 0 if it has been sent none.
        Milliseconds promised { 0 };
        bool hasReported { false };
        PeerReport report;
    };

    void receive();
    void sendReports();
    /// Sends the reports that are due after a short delay, in which others may become due.
    void sendSoon();
    PeerReport nextReport();
    /// Sends a slot message as part of a report.
    void sendMessage(const std::string& node, PeerReport);
    void send(Peer&, const QByteArray& datagram, Milliseconds promised, MonotonicTime now);
    /// Returns whether a report to the peer has the charges of workspaces.
    bool areQuotasDue(const Peer&, MonotonicTime now) const;
    bool isReporting(const Peer&) const;
    /// Returns whether the peer is alive and not leaving.
    bool isServing(const Peer&) const;
    /// Returns the interval of reports to the peer while nothing changes.
    Milliseconds heartbeat(const Peer&) const;
    /// Returns the time from the latest report to the peer until the next one.
    Milliseconds pauseAfterReport(const Peer&) const;
    void countPeers();

    const Options m_options;
    const Clock& m_clock;
    const std::function<PeerReport()> m_makeReport;
    const ReportHandler m_onReport;
    std::function<ReportedQuotas()> m_makeQuotas;
    QUdpSocket m_socket;
    std::map<std::string, Peer> m_peers;
    std::array<size_t, peerDistanceCount> m_peerCounts {};
    std::array<size_t, peerDistanceCount> m_coordinatorCounts {};
    bool m_isCoordinating { false };
    bool m_isConfigurationSource { false };
    uint64_t m_sequence { 0 };
    QTimer m_sendTimer;
};

}

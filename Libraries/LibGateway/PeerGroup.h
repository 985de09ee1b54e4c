#pragma once

#include <LibCore/Clock.h>
#include <LibGateway/JobController.h>
#include <LibGateway/PeerReport.h>
#include <LibGateway/ReportPlan.h>

#include <QObject>
#include <QTimer>
#include <QUdpSocket>

#include <array>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Chicorydock {

/// The other nodes of the deployment and what they say of themselves. Reports are datagrams: a lost one is replaced by
/// the next, and the last one counts.
///
/// Thread safety: used on the thread that created it.
class PeerGroup final : public QObject, public JobPeers {
public:
    struct Options {
        std::string node;
        std::string failureDomain;
        /// `HOST:PORT` to listen on.
        std::string address;
        std::map<std::string, std::string> regions;
    };

    /// Hears a report and how long it counts if no further one comes.
    using ReportHandler = std::function<void(const PeerReport&, Milliseconds lifetime)>;

    /// `makeReport` returns the current report of this node; `onReport` hears each new one of a peer.
    PeerGroup(Options, const Clock&, std::function<PeerReport()> makeReport, ReportHandler onReport);

    /// Throws Error(Internal) if the address cannot be bound.
    void start();

    /// Adds the address of a node, if it is not known.
    void addAddress(const std::string& node, const std::string& address);
    void removeAddress(const std::string& node);

    /// Sends the report soon, because it changed.
    void scheduleReports();

    /// Returns whether the node was heard of lately. Nodes that were never heard count as silent.
    bool isAlive(const std::string& node) const;

    /// Returns whether the node can work on jobs: it is alive, stays and has the store.
    bool canRunJobs(const std::string& node) const override;

    /// Returns the nodes that can run jobs, without this one.
    std::vector<std::string> nodesForJobs() const override;

    size_t aliveCount() const;

    /// Returns whether the node has been silent for so long that it gets no more reports.
    bool isForgotten(const std::string& node) const { return !m_peers.contains(node); }

private:
    struct Peer {
        QHostAddress host;
        uint16_t port { 0 };
        PeerDistance distance { PeerDistance::OtherRegion };
        /// Whether a change has not been reported to it.
        bool isBehind { false };
        MonotonicTime heardAt;
        MonotonicTime sentAt;
        bool wasHeard { false };
        PeerReport report;
    };

    void receive();
    void sendReports();
    QByteArray nextDatagram();
    void send(Peer&, const QByteArray& datagram, MonotonicTime now);
    bool isHeard(const Peer&) const;
    size_t countAt(PeerDistance) const;
    Milliseconds interval(PeerDistance distance) const { return reportInterval(distance, countAt(distance)); }
    Milliseconds heartbeat(PeerDistance distance) const { return heartbeatInterval(distance, countAt(distance)); }
    Milliseconds silenceLimit(PeerDistance) const;
    void countPeers();

    const Options m_options;
    const Clock& m_clock;
    const std::function<PeerReport()> m_makeReport;
    const ReportHandler m_onReport;
    QUdpSocket m_socket;
    std::map<std::string, Peer> m_peers;
    std::array<size_t, peerDistanceCount> m_peerCounts {};
    uint64_t m_sequence { 0 };
    QTimer m_sendTimer;
};

}

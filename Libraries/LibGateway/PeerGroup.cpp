#include <LibGateway/PeerGroup.h>

#include <LibCore/Error.h>
#include <LibCore/SocketAddress.h>

#include <QNetworkDatagram>
#include <glog/logging.h>

#include <netinet/in.h>

#include <algorithm>

namespace Chicorydock {

namespace {

    /// Number of missed heartbeats after which a node is considered dead.
    constexpr int maxMissedHeartbeats = 4;

    /// Changes within this time are sent in one report.
    constexpr Milliseconds minSendDelay { 10 };

    /// A node is removed and sent no more reports after this time without a report from it.
    constexpr Milliseconds removalTimeout { 30'000 };

    /// Returns a null host if the text is not an address.
    std::pair<QHostAddress, uint16_t> parseAddress(const std::string& text)
    {
        const auto address = SocketAddress::parse(text);
        if (!address)
            return {};
        // The port is at the same offset in IPv4 and IPv6 addresses.
        const auto* native = reinterpret_cast<const sockaddr*>(&address->storage);
        return { QHostAddress(native), ntohs(reinterpret_cast<const sockaddr_in*>(native)->sin_port) };
    }

}

PeerGroup::PeerGroup(
    Options options, const Clock& clock, std::function<PeerReport()> makeReport, ReportHandler onReport)
    : m_options(std::move(options))
    , m_clock(clock)
    , m_makeReport(std::move(makeReport))
    , m_onReport(std::move(onReport))
{
    m_sendTimer.setSingleShot(true);
    m_sendTimer.setTimerType(Qt::PreciseTimer);
    connect(&m_sendTimer, &QTimer::timeout, this, &PeerGroup::sendReports);
    connect(&m_socket, &QUdpSocket::readyRead, this, &PeerGroup::receive);
}

void PeerGroup::start()
{
    const auto [host, port] = parseAddress(m_options.address);
    if (!m_socket.bind(host, port))
        throw Error(ErrorKind::Internal,
            "cannot listen for peers on " + m_options.address + ": " + m_socket.errorString().toStdString());
    m_sendTimer.start(heartbeatInterval(PeerDistance::FailureDomain, 0));
}

void PeerGroup::addAddress(const std::string& node, const std::string& address)
{
    if (node == m_options.node || m_peers.contains(node))
        return;
    Peer& peer = m_peers[node];
    std::tie(peer.host, peer.port) = parseAddress(address);
    peer.lastReportAt = m_clock.now();
}

void PeerGroup::removeAddress(const std::string& node)
{
    if (const auto it = m_peers.find(node); it != m_peers.end() && !isReporting(it->second))
        m_peers.erase(it);
}

void PeerGroup::countPeers()
{
    m_peerCounts = {};
    for (const auto& [node, peer] : m_peers)
        ++m_peerCounts.at(static_cast<size_t>(peer.distance));
}

size_t PeerGroup::peerCount(PeerDistance distance) const { return m_peerCounts.at(static_cast<size_t>(distance)); }

Milliseconds PeerGroup::reportTimeout(PeerDistance distance) const { return heartbeat(distance) * maxMissedHeartbeats; }

void PeerGroup::scheduleReports()
{
    for (auto& [node, peer] : m_peers)
        peer.hasUnsentChange = true;
    if (!m_sendTimer.isActive() || m_sendTimer.remainingTimeAsDuration() > minSendDelay)
        m_sendTimer.start(minSendDelay);
}

void PeerGroup::sendReports()
{
    const MonotonicTime now = m_clock.now();
    std::erase_if(m_peers, [&](const auto& it) { return now - it.second.lastReportAt > removalTimeout; });
    countPeers();
    QByteArray datagram;
    MonotonicTime next = now + heartbeatInterval(PeerDistance::FailureDomain, 0);
    for (auto& [node, peer] : m_peers) {
        const Milliseconds pause = peer.hasUnsentChange ? interval(peer.distance) : heartbeat(peer.distance);
        if (peer.sentAt + pause <= now) {
            if (datagram.isEmpty())
                datagram = nextDatagram();
            send(peer, datagram, now);
        }
        next = std::min(next, peer.sentAt + (peer.hasUnsentChange ? pause : heartbeat(peer.distance)));
    }
    m_sendTimer.start(std::max(minSendDelay, std::chrono::ceil<Milliseconds>(next - now)));
}

QByteArray PeerGroup::nextDatagram()
{
    PeerReport report = m_makeReport();
    report.node = m_options.node;
    report.failureDomain = m_options.failureDomain;
    report.sequence = ++m_sequence;
    return encodePeerReport(report);
}

void PeerGroup::send(Peer& peer, const QByteArray& datagram, MonotonicTime now)
{
    peer.sentAt = now;
    peer.hasUnsentChange = false;
    m_socket.writeDatagram(datagram, peer.host, peer.port);
}

void PeerGroup::receive()
{
    while (m_socket.hasPendingDatagrams()) {
        const QNetworkDatagram datagram = m_socket.receiveDatagram();
        const auto report = decodePeerReport(datagram.data());
        if (!report || report->node == m_options.node)
            continue;
        const auto [it, isNew] = m_peers.try_emplace(report->node);
        Peer& peer = it->second;
        if (isNew) {
            peer.host = datagram.senderAddress();
            peer.port = static_cast<uint16_t>(datagram.senderPort());
        }
        if (peer.hasReported && report->sequence <= peer.report.sequence)
            continue;
        if (!peer.hasReported)
            LOG(INFO) << "first report from node " << report->node << " in failure domain " << report->failureDomain;
        peer.hasReported = true;
        peer.lastReportAt = m_clock.now();
        peer.distance = distanceBetween(m_options.failureDomain, report->failureDomain, m_options.regions);
        peer.report = *report;
        m_onReport(*report, reportTimeout(peer.distance));
    }
}

bool PeerGroup::isReporting(const Peer& peer) const
{
    return peer.hasReported && m_clock.now() - peer.lastReportAt <= reportTimeout(peer.distance);
}

bool PeerGroup::isAlive(const std::string& node) const
{
    const auto it = m_peers.find(node);
    return it != m_peers.end() && isReporting(it->second);
}

bool PeerGroup::canRunJobs(const std::string& node) const
{
    const auto it = m_peers.find(node);
    return it != m_peers.end() && isReporting(it->second) && it->second.report.isStoreReachable
        && !it->second.report.isLeaving;
}

std::vector<std::string> PeerGroup::nodesForJobs() const
{
    std::vector<std::string> nodes;
    for (const auto& [node, peer] : m_peers) {
        if (canRunJobs(node))
            nodes.push_back(node);
    }
    return nodes;
}

size_t PeerGroup::aliveCount() const
{
    return static_cast<size_t>(std::ranges::count_if(m_peers, [&](const auto& it) { return isReporting(it.second); }));
}

}

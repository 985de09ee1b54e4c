#include <LibGateway/PeerGroup.h>

#include <LibCore/Error.h>
#include <LibCore/SocketAddress.h>
#include <LibGateway/StoreAvailability.h>

#include <QNetworkDatagram>
#include <glog/logging.h>

#include <netinet/in.h>

#include <algorithm>
#include <optional>
#include <set>
#include <utility>

namespace Chicorydock {

namespace {

    /// Changes within this time are sent in one report.
    constexpr Milliseconds minSendDelay { 10 };

    /// Reports that only show that this node is alive are sent together at this interval, because each wake-up of the
    /// process has a cost.
    constexpr Milliseconds livenessSendInterval { 100 };

    /// Interval at which a member and its coordinator exchange messages at least, with some margin.
    constexpr Milliseconds messageInterval { 400 };

    /// Minimum time between two reports to a peer with the charges of workspaces. Each charge is in several reports, so
    /// more would only add bytes.
    constexpr Milliseconds quotaInterval { 200 };

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

    std::string formatAddress(const QHostAddress& host, uint16_t port)
    {
        const std::string text = host.toString().toStdString();
        const bool isIPv6 = host.protocol() == QAbstractSocket::IPv6Protocol;
        return (isIPv6 ? "[" + text + "]" : text) + ":" + std::to_string(port);
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
    peer.address = address;
    std::tie(peer.host, peer.port) = parseAddress(address);
    peer.lastReportAt = m_clock.now();
    sendSoon();
}

void PeerGroup::sendSoon()
{
    if (!m_sendTimer.isActive() || m_sendTimer.remainingTimeAsDuration() > minSendDelay)
        m_sendTimer.start(minSendDelay);
}

void PeerGroup::removeAddress(const std::string& node)
{
    if (const auto it = m_peers.find(node); it != m_peers.end() && !isReporting(it->second))
        m_peers.erase(it);
}

void PeerGroup::countPeers()
{
    m_peerCounts = {};
    m_coordinatorCounts = {};
    for (const auto& [node, peer] : m_peers) {
        ++m_peerCounts.at(static_cast<size_t>(peer.distance));
        m_coordinatorCounts.at(static_cast<size_t>(peer.distance)) += peer.report.isCoordinating ? 1 : 0;
    }
}

Milliseconds PeerGroup::heartbeat(const Peer& peer) const
{
    const auto distance = static_cast<size_t>(peer.distance);
    if (m_isCoordinating && peer.report.isCoordinating)
        return heartbeatInterval(peer.distance, m_coordinatorCounts.at(distance));
    const Milliseconds interval = livenessInterval(peer.distance, m_peerCounts.at(distance));
    const bool isSourceOfPeer = m_isConfigurationSource && peer.distance == PeerDistance::FailureDomain;
    return isSourceOfPeer ? std::min(interval, messageInterval) : interval;
}

Milliseconds PeerGroup::pauseAfterReport(const Peer& peer) const
{
    if (peer.hasUnsentChange)
        return reportInterval(peer.distance, m_coordinatorCounts.at(static_cast<size_t>(peer.distance)));
    const Milliseconds pause = heartbeat(peer);
    return peer.promised.count() > 0 ? std::min(pause, peer.promised) : pause;
}

void PeerGroup::setCoordinating(bool isCoordinating)
{
    if (std::exchange(m_isCoordinating, isCoordinating) != isCoordinating)
        scheduleReports();
}

void PeerGroup::announce()
{
    for (auto& [node, peer] : m_peers)
        peer.sentAt = {};
    sendReports();
}

void PeerGroup::announceToDomain()
{
    for (auto& [node, peer] : m_peers) {
        if (peer.distance == PeerDistance::FailureDomain)
            peer.sentAt = {};
    }
    sendReports();
}

void PeerGroup::scheduleReports()
{
    bool hasReceivers = false;
    for (auto& [node, peer] : m_peers) {
        peer.hasUnsentChange = peer.hasUnsentChange || peer.report.isCoordinating;
        hasReceivers = hasReceivers || peer.hasUnsentChange;
    }
    if (hasReceivers)
        sendSoon();
}

void PeerGroup::sendReports()
{
    const MonotonicTime now = m_clock.now();
    std::erase_if(m_peers, [&](const auto& it) { return now - it.second.lastReportAt > removalTimeout; });
    countPeers();
    std::optional<PeerReport> report;
    std::optional<ReportedQuotas> quotas;
    // Reports that promise the next one within the same time and have the same parts are the same.
    std::map<std::pair<Milliseconds, bool>, QByteArray> datagrams;
    MonotonicTime next = now + heartbeatInterval(PeerDistance::FailureDomain, 0);
    for (auto& [node, peer] : m_peers) {
        if (peer.sentAt + pauseAfterReport(peer) <= now) {
            if (!report)
                report = nextReport();
            report->nextWithin = heartbeat(peer);
            const bool hasQuotas = areQuotasDue(peer, now);
            if (hasQuotas && !quotas)
                quotas = m_makeQuotas();
            QByteArray& datagram = datagrams[{ report->nextWithin, hasQuotas }];
            if (datagram.isEmpty()) {
                report->quotas = hasQuotas ? *quotas : ReportedQuotas {};
                datagram = encodePeerReport(*report);
            }
            peer.quotasSentAt = hasQuotas ? now : peer.quotasSentAt;
            send(peer, datagram, report->nextWithin, now);
        }
        const MonotonicTime earliest = peer.hasUnsentChange ? now : now + livenessSendInterval;
        next = std::min(next, std::max(earliest, peer.sentAt + pauseAfterReport(peer)));
    }
    m_sendTimer.start(std::max(minSendDelay, std::chrono::ceil<Milliseconds>(next - now)));
}

bool PeerGroup::areQuotasDue(const Peer& peer, MonotonicTime now) const
{
    return m_makeQuotas && m_isCoordinating && peer.report.isCoordinating && now - peer.quotasSentAt >= quotaInterval;
}

PeerReport PeerGroup::nextReport()
{
    PeerReport report = m_makeReport();
    report.node = m_options.node;
    report.failureDomain = m_options.failureDomain;
    report.sequence = ++m_sequence;
    report.isCoordinating = m_isCoordinating;
    return report;
}

void PeerGroup::send(const std::string& node, const SlotReport& message)
{
    PeerReport report = nextReport();
    report.slotReport = message;
    sendMessage(node, std::move(report));
}

void PeerGroup::send(const std::string& node, const SlotReply& message)
{
    PeerReport report = nextReport();
    report.slotReply = message;
    sendMessage(node, std::move(report));
}

void PeerGroup::sendMessage(const std::string& node, PeerReport report)
{
    const auto it = m_peers.find(node);
    if (it == m_peers.end())
        return;
    // A member that leaves its coordinator sends it no further messages.
    const bool isLast = report.slotReport && report.slotReport->isLeaving;
    report.recipient = node;
    report.nextWithin = isLast ? heartbeat(it->second) : messageInterval;
    send(it->second, encodePeerReport(report), report.nextWithin, m_clock.now());
}

void PeerGroup::send(Peer& peer, const QByteArray& datagram, Milliseconds promised, MonotonicTime now)
{
    peer.sentAt = now;
    peer.promised = promised;
    peer.hasUnsentChange = false;
    m_socket.writeDatagram(datagram, peer.host, peer.port);
}

void PeerGroup::receive()
{
    while (m_socket.hasPendingDatagrams()) {
        const QNetworkDatagram datagram = m_socket.receiveDatagram();
        auto report = decodePeerReport(datagram.data());
        if (!report || report->node == m_options.node)
            continue;
        const auto [it, isNew] = m_peers.try_emplace(report->node);
        Peer& peer = it->second;
        if (isNew) {
            peer.host = datagram.senderAddress();
            peer.port = static_cast<uint16_t>(datagram.senderPort());
            peer.address = formatAddress(peer.host, peer.port);
            // The node has just started and needs to know its peers before it is of use.
            sendSoon();
        }
        if (peer.hasReported && report->sequence <= peer.report.sequence)
            continue;
        if (!peer.hasReported)
            LOG(INFO) << "first report from node " << report->node << " in failure domain " << report->failureDomain;
        peer.hasReported = true;
        peer.lastReportAt = m_clock.now();
        peer.distance = distanceBetween(m_options.failureDomain, report->failureDomain, m_options.regions);
        // A node of an earlier version makes no promise and sends reports to all peers.
        const Milliseconds nextWithin = report->nextWithin.count() > 0
            ? report->nextWithin
            : heartbeatInterval(peer.distance, m_peerCounts.at(static_cast<size_t>(peer.distance)));
        peer.timeout = livenessTimeout(nextWithin);
        peer.report = std::move(*report);
        // The slot messages are for the process that used the address of this one before.
        if (peer.report.isMisdelivered(m_options.node))
            peer.report.removeSlotMessages();
        m_onReport(peer.report, peer.timeout);
    }
}

bool PeerGroup::isReporting(const Peer& peer) const
{
    return peer.hasReported && m_clock.now() - peer.lastReportAt <= peer.timeout;
}

bool PeerGroup::isServing(const Peer& peer) const { return isReporting(peer) && !peer.report.isLeaving; }

bool PeerGroup::isAlive(const std::string& node) const
{
    const auto it = m_peers.find(node);
    return it != m_peers.end() && isReporting(it->second);
}

bool PeerGroup::canRunJobs(const std::string& node) const
{
    const auto it = m_peers.find(node);
    if (it == m_peers.end() || !isServing(it->second) || !it->second.report.isStoreReachable)
        return false;
    const PeerReport& report = it->second.report;
    const auto sinceReport = m_clock.now() - it->second.lastReportAt;
    return report.endpointsLostFor.count() == 0 || report.endpointsLostFor + sinceReport < jobEndpointLossTolerance;
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

std::vector<CoordinatorCandidate> PeerGroup::domainPeers() const
{
    std::vector<CoordinatorCandidate> nodes;
    for (const auto& [node, peer] : m_peers) {
        if (peer.distance == PeerDistance::FailureDomain && isServing(peer))
            nodes.push_back({ node, peer.report.capacityPercent });
    }
    return nodes;
}

std::string PeerGroup::addressOf(const std::string& node) const
{
    const auto it = m_peers.find(node);
    return it == m_peers.end() ? std::string() : it->second.address;
}

std::optional<MonotonicTime> PeerGroup::storeAvailableSince() const
{
    std::vector<std::optional<MonotonicTime>> reachableSince;
    for (const auto& [node, peer] : m_peers) {
        if (!isReporting(peer))
            continue;
        const Milliseconds time = peer.report.storeReachableFor;
        reachableSince.push_back(time.count() > 0 ? std::optional(peer.lastReportAt - time) : std::nullopt);
    }
    return Chicorydock::storeAvailableSince(std::move(reachableSince));
}

std::vector<ConfigurationOffer> PeerGroup::configurationOffers() const
{
    std::vector<ConfigurationOffer> offers;
    for (const auto& [node, peer] : m_peers) {
        if (isServing(peer) && peer.report.configurationVersion > 0)
            offers.push_back({ node, peer.address, peer.distance, peer.report.configurationVersion,
                peer.report.isConfigurationSource });
    }
    return offers;
}

std::vector<RelayPeer> PeerGroup::relayPeers() const
{
    std::vector<RelayPeer> peers;
    for (const auto& [node, peer] : m_peers) {
        if (isServing(peer) && peer.report.endpointsLostFor.count() == 0 && peer.report.configurationVersion > 0)
            peers.push_back({ node, peer.address, peer.distance, peer.report.configurationVersion });
    }
    return peers;
}

std::vector<std::string> PeerGroup::aliveNodes() const
{
    std::vector<std::string> nodes;
    for (const auto& [node, peer] : m_peers) {
        if (isServing(peer))
            nodes.push_back(node);
    }
    return nodes;
}

uint32_t PeerGroup::knownNodes() const
{
    std::set<std::string> addresses { m_options.address };
    for (const auto& [node, peer] : m_peers)
        addresses.insert(peer.address);
    return static_cast<uint32_t>(addresses.size());
}

size_t PeerGroup::aliveCount() const
{
    return static_cast<size_t>(std::ranges::count_if(m_peers, [&](const auto& it) { return isReporting(it.second); }));
}

}

#include <LibGateway/PeerGroup.h>

#include <LibCore/Error.h>

#include <QNetworkDatagram>
#include <glog/logging.h>

#include <algorithm>

namespace Chicorydock {

namespace {

    /// Reports without a change, so that peers know that the node is alive.
    constexpr Milliseconds heartbeatInterval { 300 };

    /// Shortest time between two reports, so that many changes cost few datagrams. The link between regions is slow and
    /// billed by volume.
    constexpr Milliseconds minReportInterval { 20 };
    constexpr Milliseconds minReportIntervalOtherRegion { 100 };

    /// Silence after which a node counts as gone: four lost heartbeats.
    constexpr Milliseconds silenceLimit { 1'200 };

    /// A node that was not heard for so long gets no more reports.
    constexpr Milliseconds forgetLimit { 30'000 };

    std::pair<QHostAddress, uint16_t> parseAddress(const std::string& text)
    {
        const size_t colon = text.rfind(':');
        const QHostAddress host(QString::fromStdString(text.substr(0, colon)));
        return { host, static_cast<uint16_t>(std::atoi(text.c_str() + colon + 1)) };
    }

}

PeerGroup::PeerGroup(
    Options options, const Clock& clock, std::function<PeerReport()> makeReport, ReportHandler onReport)
    : m_options(std::move(options))
    , m_clock(clock)
    , m_makeReport(std::move(makeReport))
    , m_onReport(std::move(onReport))
{
    m_changeTimer.setSingleShot(true);
    m_changeTimer.setTimerType(Qt::PreciseTimer);
    connect(&m_changeTimer, &QTimer::timeout, this, &PeerGroup::sendReports);
    connect(&m_heartbeatTimer, &QTimer::timeout, this, &PeerGroup::sendReports);
    connect(&m_socket, &QUdpSocket::readyRead, this, &PeerGroup::receive);
}

void PeerGroup::start()
{
    const auto [host, port] = parseAddress(m_options.address);
    if (!m_socket.bind(host, port))
        throw Error(ErrorKind::Internal,
            "cannot listen for peers on " + m_options.address + ": " + m_socket.errorString().toStdString());
    m_heartbeatTimer.start(heartbeatInterval);
}

std::string PeerGroup::regionOf(const std::string& failureDomain) const
{
    const auto it = m_options.regions.find(failureDomain);
    return it == m_options.regions.end() ? std::string() : it->second;
}

void PeerGroup::addAddress(const std::string& node, const std::string& address)
{
    if (node == m_options.node || m_peers.contains(node))
        return;
    Peer& peer = m_peers[node];
    std::tie(peer.host, peer.port) = parseAddress(address);
    peer.heardAt = m_clock.now();
}

void PeerGroup::removeAddress(const std::string& node)
{
    if (const auto it = m_peers.find(node); it != m_peers.end() && !isHeard(it->second))
        m_peers.erase(it);
}

void PeerGroup::noteChange()
{
    m_hasChanged = true;
    if (m_changeTimer.isActive())
        return;
    const auto due = std::max(m_clock.now(), m_lastSend + minReportInterval);
    m_changeTimer.start(std::chrono::ceil<Milliseconds>(due - m_clock.now()));
}

void PeerGroup::sendReports()
{
    const MonotonicTime now = m_clock.now();
    PeerReport report = m_makeReport();
    report.node = m_options.node;
    report.failureDomain = m_options.failureDomain;
    report.sequence = ++m_sequence;
    const QByteArray datagram = encodePeerReport(report);
    m_lastSend = now;
    bool isAnyLeft = false;
    std::erase_if(m_peers, [&](const auto& it) { return now - it.second.heardAt > forgetLimit; });
    for (auto& [node, peer] : m_peers) {
        const Milliseconds interval = peer.isOtherRegion ? minReportIntervalOtherRegion : minReportInterval;
        const bool isDue = now - peer.sentAt >= (m_hasChanged ? interval : heartbeatInterval - minReportInterval);
        if (!isDue) {
            isAnyLeft = m_hasChanged;
            continue;
        }
        peer.sentAt = now;
        m_socket.writeDatagram(datagram, peer.host, peer.port);
    }
    // Peers in other regions hear of this change with their next report.
    m_hasChanged = isAnyLeft;
    if (isAnyLeft && !m_changeTimer.isActive())
        m_changeTimer.start(minReportIntervalOtherRegion);
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
        if (peer.wasHeard && report->sequence <= peer.report.sequence)
            continue;
        if (!peer.wasHeard)
            LOG(INFO) << "heard of node " << report->node << " in " << report->failureDomain;
        peer.wasHeard = true;
        peer.heardAt = m_clock.now();
        peer.isOtherRegion = regionOf(report->failureDomain) != regionOf(m_options.failureDomain);
        peer.report = *report;
        m_onReport(*report);
    }
}

bool PeerGroup::isHeard(const Peer& peer) const
{
    return peer.wasHeard && m_clock.now() - peer.heardAt <= silenceLimit;
}

bool PeerGroup::isAlive(const std::string& node) const
{
    const auto it = m_peers.find(node);
    return it != m_peers.end() && isHeard(it->second);
}

bool PeerGroup::canRunJobs(const std::string& node) const
{
    const auto it = m_peers.find(node);
    return it != m_peers.end() && isHeard(it->second) && it->second.report.isStoreReachable
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
    return static_cast<size_t>(std::ranges::count_if(m_peers, [&](const auto& it) { return isHeard(it.second); }));
}

}

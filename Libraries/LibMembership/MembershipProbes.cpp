// The part of Membership that detects failed members of the same failure domain.

#include <LibMembership/Membership.h>

#include <algorithm>

namespace Chicorydock {

void Membership::probeNext(MonotonicTime)
{
    bool isRoundOver = false;
    while (true) {
        if (m_probeOrder.empty()) {
            if (isRoundOver)
                return;
            isRoundOver = true;
            // Every member is probed once in a round, which bounds the time to detect a failure.
            m_probeOrder = m_members.select([&](const Member& it) { return !it.isDead() && isLocal(it.update); });
            shuffle(m_probeOrder);
            continue;
        }
        const std::string id = m_probeOrder.back();
        m_probeOrder.pop_back();
        const Member* member = m_members.find(id);
        if (member != nullptr && !member->isDead() && isLocal(member->update)) {
            probe(id);
            return;
        }
    }
}

void Membership::probe(const std::string& nodeId)
{
    const Member& member = *m_members.find(nodeId);
    const uint64_t probeId = ++m_lastProbeId;
    // The deadline allows an extra probe interval for late callbacks; a reply that arrives before it counts.
    const auto deadline
        = m_clock.now() + m_options.probeTimeout + m_options.indirectProbeTimeout + m_options.probeInterval;
    m_probes[probeId] = { nodeId, member.update.incarnation, deadline };
    send(member.update.address, makeMessage(PeerMessage::Kind::Ping, nodeId, true), m_options.probeTimeout,
        [this, probeId, nodeId](const Reply& reply) {
            // Another node may have taken over the address.
            if (reply && reply->from.nodeId == nodeId)
                endProbe(probeId, true);
            else
                probeIndirectly(probeId);
        });
}

void Membership::probeIndirectly(uint64_t probeId)
{
    const auto it = m_probes.find(probeId);
    if (it == m_probes.end())
        return;
    const std::string nodeId = it->second.nodeId;
    const Member* member = m_members.find(nodeId);
    if (member == nullptr) {
        m_probes.erase(it);
        return;
    }
    it->second.deadline = m_clock.now() + m_options.indirectProbeTimeout;
    const std::string address = member->update.address;
    std::vector<std::string> relays = liveMembers(true);
    std::erase(relays, nodeId);
    shuffle(relays);
    relays.resize(std::min<size_t>(relays.size(), m_options.indirectProbes));
    for (const std::string& relay : relays) {
        PeerMessage request = makeMessage(PeerMessage::Kind::PingRequest, relay, true);
        request.target = nodeId;
        request.targetAddress = address;
        send(m_members.find(relay)->update.address, request, m_options.indirectProbeTimeout, [](const Reply&) {});
    }
    // The direct probe is retried, because its connection may be dead; the link opens a new one.
    send(address, makeMessage(PeerMessage::Kind::Ping, nodeId, true), m_options.indirectProbeTimeout,
        [this, probeId, nodeId](const Reply& reply) {
            if (reply && reply->from.nodeId == nodeId)
                endProbe(probeId, true);
        });
}

void Membership::relayProbe(const PeerMessage& request)
{
    const std::string target = request.target;
    const std::string requester = request.from.nodeId;
    const std::string address = request.from.address;
    send(request.targetAddress, makeMessage(PeerMessage::Kind::Ping, target, true), m_options.probeTimeout,
        [this, target, requester, address](const Reply& reply) {
            if (!reply || reply->from.nodeId != target)
                return;
            PeerMessage report = makeMessage(PeerMessage::Kind::Ack, requester, true);
            report.target = target;
            send(address, report, m_options.probeTimeout, [](const Reply&) {});
        });
}

void Membership::endProbe(uint64_t probeId, bool succeeded)
{
    const auto it = m_probes.find(probeId);
    if (it == m_probes.end())
        return;
    const Probe probe = it->second;
    m_probes.erase(it);
    if (succeeded) {
        m_healthPenalty -= m_healthPenalty > 0 ? 1 : 0;
        const Member* member = m_members.find(probe.nodeId);
        // A leaving member that replies is still running; any other member has to refute the suspicion itself.
        if (member != nullptr && member->update.state == MemberUpdate::State::Leaving)
            m_members.setSuspicionDeadline(probe.nodeId, {});
        return;
    }
    m_healthPenalty = std::min(m_healthPenalty + 1, m_options.maxHealthPenalty);
    suspect(probe.nodeId, probe.incarnation);
}

void Membership::expireProbes(MonotonicTime now)
{
    std::vector<uint64_t> expired;
    for (const auto& [id, probe] : m_probes) {
        if (probe.deadline <= now)
            expired.push_back(id);
    }
    for (const uint64_t id : expired)
        endProbe(id, false);
}

}

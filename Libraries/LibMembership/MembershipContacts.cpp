// The part of Membership that probes other failure domains, joins, reconnects and delivers urgent gossip.

#include <LibMembership/Membership.h>

#include <algorithm>

namespace Chicorydock {

namespace {

    // A probe without reply is retried on a new connection before the member is suspected. With two attempts and 1%
    // loss, 340 nodes suspected a live member of another domain about once a minute.
    constexpr uint32_t remoteProbeAttempts = 3;

}

void Membership::probeOtherDomain()
{
    std::set<std::string> domains;
    for (const auto& [id, member] : m_members.members()) {
        if (!member.isDead() && !isLocal(member.update))
            domains.insert(member.update.failureDomain);
    }
    const std::string domain = pickOne({ domains.begin(), domains.end() });
    const std::string id = pickOne(m_members.select(
        [&](const Member& it) { return !it.isDead() && it.update.failureDomain == domain && !isLocal(it.update); }));
    if (!id.empty())
        probeRemote(id, remoteProbeAttempts);
}

void Membership::probeRemote(const std::string& nodeId, uint32_t attempts)
{
    const Member* member = m_members.find(nodeId);
    if (member == nullptr)
        return;
    const uint64_t incarnation = member->update.incarnation;
    const MonotonicTime started = m_clock.now();
    send(member->update.address, makeMessage(PeerMessage::Kind::Ping, nodeId, false), m_options.probeTimeout,
        [this, nodeId, incarnation, attempts, started](const Reply& reply) {
            if (reply && reply->from.nodeId == nodeId)
                return;
            // A callback that runs much too late means that this process was paused, not that the member failed.
            const bool wasPaused = m_clock.now() - started > m_options.probeTimeout + m_options.pauseThreshold;
            if (attempts > 1)
                probeRemote(nodeId, attempts - 1);
            else if (!wasPaused)
                suspect(nodeId, incarnation);
        });
}

void Membership::reconnect()
{
    std::set<std::string> liveAddresses { m_self.address };
    std::set<std::string> liveDomains;
    for (const auto& [id, member] : m_members.members()) {
        if (member.isDead())
            continue;
        liveAddresses.insert(member.update.address);
        liveDomains.insert(member.update.failureDomain);
    }
    std::vector<std::string> preferred;
    std::vector<std::string> others;
    for (const auto& [id, member] : m_members.members()) {
        if (!member.isDead() || liveAddresses.contains(member.update.address))
            continue;
        // A domain without live members was probably partitioned, and reaching one member recovers all of them.
        (liveDomains.contains(member.update.failureDomain) ? others : preferred).push_back(member.update.address);
    }
    for (const auto* addresses : { &m_seeds, &m_listedAddresses }) {
        std::ranges::copy_if(*addresses, std::back_inserter(liveDomains.empty() ? preferred : others),
            [&](const std::string& it) { return !liveAddresses.contains(it); });
    }
    // Every second attempt goes to the others, or a permanently removed domain would keep them from being tried.
    const bool usesPreferred = !preferred.empty() && (others.empty() || m_random.below(2) == 0);
    const std::string address = pickOne(usesPreferred ? preferred : others);
    if (!address.empty())
        sync(address);
}

void Membership::syncWithRandomMember()
{
    const std::vector<std::string> local = liveMembers(true);
    const std::vector<std::string> remote = liveMembers(false);
    const bool picksLocal = remote.empty() || (!local.empty() && (!m_hasDomainRecords || m_random.below(2) == 0));
    const std::string id = pickOne(picksLocal ? local : remote);
    if (!id.empty())
        sync(m_members.find(id)->update.address);
}

void Membership::sync(const std::string& address)
{
    std::string recipient;
    bool isLocalRecipient = false;
    for (const auto& [id, member] : m_members.members()) {
        if (member.update.address != address)
            continue;
        recipient = id;
        isLocalRecipient = isLocal(member.update);
    }
    PeerMessage message = makeMessage(PeerMessage::Kind::Sync, recipient, isLocalRecipient);
    message.digest = (static_cast<uint64_t>(m_records.digest()) << 32) | m_members.digest(m_self);
    send(address, message, m_options.syncTimeout, [](const Reply&) {});
}

void Membership::spreadRevision()
{
    std::vector<std::string> local = liveMembers(true);
    shuffle(local);
    const double localMembers = static_cast<double>(local.size()) + 1;
    local.resize(std::min<size_t>(local.size(), m_options.revisionFanOut));
    // These messages also serve as probes, so the next regular one is postponed.
    for (const std::string& id : local)
        probe(id);
    m_nextProbe = std::max(m_nextProbe, m_clock.now() + m_options.probeDelayAfterRevision);
    if (m_random.unit() < m_options.revisionMessagesPerDomain / localMembers)
        probeOtherDomain();
}

void Membership::addUrgent(const std::string& key)
{
    for (const std::string& id : liveMembers(true)) {
        UrgentDelivery& delivery = m_urgentDeliveries[id];
        delivery.keys.insert(key);
        delivery.attempts = 0;
    }
    sendUrgent();
}

void Membership::sendUrgent()
{
    const auto inFlight = static_cast<uint32_t>(
        std::ranges::count_if(m_urgentDeliveries, [](const auto& it) { return it.second.isInFlight; }));
    uint32_t freeCapacity = m_options.urgentInFlight - std::min(inFlight, m_options.urgentInFlight);
    for (auto it = m_urgentDeliveries.begin(); it != m_urgentDeliveries.end() && freeCapacity > 0;) {
        const Member* member = m_members.find(it->first);
        const bool isAbandoned = !it->second.isInFlight
            && (member == nullptr || member->isDead() || it->second.attempts >= m_options.urgentAttempts);
        if (isAbandoned) {
            it = m_urgentDeliveries.erase(it);
            continue;
        }
        if (!it->second.isInFlight) {
            sendUrgentTo(it->first, it->second);
            --freeCapacity;
        }
        ++it;
    }
}

void Membership::sendUrgentTo(const std::string& nodeId, UrgentDelivery& delivery)
{
    PeerMessage message = makeMessage(PeerMessage::Kind::Ping, nodeId, true);
    for (const std::string& key : delivery.keys) {
        if (const GossipRecord* record = m_records.find(key))
            message.records.push_back(*record);
    }
    delivery.isInFlight = true;
    ++delivery.attempts;
    send(m_members.find(nodeId)->update.address, message, m_options.urgentTimeout,
        [this, nodeId, keys = delivery.keys](const Reply& reply) {
            const auto it = m_urgentDeliveries.find(nodeId);
            if (it == m_urgentDeliveries.end())
                return;
            it->second.isInFlight = false;
            if (reply && reply->from.nodeId == nodeId) {
                for (const std::string& key : keys)
                    it->second.keys.erase(key);
            }
            if (it->second.keys.empty())
                m_urgentDeliveries.erase(it);
            sendUrgent();
        });
}

}

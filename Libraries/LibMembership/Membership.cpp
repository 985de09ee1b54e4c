#include <LibMembership/Membership.h>

#include <LibMembership/MessageSize.h>

#include <algorithm>
#include <cassert>
#include <cmath>

namespace Chicorydock {

namespace {

    // Expected number of members that probe a suspect immediately, so that it can refute in time.
    constexpr uint64_t earlyProbes = 4;
    constexpr auto cleanupInterval = std::chrono::seconds(10);

}

Membership::Membership(const Clock& clock, HybridLogicalClock& hybridClock, Random& random, PeerLink& link,
    MembershipObserver& observer, const RecordPolicy& policy, MemberUpdate self, MembershipOptions options)
    : m_clock(clock)
    , m_hybridClock(hybridClock)
    , m_random(random)
    , m_link(link)
    , m_observer(observer)
    , m_policy(policy)
    , m_options(options)
    , m_self(std::move(self))
    , m_lastTick(clock.now())
    , m_lastReply(clock.now())
    , m_nextReconnect(clock.now())
    , m_nextCleanup(clock.now() + cleanupInterval)
{
    assert(!m_self.nodeId.empty() && !m_self.address.empty());
    m_self.incarnation = static_cast<uint64_t>(toUnixMilliseconds(clock.wallNow()));
    m_self.state = MemberUpdate::State::Alive;
    // Spreads the probes of nodes that start together over the interval.
    m_nextProbe = clock.now() + fromSeconds(toSeconds(options.probeInterval) * random.unit());
    m_nextRemoteProbe = clock.now() + fromSeconds(toSeconds(options.remoteProbeInterval) * random.unit());
    m_nextSync = clock.now();
    publishMembers();
}

void Membership::tick(MonotonicTime now)
{
    checkPause(now);
    m_gossipCredit
        = std::min(m_gossipCredit + m_options.gossipBytesPerSecond * toSeconds(now - m_lastTick), maxGossipCredit());
    m_lastTick = now;
    expireProbes(now);
    expireSuspicions(now);
    if (isDue(m_nextProbe, m_options.probeInterval, now))
        probeNext(now);
    if (isDue(m_nextRemoteProbe, m_options.remoteProbeInterval, now))
        probeOtherDomain();
    if (now >= m_nextReconnect) {
        const bool isAlone = liveMembers(true).empty() && liveMembers(false).empty();
        isDue(m_nextReconnect, isAlone ? m_options.joinInterval : m_options.reconnectInterval, now);
        reconnect();
    }
    if (isDue(m_nextSync, m_hasDomainRecords ? m_options.syncInterval : m_options.joinInterval, now))
        syncWithRandomMember();
    sendUrgent();
    removeOldMembers(now);
    publishMembers();
}

PeerMessage Membership::receive(const PeerMessage& message)
{
    checkPause(m_clock.now());
    applyMessage(message);
    if (message.kind == PeerMessage::Kind::PingRequest)
        relayProbe(message);
    if (message.kind == PeerMessage::Kind::Ack) {
        // A relay reports that the target of an indirect probe replied to it.
        for (const auto& [id, probe] : m_probes) {
            if (probe.nodeId == message.target) {
                endProbe(id, true);
                break;
            }
        }
    }
    PeerMessage reply = makeMessage(PeerMessage::Kind::Ack, message.from.nodeId, isLocal(message.from));
    if (message.kind == PeerMessage::Kind::Sync)
        fillSyncReply(reply, message);
    return reply;
}

void Membership::publish(const GossipRecord& record, Urgency urgency)
{
    if (m_policy.scope(record) == RecordPolicy::Scope::Ignored || !m_records.put(record, m_clock.now()))
        return;
    queueRecord(record);
    if (urgency == Urgency::Urgent)
        addUrgent(record.key);
}

void Membership::removeRecord(const std::string& key)
{
    m_records.remove(key);
    m_recordQueue.remove(key);
    m_remoteRecordQueue.remove(key);
}

void Membership::setRevision(uint64_t revision)
{
    if (revision <= m_revision)
        return;
    m_revision = revision;
    spreadRevision();
}

void Membership::leave()
{
    if (m_self.state == MemberUpdate::State::Leaving)
        return;
    m_self.state = MemberUpdate::State::Leaving;
    // Every message carries the state of this node, so the delivery needs no record key.
    addUrgent({});
    m_isDirty = true;
    publishMembers();
}

PeerMessage Membership::makeMessage(PeerMessage::Kind kind, const std::string& recipient, bool isLocal)
{
    const HybridTime time = m_hybridClock.tick();
    PeerMessage message;
    message.kind = kind;
    message.from = m_self;
    message.revision = m_revision;
    message.wallMilliseconds = time.wallMilliseconds;
    message.counter = time.counter;
    // A member that is considered suspect or dead must receive that state, or it could not refute it.
    const Member* member = m_members.find(recipient);
    if (member != nullptr && !(member->update.state == MemberUpdate::State::Alive))
        message.members.push_back(member->update);
    if (const auto report = m_foreignFailureReports.extract(recipient); !report.empty())
        message.members.push_back(report.mapped());
    addGossip(message, isLocal);
    return message;
}

void Membership::addGossip(PeerMessage& message, bool isLocal)
{
    const size_t allowed
        = std::min(static_cast<size_t>(std::max(m_gossipCredit, 0.0)), m_options.gossipBytesPerMessage);
    size_t bytes = allowed;
    const auto memberSize = [&](const std::string& id) {
        const Member* member = m_members.find(id);
        return member == nullptr ? 0 : wireSize(member->update);
    };
    const uint32_t limit = retransmissionLimit();
    for (const std::string& id :
        m_memberQueue.selectForTransmission(bytes, memberSize, [&](const std::string&) { return limit; }))
        message.members.push_back(m_members.find(id)->update);
    const auto recordSize = [&](const std::string& key) {
        const GossipRecord* record = m_records.find(key);
        return record == nullptr ? 0 : wireSize(*record);
    };
    // A volatile record is out of date before it could reach everyone by retransmission.
    const auto recordLimit = [&](const std::string& key) {
        return RecordTable::isVolatile(key) ? m_options.volatileTransmissions : limit;
    };
    TransmissionQueue& queue = isLocal ? m_recordQueue : m_remoteRecordQueue;
    std::vector<std::string> keys = queue.selectForTransmission(bytes, recordSize, recordLimit);
    if (bytes == allowed && m_gossipCredit >= maxGossipCredit()) {
        // A record larger than the limit of a message is sent alone, once the credit is full, and may overdraw it.
        size_t oversize = m_options.maxRecordBytes;
        keys = queue.selectForTransmission(oversize, recordSize, recordLimit, 1);
        m_gossipCredit -= static_cast<double>(m_options.maxRecordBytes - oversize);
    }
    for (const std::string& key : keys)
        message.records.push_back(*m_records.find(key));
    m_gossipCredit -= static_cast<double>(allowed - bytes);
}

void Membership::send(
    const std::string& address, const PeerMessage& message, Milliseconds timeout, ReplyHandler handler)
{
    m_link.exchange(address, message, timeout,
        [this, lifetime = std::weak_ptr(m_lifetime), handler = std::move(handler)](const Reply& reply) {
            if (lifetime.expired())
                return;
            checkPause(m_clock.now());
            if (reply) {
                recordReply();
                m_hasDomainRecords = m_hasDomainRecords || (reply->digest != 0 && isLocal(reply->from));
                applyMessage(*reply);
            }
            handler(reply);
        });
}

void Membership::applyMessage(const PeerMessage& message)
{
    m_hybridClock.receive({ message.wallMilliseconds, message.counter });
    const std::string& domain = message.from.failureDomain;
    if (message.from.nodeId != m_self.nodeId)
        applyUpdate(message.from, domain);
    for (const MemberUpdate& it : message.members)
        applyUpdate(it, domain);
    for (const GossipRecord& it : message.records)
        applyRecord(it, isLocal(message.from));
    if (message.revision > m_revision)
        m_observer.onRevision(message.revision, message.from.address);
}

void Membership::fillSyncReply(PeerMessage& reply, const PeerMessage& request)
{
    const bool isLocalPeer = isLocal(request.from);
    const uint32_t memberDigest = m_members.digest(m_self);
    reply.digest = (static_cast<uint64_t>(m_records.digest()) << 32) | memberDigest;
    size_t bytes = m_options.syncBytes;
    const auto fits = [&](const auto& item) {
        const size_t size = wireSize(item);
        const bool isSmall = size <= bytes;
        bytes -= isSmall ? size : 0;
        return isSmall;
    };
    if (static_cast<uint32_t>(request.digest) != memberDigest) {
        for (const auto& [id, member] : m_members.members()) {
            // Dead members are included, or a peer that missed their death would keep them for a long time.
            if (id != request.from.nodeId && fits(member.update))
                reply.members.push_back(member.update);
        }
    }
    if (isLocalPeer && static_cast<uint32_t>(request.digest >> 32) == m_records.digest())
        return;
    std::vector<GossipRecord> records = m_records.all();
    // A peer that already has records receives only part of them, starting at a random position. Sending thousands of
    // records after each difference would exceed the traffic budget of a node.
    const bool isNewPeer = request.digest >> 32 == 0;
    if (!isNewPeer && !records.empty()) {
        bytes = std::min(bytes, m_options.partialSyncBytes);
        const auto first = records.begin() + static_cast<ptrdiff_t>(m_random.below(records.size()));
        std::rotate(records.begin(), first, records.end());
    }
    for (const GossipRecord& it : records) {
        const bool isWanted = isLocalPeer || m_policy.scope(it) == RecordPolicy::Scope::Everywhere;
        if (isWanted && fits(it))
            reply.records.push_back(it);
    }
}

void Membership::applyUpdate(const MemberUpdate& update, const std::string& senderDomain)
{
    if (update.nodeId == m_self.nodeId) {
        applyToSelf(update);
        return;
    }
    const Member* known = m_members.find(update.nodeId);
    if (known == nullptr) {
        // The death of an unknown member is irrelevant to this node.
        if (update.state != MemberUpdate::State::Dead)
            changeMember(update);
        return;
    }
    if (!MemberTable::supersedes(update, known->update))
        return;
    // During a partition a domain cannot reach the others. Its failure reports are authoritative only about its own
    // members and among its own nodes; for any other node they are only a reason to check.
    const bool isForeign = senderDomain != m_self.failureDomain && senderDomain != update.failureDomain;
    const bool isFailureReport
        = update.state == MemberUpdate::State::Suspect || update.state == MemberUpdate::State::Dead;
    if (isForeign && isFailureReport && isLocal(update) && !known->isDead())
        forwardFailureReport(update);
    else if (isForeign && update.state == MemberUpdate::State::Dead && !known->isDead())
        suspect(update.nodeId, update.incarnation);
    else
        changeMember(update);
}

void Membership::forwardFailureReport(const MemberUpdate& report)
{
    m_foreignFailureReports[report.nodeId] = report;
    scheduleEarlyProbe(report.nodeId);
}

void Membership::scheduleEarlyProbe(const std::string& nodeId)
{
    // Of all members that learn of the suspicion, only a few probe the suspect before its turn.
    if (m_random.below(m_members.members().size()) < earlyProbes)
        m_probeOrder.push_back(nodeId);
}

void Membership::applyToSelf(const MemberUpdate& update)
{
    if (update.incarnation < m_self.incarnation)
        return;
    const bool isSame = update.incarnation == m_self.incarnation && update.state <= m_self.state;
    const bool isFinal = m_self.state == MemberUpdate::State::Leaving;
    if (isSame || isFinal)
        return;
    // Either a failure report to refute, or an update of an earlier process of this node whose wall clock was ahead.
    m_self.incarnation = update.incarnation + 1;
    m_isDirty = true;
}

void Membership::changeMember(const MemberUpdate& update)
{
    const Member* known = m_members.find(update.nodeId);
    const bool isNew = known == nullptr || known->isDead();
    m_members.put(update, m_clock.now());
    if (update.state == MemberUpdate::State::Suspect)
        m_members.setSuspicionDeadline(update.nodeId, m_clock.now() + suspicionTimeout(update));
    if (isNew && isLocal(update)) {
        // A random position in the round keeps the probes of all members independent of each other.
        const auto position = static_cast<ptrdiff_t>(m_random.below(m_probeOrder.size() + 1));
        m_probeOrder.insert(m_probeOrder.begin() + position, update.nodeId);
    }
    if (update.state == MemberUpdate::State::Suspect && isLocal(update))
        scheduleEarlyProbe(update.nodeId);
    m_memberQueue.add(update.nodeId);
    m_isDirty = true;
    m_observer.onMemberChanged(update);
}

void Membership::suspect(const std::string& nodeId, uint64_t incarnation)
{
    const Member* member = m_members.find(nodeId);
    if (member == nullptr || member->isDead() || member->update.incarnation > incarnation)
        return;
    if (member->update.state == MemberUpdate::State::Alive) {
        MemberUpdate update = member->update;
        update.incarnation = incarnation;
        update.state = MemberUpdate::State::Suspect;
        changeMember(update);
        return;
    }
    // A leaving member keeps that state until it is declared dead.
    if (!member->suspicionDeadline)
        m_members.setSuspicionDeadline(nodeId, m_clock.now() + suspicionTimeout(member->update));
}

MonotonicTime::duration Membership::suspicionTimeout(const MemberUpdate& update) const
{
    const double members = static_cast<double>(m_members.members().size()) + 1;
    const double intervals = m_options.suspicionIntervals * std::max(1.0, std::log10(members));
    const double remote = isLocal(update) ? 1 : m_options.remoteSuspicionFactor;
    return fromSeconds(toSeconds(m_options.probeInterval) * intervals * remote * (1 + m_healthPenalty));
}

void Membership::expireSuspicions(MonotonicTime now)
{
    for (const std::string& id : m_members.expiredSuspicions(now)) {
        MemberUpdate update = m_members.find(id)->update;
        update.state = MemberUpdate::State::Dead;
        changeMember(update);
    }
}

void Membership::removeOldMembers(MonotonicTime now)
{
    if (now < m_nextCleanup)
        return;
    m_nextCleanup = now + cleanupInterval;
    std::vector<std::string> dead = m_members.select([](const Member& member) { return member.isDead(); });
    std::ranges::sort(dead, std::greater {}, [&](const std::string& id) { return m_members.find(id)->changedAt; });
    std::set<std::string> liveDomains { m_self.failureDomain };
    for (const auto& [id, member] : m_members.members()) {
        if (!member.isDead())
            liveDomains.insert(member.update.failureDomain);
    }
    for (size_t n = 0; n < dead.size(); ++n) {
        const Member& member = *m_members.find(dead[n]);
        // A domain that was partitioned for a long time can be found again only through its dead members.
        const bool isOld
            = now - member.changedAt > m_options.deadRetention && liveDomains.contains(member.update.failureDomain);
        if (isOld || n >= m_options.maxDeadMembers)
            m_members.remove(dead[n]);
    }
    std::erase_if(m_foreignFailureReports, [&](const auto& it) {
        const Member* member = m_members.find(it.first);
        return member == nullptr || !MemberTable::supersedes(it.second, member->update);
    });
}

void Membership::applyRecord(const GossipRecord& record, bool isLocalSender)
{
    const auto scope = m_policy.scope(record);
    if (scope == RecordPolicy::Scope::Ignored || (!isLocalSender && scope != RecordPolicy::Scope::Everywhere))
        return;
    if (!m_records.put(record, m_clock.now()))
        return;
    queueRecord(record);
    m_observer.onRecordChanged(record);
}

void Membership::queueRecord(const GossipRecord& record)
{
    m_recordQueue.add(record.key);
    if (m_policy.scope(record) == RecordPolicy::Scope::Everywhere)
        m_remoteRecordQueue.add(record.key);
    if (m_records.size() > m_options.maxRecords)
        removeRecord(m_records.oldest());
}

void Membership::checkPause(MonotonicTime now)
{
    const auto gap = now - m_lastTick;
    if (gap < m_options.pauseThreshold)
        return;
    // This process was paused. Probes that timed out meanwhile may have succeeded, and refutations were not read.
    m_members.shiftDeadlines(gap);
    m_probes.clear();
    m_lastReply += gap;
    m_lastTick = now;
}

void Membership::recordReply()
{
    const MonotonicTime now = m_clock.now();
    if (now - m_lastReply > m_options.isolationThreshold) {
        // This node was isolated, so the failures it detected meanwhile are unreliable. Live members are added again as
        // new ones. Members that have left are kept, or peers that missed their departure could add them again.
        const auto unreliable = m_members.select([&](const Member& it) {
            const bool isSuspectOrDead = it.update.state == MemberUpdate::State::Suspect || it.isDead();
            return isSuspectOrDead && !it.hasLeft && it.changedAt >= m_lastReply;
        });
        for (const std::string& id : unreliable) {
            m_members.remove(id);
            m_memberQueue.remove(id);
        }
        m_isDirty = true;
    }
    m_lastReply = now;
}

bool Membership::isDue(MonotonicTime& next, Milliseconds interval, MonotonicTime now)
{
    if (now < next)
        return false;
    // Jitter of up to 10% in both directions keeps nodes from synchronizing.
    next = std::max(next + fromSeconds(toSeconds(interval) * (0.9 + 0.2 * m_random.unit())), now);
    return true;
}

std::vector<std::string> Membership::liveMembers(bool local) const
{
    return m_members.select([&](const Member& it) { return it.isLive() && isLocal(it.update) == local; });
}

std::string Membership::pickOne(const std::vector<std::string>& ids)
{
    return ids.empty() ? std::string {} : ids[m_random.below(ids.size())];
}

void Membership::shuffle(std::vector<std::string>& ids)
{
    for (size_t n = ids.size(); n > 1; --n)
        std::swap(ids[n - 1], ids[m_random.below(n)]);
}

uint32_t Membership::retransmissionLimit() const
{
    const double members = static_cast<double>(m_members.members().size()) + 2;
    return static_cast<uint32_t>(std::ceil(m_options.retransmissionFactor * std::log2(members)));
}

void Membership::publishMembers()
{
    if (!m_isDirty)
        return;
    m_isDirty = false;
    MemberList list;
    list.reserve(m_members.members().size() + 1);
    for (const auto& [id, member] : m_members.members())
        list.push_back(member.update);
    list.insert(std::ranges::lower_bound(list, m_self.nodeId, {}, &MemberUpdate::nodeId), m_self);
    m_published.publish(std::make_shared<const MemberList>(std::move(list)));
}

}

#include <LibMembership/MemberTable.h>

#include <LibCore/Digest.h>

#include <algorithm>
#include <iterator>

namespace Chicorydock {

namespace {

    uint32_t digestOf(const MemberUpdate& update)
    {
        // Suspicion is transient. If the digest included it, peers would exchange complete lists because of it.
        const bool isLeaving = update.state == MemberUpdate::State::Leaving;
        return static_cast<uint32_t>(stableHash(update.nodeId, update.incarnation * 2 + (isLeaving ? 1 : 0)));
    }

}

bool MemberTable::supersedes(const MemberUpdate& update, const MemberUpdate& known)
{
    if (update.incarnation != known.incarnation)
        return update.incarnation > known.incarnation;
    return update.state > known.state;
}

void MemberTable::put(const MemberUpdate& update, MonotonicTime now)
{
    m_suspects.erase(update.nodeId);
    Member& member = m_members[update.nodeId];
    const bool hadLeft = member.hasLeft && member.update.incarnation == update.incarnation;
    member = { update, now, {}, hadLeft || update.state == MemberUpdate::State::Leaving };
}

const Member* MemberTable::find(const std::string& nodeId) const
{
    const auto it = m_members.find(nodeId);
    return it == m_members.end() ? nullptr : &it->second;
}

void MemberTable::remove(const std::string& nodeId)
{
    m_members.erase(nodeId);
    m_suspects.erase(nodeId);
}

void MemberTable::setSuspicionDeadline(const std::string& nodeId, std::optional<MonotonicTime> deadline)
{
    m_members.at(nodeId).suspicionDeadline = deadline;
    if (deadline)
        m_suspects.insert(nodeId);
    else
        m_suspects.erase(nodeId);
}

std::vector<std::string> MemberTable::expiredSuspicions(MonotonicTime now) const
{
    std::vector<std::string> expired;
    std::ranges::copy_if(m_suspects, std::back_inserter(expired),
        [&](const std::string& it) { return *m_members.at(it).suspicionDeadline <= now; });
    return expired;
}

void MemberTable::shiftDeadlines(MonotonicTime::duration duration)
{
    for (const std::string& it : m_suspects)
        *m_members.at(it).suspicionDeadline += duration;
}

uint32_t MemberTable::digest(const MemberUpdate& self) const
{
    uint32_t digest = digestOf(self);
    for (const auto& [id, member] : m_members) {
        if (!member.isDead())
            digest ^= digestOf(member.update);
    }
    return digest;
}

}

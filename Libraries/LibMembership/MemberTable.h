#pragma once

#include <LibCore/Clock.h>
#include <LibMembership/PeerMessage.h>

#include <map>
#include <optional>
#include <set>

namespace Chicorydock {

/// The state of another member, as known to this node.
struct Member {
    MemberUpdate update;
    MonotonicTime changedAt;
    /// When a suspected member is declared dead unless it refutes the suspicion; set only by `MemberTable`.
    std::optional<MonotonicTime> suspicionDeadline;

    /// Whether the member announced its departure in this incarnation; remains true once it is dead.
    bool hasLeft { false };

    bool isDead() const { return update.state == MemberUpdate::State::Dead; }
    /// Whether the member is alive or suspect.
    bool isLive() const { return update.state < MemberUpdate::State::Leaving; }
};

/// The other members, by node id.
///
/// Thread safety: none.
class MemberTable {
public:
    using Members = std::map<std::string, Member>;

    /// Returns whether `update` has a higher incarnation than `known`, or a later state of the same incarnation.
    static bool supersedes(const MemberUpdate& update, const MemberUpdate& known);

    /// Stores the update and clears the suspicion deadline of the member.
    void put(const MemberUpdate&, MonotonicTime now);
    void remove(const std::string& nodeId);

    const Member* find(const std::string& nodeId) const;
    const Members& members() const { return m_members; }

    /// Sets or clears the suspicion deadline. Precondition: the member is known.
    void setSuspicionDeadline(const std::string& nodeId, std::optional<MonotonicTime> deadline);

    /// Returns the members whose suspicion deadline has passed.
    std::vector<std::string> expiredSuspicions(MonotonicTime now) const;

    /// Postpones all suspicion deadlines by the time for which this process was paused.
    void shiftDeadlines(MonotonicTime::duration);

    /// Returns the ids of the members that satisfy the predicate, in ascending order.
    template <typename Predicate> std::vector<std::string> select(Predicate predicate) const
    {
        std::vector<std::string> ids;
        for (const auto& [id, member] : m_members) {
            if (predicate(member))
                ids.push_back(id);
        }
        return ids;
    }

    /// Returns a digest of `self` and all members that are not dead.
    uint32_t digest(const MemberUpdate& self) const;

private:
    Members m_members;
    /// Members with a suspicion deadline, so that a tick does not iterate over all members.
    std::set<std::string> m_suspects;
};

}

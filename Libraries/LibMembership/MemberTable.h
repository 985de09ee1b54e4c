#pragma once

#include <LibCore/Clock.h>
#include <LibMembership/PeerMessage.h>

#include <map>
#include <optional>
#include <set>

namespace Chicorydock {

/// What this node knows of one other member.
struct Member {
    MemberUpdate update;
    MonotonicTime since;
    /// When the member is declared dead unless it refutes; set by the table only.
    std::optional<MonotonicTime> suspicionDeadline;

    /// Whether it said in this incarnation that it is leaving, which stays true when it is dead.
    bool hasLeft { false };

    bool isDead() const { return update.state == MemberUpdate::State::Dead; }
    /// Whether it takes part: alive or suspect.
    bool isLive() const { return update.state < MemberUpdate::State::Leaving; }
};

/// The other members, by node id.
///
/// Thread safety: none.
class MemberTable {
public:
    using Members = std::map<std::string, Member>;

    /// Returns whether `update` is news compared with `known`: a higher incarnation, or a later state of the same one.
    static bool supersedes(const MemberUpdate& update, const MemberUpdate& known);

    /// Writes the update. The suspicion deadline is cleared.
    void put(const MemberUpdate&, MonotonicTime now);
    void remove(const std::string& nodeId);

    const Member* find(const std::string& nodeId) const;
    const Members& members() const { return m_members; }

    /// Sets or clears the suspicion deadline. Precondition: the member is known.
    void setSuspicionDeadline(const std::string& nodeId, std::optional<MonotonicTime> deadline);

    /// Returns the members whose suspicion deadline has passed.
    std::vector<std::string> expiredSuspicions(MonotonicTime now) const;

    /// Moves all deadlines, after a pause of this process.
    void shiftDeadlines(MonotonicTime::duration);

    /// Returns the ids of members that the predicate accepts, in their order.
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
    /// Members with a suspicion deadline, so that a tick does not look at all members.
    std::set<std::string> m_suspects;
};

}

#pragma once

#include <LibGateway/EndpointLinks.h>
#include <LibGateway/SlotMessages.h>
#include <LibGateway/SlotScheduler.h>

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace Chicorydock {

/// Allocates the slots of endpoints to several nodes (members) with one queue for all their work, so that messages grow
/// with the number of requests and not with the square of the number of nodes. Answers the load of deployments in which
/// many nodes with a few requests each share the endpoints of a failure domain: no two of them claim the same slot, the
/// most urgent request gets the next free slot whichever node it waits at, and items fill what is left.
///
/// The members choose their coordinator, so a node coordinates whenever others report to it. It keeps no state that the
/// members' next reports would not restore. Coordinators share endpoints among each other as peers of their schedulers.
///
/// Thread safety: none.
class SlotCoordinator {
public:
    /// The scheduler is used by this coordinator only and outlives it.
    explicit SlotCoordinator(SlotScheduler&);

    void setEndpoints(const std::vector<EndpointRecord>&);
    void setWorkspaces(const std::vector<WorkspaceLimits>&);

    /// Processes the report of a member. Reports that are older than the latest one are ignored.
    void receive(const std::string& node, const SlotReport&, MonotonicTime now);

    /// Makes the decisions that are due now, and removes members whose reports have stopped.
    void poll(MonotonicTime now);

    /// Returns the replies that are due now, by member.
    std::vector<std::pair<std::string, SlotReply>> takeReplies(MonotonicTime now);

    /// Returns the reply to one member, whether or not it is due. Precondition: the member has reported.
    SlotReply takeReply(const std::string& node, MonotonicTime now);

    /// Removes a member and frees its slots.
    void removeMember(const std::string& node, MonotonicTime now);

    /// Returns whether any node uses this coordinator.
    bool isActive() const { return !m_members.empty(); }

    /// Returns whether `poll()` and `takeReplies()` have to be called repeatedly because time alone can lead to
    /// decisions or repeated replies.
    bool needsPolling() const;

    /// Returns whether the endpoint has a rate limit, according to the members or to the other coordinators.
    bool isRateLimited(const std::string& endpoint) const { return m_scheduler.isRateLimited(endpoint); }

    /// Returns the members that have reported recently.
    std::vector<std::string> members() const;

private:
    enum class State : uint8_t {
        Queued,
        /// Started, refused or preempted; the member has not acknowledged the decision.
        Decided,
        Running,
    };

    struct Work {
        /// Identifier of the work in the scheduler.
        uint64_t id { 0 };
        State state { State::Queued };
        /// Set in state `Decided`, with the member's identifier of the work.
        SlotDecision decision;
        /// Sequence of the first reply that contains the decision.
        uint64_t decidedIn { 0 };
    };

    struct Member {
        uint64_t lastReport { 0 };
        MonotonicTime reportedAt;
        MonotonicTime repliedAt;
        bool isReplyDue { false };
        bool needsAllWork { false };
        size_t unacknowledged { 0 };
        EndpointLinks links;
        /// By the member's identifier.
        std::unordered_map<uint64_t, Work> work;
    };

    struct Owner {
        std::string node;
        uint64_t work { 0 };
    };

    void settleDecisions(Member&, uint64_t acknowledged);
    void finishWork(Member&, const std::vector<FinishedWork>&, MonotonicTime now);
    /// Returns what an outcome says about the endpoint. The failures of a member that has lost its connections to the
    /// endpoints are its own, as long as the endpoint has responded to others.
    EndpointOutcome judge(Member&, const RunningWork&, EndpointOutcome, MonotonicTime now) const;
    void addRequests(const std::string& node, Member&, const std::vector<QueuedRequest>&, MonotonicTime now);
    void addItems(const std::string& node, Member&, const std::vector<QueuedItem>&, MonotonicTime now);
    void addSlots(const std::string& node, Member&, const std::vector<HeldSlot>&, MonotonicTime now);
    /// Removes work that the report does not contain any more.
    void removeMissingWork(Member&, const SlotReport&, MonotonicTime now);
    Work& addWork(const std::string& node, Member&, uint64_t work);
    void releaseWork(const Work&, MonotonicTime now);
    void recordDecision(const SlotDecision&, MonotonicTime now);
    void removeSilentMembers(MonotonicTime now);

    SlotScheduler& m_scheduler;
    std::map<std::string, Member> m_members;
    /// By the scheduler's identifier.
    std::unordered_map<uint64_t, Owner> m_owners;
    uint64_t m_lastWork { 0 };
    /// Sequence of the latest reply to any member, so that a member that returns is not sent an earlier one again.
    uint64_t m_lastReply { 0 };
};

}

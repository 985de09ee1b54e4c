#pragma once

#include <LibGateway/SlotAllocator.h>
#include <LibGateway/SlotCoordinator.h>
#include <LibGateway/SlotMessages.h>

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Chicorydock {

/// The side of a node in the allocation of slots by a coordinator (see `SlotCoordinator`): keeps the node's queued and
/// running work, reports it to the coordinator and applies the coordinator's decisions.
///
/// A coordinator that does not reply is replaced by the next candidate, and in the end by the node itself, so that a
/// node that reaches no other one still serves. Running work is not affected by a change of the coordinator.
///
/// Thread safety: none.
class SlotMember final : public SlotAllocator {
public:
    struct OutgoingReport {
        std::string coordinator;
        SlotReport report;
    };

    /// `local` is the coordinator of the node itself.
    SlotMember(std::string node, SlotCoordinator& local);

    /// Replaces the nodes that may coordinate, in order of preference. The node itself is always the last one.
    void setCandidates(const std::vector<std::string>&, MonotonicTime now);

    const std::string& coordinator() const { return m_coordinator; }
    bool isIndependent() const { return m_coordinator == m_node; }

    void setEndpoints(const std::vector<EndpointRecord>&) override;
    void setWorkspaces(const std::vector<WorkspaceLimits>&) override;
    void submit(const OnlineWork&, MonotonicTime now) override;
    void submit(const BatchWork&) override;
    void withdraw(uint64_t work) override;
    void finish(uint64_t work, EndpointOutcome, MonotonicTime now) override;
    void observe(const std::string& endpoint, const ObservedLoad&, MonotonicTime now) override;
    void observeRate(const std::string& endpoint, const RateStatement&, MonotonicTime now) override;
    std::vector<SlotDecision> poll(MonotonicTime now) override;
    bool needsPolling() const override;

    /// Replaces a coordinator that does not reply.
    void checkCoordinator(MonotonicTime now);

    /// Returns the reports to other nodes that are due now. A node that allocates its own slots renews its membership
    /// with its own coordinator instead.
    std::vector<OutgoingReport> takeReports(MonotonicTime now);

    /// Returns the time until the next report is due, 0 if one is due now.
    Milliseconds nextReportIn(MonotonicTime now) const;

    /// Processes the reply of a coordinator. Replies of other nodes and old ones are ignored.
    void receive(const std::string& node, const SlotReply&, MonotonicTime now);

    bool hasDecisions() const { return !m_decisions.empty(); }
    uint32_t waitingOnline() const;

private:
    struct Work {
        /// Work that is queued, as it was submitted.
        std::optional<OnlineWork> request;
        std::optional<BatchWork> item;
        /// Set while the work holds a slot.
        std::optional<RunningWork> slot;
        /// Sequence of the report in which the work was first sent to the coordinator, 0 if it has not been.
        uint64_t sentIn { 0 };
        bool isAcknowledged { false };
        /// Whether any coordinator, the present one or an earlier one, has acknowledged the work since it was
        /// submitted.
        bool wasAcknowledged { false };
    };

    /// Items that wait for the same slots: those of one service that may run at the same versions of its software.
    using ItemGroup = std::pair<std::string_view, std::optional<std::string_view>>;

    /// Time for which a coordinator that did not reply is not chosen again.
    struct Suspicion {
        MonotonicTime since;
        MonotonicTime until;
    };

    /// Rate limit that an endpoint stated to this node, and when it did.
    struct HeardRate {
        RateStatement statement;
        MonotonicTime heardAt;
    };

    /// Work that has ended, until the coordinator has acknowledged the report of it.
    struct Finished {
        FinishedWork work;
        /// Sequence of the report in which it was first sent to the coordinator, 0 if it has not been.
        uint64_t sentIn { 0 };
    };

    void chooseCoordinator(MonotonicTime now);
    void changeCoordinator(const std::string& node, MonotonicTime now);
    bool isSuspect(const std::string& node, MonotonicTime now) const;
    void suspect(const std::string& node, MonotonicTime now);
    bool hasUnacknowledgedWork() const;
    Milliseconds replyTimeout() const;
    SlotReport makeReport(MonotonicTime now);
    /// Returns the number of queued items that the coordinator knows, by group.
    std::map<ItemGroup, size_t> acknowledgedItems() const;
    /// Adds the work to the report, unless it is an item of a group that has its share of it.
    void addWork(SlotReport&, uint64_t id, Work&, std::map<ItemGroup, size_t>& reportedItems, MonotonicTime now) const;
    void addLoads(SlotReport&, MonotonicTime now);
    void addRates(SlotReport&, MonotonicTime now);
    void exchangeLocally(MonotonicTime now);
    void apply(const SlotDecision&, MonotonicTime now);
    void start(Work&, const SlotDecision&, MonotonicTime now);
    void resend(Work&);

    const std::string m_node;
    SlotCoordinator& m_local;
    std::vector<std::string> m_candidates;
    std::string m_coordinator;
    /// Coordinator that has to be told that this node no longer uses it.
    std::optional<std::string> m_formerCoordinator;
    /// Coordinators that did not reply.
    std::map<std::string, Suspicion> m_suspicions;
    std::map<uint64_t, Work> m_work;
    std::vector<Finished> m_finished;
    std::map<std::string, std::pair<ObservedLoad, MonotonicTime>> m_loads;
    /// Latest statements of endpoints that have a rate limit or had one.
    std::map<std::string, HeardRate> m_rates;
    std::vector<SlotDecision> m_decisions;
    uint64_t m_lastReport { 0 };
    uint64_t m_lastReply { 0 };
    bool m_hasChange { true };
    MonotonicTime m_reportedAt;
    MonotonicTime m_repliedAt;
    MonotonicTime m_checkedAt;
    /// Time of the first report that expects a reply and has had none.
    std::optional<MonotonicTime> m_unansweredSince;
};

}

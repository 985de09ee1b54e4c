#pragma once

#include <LibCore/Random.h>
#include <LibGateway/EndpointEvaluation.h>
#include <LibGateway/QuotaBucket.h>
#include <LibGateway/QuotaGroup.h>
#include <LibGateway/ReportedQuota.h>

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace Chicorydock {

/// A workspace whose requests were refused, for the log.
struct QuotaNotice {
    std::string workspace;
    WorkspaceLimits limits;
    uint64_t refused { 0 };
    double level { 0 };
    uint32_t nodesInTouch { 1 };
    uint32_t nodesKnown { 1 };
};

/// Keeps the rate limits of workspaces over all nodes. Every request passes one allocator of slots, which charges it
/// once, when it arrives. Allocators report their charges to each other in the reports that they send anyway, so a
/// request costs no message and no call of the store.
///
/// Load: callers of a workspace that send many times its limit, at one node or at all. Their requests are refused at
/// once and take no slot and no place in a queue.
///
/// Thread safety: none.
class WorkspaceQuota {
public:
    struct Totals {
        uint64_t charged { 0 };
        uint64_t refused { 0 };
        /// Charges given back because the request did not run.
        uint64_t refunded { 0 };
    };

    explicit WorkspaceQuota(Random&);

    void setBounds(const QuotaBounds&);
    void setWorkspaces(const std::vector<WorkspaceLimits>&);
    bool hasLimits() const { return !m_buckets.empty(); }

    /// See `QuotaGroup`.
    void setOwnNodes(uint32_t nodes) { m_group.setOwnNodes(nodes); }
    uint32_t servedNodes() const { return m_group.ownNodes(); }
    void setKnownNodes(uint32_t nodes) { m_group.setKnownNodes(nodes); }

    /// Has to be called at least once a second while this node allocates slots. After a longer pause, in which other
    /// allocators may have served its nodes, it begins as after a start.
    void update(MonotonicTime now);

    /// Charges a request when it arrives. Returns nothing if it may run, and otherwise the time after which the caller
    /// should retry. Work of unknown workspaces and of those without a limit is not counted. `isAccepted` says that
    /// another allocator has accepted the request, which cannot charge it any more; it is charged but not refused.
    std::optional<Milliseconds> charge(uint64_t work, const std::string& workspace, bool isAccepted, MonotonicTime now);

    /// Returns what is left of the limit of the workspace, and whether a request would be refused now; nothing if it
    /// has no limit. Charges nothing.
    std::optional<QuotaView> view(const std::string& workspace, MonotonicTime now) const;

    /// Records that the request runs, so that its charge is final.
    void recordStart(uint64_t work) { m_queued.erase(work); }
    /// Gives the charge of the request back unless it runs or ran.
    void refund(uint64_t work);

    /// Applies the report of another allocator, see `QuotaGroup::hear()`. Unknown workspaces and numbers that cannot be
    /// are ignored.
    void receive(
        const std::string& allocator, uint32_t nodes, Milliseconds lifetime, const ReportedQuotas&, MonotonicTime now);
    void removeAllocator(const std::string&);

    /// Returns the workspaces whose charges have changed a short time ago. Each change is in all reports of that time,
    /// so that lost ones do no harm.
    ReportedQuotas report(MonotonicTime now);

    /// Returns a number that changes with what there is to report.
    uint64_t version() const { return m_version; }

    const Totals& totals() const { return m_totals; }
    const QuotaGroup& group() const { return m_group; }

    /// Returns the refusals since the previous notice, for a few workspaces at a time and each of them seldom.
    std::vector<QuotaNotice> takeNotices(MonotonicTime now);

    static uint64_t key(const std::string& workspace);

private:
    struct Entry {
        QuotaBucket bucket;
        uint64_t key { 0 };
        /// Charges that each other allocator last reported.
        std::unordered_map<std::string, uint32_t> reported {};
        bool isListed { false };
        uint64_t refused { 0 };
        MonotonicTime noticedAt {};
    };

    struct Charge {
        std::string workspace;
        MonotonicTime at;
    };

    void restart(MonotonicTime now);
    /// Forgets the charges that the allocator has reported. Names of allocators are never used again.
    void forgetReports(const std::string& allocator);
    void updateShares(MonotonicTime now);
    bool isStarting(MonotonicTime now) const;
    Entry* find(const std::string& workspace);
    void recordChange(const std::string& workspace, Entry&);
    void applyReport(const std::string& allocator, Entry&, const ReportedQuota&, MonotonicTime now);

    Random& m_random;
    QuotaBounds m_bounds;
    QuotaGroup m_group;
    QuotaShares m_shares;
    std::unordered_map<std::string, Entry> m_buckets;
    std::unordered_map<uint64_t, std::string> m_names;
    /// Charged requests that do not run yet.
    std::unordered_map<uint64_t, Charge> m_queued;
    /// Workspaces whose charges have changed in the last seconds.
    std::vector<std::string> m_changed;
    /// Workspaces that were refused requests since their last notice.
    std::unordered_set<std::string> m_refused;
    /// Allocators that were silent for a while. Their earlier charges have been drawn.
    std::unordered_set<std::string> m_returned;
    Totals m_totals;
    uint64_t m_version { 0 };
    bool m_isStarted { false };
    MonotonicTime m_firstStartedAt;
    MonotonicTime m_startedAt;
    MonotonicTime m_updatedAt;
    /// Time at which all allocators in touch had last reported.
    MonotonicTime m_heardUntil;
    MonotonicTime m_syncedUntil;
};

}

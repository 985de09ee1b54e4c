#pragma once

#include <LibGateway/EndpointChooser.h>
#include <LibGateway/ItemPreemption.h>
#include <LibGateway/QueueAdmission.h>
#include <LibGateway/SlotAllocator.h>
#include <LibGateway/SlotQueue.h>
#include <LibGateway/WorkspaceQuota.h>

#include <string>
#include <unordered_map>
#include <vector>

namespace Chicorydock {

/// Shares the slots of endpoints between the nodes of a deployment without a coordinator: each node adds the slots that
/// it uses itself to those in the latest reports of its peers. Engines have no priorities and admit work in order of
/// arrival, so work is queued at the nodes and not at the endpoints.
///
/// Online work may use every slot. Batch items that hold the slots it needs are preempted (they yield): those of this
/// node immediately, those of peers once the peers receive this node's report. Batch items start only on slots above a
/// reserve (`BatchReserve`).
///
/// Endpoints that state a rate limit are sent no more requests than it allows, by all nodes together: the nodes report
/// the work that they start there. Items go to such endpoints first, because they make the most of each request, and
/// online work goes to the others while these have slots.
///
/// Requests over the rate limit of their workspace are refused before they are queued.
///
/// Load: online requests and batch items of all nodes, which together need more slots than there are.
///
/// Deterministic: the decisions depend only on the calls, the times passed in and the random numbers.
///
/// Thread safety: none.
class SlotScheduler final : public SlotAllocator {
public:
    using Location = SlotPeers::Location;

    SlotScheduler(Location, Random&);

    void setEndpoints(const std::vector<EndpointRecord>& records) override { m_endpoints.replace(records); }
    void setWorkspaces(const std::vector<WorkspaceLimits>&) override;
    /// Sets whether the use of each endpoint is limited to what it takes well, see `EndpointLoadProfile`.
    void setLearningLoad(bool isLearning) { m_endpoints.setLearningLoad(isLearning); }
    /// Sets whether work prefers endpoints that keep parts of its prompt, see `PromptPlacement`.
    void setPlacingByPrompt(bool isPlacing) { m_chooser.setPlacingByPrompt(isPlacing); }
    void submit(const OnlineWork&, MonotonicTime now) override;
    void submit(const BatchWork& work) override { m_queue.add(work); }
    void withdraw(uint64_t work) override;
    void finish(uint64_t work, EndpointOutcome, MonotonicTime now) override;

    /// Counts work that another scheduler has started. It holds its slot from now on. Work at an unknown endpoint is
    /// ignored.
    void adopt(const RunningWork&, MonotonicTime now);

    /// Replaces the slot usage of a peer by that of its latest report.
    void setPeerUse(const std::string& node, const PeerUse& use, MonotonicTime now)
    {
        m_usage.setPeerUse(node, use, now);
        m_quota.receive(node, use.servedNodes, use.lifetime, use.quotas, now);
    }
    /// Removes a peer that no longer allocates slots.
    void removePeer(const std::string& node)
    {
        m_usage.removePeer(node);
        m_quota.removeAllocator(node);
    }

    /// Sets how many nodes submit their work to this scheduler.
    void setServedNodes(uint32_t nodes) { m_quota.setOwnNodes(nodes); }
    /// The rate limits of workspaces.
    WorkspaceQuota& quota() { return m_quota; }
    const WorkspaceQuota& quota() const { return m_quota; }

    /// Work at the endpoint that no node has reported yet counts as online work for a short time.
    void observe(const std::string& endpoint, const ObservedLoad& load, MonotonicTime now) override
    {
        m_endpoints.observe(endpoint, load, now);
    }

    void observeRate(const std::string& endpoint, const RateStatement&, MonotonicTime now) override;

    std::vector<SlotDecision> poll(MonotonicTime now) override;
    bool needsPolling() const override { return !m_queue.isEmpty() || !m_overQuota.empty(); }

    /// Returns what would be decided about the work now, without queueing, charging or booking anything.
    SlotExplanation explain(const OnlineWork&, MonotonicTime now);
    SlotExplanation explain(const BatchWork&, MonotonicTime now);

    /// Returns the work if it holds a slot, or null. Valid until the next call of another method.
    const RunningWork* findRunning(uint64_t work) const { return m_usage.find(work); }
    /// Returns when the endpoint last responded to a node that this scheduler works for.
    MonotonicTime lastResponse(const std::string& endpoint) const { return m_endpoints.lastResponse(endpoint); }

    /// Returns the slots that this node uses, by endpoint key, without endpoints that it does not use.
    std::unordered_map<uint32_t, SlotUse> ownUse() const { return m_usage.ownUse(); }
    /// Returns the endpoints whose rate is limited, or was until lately, by endpoint key.
    std::unordered_map<uint32_t, ReportedRate> ownRates(MonotonicTime now) const { return m_endpoints.rates(now); }
    /// Returns whether the endpoint is known and has a rate limit.
    bool isRateLimited(const std::string& endpoint) const { return m_endpoints.isRateLimited(endpoint); }
    /// Returns what is known of the endpoint, or null. Valid until the next call of another method.
    const SlotEndpoint* findEndpoint(const std::string& id) { return m_endpoints.find(id); }
    /// Returns the number of usable endpoints with a rate limit.
    size_t limitedEndpoints() const { return m_endpoints.limitedEndpoints(); }
    /// Returns the number of slots that stay unused because their endpoints do not take more load well.
    size_t unusedSlots() const { return m_endpoints.unusedSlots(); }
    /// Returns a number that changes whenever this node has something new to report to its peers: the slots that it
    /// uses, the rate limit of an endpoint or charges to the rate limit of a workspace.
    uint64_t useVersion() const { return m_usage.version() + m_quota.version(); }
    /// Returns the share of the slots of online work that the workspace with the most of them holds, 0 without
    /// workspaces.
    double largestWorkspaceShare() const;
    uint32_t waitingOnline() const { return m_queue.waitingOnline(); }
    uint32_t waitingBatch() const { return m_queue.waitingBatch(); }

    /// Returns whether work is queued or may have to yield, so that a change of the peers' usage can lead to decisions.
    bool dependsOnPeers() const { return !m_queue.isEmpty() || m_usage.ownBatch() > 0; }

private:
    /// Removes peers without recent reports and outdated load reports of endpoints.
    void expire(MonotonicTime now);
    void decideOnline(std::vector<SlotDecision>&, MonotonicTime now);
    void decideYields(std::vector<SlotDecision>&, MonotonicTime now);
    void decideBatch(std::vector<SlotDecision>&, MonotonicTime now);
    /// Returns the place that the request would have in the queue.
    WaitingLine lineFor(const OnlineWork&, MonotonicTime now) const;
    /// Starts work of which the identifier and the fields of items are set.
    void startWork(std::vector<SlotDecision>&, RunningWork, SlotEndpoint&, MonotonicTime now);
    /// Returns for how much longer the work is expected to hold a slot when it starts.
    Milliseconds expectedSlotTime(const RunningWork&) const;
    /// Returns the expected duration of a request as a multiple of the mean of its service.
    double relativeSize(const RunningWork&) const;
    /// Preempts one item of this node at the endpoint, if one runs there.
    void yieldOne(std::vector<SlotDecision>&, SlotEndpoint&, MonotonicTime now);

    SlotPeers m_peers;
    SlotEndpoints m_endpoints;
    BatchReserve m_reserve;
    SlotUsage m_usage;
    EndpointChooser m_chooser;
    SlotTimeEstimator m_slotTimes;
    SlotQueue m_queue;
    QueueAdmission m_admission;
    ItemPreemption m_preemption;
    WorkspaceQuota m_quota;
    /// Refusals of requests over the rate limit of their workspace that have not been returned yet.
    std::vector<SlotDecision> m_overQuota;
    MonotonicTime m_lastExpiryAt;
};

}

#pragma once

#include <LibGateway/FairShares.h>
#include <LibGateway/SlotTimeEstimator.h>
#include <LibGateway/SlotTypes.h>

#include <string>
#include <utility>
#include <vector>

namespace Chicorydock {

/// Requests and items that wait for a slot, and the order in which they are served.
///
/// Load: more work than free slots. Work that can still be on time comes before work that is late: serving late work
/// first would make all other work late too. Requests of equal priority are served in fair order of their workspaces
/// (`FairShares`); without workspaces this is the order of urgency.
///
/// Thread safety: none.
class SlotQueue {
public:
    /// `slotTimes` outlives the queue.
    explicit SlotQueue(const SlotTimeEstimator& slotTimes);

    void setWorkspaces(const std::vector<WorkspaceLimits>& workspaces) { m_shares.setWorkspaces(workspaces); }

    void add(const OnlineWork&, MonotonicTime now);
    void add(const BatchWork&);
    /// Removes the work if it is queued.
    void remove(uint64_t work);

    /// Removes all requests and returns them in the order in which they are served: by priority, then in fair order of
    /// the workspaces, the most urgent ones of a workspace first; late ones last. Their expected slot times are set.
    std::vector<OnlineWork> takeOnline(MonotonicTime now);
    /// Removes all items and returns them in the order in which they are served: the most urgent ones first, late ones
    /// last.
    std::vector<BatchWork> takeBatch(MonotonicTime now);

    /// Charges the workspace of a request that was taken and starts now.
    void recordStart(const OnlineWork&);

    /// Queues the work that was taken and still waits. Precondition: none has been added since it was taken.
    void putBack(std::vector<OnlineWork> work);
    void putBack(std::vector<BatchWork> work) { m_batch = std::move(work); }

    bool isEmpty() const { return m_online.empty() && m_batch.empty(); }
    uint32_t waitingOnline() const { return static_cast<uint32_t>(m_online.size()); }
    uint32_t waitingBatch() const { return static_cast<uint32_t>(m_batch.size()); }
    /// Returns the number of queued items of the service.
    uint32_t waitingBatch(const std::string& service) const;

private:
    /// Place of a request in the order.
    struct Rank {
        bool isLate { false };
        uint32_t priority { 0 };
        MonotonicTime urgency;
        /// Tag of the fair order.
        double tag { 0 };
        size_t index { 0 };
    };

    /// Returns the requests in order of lateness, priority and urgency.
    std::vector<Rank> rankByUrgency(MonotonicTime now) const;
    /// Orders requests of the same lateness and priority by workspace.
    void orderByWorkspace(std::vector<Rank>&);
    /// Returns whether the fair order could differ from that of urgency.
    bool hasSeveralWorkspaces() const;

    const SlotTimeEstimator& m_slotTimes;
    FairShares m_shares;
    std::vector<OnlineWork> m_online;
    std::vector<BatchWork> m_batch;
};

}

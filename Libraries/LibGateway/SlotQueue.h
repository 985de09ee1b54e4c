#pragma once

#include <LibGateway/HoldTimeEstimator.h>
#include <LibGateway/SlotTypes.h>

#include <utility>
#include <vector>

namespace Chicorydock {

/// Requests and items that wait for a slot, and the order in which they are served.
///
/// Load: more work than free slots. Work that can still be on time comes before work that is late: serving late work
/// first would make all other work late too.
///
/// Thread safety: none.
class SlotQueue {
public:
    /// `holdTimes` outlives the queue.
    explicit SlotQueue(const HoldTimeEstimator& holdTimes);

    void add(const OnlineWork&, MonotonicTime now);
    void add(const BatchWork&);
    /// Removes the work if it is queued.
    void remove(uint64_t work);

    /// Removes all requests and returns them in the order in which they are served: by priority, then by urgency, late
    /// ones last.
    std::vector<OnlineWork> takeOnline(MonotonicTime now);
    /// Removes all items and returns them in the order in which they are served: the most urgent ones first, late ones
    /// last.
    std::vector<BatchWork> takeBatch(MonotonicTime now);

    /// Queues the work that was taken and still waits. Precondition: none has been added since it was taken.
    void putBack(std::vector<OnlineWork> work) { m_online = std::move(work); }
    void putBack(std::vector<BatchWork> work) { m_batch = std::move(work); }

    bool isEmpty() const { return m_online.empty() && m_batch.empty(); }
    uint32_t waitingOnline() const { return static_cast<uint32_t>(m_online.size()); }
    uint32_t waitingBatch() const { return static_cast<uint32_t>(m_batch.size()); }

private:
    const HoldTimeEstimator& m_holdTimes;
    std::vector<OnlineWork> m_online;
    std::vector<BatchWork> m_batch;
};

}

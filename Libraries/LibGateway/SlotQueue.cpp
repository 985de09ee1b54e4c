#include <LibGateway/SlotQueue.h>

#include <algorithm>
#include <tuple>

namespace Chicorydock {

SlotQueue::SlotQueue(const HoldTimeEstimator& holdTimes)
    : m_holdTimes(holdTimes)
{
}

void SlotQueue::add(const OnlineWork& work, MonotonicTime now)
{
    m_online.push_back(work);
    m_online.back().submittedAt = now;
}

void SlotQueue::add(const BatchWork& work) { m_batch.push_back(work); }

void SlotQueue::remove(uint64_t work)
{
    std::erase_if(m_online, [&](const OnlineWork& it) { return it.id == work; });
    std::erase_if(m_batch, [&](const BatchWork& it) { return it.id == work; });
}

std::vector<OnlineWork> SlotQueue::takeOnline(MonotonicTime now)
{
    // Requests that can still be on time come first, ordered by priority and then by urgency. Late requests follow,
    // because serving them first would make all others late too.
    std::ranges::stable_sort(m_online, {}, [&](const OnlineWork& it) {
        const bool isLate = now > it.startBy;
        return std::tuple(isLate, it.priority, isLate ? it.deadline : it.startBy);
    });
    return std::exchange(m_online, {});
}

std::vector<BatchWork> SlotQueue::takeBatch(MonotonicTime now)
{
    // Items that can still be on time come first, the most urgent ones in front. With more work than slots, running
    // late items first would make all items late.
    std::ranges::stable_sort(m_batch, {}, [&](const BatchWork& it) {
        return std::tuple(m_holdTimes.isItemTooLate(it.service, it.dueAt, it.slotTimeUsed, now), it.dueAt);
    });
    return std::exchange(m_batch, {});
}

}

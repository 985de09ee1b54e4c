#include <LibGateway/SlotQueue.h>

#include <algorithm>
#include <tuple>

namespace Chicorydock {

namespace {

    /// Moves the work out of the queue, in the order of the ranks.
    template <typename Work, typename Ranks> std::vector<Work> take(std::vector<Work>& queue, const Ranks& ranks)
    {
        std::vector<Work> ordered;
        ordered.reserve(ranks.size());
        for (const auto& it : ranks)
            ordered.push_back(std::move(queue[it.index]));
        queue.clear();
        return ordered;
    }

}

SlotQueue::SlotQueue(const SlotTimeEstimator& slotTimes)
    : m_slotTimes(slotTimes)
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
    for (OnlineWork& it : m_online)
        it.slotTime = m_slotTimes.requestTime(it.service, it.profile);
    std::vector<Rank> ranks = rankByUrgency(now);
    if (hasSeveralWorkspaces())
        orderByWorkspace(ranks);
    return take(m_online, ranks);
}

std::vector<SlotQueue::Rank> SlotQueue::rankByUrgency(MonotonicTime now) const
{
    // Requests that can still be on time come first, ordered by priority and then by urgency. Late requests follow,
    // because serving them first would make all others late too.
    std::vector<Rank> ranks;
    ranks.reserve(m_online.size());
    for (const OnlineWork& it : m_online) {
        const bool isLate = now > it.startBy;
        ranks.push_back({ isLate, it.priority, isLate ? it.deadline : it.startBy, 0, ranks.size() });
    }
    std::ranges::stable_sort(ranks, {}, [](const Rank& it) { return std::tuple(it.isLate, it.priority, it.urgency); });
    return ranks;
}

void SlotQueue::orderByWorkspace(std::vector<Rank>& ranks)
{
    m_shares.beginOrder();
    for (Rank& it : ranks) {
        const OnlineWork& work = m_online[it.index];
        it.tag = m_shares.nextTag(work.service, work.profile.workspace, work.slotTime);
    }
    std::ranges::stable_sort(ranks, {}, [](const Rank& it) { return std::tuple(it.isLate, it.priority, it.tag); });
}

bool SlotQueue::hasSeveralWorkspaces() const
{
    return std::ranges::any_of(
        m_online, [&](const OnlineWork& it) { return it.profile.workspace != m_online.front().profile.workspace; });
}

uint32_t SlotQueue::waitingBatch(const std::string& service) const
{
    return static_cast<uint32_t>(std::ranges::count(m_batch, service, &BatchWork::service));
}

void SlotQueue::recordStart(const OnlineWork& work)
{
    m_shares.recordStart(work.service, work.profile.workspace, work.slotTime);
}

void SlotQueue::putBack(std::vector<OnlineWork> work)
{
    m_online = std::move(work);
    // While no work waits, each workspace has all the slots that it asks for.
    m_shares.forgetUnless([&](const std::string& service) {
        return std::ranges::any_of(m_online, [&](const OnlineWork& it) { return it.service == service; });
    });
}

std::vector<BatchWork> SlotQueue::takeBatch(MonotonicTime now)
{
    // Items that can still be on time come first, the most urgent ones in front. With more work than slots, running
    // late items first would make all items late.
    struct ItemRank {
        bool isLate { false };
        MonotonicTime dueAt;
        size_t index { 0 };
    };
    std::vector<ItemRank> ranks;
    ranks.reserve(m_batch.size());
    for (const BatchWork& it : m_batch)
        ranks.push_back({ m_slotTimes.isItemTooLate(it.service, it.profile, it.dueAt, it.slotTimeUsed, now), it.dueAt,
            ranks.size() });
    std::ranges::stable_sort(ranks, {}, [](const ItemRank& it) { return std::tuple(it.isLate, it.dueAt); });
    return take(m_batch, ranks);
}

}

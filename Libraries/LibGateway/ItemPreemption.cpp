#include <LibGateway/ItemPreemption.h>

#include <algorithm>
#include <tuple>

namespace Chicorydock {

ItemPreemption::ItemPreemption(const SlotUsage& usage, const SlotPeers& peers, const SlotTimeEstimator& slotTimes)
    : m_usage(usage)
    , m_peers(peers)
    , m_slotTimes(slotTimes)
{
}

std::optional<uint64_t> ItemPreemption::chooseItem(const SlotEndpoint& endpoint) const
{
    // Items that will be late in any case yield first, then the one that is due last.
    const auto order = [&](const RunningWork& it) {
        return std::tuple(m_slotTimes.isItemTooLate(it.service, it.profile, it.dueAt, it.slotTimeUsed, it.startedAt),
            it.dueAt, it.startedAt);
    };
    const std::pair<const uint64_t, RunningWork>* chosen = nullptr;
    for (const auto& it : m_usage.running()) {
        if (!it.second.isBatch || it.second.endpoint != endpoint.record.id)
            continue;
        if (!chosen || order(it.second) > order(chosen->second))
            chosen = &it;
    }
    return chosen ? std::optional(chosen->first) : std::nullopt;
}

uint32_t ItemPreemption::ownShareOfYields(const SlotEndpoint& endpoint) const
{
    if (endpoint.own.batch == 0 || endpoint.total() <= endpoint.record.slotCount)
        return 0;
    const uint32_t excess = endpoint.total() - endpoint.record.slotCount;
    return std::min(m_peers.excessAfterPeers(endpoint.key, excess), endpoint.own.batch);
}

}

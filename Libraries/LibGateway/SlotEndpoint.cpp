#include <LibGateway/SlotEndpoint.h>

#include <algorithm>

namespace Chicorydock {

namespace {

    /// Time for which an endpoint is avoided after its first failure. It doubles with each further failure.
    constexpr Milliseconds firstAvoidance { 250 };
    constexpr uint32_t maxAvoidanceDoublings = 4;

    /// Time after which a limit grows by a slot. Work at the new load has ended by then and shows whether the endpoint
    /// takes it well.
    constexpr Milliseconds slotLimitGrowthInterval { 2'000 };

}

SlotView SlotEndpoint::view(MonotonicTime now) const
{
    SlotView view { online(), own.batch + peers.batch, record.slotCount };
    if (changedAt != MonotonicTime {})
        view.age = std::chrono::duration_cast<Milliseconds>(now - changedAt);
    return view;
}

uint32_t SlotEndpoint::freeForOnline(MonotonicTime now) const
{
    const uint32_t capacity = slotLimit;
    return std::min(capacity - std::min(capacity, online()), limiter.available(now));
}

void SlotEndpoint::updateSlotLimit(MonotonicTime now)
{
    const uint32_t learned = loadProfile.limit(record.slotCount, normalDuration, now);
    const bool mayGrow = now - slotLimitChangedAt >= slotLimitGrowthInterval;
    if (learned == slotLimit || (learned > slotLimit && !mayGrow))
        return;
    slotLimit = std::min(learned, slotLimit + 1);
    slotLimitChangedAt = now;
}

void SlotEndpoint::recordDuration(const RunningWork& work, double relativeSize, MonotonicTime now)
{
    if (relativeSize > 0)
        loadProfile.record((now - work.startedAt) / relativeSize, work.startLoad, total() + 1, record.slotCount, now);
}

void SlotEndpoint::recordFailure(MonotonicTime now)
{
    const uint32_t doublings = std::min(failures++, maxAvoidanceDoublings);
    avoidedUntil = now + firstAvoidance * (1 << doublings);
}

void SlotEndpoint::recordResponse(MonotonicTime now)
{
    failures = 0;
    respondedAt = now;
}

bool SlotEndpoint::isExcluded(const std::vector<std::string>& excluded) const
{
    return !isUsable || std::ranges::find(excluded, record.id) != excluded.end();
}

bool SlotEndpoint::isAvoided(MonotonicTime now) const
{
    if (failures == 0)
        return false;
    // After the avoidance time, one request or item at a time probes whether the endpoint has recovered.
    return now < avoidedUntil || own != SlotUse {};
}

}

#include <LibGateway/SlotTimeEstimator.h>

#include <algorithm>

namespace Chicorydock {

namespace {

    /// Assumed slot time of a request until the first request of the service has been answered.
    constexpr Milliseconds defaultRequestTime { 500 };

}

void SlotTimeEstimator::addRequest(const std::string& service, const WorkProfile& profile, Milliseconds held)
{
    m_requests[service].add(profile, held);
}

void SlotTimeEstimator::addItem(const std::string& service, const WorkProfile& profile, Milliseconds held)
{
    m_items[service].add(profile, held);
}

Milliseconds SlotTimeEstimator::requestTime(const std::string& service) const
{
    return find(m_requests, service).mean().value_or(defaultRequestTime);
}

Milliseconds SlotTimeEstimator::requestTime(const std::string& service, const WorkProfile& profile) const
{
    return find(m_requests, service).expected(profile).value_or(defaultRequestTime);
}

Milliseconds SlotTimeEstimator::itemTime(const std::string& service, const WorkProfile& profile) const
{
    return find(m_items, service).expected(profile).value_or(Milliseconds { 0 });
}

bool SlotTimeEstimator::isItemTooLate(const std::string& service, const WorkProfile& profile, MonotonicTime dueAt,
    Milliseconds slotTimeUsed, MonotonicTime now) const
{
    return now + std::max(itemTime(service, profile) - slotTimeUsed, Milliseconds { 0 }) > dueAt;
}

const SlotTimeModel& SlotTimeEstimator::find(const Models& models, const std::string& service)
{
    static const SlotTimeModel empty;
    const auto it = models.find(service);
    return it == models.end() ? empty : it->second;
}

}

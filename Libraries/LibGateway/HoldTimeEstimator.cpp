#include <LibGateway/HoldTimeEstimator.h>

#include <algorithm>
#include <cmath>

namespace Chicorydock {

namespace {

    /// Assumed hold time of a slot until the first request of the service has been answered.
    constexpr Milliseconds defaultHoldTime { 500 };

    /// Weight of a new sample in the moving averages of hold times.
    constexpr double holdTimeWeight = 0.1;

}

void HoldTimeEstimator::addRequest(const std::string& service, Milliseconds held) { add(m_requests, service, held); }

void HoldTimeEstimator::addItem(const std::string& service, Milliseconds held) { add(m_items, service, held); }

Milliseconds HoldTimeEstimator::requestTime(const std::string& service) const
{
    return find(m_requests, service, defaultHoldTime);
}

Milliseconds HoldTimeEstimator::itemTime(const std::string& service) const
{
    return find(m_items, service, Milliseconds { 0 });
}

bool HoldTimeEstimator::isItemTooLate(
    const std::string& service, MonotonicTime dueAt, Milliseconds slotTimeUsed, MonotonicTime now) const
{
    return now + std::max(itemTime(service) - slotTimeUsed, Milliseconds { 0 }) > dueAt;
}

void HoldTimeEstimator::add(Means& means, const std::string& service, Milliseconds held)
{
    Milliseconds& mean = means.try_emplace(service, held).first->second;
    const double old = static_cast<double>(mean.count());
    mean = Milliseconds { std::lround(old + (static_cast<double>(held.count()) - old) * holdTimeWeight) };
}

Milliseconds HoldTimeEstimator::find(const Means& means, const std::string& service, Milliseconds fallback)
{
    const auto it = means.find(service);
    return it == means.end() ? fallback : it->second;
}

}

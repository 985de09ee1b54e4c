#include <LibGateway/ServiceCapacity.h>

#include <algorithm>

namespace Chicorydock {

void ServiceCapacity::addEndpoint(const std::string& service, uint32_t slotCount, bool isInDomain)
{
    Service& added = m_services[service];
    ++added.endpoints;
    added.slotCount += slotCount;
    added.domainSlotCount += isInDomain ? slotCount : 0;
}

void ServiceCapacity::clearLimits()
{
    for (auto& [name, service] : m_services) {
        service.limitedEndpoints = 0;
        service.unusableSlots = 0;
        service.limitedRequestIn = Milliseconds::max();
    }
}

void ServiceCapacity::addLimit(const std::string& service, uint32_t slotCount, const RateLimiter& limiter,
    Milliseconds requestTime, MonotonicTime now)
{
    if (!limiter.isLimited())
        return;
    Service& limited = m_services[service];
    ++limited.limitedEndpoints;
    limited.unusableSlots += std::max(0.0, slotCount - limiter.concurrency(requestTime));
    limited.limitedRequestIn = std::min(limited.limitedRequestIn, limiter.nextIn(now));
}

const ServiceCapacity::Service& ServiceCapacity::find(const std::string& service) const
{
    static const Service none;
    const auto it = m_services.find(service);
    return it == m_services.end() ? none : it->second;
}

double ServiceCapacity::usableSlots(const std::string& service) const
{
    const Service& found = find(service);
    return std::max(1.0, static_cast<double>(found.slotCount) - found.unusableSlots);
}

Milliseconds ServiceCapacity::nextRequestIn(const std::string& service) const
{
    const Service& found = find(service);
    const bool areAllLimited = found.limitedEndpoints > 0 && found.limitedEndpoints == found.endpoints;
    return areAllLimited ? found.limitedRequestIn : Milliseconds { 0 };
}

}

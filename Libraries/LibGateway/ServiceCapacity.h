#pragma once

#include <LibGateway/RateLimiter.h>

#include <map>
#include <string>

namespace Chicorydock {

/// Slots of the usable endpoints of each service, and what rate limits and load profiles leave of them.
///
/// Thread safety: none.
class ServiceCapacity {
public:
    /// Forgets all endpoints.
    void clear() { m_services.clear(); }

    /// Adds an endpoint. `isInDomain` tells whether it is in the failure domain of this node.
    void addEndpoint(const std::string& service, uint32_t slotCount, bool isInDomain);

    /// Forgets what rate limits and load profiles leave. Must be called before they are added anew.
    void clearLimits();

    /// Takes the limit of an endpoint into account, if it has one. Precondition: the endpoint has been added.
    /// `requestTime` is the time for which a request holds a slot.
    void addLimit(const std::string& service, uint32_t slotCount, const RateLimiter&, Milliseconds requestTime,
        MonotonicTime now);

    /// Takes slots of an endpoint into account that should stay unused, see `EndpointLoadProfile`. Precondition: the
    /// endpoint has been added.
    void addUnusedSlots(const std::string& service, uint32_t slotCount)
    {
        m_services[service].unusableSlots += slotCount;
    }

    /// Returns the slots of the service in this node's failure domain.
    uint64_t domainSlots(const std::string& service) const { return find(service).domainSlotCount; }

    /// Returns whether any endpoint of the service is known.
    bool hasEndpoints(const std::string& service) const { return find(service).endpoints > 0; }

    /// Returns how many slots of the service can be in use at the same time within the limits, at least 1.
    double usableSlots(const std::string& service) const;

    /// Returns the time until the limits allow the next request, 0 if there are endpoints without a limit.
    Milliseconds nextRequestIn(const std::string& service) const;

private:
    struct Service {
        uint32_t endpoints { 0 };
        uint64_t slotCount { 0 };
        uint64_t domainSlotCount { 0 };
        uint32_t limitedEndpoints { 0 };
        /// Slots that stay unused because of rate limits or load profiles while all others are in use.
        double unusableSlots { 0 };
        /// Time until an endpoint with a limit takes the next request.
        Milliseconds limitedRequestIn { Milliseconds::max() };
    };

    const Service& find(const std::string& service) const;

    std::map<std::string, Service> m_services;
};

}

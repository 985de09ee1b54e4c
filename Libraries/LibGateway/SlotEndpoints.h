#pragma once

#include <LibGateway/ServiceCapacity.h>
#include <LibGateway/SlotEndpoint.h>
#include <LibGateway/SlotTimeEstimator.h>

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace Chicorydock {

/// The endpoints of a `SlotScheduler`, and what they have stated about their load and their rate limits.
///
/// Thread safety: none.
class SlotEndpoints {
public:
    /// `peers` outlives the endpoints.
    explicit SlotEndpoints(const SlotPeers& peers);

    SlotEndpoints(const SlotEndpoints&) = delete;
    SlotEndpoints& operator=(const SlotEndpoints&) = delete;

    /// Replaces the set of usable endpoints. Others are kept while work of this node runs there. A later start of an
    /// endpoint ends its failures and its rate limit.
    void replace(const std::vector<EndpointRecord>&);

    /// Returns the endpoint, or null if it is unknown. Valid until the next call of `replace()`.
    SlotEndpoint* find(const std::string& id);
    SlotEndpoint* findByKey(uint32_t key);

    /// Iterates over pairs of identifier and endpoint, in the order of the identifiers.
    auto begin() { return m_endpoints.begin(); }
    auto end() { return m_endpoints.end(); }
    auto begin() const { return m_endpoints.begin(); }
    auto end() const { return m_endpoints.end(); }

    /// Sets whether the use of each endpoint is limited to what it takes well, see `EndpointLoadProfile`.
    void setLearningLoad(bool isLearning) { m_isLearningLoad = isLearning; }
    bool isLearningLoad() const { return m_isLearningLoad; }

    /// Work at the endpoint that no node has reported yet counts as online work for a short time.
    void observe(const std::string& id, const ObservedLoad&, MonotonicTime now);
    /// Forgets such work in load reports that are too old.
    void expireObservations(MonotonicTime now);

    /// Applies the rate limit that the endpoint stated. Returns whether its rate has changed.
    bool observeRate(const std::string& id, const RateStatement&, MonotonicTime now);
    /// Updates what the rate limits and the load profiles leave of the capacity.
    void updateLimits(const SlotTimeEstimator&, MonotonicTime now);

    /// Returns the slots of the usable endpoints, within their rate limits and load profiles as of the last call of
    /// `updateLimits()`.
    const ServiceCapacity& capacity() const { return m_capacity; }

    /// Returns when the endpoint last responded to a node that the scheduler works for.
    MonotonicTime lastResponse(const std::string& id) const;
    /// Returns the endpoints whose rate is limited, or was until lately, by endpoint key.
    std::unordered_map<uint32_t, ReportedRate> rates(MonotonicTime now) const;
    /// Returns whether the endpoint is known and has a rate limit.
    bool isRateLimited(const std::string& id) const;
    /// Returns the number of usable endpoints with a rate limit.
    size_t limitedEndpoints() const;
    /// Returns the number of slots that stay unused because their endpoints do not take more load well.
    size_t unusedSlots() const;

    /// Returns whether the request or item must wait for a software version that no endpoint has any more.
    template <typename Work> bool isVersionGone(const Work& work) const
    {
        if (!work.softwareVersion)
            return false;
        // A scheduler that knows no endpoint of the service yet does not know its versions either.
        bool hasEndpoints = false;
        for (const auto& [id, it] : m_endpoints) {
            if (!it.isUsable || it.record.service != work.service)
                continue;
            hasEndpoints = true;
            if (it.record.softwareVersion == *work.softwareVersion)
                return false;
        }
        return hasEndpoints;
    }

private:
    void removeUnused();
    void countSlots();

    void updateSlotLimits(MonotonicTime now);
    /// Returns the median over the endpoints of each service of the time that work takes there. Endpoints that are far
    /// slower than most do not change it.
    std::map<std::string, std::chrono::duration<double>> normalDurations(MonotonicTime now) const;

    const SlotPeers& m_peers;
    bool m_isLearningLoad { false };
    MonotonicTime m_slotLimitsUpdatedAt;
    std::map<std::string, SlotEndpoint> m_endpoints;
    /// Pointers into `m_endpoints`.
    std::unordered_map<uint32_t, SlotEndpoint*> m_endpointsByKey;
    ServiceCapacity m_capacity;
};

}

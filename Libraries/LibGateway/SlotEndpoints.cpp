#include <LibGateway/SlotEndpoints.h>

#include <algorithm>

namespace Chicorydock {

namespace {

    /// Time for which the end of a limit is reported. Other nodes know of it by then.
    constexpr std::chrono::seconds rateNewsAge { 10 };

    /// Interval between two updates of the limits that follow from what was learned.
    constexpr Milliseconds slotLimitInterval { 100 };

    /// Time within which work that only its endpoint has reported is also reported by the node that started it.
    constexpr Milliseconds unattributedLifetime { 150 };
    /// Limit on that work; an endpoint with more is full in any case.
    constexpr uint32_t maxUnattributed = 1'000'000;

}

SlotEndpoints::SlotEndpoints(const SlotPeers& peers)
    : m_peers(peers)
{
}

void SlotEndpoints::replace(const std::vector<EndpointRecord>& records)
{
    for (auto& [id, it] : m_endpoints)
        it.isUsable = false;
    for (const EndpointRecord& record : records) {
        const auto [it, isNew] = m_endpoints.try_emplace(record.id);
        SlotEndpoint& endpoint = it->second;
        if (!isNew && endpoint.record.startedAt != record.startedAt) {
            endpoint.failures = 0;
            endpoint.limiter.reset();
            endpoint.loadProfile.reset();
        }
        if (isNew || endpoint.record.slotCount != record.slotCount)
            endpoint.slotLimit = record.slotCount;
        endpoint.record = record;
        endpoint.isUsable = true;
        if (!isNew)
            continue;
        endpoint.key = SlotPeers::endpointKey(record.id);
        m_endpointsByKey[endpoint.key] = &endpoint;
        endpoint.preference = SlotPeers::nodeRank(record.id, m_peers.location().node) / 4294967296.0;
        endpoint.peers = m_peers.useOf(endpoint.key);
    }
    removeUnused();
    countSlots();
}

void SlotEndpoints::removeUnused()
{
    std::erase_if(m_endpoints, [&](const auto& it) {
        const SlotEndpoint& endpoint = it.second;
        const bool isDropped = !endpoint.isUsable && endpoint.own == SlotUse {};
        if (isDropped)
            m_endpointsByKey.erase(endpoint.key);
        return isDropped;
    });
}

void SlotEndpoints::countSlots()
{
    m_capacity.clear();
    for (const auto& [id, it] : m_endpoints) {
        const bool isInDomain = it.record.failureDomain == m_peers.location().failureDomain;
        if (it.isUsable)
            m_capacity.addEndpoint(it.record.service, it.record.slotCount, isInDomain);
    }
}

SlotEndpoint* SlotEndpoints::find(const std::string& id)
{
    const auto it = m_endpoints.find(id);
    return it == m_endpoints.end() ? nullptr : &it->second;
}

SlotEndpoint* SlotEndpoints::findByKey(uint32_t key)
{
    const auto it = m_endpointsByKey.find(key);
    return it == m_endpointsByKey.end() ? nullptr : it->second;
}

void SlotEndpoints::observe(const std::string& id, const ObservedLoad& load, MonotonicTime now)
{
    SlotEndpoint* endpoint = find(id);
    if (!endpoint)
        return;
    endpoint->unattributed = 0;
    const uint32_t known = endpoint->total();
    const uint64_t reported = uint64_t { load.running } + load.waiting;
    const uint64_t excess = reported > known ? reported - known : 0;
    endpoint->unattributed = static_cast<uint32_t>(std::min<uint64_t>(excess, maxUnattributed));
    endpoint->workTimePercent = load.workTimePercent;
    endpoint->observedAt = now;
}

void SlotEndpoints::expireObservations(MonotonicTime now)
{
    for (auto& [id, it] : m_endpoints) {
        if (it.unattributed > 0 && now - it.observedAt > unattributedLifetime)
            it.unattributed = 0;
    }
}

bool SlotEndpoints::observeRate(const std::string& id, const RateStatement& statement, MonotonicTime now)
{
    SlotEndpoint* endpoint = find(id);
    if (!endpoint)
        return false;
    const double before = endpoint->limiter.statement().perSecond;
    endpoint->limiter.update(statement, now);
    return endpoint->limiter.statement().perSecond != before;
}

void SlotEndpoints::updateLimits(const SlotTimeEstimator& slotTimes, MonotonicTime now)
{
    updateSlotLimits(now);
    m_capacity.clearLimits();
    for (const auto& [id, it] : m_endpoints) {
        const std::string& service = it.record.service;
        if (it.isUsable && it.limiter.isLimited())
            m_capacity.addLimit(service, it.slotLimit, it.limiter, slotTimes.requestTime(service), now);
        if (it.isUsable && it.slotLimit < it.record.slotCount)
            m_capacity.addUnusedSlots(service, it.record.slotCount - it.slotLimit);
    }
}

void SlotEndpoints::updateSlotLimits(MonotonicTime now)
{
    if (!m_isLearningLoad || now - m_slotLimitsUpdatedAt < slotLimitInterval)
        return;
    m_slotLimitsUpdatedAt = now;
    std::map<std::string, std::chrono::duration<double>> normal = normalDurations(now);
    for (auto& [id, it] : m_endpoints) {
        it.normalDuration = normal[it.record.service];
        it.updateSlotLimit(now);
    }
}

std::map<std::string, std::chrono::duration<double>> SlotEndpoints::normalDurations(MonotonicTime now) const
{
    std::map<std::string, std::vector<std::chrono::duration<double>>> durations;
    for (const auto& [id, it] : m_endpoints) {
        const auto mean = it.loadProfile.meanDuration(now);
        if (mean.count() > 0)
            durations[it.record.service].push_back(mean);
    }
    std::map<std::string, std::chrono::duration<double>> medians;
    for (auto& [service, list] : durations) {
        const auto middle = list.begin() + static_cast<ptrdiff_t>(list.size() / 2);
        std::ranges::nth_element(list, middle);
        medians[service] = *middle;
    }
    return medians;
}

MonotonicTime SlotEndpoints::lastResponse(const std::string& id) const
{
    const auto it = m_endpoints.find(id);
    return it == m_endpoints.end() ? MonotonicTime {} : std::max(it->second.respondedAt, it->second.observedAt);
}

std::unordered_map<uint32_t, ReportedRate> SlotEndpoints::rates(MonotonicTime now) const
{
    std::unordered_map<uint32_t, ReportedRate> rates;
    for (const auto& [id, it] : m_endpoints) {
        const RateStatement& statement = it.limiter.statement();
        const auto age = std::chrono::duration_cast<Milliseconds>(now - statement.at);
        if (it.limiter.isLimited() || (it.limiter.hasBeenLimited() && age < rateNewsAge))
            rates[it.key] = { statement.perSecond, age, it.starts };
    }
    return rates;
}

bool SlotEndpoints::isRateLimited(const std::string& id) const
{
    const auto it = m_endpoints.find(id);
    return it != m_endpoints.end() && it->second.limiter.isLimited();
}

size_t SlotEndpoints::limitedEndpoints() const
{
    return static_cast<size_t>(std::ranges::count_if(
        m_endpoints, [](const auto& it) { return it.second.isUsable && it.second.limiter.isLimited(); }));
}

size_t SlotEndpoints::unusedSlots() const
{
    size_t slots = 0;
    for (const auto& [id, it] : m_endpoints)
        slots += it.isUsable ? it.record.slotCount - it.slotLimit : 0;
    return slots;
}

}

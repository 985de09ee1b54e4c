#include <LibRouting/EndpointModel.h>

#include <algorithm>
#include <cmath>

namespace Chicorydock {

namespace {

    // An endpoint whose health falls below `suspectHealth` gets only probes; the higher threshold for its recovery
    // avoids flapping.
    constexpr double suspectHealth = 0.5;
    constexpr double recoveredHealth = 0.75;
    constexpr Milliseconds firstProbeDelay { 500 };
    constexpr Milliseconds maxProbeDelay { 4'000 };
    // Two consecutive failures are unlikely to be caused by the requests themselves.
    constexpr uint32_t suspectAfterFailures = 2;
    // Load reports are seconds old, so a single one changes the correction only a little.
    constexpr double loadReportWeight = 0.2;
    constexpr std::chrono::seconds onlineMeanTimeConstant { 2 };
    // Without online work, batch work may exceed the concurrency limit by this factor. The bound is relative to the
    // limit, so that batch work ramps up together with it.
    constexpr double maxBatchOnlyFactor = 4;
    // Below this mean number of online attempts an endpoint counts as idle.
    constexpr double idleOnlineMean = 0.05;

}

EndpointModel::EndpointModel(const SchedulerEndpoint& endpoint, const SchedulerSettings& settings)
    : info(endpoint)
    , limit(settings)
    , m_settings(settings)
{
}

void EndpointModel::applyLoadReport(uint32_t running)
{
    const double known = total();
    m_unaccountedLoad = std::max(0.0, m_unaccountedLoad + loadReportWeight * (running - known - m_unaccountedLoad));
}

bool EndpointModel::hasLongRoom() const
{
    const auto slots = static_cast<uint32_t>(std::floor((1 - m_settings.shortSlotShare) * limit.value()));
    return longOnline < std::max(1U, slots);
}

bool EndpointModel::isProbeDue(MonotonicTime now) const
{
    return m_isSuspect && acceptsNewWork() && online + batch == 0 && now >= m_probeAt;
}

double EndpointModel::batchLimit() const
{
    const double onlineLimit = limit.value();
    const double share = 1 - m_settings.onlineReserve;
    const double aboveReserve = std::max(1.0, onlineLimit - std::ceil(onlineLimit * m_settings.onlineReserve));
    const double onlineLoad = std::max<double>(m_onlineMean, allOnline());
    if (onlineLoad < idleOnlineMean && speed.isProven()) {
        // Without online work there is no target for the token gap, and more streams give a higher throughput.
        const double maxBatchOnly = std::min<double>(m_settings.maxConcurrency, onlineLimit * maxBatchOnlyFactor);
        return std::max(aboveReserve, maxBatchOnly * share);
    }
    const double slope = speed.gapSlopeSeconds();
    if (onlineLoad < idleOnlineMean || slope <= 0)
        return aboveReserve;
    // base + slope * c <= (1 + allowance) * (base + slope * onlineLoad), solved for c.
    const double extra = m_settings.batchGapAllowance * (speed.gapBaseSeconds() / slope + onlineLoad);
    return std::min(aboveReserve, onlineLoad + extra);
}

uint32_t EndpointModel::batchRoom(MonotonicTime now) const
{
    if (!acceptsNewWork() || !info.ownsBatch || locality == Locality::OtherRegion || now < batchHoldUntil)
        return 0;
    if (m_isSuspect)
        return isProbeDue(now) ? 1 : 0;
    const double room = std::floor(batchLimit() - total());
    return room > 0 ? static_cast<uint32_t>(room) : 0;
}

double EndpointModel::predictedSeconds(double promptTokens, double tokens, MonotonicTime now) const
{
    const double currentConcurrency = concurrency();
    const double secondsIfHealthy
        = speed.firstTokenSeconds(promptTokens) + tokens * speed.gapSeconds(currentConcurrency + 1);
    return secondsIfHealthy / health(now);
}

void EndpointModel::updateAfterSample(bool maySuspect, MonotonicTime now)
{
    limit.update(speed, concurrency(), now);
    const double currentHealth = speed.health();
    if (!m_isSuspect && maySuspect && currentHealth < suspectHealth) {
        m_probeDelay = {};
        markSuspect(now);
    }
    if (m_isSuspect && m_consecutiveFailures < suspectAfterFailures && currentHealth >= recoveredHealth)
        m_isSuspect = false;
}

void EndpointModel::markSuspect(MonotonicTime now)
{
    m_isSuspect = true;
    m_probeDelay = std::clamp<MonotonicTime::duration>(m_probeDelay * 2, firstProbeDelay, maxProbeDelay);
    m_probeAt = now + m_probeDelay;
}

void EndpointModel::recordFailure(MonotonicTime now)
{
    if (++m_consecutiveFailures < suspectAfterFailures && !m_isSuspect)
        return;
    if (!m_isSuspect)
        m_probeDelay = {};
    markSuspect(now);
}

void EndpointModel::recordSuccess()
{
    m_consecutiveFailures = 0;
    if (m_isSuspect && speed.health() >= suspectHealth)
        m_isSuspect = false;
}

void EndpointModel::dismissSlowness()
{
    if (m_consecutiveFailures < suspectAfterFailures)
        m_isSuspect = false;
}

void EndpointModel::recordProbeStart(MonotonicTime now) { markSuspect(now); }

void EndpointModel::updateOnlineMean(MonotonicTime now)
{
    const double elapsed = toSeconds(now - m_onlineMeanAt);
    const double decay = std::exp(-elapsed / toSeconds(onlineMeanTimeConstant));
    m_onlineMean = allOnline() + (m_onlineMean - allOnline()) * decay;
    m_onlineMeanAt = now;
}

bool EndpointModel::isWaitingForIdle() const
{
    return acceptsNewWork() && info.ownsBatch && allOnline() == 0 && m_onlineMean >= idleOnlineMean;
}

}

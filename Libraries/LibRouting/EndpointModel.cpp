#include <LibRouting/EndpointModel.h>

#include <algorithm>
#include <cmath>

namespace Chicorydock {

namespace {

    // Below this health an endpoint gets probes only; the higher bound for its return avoids flapping.
    constexpr double suspectHealth = 0.5;
    constexpr double recoveredHealth = 0.75;
    constexpr Milliseconds firstProbeDelay { 500 };
    constexpr Milliseconds maxProbeDelay { 4'000 };
    // Two failures in a row are hardly a request's own fault.
    constexpr uint32_t suspectFailures = 2;
    // Reports are seconds late, so that they only move the correction slowly.
    constexpr double reportWeight = 0.2;
    constexpr std::chrono::seconds onlineMeanTime { 2 };
    // Batch work alone may exceed the limit this many times, so that it ramps up with it.
    constexpr double maxDenseFactor = 4;
    // Below this mean an endpoint counts as free of online work.
    constexpr double idleOnlineMean = 0.05;

}

EndpointModel::EndpointModel(const SchedulerEndpoint& endpoint, const SchedulerSettings& settings)
    : info(endpoint)
    , limit(settings)
    , m_settings(settings)
{
}

void EndpointModel::noteLoadReport(uint32_t running)
{
    const double known = total();
    m_unknownLoad = std::max(0.0, m_unknownLoad + reportWeight * (running - known - m_unknownLoad));
}

bool EndpointModel::hasLongRoom() const
{
    const auto slots = static_cast<uint32_t>(std::floor((1 - m_settings.shortSlots) * limit.value()));
    return longOnline < std::max(1U, slots);
}

bool EndpointModel::isProbeDue(MonotonicTime now) const
{
    return m_isSuspect && takesNewWork() && online + batch == 0 && now >= m_probeAt;
}

double EndpointModel::batchLimit() const
{
    const double most = limit.value();
    const double share = 1 - m_settings.onlineReserve;
    const double aboveReserve = std::max(1.0, most - std::ceil(most * m_settings.onlineReserve));
    const double onlineLoad = std::max<double>(m_onlineMean, allOnline());
    if (onlineLoad < idleOnlineMean && speed.isProven()) {
        // Batch work alone has no target for the token gap, and more streams give more tokens.
        const double mostAlone = std::min<double>(m_settings.maxConcurrency, most * maxDenseFactor);
        return std::max(aboveReserve, mostAlone * share);
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
    if (!takesNewWork() || !info.ownsBatch || locality == Locality::OtherRegion || now < batchHoldUntil)
        return 0;
    if (m_isSuspect)
        return isProbeDue(now) ? 1 : 0;
    const double room = std::floor(batchLimit() - total());
    return room > 0 ? static_cast<uint32_t>(room) : 0;
}

double EndpointModel::predictedSeconds(double promptTokens, double tokens, MonotonicTime now) const
{
    const double present = concurrency();
    const double own = speed.firstTokenSeconds(promptTokens) + tokens * speed.gapSeconds(present + 1);
    return own / health(now);
}

void EndpointModel::updateAfterSample(bool maySuspect, MonotonicTime now)
{
    limit.update(speed, concurrency(), now);
    const double present = speed.health();
    if (!m_isSuspect && maySuspect && present < suspectHealth) {
        m_probeDelay = {};
        suspect(now);
    }
    if (m_isSuspect && m_failures < suspectFailures && present >= recoveredHealth)
        m_isSuspect = false;
}

void EndpointModel::suspect(MonotonicTime now)
{
    m_isSuspect = true;
    m_probeDelay = std::clamp<MonotonicTime::duration>(m_probeDelay * 2, firstProbeDelay, maxProbeDelay);
    m_probeAt = now + m_probeDelay;
}

void EndpointModel::noteFailure(MonotonicTime now)
{
    if (++m_failures < suspectFailures && !m_isSuspect)
        return;
    if (!m_isSuspect)
        m_probeDelay = {};
    suspect(now);
}

void EndpointModel::noteSuccess()
{
    m_failures = 0;
    if (m_isSuspect && speed.health() >= suspectHealth)
        m_isSuspect = false;
}

void EndpointModel::noteProbeStarted(MonotonicTime now) { suspect(now); }

void EndpointModel::updateOnlineMean(MonotonicTime now)
{
    const double elapsed = toSeconds(now - m_onlineMeanAt);
    const double keep = std::exp(-elapsed / toSeconds(onlineMeanTime));
    m_onlineMean = allOnline() + (m_onlineMean - allOnline()) * keep;
    m_onlineMeanAt = now;
}

bool EndpointModel::isWaitingForIdle() const
{
    return takesNewWork() && info.ownsBatch && allOnline() == 0 && m_onlineMean >= idleOnlineMean;
}

}

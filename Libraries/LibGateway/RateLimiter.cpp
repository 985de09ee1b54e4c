#include <LibGateway/RateLimiter.h>

#include <algorithm>
#include <cmath>

namespace Chicorydock {

namespace {

    /// Size of the bucket: requests that may be sent at once after a pause, and at least those of `minBurstTime`.
    constexpr double minBurst = 3;
    constexpr Milliseconds minBurstTime { 100 };

    /// Upper limit of the size of the bucket. No node sends as many requests at once.
    constexpr double maxBurst = 1'000'000;

    /// An endpoint that takes fewer requests, or none, is still sent one every few seconds. Only a response shows that
    /// the limit has ended.
    constexpr double minRatePerSecond = 0.2;

    /// Requests that were sent longer ago than this do not delay further ones.
    constexpr std::chrono::seconds maxDebtTime { 4 };

}

void RateLimiter::update(const RateStatement& statement, MonotonicTime now)
{
    const bool wasLimited = isLimited();
    const bool isNews = wasLimited || statement.perSecond != unlimitedRate;
    if (!isNews || statement.at < m_statement.at)
        return;
    settle(now);
    m_statement = statement;
    m_hasBeenLimited = m_hasBeenLimited || isLimited();
    // Nothing is known about the requests that other nodes have just sent.
    if (!wasLimited)
        m_tokens = 0;
}

void RateLimiter::recordStarts(uint32_t count, MonotonicTime now)
{
    if (!isLimited())
        return;
    settle(now);
    m_tokens = std::max(m_tokens - count, -refillPerSecond() * toSeconds(maxDebtTime));
    m_lastStartAt = now;
}

double RateLimiter::refillPerSecond() const { return std::max(m_statement.perSecond, minRatePerSecond); }

double RateLimiter::maxTokens() const
{
    return std::clamp(refillPerSecond() * toSeconds(minBurstTime), minBurst, maxBurst);
}

double RateLimiter::tokens(MonotonicTime now) const
{
    return std::min(maxTokens(), m_tokens + refillPerSecond() * toSeconds(now - m_settledAt));
}

void RateLimiter::settle(MonotonicTime now)
{
    if (isLimited())
        m_tokens = tokens(now);
    m_settledAt = now;
}

uint32_t RateLimiter::available(MonotonicTime now) const
{
    if (!isLimited())
        return std::numeric_limits<uint32_t>::max();
    return static_cast<uint32_t>(std::max(0.0, tokens(now)));
}

Milliseconds RateLimiter::nextIn(MonotonicTime now) const
{
    const double seconds = std::max(0.0, 1 - tokens(now)) / refillPerSecond();
    return std::chrono::ceil<Milliseconds>(std::chrono::duration<double>(seconds));
}

MonotonicTime RateLimiter::availableSince(uint32_t count, MonotonicTime now) const
{
    const double seconds = (count - m_tokens) / refillPerSecond();
    const MonotonicTime since
        = m_settledAt + std::chrono::duration_cast<MonotonicTime::duration>(std::chrono::duration<double>(seconds));
    return std::max(m_lastStartAt, std::min(since, now));
}

}

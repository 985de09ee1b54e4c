#include <LibGateway/QuotaBucket.h>

#include <LibCore/GoldenRatio.h>

#include <algorithm>
#include <cmath>

namespace Chicorydock {

namespace {

    // Parts of what the bounds tolerate beyond the limits, by purpose. The rest covers late reports and pauses.

    /// A higher rate and a larger bucket than granted, so that requests are not refused for others that are counted
    /// late.
    constexpr double rateMargin = 0.25;
    constexpr double burstMargin = 0.15;
    /// Charges that are not known everywhere, later and in the first window after a start.
    constexpr double unreportedMargin = 0.4;
    constexpr double unreportedStartMargin = 0.1;
    /// Tokens of allocators that do not know what was charged before.
    constexpr double startMargin = 0.25;
    /// Like `startMargin`, for an allocator whose process has run for a while. At most half of the nodes are suddenly
    /// on their own at the same time, so together they have at most half of it.
    constexpr double returnMargin = 1.2;

    /// Part of the tokens that allocators may charge unreported by their number of nodes; the rest is by demand.
    constexpr double evenShare = 0.3;

    /// Part of the capacity above which a bucket counts as full.
    constexpr double fullLevel = 0.9;

    /// Time for which the share of an allocator is rounded the same way; longer than a charge is unreported.
    constexpr std::chrono::milliseconds turnTime { 500 };

    /// Time constant of the exponential decay of charges. When callers move to another node, the shares follow them at
    /// this pace.
    constexpr double demandSeconds = 0.7;

    /// Own charges that the others do not know yet count as demand up to the demand that is known to all and this many
    /// more. Otherwise each allocator would take itself for the only one in demand when an idle workspace starts to
    /// send to all of them.
    constexpr double freshDemand = 0.5;

    /// Resolution and memory of the own charges. No allocator in touch is silent for longer.
    constexpr Milliseconds chargeInterval { 25 };
    constexpr Milliseconds chargeMemory { 1'500 };

    /// Limits on the time that a caller is told to wait. The lower one is the time in which charges are reported.
    constexpr double minRetrySeconds = 0.1;
    constexpr double maxRetrySeconds = 10;

    /// Above this, rates and bursts make no difference.
    constexpr double maxLimit = 1e9;

}

QuotaBucket::QuotaBucket(const WorkspaceLimits& limits, const QuotaBounds& bounds, const QuotaShares& shares,
    bool isReturning, double dither, MonotonicTime now)
    : m_limits(limits)
    , m_bounds(bounds)
    , m_shares(shares)
    , m_dither(dither)
    , m_settledAt(now)
    , m_bookedUntil(now)
{
    const double part = isReturning ? returnMargin : startMargin;
    m_level = std::min(capacity(), shares.group * shares.own * part * margin()) + dither;
}

void QuotaBucket::fill() { m_level = std::max(m_level, capacity() * m_shares.group); }

double QuotaBucket::margin() const
{
    const double granted = std::min(m_limits.requestsPerSecond, maxLimit) * toSeconds(m_bounds.window)
        + std::min(m_limits.burst, maxLimit);
    return m_bounds.overshoot * granted + m_bounds.slack;
}

double QuotaBucket::refillPerSecond() const
{
    return std::min(m_limits.requestsPerSecond, maxLimit) * (1 + rateMargin * m_bounds.overshoot) * m_shares.group;
}

double QuotaBucket::capacity() const
{
    // A bucket that holds less than a token would refuse everything.
    return std::max(1.0, std::min(m_limits.burst, maxLimit) + burstMargin * margin());
}

double QuotaBucket::level(MonotonicTime now) const
{
    // A small part of the deployment may gather the token that its share of the capacity does not hold.
    const double most = std::max(capacity() * m_shares.group, 1.0);
    if (m_level >= most)
        return m_level;
    return std::min(most, m_level + refillPerSecond() * toSeconds(now - m_settledAt));
}

double QuotaBucket::decayed(double recent, MonotonicTime now) const
{
    return recent * std::exp(-toSeconds(now - m_settledAt) / demandSeconds);
}

void QuotaBucket::settle(MonotonicTime now)
{
    if (now <= m_settledAt)
        return;
    m_level = level(now);
    m_ownRecent = decayed(m_ownRecent, now);
    m_othersRecent = decayed(m_othersRecent, now);
    m_settledAt = now;
}

void QuotaBucket::setLimits(const WorkspaceLimits& limits, const QuotaBounds& bounds, MonotonicTime now)
{
    settle(now);
    m_limits = limits;
    m_bounds = bounds;
    m_level = std::min(m_level, capacity() * m_shares.group);
    m_bookedUntil = now;
}

void QuotaBucket::setShares(const QuotaShares& shares, Milliseconds silentFor, MonotonicTime now)
{
    settle(now);
    if (shares.group < m_shares.group) {
        // The lost part has its part of the tokens that were there when it was last heard and of the refill since then,
        // whatever was charged here meanwhile.
        const double lost = (m_shares.group - shares.group) / m_shares.group;
        double charged = 0;
        for (const Charges& it : m_charges)
            charged += now - it.at <= silentFor ? it.own + it.others : 0;
        m_level -= lost * std::max(m_level + std::max(charged, 0.0), 0.0);
    }
    m_shares = shares;
}

double QuotaBucket::shareOfTokens(double ownUnreported) const
{
    const double fresh = std::min(m_ownRecent, ownUnreported);
    const double known = m_ownRecent - fresh;
    const double own = known + std::min(fresh, known + m_othersRecent + freshDemand);
    const double byDemand = (own + m_shares.own) / (own + m_othersRecent + 1);
    return evenShare * m_shares.own + (1 - evenShare) * byDemand;
}

double QuotaBucket::unreported(MonotonicTime syncedUntil, MonotonicTime now) const
{
    double count = 0;
    for (const Charges& it : m_charges) {
        if (it.at + chargeInterval > syncedUntil && now - it.at < chargeMemory)
            count += it.own;
    }
    return std::max(0.0, count);
}

bool QuotaBucket::isWithinShare(MonotonicTime syncedUntil, MonotonicTime now) const
{
    if (m_shares.own >= 1)
        return true;
    const double own = unreported(syncedUntil, now);
    // A full bucket may be overdrawn by a request for each allocator if the refill of one window makes up for it.
    const double tolerable = (m_limits.requestsPerSecond * toSeconds(m_bounds.window) + m_bounds.slack) / 2;
    const bool isFull = m_level >= fullLevel * capacity() * m_shares.group;
    if (own == 0 && isFull && 1 / m_shares.own <= tolerable)
        return true;
    const double part = m_shares.isStarting ? unreportedStartMargin : unreportedMargin;
    const double tolerated = part * margin() * m_shares.group;
    // The share may be less than one request. The allocators then take turns.
    const auto turn = static_cast<double>(now.time_since_epoch() / turnTime);
    const double rounding = std::fmod(m_dither + turn * goldenRatio, 1.0);
    return own + 1 <= shareOfTokens(own) * (m_level + own + tolerated) + rounding;
}

std::optional<Milliseconds> QuotaBucket::charge(MonotonicTime syncedUntil, MonotonicTime now)
{
    settle(now);
    if (m_level < 1 || !isWithinShare(syncedUntil, now))
        return bookRetry(syncedUntil, now);
    take(now);
    return std::nullopt;
}

void QuotaBucket::chargeAccepted(MonotonicTime now)
{
    settle(now);
    take(now);
}

double QuotaBucket::maxDebtLevel() const { return -refillPerSecond() * toSeconds(m_bounds.window); }

void QuotaBucket::take(MonotonicTime now)
{
    m_level = std::max(m_level - 1, std::min(m_level, maxDebtLevel()));
    m_ownRecent += 1;
    ++m_charged;
    m_changedAt = now;
    chargesAt(now).own += 1;
}

QuotaBucket::Charges& QuotaBucket::chargesAt(MonotonicTime now)
{
    if (m_charges.empty() || now - m_charges.back().at >= chargeInterval) {
        std::erase_if(m_charges, [&](const Charges& it) { return now - it.at > chargeMemory; });
        m_charges.push_back({ now });
    }
    return m_charges.back();
}

void QuotaBucket::refund(bool isDrawn, MonotonicTime now)
{
    settle(now);
    --m_charged;
    m_changedAt = now;
    if (!isDrawn)
        return;
    m_level = std::min(m_level + 1, std::max(m_level, capacity() * m_shares.group));
    chargesAt(now).own -= 1;
}

void QuotaBucket::drawReported(int32_t count, MonotonicTime now)
{
    settle(now);
    const double least = std::min(m_level, maxDebtLevel());
    m_level = std::clamp(m_level - count, least, std::max(m_level, capacity()));
    m_othersRecent = std::max(0.0, m_othersRecent + count);
    chargesAt(now).others += count;
}

void QuotaBucket::adopt(double level, MonotonicTime now)
{
    settle(now);
    m_level = std::max(m_level, std::min(level, capacity()) * m_shares.group - unreported(now - chargeMemory, now));
}

Milliseconds QuotaBucket::bookRetry(MonotonicTime syncedUntil, MonotonicTime now)
{
    const double refill = refillPerSecond();
    const auto after = [](double seconds) {
        return std::chrono::duration_cast<MonotonicTime::duration>(
            std::chrono::duration<double>(std::clamp(seconds, 0.0, maxRetrySeconds)));
    };
    const MonotonicTime earliest = now + after(std::max(minRetrySeconds, (1 - m_level) / refill));
    const double share = shareOfTokens(unreported(syncedUntil, now));
    m_bookedUntil = std::max(earliest, m_bookedUntil + after(1 / (refill * share)));
    m_bookedUntil = std::min(m_bookedUntil, now + after(maxRetrySeconds));
    return std::chrono::ceil<Milliseconds>(m_bookedUntil - now);
}

}

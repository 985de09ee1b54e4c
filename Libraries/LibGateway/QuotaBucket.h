#pragma once

#include <LibCore/Clock.h>
#include <LibGateway/WorkspaceLimits.h>

#include <compare>
#include <cstdint>
#include <optional>
#include <vector>

namespace Chicorydock {

/// What a deployment tolerates of the rate limits of workspaces: in any `window` no more requests of a workspace start
/// than (rate x window + burst) x (1 + overshoot) + slack.
struct QuotaBounds {
    Milliseconds window { 5'000 };
    double overshoot { 0.1 };
    double slack { 20 };

    auto operator<=>(const QuotaBounds&) const = default;
};

/// The part of the deployment that shares the tokens of a bucket.
struct QuotaShares {
    /// Part of the nodes that this allocator is in touch with, in (0, 1].
    double group { 1 };
    /// Part of the nodes in touch that this allocator serves, in (0, 1].
    double own { 1 };
    /// Whether the allocator has just begun to count. While the nodes of a deployment start, each allocates its own
    /// slots for a moment and reports are slow, so more charges remain unknown.
    bool isStarting { false };

    auto operator<=>(const QuotaShares&) const = default;
};

/// One allocator's replica of the token bucket of a workspace. The other allocators have replicas too: each draws its
/// own charges at once and those of the others when they are reported.
///
/// Two rules bound the sum of all replicas. Charges that the others do not know yet are limited to this allocator's
/// share of the tokens, by its number of nodes and by its part of the recent charges. And an allocator that is in touch
/// with a part of the nodes only counts on that part of the rate and of the tokens.
///
/// Load: any number of requests of the workspace at each of the nodes, up to many times the limit.
///
/// Thread safety: none.
class QuotaBucket {
public:
    /// Creates the bucket of an allocator that does not know what was charged before: it holds the part of the
    /// tolerated slack that belongs to the allocator's nodes. `isReturning` says that its process has run for a while,
    /// so that it is not one of many that start together. `dither` in [0, 1) rounds the part; random numbers keep the
    /// sum of all allocators to the average.
    QuotaBucket(const WorkspaceLimits&, const QuotaBounds&, const QuotaShares&, bool isReturning, double dither,
        MonotonicTime now);

    /// Fills the bucket as far as the allocator's part of the deployment goes. For workspaces that were not limited
    /// before.
    void fill();

    /// Changes the limits. A lower one cuts the bucket, a higher one fills it from now on.
    void setLimits(const WorkspaceLimits&, const QuotaBounds&, MonotonicTime now);
    const WorkspaceLimits& limits() const { return m_limits; }

    /// Changes the part of the deployment that shares the tokens. `silentFor` is for how long the lost part has not
    /// been heard.
    void setShares(const QuotaShares&, Milliseconds silentFor, MonotonicTime now);

    /// Takes a token. Returns nothing if it was there, and otherwise the time after which the caller should retry:
    /// callers are given successive times. The other allocators in touch know what was charged until `syncedUntil`.
    std::optional<Milliseconds> charge(MonotonicTime syncedUntil, MonotonicTime now);

    /// Takes a token whether or not it is there, for a request that another allocator has accepted.
    void chargeAccepted(MonotonicTime now);

    /// Returns the token of a request that did not run. `isDrawn` says that this bucket has drawn it.
    void refund(bool isDrawn, MonotonicTime now);

    /// Draws the charges of another allocator, negative for refunds.
    void drawReported(int32_t count, MonotonicTime now);

    /// Takes over the level that another allocator reported, if it is higher. Precondition: this allocator has just
    /// begun to count.
    void adopt(double level, MonotonicTime now);

    /// Continues the number of own charges of an earlier bucket, because the others compare it with the last one.
    void continueCount(const QuotaBucket& earlier) { m_charged = earlier.m_charged; }

    /// Returns the number of own charges, less the refunds.
    uint32_t charged() const { return m_charged; }
    MonotonicTime changedAt() const { return m_changedAt; }
    /// Returns the tokens of the part of the deployment that is in touch.
    double level(MonotonicTime now) const;

private:
    struct Charges {
        MonotonicTime at;
        double own { 0 };
        double others { 0 };
    };

    double margin() const;
    double refillPerSecond() const;
    double capacity() const;
    double decayed(double recent, MonotonicTime now) const;
    void settle(MonotonicTime now);
    void take(MonotonicTime now);
    /// Returns the lowest level: no more debt than one window repays.
    double maxDebtLevel() const;
    /// Returns the charges of the present interval.
    Charges& chargesAt(MonotonicTime now);
    /// Returns the part of the unreported charges of all allocators that this one may have. `ownUnreported` is the
    /// number of its own.
    double shareOfTokens(double ownUnreported) const;
    /// Returns the own charges that the others may not know yet.
    double unreported(MonotonicTime syncedUntil, MonotonicTime now) const;
    /// Returns whether one more charge is within this allocator's share of the tokens.
    bool isWithinShare(MonotonicTime syncedUntil, MonotonicTime now) const;
    Milliseconds bookRetry(MonotonicTime syncedUntil, MonotonicTime now);

    WorkspaceLimits m_limits;
    QuotaBounds m_bounds;
    QuotaShares m_shares;
    /// In [0, 1), differs between the allocators.
    double m_dither { 0 };
    double m_level { 0 };
    MonotonicTime m_settledAt;
    uint32_t m_charged { 0 };
    MonotonicTime m_changedAt;
    /// Charges of the last seconds, in intervals.
    std::vector<Charges> m_charges;
    /// Own charges and those of the others, weighted by age.
    double m_ownRecent { 0 };
    double m_othersRecent { 0 };
    /// Time at which the latest caller that was sent away may return.
    MonotonicTime m_bookedUntil;
};

}

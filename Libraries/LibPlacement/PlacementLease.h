#pragma once

#include <LibCore/Clock.h>
#include <LibPlatform/TableService.h>

namespace Chicorydock {

/// A lease that this process holds.
struct HeldLease {
    /// The fencing number.
    uint64_t epoch { 0 };
    /// When the lease ends, on this process's own monotonic clock.
    MonotonicTime validUntil;
    /// Whether another process held the lease before, so that its orders may still be in transit.
    bool hasPredecessor { false };
};

/// The right to send orders to the endpoints of one failure domain: row `DOMAIN` of table `leases`, with holder and
/// epoch. Clocks of different machines are never compared: a contender takes the lease over when the row has not
/// changed for the whole duration on its own clock, and a holder counts the duration from before it sent its last
/// renewal.
///
/// Thread safety: none; each object belongs to one platform task at a time.
class PlacementLease {
public:
    /// `holder` is unique to this process. The table and the clock outlive the lease.
    PlacementLease(TableService&, const Clock&, std::string domain, std::string holder, Milliseconds duration);

    /// Acquires or renews the lease; returns nothing if another process holds it. Throws Error(PlatformUnavailable) or
    /// Error(OutcomeUnknown); the next call finds out whether the write took effect.
    std::optional<HeldLease> acquireOrRenew();

    /// Ends the lease if this process holds it, so that the next holder need not wait for its expiry. Throws as above.
    void release();

private:
    struct Content {
        std::string holder;
        uint64_t epoch { 0 };
    };

    std::optional<HeldLease> write(const std::optional<Row>& row, const Content& current, MonotonicTime started);
    bool mayTakeOver(const Row&, const Content&, MonotonicTime now);

    TableService& m_table;
    const Clock& m_clock;
    std::string m_domain;
    std::string m_holder;
    Milliseconds m_duration;
    /// The version of another holder's row that was seen last, and when it was first seen.
    uint64_t m_seenVersion { 0 };
    MonotonicTime m_seenAt;
    /// The epoch that this process has acquired last; 0 if none.
    uint64_t m_acquiredEpoch { 0 };
    bool m_hasPredecessor { false };
};

}

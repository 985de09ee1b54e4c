#pragma once

#include <QByteArray>
#include <QList>

#include <compare>
#include <cstdint>

namespace Chicorydock {

/// Seeds of a randomized test, in ascending order.
struct SeedRange {
    uint64_t first { 1 };
    uint64_t count { 1 };

    auto operator<=>(const SeedRange&) const = default;
};

/// Returns the seeds that the environment states with CHICORYDOCK_EXPLORER_SEEDS=FIRST,COUNT, or else `defaults`, which
/// CI uses.
inline SeedRange requestedSeeds(SeedRange defaults)
{
    const QList<QByteArray> parts = qgetenv("CHICORYDOCK_EXPLORER_SEEDS").split(',');
    return parts.size() == 2 ? SeedRange { parts[0].toULongLong(), parts[1].toULongLong() } : defaults;
}

}

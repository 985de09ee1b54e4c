#pragma once

#include <LibCore/Clock.h>

#include <compare>
#include <cstdint>
#include <mutex>

namespace Chicorydock {

/// A timestamp that orders events across processes, by wall time in milliseconds and then by a counter.
struct HybridTime {
    int64_t wallMilliseconds { 0 };
    uint32_t counter { 0 };

    auto operator<=>(const HybridTime&) const = default;
};

/// Hybrid logical clock after Kulkarni et al., "Logical Physical Clocks" (2014). It stays close to wall
/// time, never decreases, and gives an event a higher timestamp than every event that causally precedes it.
///
/// Thread safety: all methods may be called from any thread.
class HybridLogicalClock {
public:
    explicit HybridLogicalClock(const Clock& clock)
        : m_clock(clock)
    {
    }

    /// Returns the timestamp of a local event or of a message to be sent.
    HybridTime tick();

    /// Merges the timestamp of a received message into the clock and returns the timestamp of the receive event.
    HybridTime receive(HybridTime remote);

private:
    const Clock& m_clock;
    std::mutex m_mutex;
    HybridTime m_last;
};

}

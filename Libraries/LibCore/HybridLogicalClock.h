#pragma once

#include <LibCore/Clock.h>

#include <compare>
#include <cstdint>
#include <mutex>

namespace Chicorydock {

/// A timestamp that orders events over processes: wall time in milliseconds, then a counter.
struct HybridTime {
    int64_t wallMilliseconds { 0 };
    uint32_t counter { 0 };

    auto operator<=>(const HybridTime&) const = default;
};

/// Hybrid logical clock after Kulkarni et al., "Logical Physical Clocks" (2014): close to wall time, never goes back,
/// and an event that learned of another has the higher timestamp.
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

    /// Takes in the timestamp of a received message and returns the timestamp of its receipt.
    HybridTime receive(HybridTime remote);

private:
    const Clock& m_clock;
    std::mutex m_mutex;
    HybridTime m_last;
};

}

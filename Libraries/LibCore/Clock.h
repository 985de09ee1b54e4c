#pragma once

#include <chrono>

namespace Chicorydock {

using MonotonicTime = std::chrono::steady_clock::time_point;
using WallTime = std::chrono::system_clock::time_point;
using Milliseconds = std::chrono::milliseconds;
using Microseconds = std::chrono::microseconds;

/// Source of time. All code that depends on time reads it through this interface, so that tests can use a simulated
/// clock.
///
/// Thread safety: all methods may be called from any thread.
class Clock {
public:
    virtual ~Clock() = default;

    /// Returns the monotonic time, for durations, timeouts and leases. It never decreases.
    virtual MonotonicTime now() const = 0;

    /// Returns the wall-clock time, for timestamps that other processes or people read. It may jump in either
    /// direction.
    virtual WallTime wallNow() const = 0;
};

/// Returns the milliseconds since the Unix epoch, truncated.
inline int64_t toUnixMilliseconds(WallTime time)
{
    return std::chrono::duration_cast<Milliseconds>(time.time_since_epoch()).count();
}

/// Returns the wall time of `milliseconds` since the Unix epoch.
inline WallTime fromUnixMilliseconds(int64_t milliseconds) { return WallTime { Milliseconds { milliseconds } }; }

/// Returns `duration` in seconds as a floating point number.
template <typename Duration> double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/// Returns `seconds` as a duration of the monotonic clock.
inline MonotonicTime::duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<MonotonicTime::duration>(std::chrono::duration<double>(seconds));
}

}

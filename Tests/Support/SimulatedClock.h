#pragma once

#include <LibCore/Clock.h>

namespace Chicorydock {

/// A clock that moves only by `advance()`. Not thread safe.
class SimulatedClock final : public Clock {
public:
    MonotonicTime now() const override { return MonotonicTime { m_elapsed }; }
    WallTime wallNow() const override
    {
        // An arbitrary fixed date, so that wall times in tests are plausible and repeatable.
        return WallTime { std::chrono::hours { 24 * 365 * 56 } }
        + std::chrono::duration_cast<WallTime::duration>(m_elapsed);
    }

    void advance(MonotonicTime::duration duration) { m_elapsed += duration; }

private:
    MonotonicTime::duration m_elapsed { std::chrono::hours { 1 } };
};

}

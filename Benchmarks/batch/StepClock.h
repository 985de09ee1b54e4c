#pragma once

#include <LibCore/Clock.h>

namespace Chicorydock {

/// A simulated clock that the benchmark sets. Not thread safe.
class StepClock final : public Clock {
public:
    MonotonicTime now() const override { return m_now; }
    WallTime wallNow() const override
    {
        return WallTime { std::chrono::duration_cast<WallTime::duration>(m_now.time_since_epoch()) };
    }

    void setNow(MonotonicTime now) { m_now = now; }

private:
    MonotonicTime m_now { std::chrono::hours { 24 } };
};

}

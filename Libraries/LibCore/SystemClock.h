#pragma once

#include <LibCore/Clock.h>

namespace Chicorydock {

/// The clock of the operating system.
///
/// Thread safety: all methods may be called from any thread.
class SystemClock final : public Clock {
public:
    MonotonicTime now() const override { return std::chrono::steady_clock::now(); }
    WallTime wallNow() const override { return std::chrono::system_clock::now(); }
};

}

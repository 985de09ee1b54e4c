#pragma once

#include <LibCore/Clock.h>

#include <cstdint>
#include <optional>
#include <utility>

namespace Chicorydock {

/// Limits the rate of lines of one kind, so that callers who cause many of them leave room for other lines.
///
/// Load: thousands of requests a second that are refused at once.
///
/// Thread safety: none.
class LineLimiter {
public:
    explicit LineLimiter(uint32_t linesPerSecond)
        : m_linesPerSecond(linesPerSecond)
    {
    }

    /// Returns nothing if the line is to be left out, else the number of lines left out before it.
    std::optional<uint64_t> admit(MonotonicTime now)
    {
        if (!m_secondStart || now - *m_secondStart >= std::chrono::seconds { 1 }) {
            m_secondStart = now;
            m_linesInSecond = 0;
        }
        if (m_linesInSecond == m_linesPerSecond) {
            ++m_omitted;
            return {};
        }
        ++m_linesInSecond;
        return std::exchange(m_omitted, 0);
    }

private:
    const uint32_t m_linesPerSecond;
    std::optional<MonotonicTime> m_secondStart;
    uint32_t m_linesInSecond { 0 };
    uint64_t m_omitted { 0 };
};

}

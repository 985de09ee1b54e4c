#include <LibGateway/RetryBookings.h>

#include <LibCore/GoldenRatio.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace Chicorydock {

namespace {

    /// Time constant, in milliseconds, of the demand of new requests. Shorter than a burst, longer than the gaps
    /// between requests.
    constexpr double demandMemory = 300;

    /// Share of the slots that callers who return are expected to get even if new requests ask for all of them. Some of
    /// those are refused too.
    constexpr double minRoomShare = 0.1;

    /// Part of the window, at its end, over which the callers for whom it has no room are spread. Callers that were
    /// refused together do not return together, and a burst has the most time to end.
    constexpr Milliseconds fullWindowSpread { 100 };

}

void RetryBookings::decay(Line& line, MonotonicTime now)
{
    const double elapsed = toSeconds(now - line.updatedAt) * 1'000;
    line.recentMilliseconds *= std::exp(-elapsed / demandMemory);
    line.updatedAt = now;
}

void RetryBookings::recordArrival(const std::string& service, Milliseconds slotTime, MonotonicTime now)
{
    Line& line = m_lines[service];
    decay(line, now);
    line.recentMilliseconds += static_cast<double>(slotTime.count());
}

void RetryBookings::rescale(Line& line, double slots, MonotonicTime now)
{
    const double before = std::exchange(line.slotCount, slots);
    if (before > 0 && slots > before && line.bookedUntil > now)
        line.bookedUntil
            = now + std::chrono::duration_cast<MonotonicTime::duration>((line.bookedUntil - now) * (before / slots));
}

Milliseconds RetryBookings::nextAtEnd(const Window& window)
{
    m_spread += goldenRatio;
    m_spread -= std::floor(m_spread);
    const auto part = static_cast<double>(std::min(window.latest / 4, fullWindowSpread).count());
    return window.latest - Milliseconds { std::lround(part * m_spread) };
}

Milliseconds RetryBookings::book(
    const std::string& service, Milliseconds slotTime, const Window& window, double slots, MonotonicTime now)
{
    Line& line = m_lines[service];
    decay(line, now);
    rescale(line, slots, now);
    const MonotonicTime at = std::max(now + window.earliest, line.bookedUntil);
    if (at >= now + window.latest)
        return nextAtEnd(window);
    const double demand = line.recentMilliseconds / demandMemory;
    const double room = std::max(slots - demand, slots * minRoomShare);
    const double taken = static_cast<double>(slotTime.count()) / room;
    line.bookedUntil = at + std::chrono::microseconds { std::lround(taken * 1'000) };
    return std::chrono::duration_cast<Milliseconds>(at - now);
}

}

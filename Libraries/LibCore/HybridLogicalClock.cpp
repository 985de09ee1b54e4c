#include <LibCore/HybridLogicalClock.h>

#include <algorithm>

namespace Chicorydock {

HybridTime HybridLogicalClock::tick() { return receive({}); }

HybridTime HybridLogicalClock::receive(HybridTime remote)
{
    const std::lock_guard guard(m_mutex);
    const HybridTime wall { toUnixMilliseconds(m_clock.wallNow()), 0 };
    const HybridTime latest = std::max(m_last, remote);
    if (wall.wallMilliseconds > latest.wallMilliseconds)
        m_last = wall;
    else
        m_last = { latest.wallMilliseconds, latest.counter + 1 };
    return m_last;
}

}

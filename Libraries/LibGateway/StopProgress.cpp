#include <LibGateway/StopProgress.h>

#include <algorithm>

namespace Chicorydock {

std::string_view StopProgress::name(Stage stage)
{
    switch (stage) {
    case Stage::JobsReleased:
        return "jobs_released";
    case Stage::ConnectionsClosed:
        return "connections_closed";
    case Stage::ResponsesDue:
        return "responses_due";
    case Stage::Ended:
        return "ended";
    }
    return {};
}

bool StopProgress::isIdle(const OpenWork& open)
{
    // The end of the process resets a connection with unread input, which can destroy a response on its way.
    const bool areConnectionsDone = open.expectingConnections == 0 && open.closingConnections == 0;
    return open.requests == 0 && open.peerRequests == 0 && areConnectionsDone && open.jobs == 0;
}

bool StopProgress::isReached(Stage stage, const OpenWork& open, MonotonicTime now) const
{
    switch (stage) {
    case Stage::JobsReleased:
        return open.jobs == 0;
    case Stage::ConnectionsClosed:
        return closesConnections(now);
    case Stage::ResponsesDue:
        return now >= m_schedule.respondBy();
    case Stage::Ended:
        return now >= m_schedule.endsAt() || (closesConnections(now) && isIdle(open));
    }
    return false;
}

std::vector<StopProgress::Stage> StopProgress::update(const OpenWork& open, MonotonicTime now)
{
    const auto isPending = [&](Stage it) { return !isReached(it, open, now); };
    const auto reached = std::stable_partition(m_pending.begin(), m_pending.end(), isPending);
    std::vector<Stage> stages(reached, m_pending.end());
    m_pending.erase(reached, m_pending.end());
    m_hasEnded = m_hasEnded || std::ranges::find(stages, Stage::Ended) != stages.end();
    return stages;
}

}

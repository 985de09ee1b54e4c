#include <LibGateway/QueueAdmission.h>

#include <algorithm>
#include <cmath>

namespace Chicorydock {

namespace {

    /// A new request is queued only if its expected wait is at most this share of the time until its latest start. The
    /// estimate is rough, and an early refusal is of more use to the caller than a late one.
    constexpr double maxExpectedWaitShare = 0.5;

    /// Refused callers are told to retry after `minRetryAfter` plus the expected wait plus a random delay, but after
    /// `maxRetryAfter` at most. The random delay is up to the longer of the expected wait and `minRetrySpread`.
    constexpr Milliseconds minRetrySpread { 300 };
    constexpr Milliseconds minRetryAfter { 150 };
    constexpr Milliseconds maxRetryAfter { 1'600 };

}

QueueAdmission::QueueAdmission(
    const ServiceCapacity& capacity, const SlotPeers& peers, const SlotTimeEstimator& slotTimes, Random& random)
    : m_capacity(capacity)
    , m_peers(peers)
    , m_slotTimes(slotTimes)
    , m_random(random)
{
}

bool QueueAdmission::shouldRefuse(const OnlineWork& work, const WaitingLine& line, MonotonicTime now) const
{
    const MonotonicTime start = now + expectedWait(work, line);
    if (start > work.deadline)
        return true;
    // A caller that may retry is better served by a later attempt that is on time than by a late response.
    if (work.isLastAttempt)
        return false;
    if (work.isAccepted)
        return start > work.startBy;
    return toSeconds(start - now) > toSeconds(work.startBy - now) * maxExpectedWaitShare;
}

Milliseconds QueueAdmission::expectedWait(const OnlineWork& work, const WaitingLine& line) const
{
    // Requests queued at peers compete for the same slots.
    const double peerTime
        = aheadAtPeers(work, line) * static_cast<double>(m_slotTimes.requestTime(work.service).count());
    const double slotTime = static_cast<double>(line.timeAhead.count()) + peerTime;
    const Milliseconds queueTime { std::lround(slotTime / m_capacity.usableSlots(work.service)) };
    return std::max(queueTime, m_capacity.nextRequestIn(work.service));
}

double QueueAdmission::aheadAtPeers(const OnlineWork& work, const WaitingLine& line) const
{
    const double waiting = m_peers.waiting();
    if (work.profile.workspace.empty())
        return waiting;
    // Peers serve the workspaces in fair order too, so the request has about the same place in their queues as here.
    const double place = static_cast<double>(line.ahead) + 0.5;
    return waiting * place / static_cast<double>(line.ahead + line.rest);
}

Milliseconds QueueAdmission::retryAfter(const OnlineWork& work, const WaitingLine& line)
{
    const Milliseconds wait = expectedWait(work, line);
    const double spread = m_random.unit() * static_cast<double>(std::max(wait, minRetrySpread).count());
    return std::min(minRetryAfter + wait + Milliseconds { std::lround(spread) }, maxRetryAfter);
}

}

#include <LibGateway/QueueAdmission.h>

#include <algorithm>
#include <cmath>

namespace Chicorydock {

namespace {

    /// A new request is queued only if its expected wait is at most this share of the time until its latest start. The
    /// estimate is rough, and an early refusal is of more use to the caller than a late one.
    constexpr double maxExpectedWaitShare = 0.5;

    /// Limits of the time after which refused callers are told to retry. Callers honour up to a third of the time that
    /// they have left.
    constexpr Milliseconds minRetryAfter { 150 };
    constexpr Milliseconds maxRetryAfter { 1'600 };
    constexpr int maxRetryShareOfTimeLeft = 3;

    /// The random part of the time is up to the longer of the expected wait and this.
    constexpr Milliseconds minRetrySpread { 300 };

    /// Limit of the time after which callers retry while no endpoint of the service is known.
    constexpr Milliseconds maxUnknownRetryAfter { 400 };

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

void QueueAdmission::recordArrival(const OnlineWork& work, MonotonicTime now)
{
    if (!work.isLastAttempt)
        m_bookings.recordArrival(work.service, work.slotTime, now);
}

Milliseconds QueueAdmission::retryAfter(const OnlineWork& work, const WaitingLine& line, MonotonicTime now)
{
    const Milliseconds wait = expectedWait(work, line);
    return work.profile.workspace.empty() ? randomRetryAfter(wait) : bookRetry(work, wait, now);
}

Milliseconds QueueAdmission::earliestRetryAfter(const OnlineWork& work, const WaitingLine& line) const
{
    return std::min(minRetryAfter + expectedWait(work, line), maxRetryAfter);
}

Milliseconds QueueAdmission::randomRetryAfter(Milliseconds wait)
{
    const double spread = m_random.unit() * static_cast<double>(std::max(wait, minRetrySpread).count());
    return std::min(minRetryAfter + wait + Milliseconds { std::lround(spread) }, maxRetryAfter);
}

Milliseconds QueueAdmission::bookRetry(const OnlineWork& work, Milliseconds wait, MonotonicTime now)
{
    const auto left = std::chrono::duration_cast<Milliseconds>(work.deadline - now);
    const Milliseconds latest = std::clamp(left / maxRetryShareOfTimeLeft, minRetryAfter, maxRetryAfter);
    // Without endpoints nothing is known of the room. They are usually listed within a few hundred milliseconds, so
    // callers return soon and book nothing.
    if (!m_capacity.hasEndpoints(work.service))
        return m_bookings.nextAtEnd({ minRetryAfter, std::min(latest, maxUnknownRetryAfter) });
    // Peers refuse callers of their own, who are served from the same slots.
    const size_t peers = m_peers.countAt(PeerDistance::FailureDomain) + m_peers.countAt(PeerDistance::Region)
        + m_peers.countAt(PeerDistance::OtherRegion);
    const double slots = m_capacity.usableSlots(work.service) / static_cast<double>(peers + 1);
    return m_bookings.book(work.service, work.slotTime, { minRetryAfter + wait, latest }, slots, now);
}

}

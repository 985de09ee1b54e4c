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
    const ServiceCapacity& capacity, const SlotPeers& peers, const HoldTimeEstimator& holdTimes, Random& random)
    : m_capacity(capacity)
    , m_peers(peers)
    , m_holdTimes(holdTimes)
    , m_random(random)
{
}

bool QueueAdmission::shouldRefuse(const OnlineWork& work, size_t ahead, MonotonicTime now) const
{
    const MonotonicTime start = now + expectedWait(work.service, ahead);
    if (start > work.deadline)
        return true;
    // A caller that may retry is better served by a later attempt that is on time than by a late response.
    if (work.isLastAttempt)
        return false;
    if (work.isAccepted)
        return start > work.startBy;
    return toSeconds(start - now) > toSeconds(work.startBy - now) * maxExpectedWaitShare;
}

Milliseconds QueueAdmission::expectedWait(const std::string& service, size_t ahead) const
{
    const Milliseconds hold = m_holdTimes.requestTime(service);
    // Requests queued at peers compete for the same slots.
    const double queue = static_cast<double>(ahead + m_peers.waiting());
    const double queueTime = queue * static_cast<double>(hold.count()) / m_capacity.usableSlots(service);
    return std::max(Milliseconds { std::lround(queueTime) }, m_capacity.nextRequestIn(service));
}

Milliseconds QueueAdmission::retryAfter(const std::string& service, size_t ahead)
{
    const Milliseconds wait = expectedWait(service, ahead);
    const double spread = m_random.unit() * static_cast<double>(std::max(wait, minRetrySpread).count());
    return std::min(minRetryAfter + wait + Milliseconds { std::lround(spread) }, maxRetryAfter);
}

}

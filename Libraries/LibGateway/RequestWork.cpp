#include <LibGateway/RequestWork.h>

#include <algorithm>

namespace Chicorydock {

namespace {

    /// Assumed if the caller sends no deadline.
    constexpr Milliseconds defaultDeadline { 30'000 };

    /// Time from the request to the first byte at an endpoint with a free slot.
    constexpr Milliseconds typicalFirstByteTime { 80 };

    /// If the caller's deadline is more than this below the route's timeout, the caller has spent time on an earlier
    /// attempt.
    constexpr Milliseconds retryDetectionMargin { 60 };

}

Milliseconds timeLimit(const ForwardRequest& request, const GatewayRoute& route)
{
    const Milliseconds limit = request.deadline.value_or(defaultDeadline);
    return route.timeout.count() > 0 ? std::min(limit, route.timeout) : limit;
}

MonotonicTime latestStart(Milliseconds target, MonotonicTime since)
{
    return since + std::max(Milliseconds { 0 }, target - typicalFirstByteTime);
}

OnlineWork makeOnlineWork(
    const ForwardRequest& request, const GatewayRoute& route, const std::string& service, MonotonicTime arrival)
{
    OnlineWork work;
    work.service = service;
    work.priority = request.caller.priority.value_or(route.priority);
    work.startBy = latestStart(route.latencyTarget, arrival);
    work.deadline = arrival + timeLimit(request, route);
    work.isLastAttempt = request.deadline && *request.deadline + retryDetectionMargin < route.timeout;
    work.profile = request.profile;
    return work;
}

}

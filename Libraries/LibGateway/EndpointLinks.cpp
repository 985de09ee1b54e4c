#include <LibGateway/EndpointLinks.h>

#include <algorithm>
#include <set>
#include <utility>

namespace Chicorydock {

namespace {

    /// Time for which an attempt counts.
    constexpr Milliseconds attemptMemory { 2'000 };

    /// Fewer endpoints may crash together, or fall silent for a while.
    constexpr size_t minFailedEndpoints = 3;

    /// Bounds the memory and the work of a node that receives many requests.
    constexpr size_t maxAttempts = 200;

}

void EndpointLinks::recordFailure(const std::string& endpoint, MonotonicTime sentAt, MonotonicTime now)
{
    add({ sentAt, now, endpoint });
}

void EndpointLinks::recordResponse(const std::string& endpoint, MonotonicTime sentAt, MonotonicTime now)
{
    std::erase_if(m_attempts, [&](const Attempt& it) { return it.failedEndpoint == endpoint && it.sentAt <= sentAt; });
    add({ sentAt, now, {} });
}

void EndpointLinks::add(Attempt attempt)
{
    while (!m_attempts.empty()
        && (m_attempts.size() >= maxAttempts || attempt.endedAt - m_attempts.front().endedAt > attemptMemory))
        m_attempts.pop_front();
    m_attempts.push_back(std::move(attempt));
}

bool EndpointLinks::areLost(MonotonicTime now) const
{
    std::set<std::string> failedEndpoints;
    size_t failures = 0;
    MonotonicTime firstFailure = MonotonicTime::max();
    for (const Attempt& it : m_attempts) {
        if (it.failedEndpoint.empty() || now - it.endedAt > attemptMemory)
            continue;
        ++failures;
        failedEndpoints.insert(it.failedEndpoint);
        firstFailure = std::min(firstFailure, it.sentAt);
    }
    if (failedEndpoints.size() < minFailedEndpoints)
        return false;
    // Responses to earlier requests may have been sent before the connections were lost.
    const auto responses = std::ranges::count_if(
        m_attempts, [&](const Attempt& it) { return it.failedEndpoint.empty() && it.sentAt >= firstFailure; });
    return failures > static_cast<size_t>(responses);
}

}

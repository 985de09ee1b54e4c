#pragma once

#include <LibCore/Clock.h>

#include <deque>
#include <string>

namespace Chicorydock {

/// Decides whether a node has lost its connections to the endpoints, from the outcome of its latest attempts. One
/// endpoint that fails, or falls silent for a while, says nothing about the node; several at once do, while hardly
/// another one responds. Load: nodes of which some or most are cut off from all endpoints for seconds, and endpoints
/// that crash together.
///
/// Thread safety: none.
class EndpointLinks {
public:
    /// Records an attempt at which no byte came from the endpoint.
    void recordFailure(const std::string& endpoint, MonotonicTime sentAt, MonotonicTime now);

    /// Records an attempt to which an endpoint responded. Failures of the same or earlier attempts there no longer
    /// count: the endpoint was only slow.
    void recordResponse(const std::string& endpoint, MonotonicTime sentAt, MonotonicTime now);

    /// Forgets all attempts, because the endpoints can be reached again.
    void reset() { m_attempts.clear(); }

    bool areLost(MonotonicTime now) const;

private:
    struct Attempt {
        MonotonicTime sentAt;
        MonotonicTime endedAt;
        /// Empty if the endpoint responded.
        std::string failedEndpoint;
    };

    void add(Attempt);

    std::deque<Attempt> m_attempts;
};

}

#pragma once

#include <string>

namespace Chicorydock {

/// Decides which peers may be reached; tests use it to cut failure domains off from each other.
///
/// Thread safety: called on the kj thread.
class TrafficFilter {
public:
    virtual ~TrafficFilter() = default;

    /// Returns whether messages to and replies from the peer pass. What does not pass is lost without a sign.
    virtual bool permits(const std::string& address) = 0;
};

}

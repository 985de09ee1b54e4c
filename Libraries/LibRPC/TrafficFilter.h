#pragma once

#include <string>

namespace Chicorydock {

/// Decides which peers can be reached; tests use it to partition failure domains.
///
/// Thread safety: called on the kj thread.
class TrafficFilter {
public:
    virtual ~TrafficFilter() = default;

    /// Returns whether messages to and replies from the peer pass. Others are dropped without an error.
    virtual bool permits(const std::string& address) = 0;
};

}

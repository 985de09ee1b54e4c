#pragma once

#include <LibMembership/PeerMessage.h>

#include <cstdint>
#include <optional>
#include <string>

namespace Chicorydock {

/// Handles the calls of peers.
///
/// Thread safety: called on the thread that runs the controllers.
class PeerHandler {
public:
    virtual ~PeerHandler() = default;

    /// Processes a membership message and returns the ack. Throws Error.
    virtual PeerMessage exchange(const PeerMessage&) = 0;

    /// Returns the document of a configuration revision, or nothing if this node does not have it. `held` is the
    /// revision that the peer has in force.
    virtual std::optional<std::string> fetchRevision(uint64_t revision, uint64_t held) = 0;

    /// Handles the request of a peer to take batch work off an endpoint. Unknown names are ignored.
    virtual void yieldBatch(const std::string& service, const std::string& endpoint) = 0;
};

}

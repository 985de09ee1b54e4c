#pragma once

#include <LibCore/Clock.h>
#include <LibMembership/PeerMessage.h>

#include <functional>
#include <optional>

namespace Chicorydock {

/// Sends messages to peers.
///
/// Thread safety: all methods may be called from any thread. Each callback runs exactly once, on the thread that runs
/// the controllers, and never before the call returns.
class PeerLink {
public:
    virtual ~PeerLink() = default;

    using MessageCallback = std::function<void(std::optional<PeerMessage>)>;
    /// Sends a message; the callback receives the reply, or nothing after the timeout.
    virtual void exchange(const std::string& address, const PeerMessage&, Milliseconds timeout, MessageCallback) = 0;

    using RevisionCallback = std::function<void(std::optional<std::string>)>;
    /// Fetches the document of a configuration revision; nothing if the peer does not have it or does not respond.
    /// `held` is the revision in force at the caller (0: none); the document may be the difference to it.
    virtual void fetchRevision(
        const std::string& address, uint64_t revision, uint64_t held, Milliseconds timeout, RevisionCallback)
        = 0;

    /// Asks a peer to take batch work off an endpoint. Lost messages are not retried.
    virtual void yieldBatch(const std::string& address, const std::string& service, const std::string& endpoint) = 0;
};

}

#pragma once

#include <LibMembership/PeerLink.h>
#include <LibRPC/CrossThread.h>
#include <LibRPC/RpcThread.h>
#include <LibRPC/TrafficFilter.h>

#include <memory>

namespace Chicorydock {

/// Sends messages to peers over Cap'n Proto RPC. Connections are kept and reused; a call that times out or finds its
/// connection closed drops the connection, so that the next call opens a new one.
///
/// Thread safety: as `PeerLink`; created and destroyed on any thread but the kj thread, which outlives it. The
/// callbacks of calls that are in flight at its destruction are never run.
class RpcPeerLink final : public PeerLink {
public:
    struct Options {
        /// The least recently used connection above this number is closed.
        size_t maxConnections { 64 };
        /// Calls beyond this number in flight fail immediately: their callbacks get nothing.
        size_t maxCallsInFlight { 1024 };
        /// Timeout of a call of `yieldBatch()`.
        Milliseconds yieldTimeout { 1000 };
    };

    /// `post` runs a function asynchronously on the controllers' thread. The filter, if any, outlives the link.
    RpcPeerLink(RpcThread&, Post post, Options, TrafficFilter* = nullptr);
    RpcPeerLink(RpcThread& thread, Post post)
        : RpcPeerLink(thread, std::move(post), Options {})
    {
    }
    ~RpcPeerLink() override;

    RpcPeerLink(const RpcPeerLink&) = delete;
    RpcPeerLink& operator=(const RpcPeerLink&) = delete;

    void exchange(const std::string& address, const PeerMessage&, Milliseconds timeout, MessageCallback) override;
    void fetchRevision(
        const std::string& address, uint64_t revision, uint64_t held, Milliseconds timeout, RevisionCallback) override;
    void yieldBatch(const std::string& address, const std::string& service, const std::string& endpoint) override;

    /// Returns the number of open connections. Precondition: not called on the kj thread.
    size_t connectionCount() const;

private:
    class Connections;

    RpcThread& m_thread;
    /// Lives on the kj thread.
    std::shared_ptr<Connections> m_connections;
};

}

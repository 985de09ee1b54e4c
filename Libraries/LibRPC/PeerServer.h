#pragma once

#include <LibRPC/CrossThread.h>
#include <LibRPC/PeerHandler.h>
#include <Schema/Peer.capnp.h>

namespace Chicorydock {

/// Serves the calls of peers by forwarding them to a `PeerHandler` on the controllers' thread.
///
/// Thread safety: lives on the kj thread. The handler outlives the controllers' event loop.
class PeerServer final : public Schema::Peer::Server {
public:
    PeerServer(Post post, PeerHandler& handler)
        : m_post(std::move(post))
        , m_handler(handler)
    {
    }

    kj::Promise<void> exchange(ExchangeContext) override;
    kj::Promise<void> fetchRevision(FetchRevisionContext) override;
    kj::Promise<void> yieldBatch(YieldBatchContext) override;

private:
    Post m_post;
    PeerHandler& m_handler;
};

}

#pragma once

#include <LibRPC/RpcThread.h>
#include <Schema/Node.capnp.h>

#include <functional>
#include <memory>
#include <string>

namespace Chicorydock {

/// Listens for peers and operators; the bootstrap capability is `Schema::Node`.
///
/// Thread safety: created and destroyed on any thread but the kj thread, which outlives it.
class RpcServer {
public:
    using PeerFactory = std::function<Schema::Peer::Client()>;
    using OperatorFactory = std::function<Schema::Operator::Client()>;

    /// Listens on `address`, `HOST:PORT` with the host as an IP number. The factories run on the kj thread; an empty
    /// one means that the interface is not offered. Throws Error(InvalidConfiguration) if the address cannot be used.
    RpcServer(RpcThread&, const std::string& address, PeerFactory, OperatorFactory);
    ~RpcServer();

    RpcServer(const RpcServer&) = delete;
    RpcServer& operator=(const RpcServer&) = delete;

    /// Returns the port on which the server listens, which the system selects if the address has port 0.
    uint32_t port() const { return m_port; }

private:
    class Listener;

    RpcThread& m_thread;
    std::unique_ptr<Listener> m_listener;
    uint32_t m_port { 0 };
};

}

#include <LibRPC/RpcServer.h>

#include <LibCore/Error.h>
#include <LibCore/SocketAddress.h>

#include <capnp/rpc-twoparty.h>

#include <sys/socket.h>

namespace Chicorydock {

namespace {

    // After a failed accept (no file descriptors left, for example) an immediate retry would only waste processor time.
    constexpr auto acceptRetryDelay = 100 * kj::MILLISECONDS;

    class NodeServer final : public Schema::Node::Server {
    public:
        NodeServer(RpcServer::PeerFactory peer, RpcServer::OperatorFactory operatorFactory)
            : m_peer(std::move(peer))
            , m_operator(std::move(operatorFactory))
        {
        }

        kj::Promise<void> peer(PeerContext context) override
        {
            if (!m_peer)
                return KJ_EXCEPTION(UNIMPLEMENTED, "this node does not serve peers");
            context.getResults().setPeer(m_peer());
            return kj::READY_NOW;
        }

        kj::Promise<void> operator_(OperatorContext context) override
        {
            if (!m_operator)
                return KJ_EXCEPTION(UNIMPLEMENTED, "this node does not serve operators");
            context.getResults().setOperator(m_operator());
            return kj::READY_NOW;
        }

    private:
        RpcServer::PeerFactory m_peer;
        RpcServer::OperatorFactory m_operator;
    };

    // Detects connections whose peer disappeared without closing them.
    void enableKeepAlive(kj::AsyncIoStream& stream)
    {
        const int enabled = 1;
        stream.setsockopt(SOL_SOCKET, SO_KEEPALIVE, &enabled, sizeof(enabled));
    }

}

/// The part that lives on the kj thread.
class RpcServer::Listener final : private kj::TaskSet::ErrorHandler {
public:
    Listener(kj::Own<kj::ConnectionReceiver> receiver, kj::Timer& timer, capnp::Capability::Client bootstrap)
        : m_receiver(kj::mv(receiver))
        , m_timer(timer)
        , m_server(kj::mv(bootstrap))
        , m_tasks(*this)
    {
        m_tasks.add(acceptAll());
    }

    uint32_t port() { return m_receiver->getPort(); }

private:
    kj::Promise<void> acceptAll()
    {
        return m_receiver->accept()
            .then(
                [this](kj::Own<kj::AsyncIoStream> stream) -> kj::Promise<void> {
                    enableKeepAlive(*stream);
                    m_server.accept(kj::mv(stream));
                    return kj::READY_NOW;
                },
                [this](kj::Exception&&) { return m_timer.afterDelay(acceptRetryDelay); })
            .then([this] { return acceptAll(); });
    }

    void taskFailed(kj::Exception&&) override
    {
        m_tasks.add(m_timer.afterDelay(acceptRetryDelay).then([this] { return acceptAll(); }));
    }

    kj::Own<kj::ConnectionReceiver> m_receiver;
    kj::Timer& m_timer;
    capnp::TwoPartyServer m_server;
    kj::TaskSet m_tasks;
};

RpcServer::RpcServer(RpcThread& thread, const std::string& address, PeerFactory peer, OperatorFactory operatorFactory)
    : m_thread(thread)
{
    const auto parsed = SocketAddress::parse(address);
    if (!parsed)
        throw Error { ErrorKind::InvalidConfiguration, "RPC address is not IP:PORT: " + address };
    m_thread.run([&] {
        try {
            auto networkAddress = m_thread.provider().getNetwork().getSockaddr(&parsed->storage, parsed->length);
            m_listener = std::make_unique<Listener>(networkAddress->listen(), m_thread.timer(),
                kj::heap<NodeServer>(std::move(peer), std::move(operatorFactory)));
        } catch (const kj::Exception& exception) {
            throw Error { ErrorKind::InvalidConfiguration,
                "cannot listen on " + address + ": " + exception.getDescription().cStr() };
        }
        m_port = m_listener->port();
    });
}

RpcServer::~RpcServer()
{
    m_thread.run([this] { m_listener.reset(); });
}

}

#pragma once

#include <LibOperator/OperatorMessages.h>
#include <LibOperator/OperatorServer.h>
#include <Schema/Node.capnp.h>

#include <QThreadPool>

#include <capnp/ez-rpc.h>

#include <future>
#include <thread>

namespace Chicorydock {

/// Serves a handler on a loopback RPC port, as a node does, from a thread with a kj event loop.
class OperatorTestServer {
public:
    explicit OperatorTestServer(OperatorHandler& handler)
    {
        std::promise<uint16_t> port;
        m_thread = std::thread([this, &handler, &port] { run(handler, port); });
        m_address = "127.0.0.1:" + std::to_string(port.get_future().get());
    }

    ~OperatorTestServer()
    {
        m_stop->fulfill();
        m_thread.join();
        m_pool.waitForDone();
    }

    const std::string& address() const { return m_address; }

private:
    struct Node final : Schema::Node::Server {
        Node(OperatorHandler& handler, Post post)
            : node(kj::heap<OperatorServer>(handler, std::move(post)))
        {
        }

        kj::Promise<void> operator_(OperatorContext context) override
        {
            context.getResults().setOperator(node);
            return kj::READY_NOW;
        }

        Schema::Operator::Client node;
    };

    void run(OperatorHandler& handler, std::promise<uint16_t>& port)
    {
        const Post post = [this](std::function<void()> function) { m_pool.start(std::move(function)); };
        capnp::EzRpcServer server(kj::heap<Node>(handler, post), "127.0.0.1", 0, operatorReaderOptions());
        auto stop = kj::newPromiseAndCrossThreadFulfiller<void>();
        m_stop = kj::mv(stop.fulfiller);
        port.set_value(static_cast<uint16_t>(server.getPort().wait(server.getWaitScope())));
        stop.promise.wait(server.getWaitScope());
    }

    QThreadPool m_pool;
    kj::Own<kj::CrossThreadPromiseFulfiller<void>> m_stop;
    std::string m_address;
    std::thread m_thread;
};

}

#pragma once

#include <LibGateway/RequestExplainer.h>
#include <LibHTTP/HttpServerLimits.h>
#include <LibOperator/OperatorHandler.h>
#include <LibRPC/RpcServer.h>
#include <LibRPC/RpcThread.h>

#include <QObject>

#include <memory>
#include <string>

namespace Chicorydock {

/// Handles the RPC calls of operators to a gateway. On a platform, operators declare and read through the platform's
/// store, so of the calls of the product only the explanation of a request is offered; the others throw
/// Error(UnsupportedMethod).
///
/// Thread safety: used on the I/O thread.
class GatewayOperator final : public OperatorHandler {
public:
    /// `limits` are those on the requests of callers.
    GatewayOperator(RequestExplainer, const HttpServerLimits& limits);

    RequestExplanation explainRequest(const std::string& message) override;

    NodeStatus status() override;
    std::vector<EndpointStatus> endpoints() override;
    uint64_t apply(const Configuration&, uint64_t expectedRevision) override;
    Configuration configuration() override;
    std::vector<RevisionInfo> history(uint32_t limit) override;
    JobView submitJob(const JobSubmission&) override;
    JobView jobStatus(const std::string& id) override;
    ResultPage jobResults(const std::string& id, uint32_t after, uint32_t limit) override;
    JobView cancelJob(const std::string& id) override;
    void drain(const std::string& endpoint) override;
    std::vector<Event> timeline(const std::string& id, uint32_t limit) override;

private:
    const RequestExplainer m_explainer;
    const HttpServerLimits m_limits;
};

/// The RPC port of a gateway for operators.
///
/// Thread safety: created and destroyed on the I/O thread, which runs an event loop.
class GatewayOperatorPort {
public:
    /// Listens on `address`. The handler outlives the port. Throws Error(InvalidConfiguration) if the address cannot be
    /// used.
    GatewayOperatorPort(const std::string& address, OperatorHandler&);
    ~GatewayOperatorPort();

private:
    /// The calls run in its thread. Destroyed last, because it drops the calls that have not run.
    QObject m_context;
    RpcThread m_thread;
    std::unique_ptr<RpcServer> m_server;
};

}

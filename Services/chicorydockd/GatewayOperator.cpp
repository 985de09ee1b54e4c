#include "GatewayOperator.h"

#include <LibHTTP/HttpRequestReader.h>
#include <LibOperator/OperatorServer.h>

#include <utility>

namespace Chicorydock {

namespace {

    [[noreturn]] void refuse()
    {
        throw Error(
            ErrorKind::UnsupportedMethod, "a gateway only explains requests; the rest is in the platform's store");
    }

}

GatewayOperator::GatewayOperator(RequestExplainer explainer, const HttpServerLimits& limits)
    : m_explainer(std::move(explainer))
    , m_limits(limits)
{
}

RequestExplanation GatewayOperator::explainRequest(const std::string& message)
{
    return m_explainer.explain(readWholeRequest(message, m_limits));
}

NodeStatus GatewayOperator::status() { refuse(); }
std::vector<EndpointStatus> GatewayOperator::endpoints() { refuse(); }
uint64_t GatewayOperator::apply(const Configuration&, uint64_t) { refuse(); }
Configuration GatewayOperator::configuration() { refuse(); }
std::vector<RevisionInfo> GatewayOperator::history(uint32_t) { refuse(); }
JobView GatewayOperator::submitJob(const JobSubmission&) { refuse(); }
JobView GatewayOperator::jobStatus(const std::string&) { refuse(); }
ResultPage GatewayOperator::jobResults(const std::string&, uint32_t, uint32_t) { refuse(); }
JobView GatewayOperator::cancelJob(const std::string&) { refuse(); }
void GatewayOperator::drain(const std::string&) { refuse(); }
std::vector<Event> GatewayOperator::timeline(const std::string&, uint32_t) { refuse(); }

GatewayOperatorPort::GatewayOperatorPort(const std::string& address, OperatorHandler& handler)
    : m_server(std::make_unique<RpcServer>(m_thread, address, nullptr, [this, &handler]() -> Schema::Operator::Client {
        return kj::heap<OperatorServer>(handler, postTo(&m_context));
    }))
{
}

GatewayOperatorPort::~GatewayOperatorPort()
{
    m_server.reset();
    m_thread.stop();
}

}

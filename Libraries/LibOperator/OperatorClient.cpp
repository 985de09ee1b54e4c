#include <LibOperator/OperatorClient.h>

#include <LibConfiguration/ConfigurationSchema.h>
#include <LibCore/Error.h>
#include <LibOperator/ExplanationMessages.h>
#include <LibOperator/OperatorMessages.h>
#include <Schema/Node.capnp.h>

#include <capnp/ez-rpc.h>
#include <kj/async-io.h>
#include <kj/timer.h>

namespace Chicorydock {

namespace {

    /// Prefix that Cap'n Proto adds to the description of an exception raised by the remote side.
    constexpr std::string_view remotePrefix = "remote exception: ";

    Error toError(std::string_view description)
    {
        while (description.starts_with(remotePrefix))
            description.remove_prefix(remotePrefix.size());
        const size_t colon = description.find(": ");
        const ErrorRow* row = colon == std::string_view::npos ? nullptr : findErrorRow(description.substr(0, colon));
        if (!row)
            return { ErrorKind::Internal, std::string(description) };
        return { row->kind, std::string(description.substr(colon + 2)) };
    }

    kj::StringPtr toText(const std::string& text) { return { text.c_str(), text.size() }; }

}

struct OperatorClient::Connection {
    explicit Connection(const std::string& address)
        : rpc(address, 0, operatorReaderOptions())
    {
    }

    capnp::EzRpcClient rpc;
    Schema::Operator::Client node { nullptr };
};

template <typename Request> auto OperatorClient::send(Request& request, Milliseconds timeout, bool isChange)
{
    kj::Timer& timer = m_connection->rpc.getIoProvider().getTimer();
    const kj::Duration duration = timeout.count() * kj::MILLISECONDS;
    try {
        return timer.timeoutAfter(duration, request.send()).wait(m_connection->rpc.getWaitScope());
    } catch (const kj::Exception& exception) {
        // The timer reports a timeout as Overloaded.
        m_hasLostConnection = exception.getType() == kj::Exception::Type::DISCONNECTED
            || exception.getType() == kj::Exception::Type::OVERLOADED;
        const std::string description(exception.getDescription().cStr());
        if (exception.getType() == kj::Exception::Type::UNIMPLEMENTED)
            throw Error(ErrorKind::UnsupportedMethod, "node " + m_address + " is of a version without this call");
        if (!m_hasLostConnection)
            throw toError(description);
        throw Error(isChange ? ErrorKind::OutcomeUnknown : ErrorKind::NotReady,
            "node " + m_address + " did not answer: " + description);
    }
}

OperatorClient::OperatorClient(std::string address, Timeouts timeouts)
    : m_address(std::move(address))
    , m_timeouts(timeouts)
{
    try {
        m_connection = std::make_unique<Connection>(m_address);
    } catch (const kj::Exception& exception) {
        throw Error(ErrorKind::NotReady, "node " + m_address + ": " + exception.getDescription().cStr());
    }
    auto request = m_connection->rpc.getMain<Schema::Node>().operatorRequest();
    m_connection->node = send(request, m_timeouts.connect, false).getOperator();
}

OperatorClient::~OperatorClient() = default;

NodeStatus OperatorClient::status()
{
    auto request = m_connection->node.statusRequest();
    return Chicorydock::read(read(request).getStatus());
}

std::vector<EndpointStatus> OperatorClient::endpoints()
{
    auto request = m_connection->node.endpointsRequest();
    return readList(read(request).getEndpoints());
}

uint64_t OperatorClient::apply(const Configuration& configuration, uint64_t expectedRevision)
{
    auto request = m_connection->node.applyRequest();
    toSchema(configuration, request.initConfiguration());
    request.setExpectedRevision(expectedRevision);
    return change(request).getRevision();
}

Configuration OperatorClient::configuration()
{
    auto request = m_connection->node.configurationRequest();
    return fromSchema(read(request).getConfiguration());
}

std::vector<RevisionInfo> OperatorClient::history(uint32_t limit)
{
    auto request = m_connection->node.historyRequest();
    request.setLimit(limit);
    return readList(read(request).getRevisions());
}

JobView OperatorClient::submitJob(const JobSubmission& job)
{
    auto request = m_connection->node.submitJobRequest();
    write(job, request.initJob());
    return Chicorydock::read(change(request).getStatus());
}

JobView OperatorClient::jobStatus(const std::string& id)
{
    auto request = m_connection->node.jobStatusRequest();
    request.setId(toText(id));
    return Chicorydock::read(read(request).getStatus());
}

ResultPage OperatorClient::jobResults(const std::string& id, uint32_t after, uint32_t limit)
{
    auto request = m_connection->node.jobResultsRequest();
    request.setId(toText(id));
    request.setAfter(after);
    request.setLimit(limit);
    const auto response = read(request);
    ResultPage page { .lines = {}, .next = response.getNext(), .complete = response.getComplete() };
    for (const auto it : response.getLines())
        page.lines.emplace_back(it.begin(), it.size());
    return page;
}

JobView OperatorClient::cancelJob(const std::string& id)
{
    auto request = m_connection->node.cancelJobRequest();
    request.setId(toText(id));
    return Chicorydock::read(change(request).getStatus());
}

void OperatorClient::drain(const std::string& endpoint)
{
    auto request = m_connection->node.drainRequest();
    request.setEndpoint(toText(endpoint));
    change(request);
}

std::vector<Event> OperatorClient::timeline(const std::string& id, uint32_t limit)
{
    auto request = m_connection->node.timelineRequest();
    request.setId(toText(id));
    request.setLimit(limit);
    return readList(read(request).getEvents());
}

RequestExplanation OperatorClient::explainRequest(const std::string& message)
{
    auto request = m_connection->node.explainRequestRequest();
    request.setRequest(capnp::Data::Reader(reinterpret_cast<const kj::byte*>(message.data()), message.size()));
    return Chicorydock::read(read(request).getExplanation());
}

}

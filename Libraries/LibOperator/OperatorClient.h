#pragma once

#include <LibOperator/OperatorHandler.h>

#include <memory>

namespace Chicorydock {

/// Calls the operator interface of one node over RPC and waits for each response.
///
/// An error of the node is rethrown with its kind and message, without its retry delay. If the node does not respond in
/// time or closes the connection, a call that only reads throws Error(NotReady), and a call that changes something
/// throws Error(OutcomeUnknown). Both may be repeated, at any node.
///
/// Thread safety: none; used on the thread that created it, which runs no kj event loop of its own.
class OperatorClient final : public OperatorHandler {
public:
    struct Timeouts {
        Milliseconds connect { 3'000 };
        /// Long enough for a job of 200,000 items.
        Milliseconds call { 60'000 };
    };

    /// Connects to the RPC port of a node, `HOST:PORT`. Throws Error(NotReady) if the node cannot be reached.
    OperatorClient(std::string address, Timeouts);
    ~OperatorClient() override;

    const std::string& address() const { return m_address; }

    /// Returns whether the node has closed the connection or failed to respond in time. Create a new client then.
    bool hasLostConnection() const { return m_hasLostConnection; }

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
    RequestExplanation explainRequest(const std::string& message) override;

private:
    struct Connection;

    template <typename Request> auto send(Request&, Milliseconds timeout, bool isChange);
    template <typename Request> auto read(Request& request) { return send(request, m_timeouts.call, false); }
    template <typename Request> auto change(Request& request) { return send(request, m_timeouts.call, true); }

    const std::string m_address;
    const Timeouts m_timeouts;
    bool m_hasLostConnection { false };
    std::unique_ptr<Connection> m_connection;
};

}

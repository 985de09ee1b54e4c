#pragma once

#include "Cluster.h"

#include <LibBatch/BatchController.h>
#include <LibBatch/JobService.h>
#include <LibOperator/OperatorHandler.h>

namespace Chicorydock {

/// Handles the RPC calls of operators to this node.
///
/// Thread safety: all methods may be called from any thread except the controllers' thread. They block.
class NodeOperator final : public OperatorHandler {
public:
    struct Dependencies {
        const Settings& settings;
        const Clock& clock;
        Cluster& cluster;
        Dispatcher& dispatcher;
        JobService& jobs;
        BatchController& batch;
        ConfigurationStore& configurationStore;
        RcuCell<Configuration>& configuration;
        EventLog& eventLog;
        const std::atomic<bool>& isReady;
        const std::atomic<bool>& isStopping;
        /// Runs a function on the controllers' thread, waits for it and rethrows its exception.
        std::function<void(const std::function<void()>&)> runOnControllers;
    };

    explicit NodeOperator(Dependencies);

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
    Dependencies m_dependencies;
    MonotonicTime m_started;
};

}

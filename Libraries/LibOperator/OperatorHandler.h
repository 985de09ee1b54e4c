#pragma once

#include <LibBatch/JobService.h>
#include <LibConfiguration/ConfigurationStore.h>
#include <LibGateway/RequestExplanation.h>
#include <LibLog/EventLog.h>
#include <LibOperator/OperatorTypes.h>

#include <string>
#include <vector>

namespace Chicorydock {

/// The operator interface of one node, with one method for each method of `Schema/Operator.capnp`. The daemon
/// implements it, `OperatorServer` serves it over RPC, and `OperatorClient` is the client.
///
/// All methods block and throw `Error`. All calls may be repeated: a change that was accepted before is recognized by
/// its request id, and a job by its id.
///
/// Thread safety: depends on the implementation.
class OperatorHandler {
public:
    virtual ~OperatorHandler() = default;

    virtual NodeStatus status() = 0;

    virtual std::vector<EndpointStatus> endpoints() = 0;

    /// Replaces the configuration if the revision in force is the expected one, and returns the new revision. A change
    /// whose request id was accepted before returns the same revision as then. Throws Error(Conflict), whose message
    /// contains the current revision, and Error(InvalidConfiguration).
    virtual uint64_t apply(const Configuration&, uint64_t expectedRevision) = 0;

    /// Returns the configuration in force at the node; revision 0 if none is.
    virtual Configuration configuration() = 0;

    /// Returns the newest revisions, newest first.
    virtual std::vector<RevisionInfo> history(uint32_t limit) = 0;

    /// See `JobService`; operators have access to the jobs of all workspaces.
    virtual JobView submitJob(const JobSubmission&) = 0;
    virtual JobView jobStatus(const std::string& id) = 0;
    virtual ResultPage jobResults(const std::string& id, uint32_t after, uint32_t limit) = 0;
    virtual JobView cancelJob(const std::string& id) = 0;

    /// Marks an endpoint as leaving, so that it receives no new work; this cannot be undone. Throws Error(NotFound).
    virtual void drain(const std::string& endpoint) = 0;

    /// Returns the newest events of the node, oldest first; `id` filters by identifier or trace id if not empty.
    virtual std::vector<Event> timeline(const std::string& id, uint32_t limit) = 0;

    /// Explains where a request of a caller would go now, without sending it. `message` is the request as an HTTP/1.1
    /// message. Throws Error(MalformedRequest).
    virtual RequestExplanation explainRequest(const std::string& message) = 0;
};

}

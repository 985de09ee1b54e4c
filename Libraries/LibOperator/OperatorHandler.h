#pragma once

#include <LibBatch/JobService.h>
#include <LibConfiguration/ConfigurationStore.h>
#include <LibLog/EventLog.h>
#include <LibOperator/OperatorTypes.h>

#include <string>
#include <vector>

namespace Chicorydock {

/// The calls of operators to one node; one method for each call of `Schema/Operator.capnp`. The daemon implements it,
/// `OperatorServer` offers it over RPC, and `OperatorClient` is the far side.
///
/// All methods block and throw `Error`. Repeating any of them is safe: a change that was accepted before is recognised
/// by its request id, and a job by its id.
///
/// Thread safety: decided by the implementation.
class OperatorHandler {
public:
    virtual ~OperatorHandler() = default;

    virtual NodeStatus status() = 0;

    virtual std::vector<EndpointStatus> endpoints() = 0;

    /// Replaces the configuration if the revision in force is the expected one, and returns the new revision. A change
    /// with a request id that was accepted before returns its revision again. Throws Error(Conflict), whose message
    /// names the current revision, and Error(InvalidConfiguration).
    virtual uint64_t apply(const Configuration&, uint64_t expectedRevision) = 0;

    /// Returns the configuration in force at the node; revision 0 if none is.
    virtual Configuration configuration() = 0;

    /// Returns the newest revisions, newest first.
    virtual std::vector<RevisionInfo> history(uint32_t limit) = 0;

    /// See `JobService`; an operator sees the jobs of all workspaces.
    virtual JobView submitJob(const JobSubmission&) = 0;
    virtual JobView jobStatus(const std::string& id) = 0;
    virtual ResultPage jobResults(const std::string& id, uint32_t after, uint32_t limit) = 0;
    virtual JobView cancelJob(const std::string& id) = 0;

    /// Marks an endpoint as leaving; this cannot be undone. Throws Error(NotFound).
    virtual void drain(const std::string& endpoint) = 0;

    /// Returns the newest events of the node, oldest first; `id` filters by identifier or trace id if not empty.
    virtual std::vector<Event> timeline(const std::string& id, uint32_t limit) = 0;
};

}

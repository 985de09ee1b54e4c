#pragma once

#include <LibCore/Post.h>
#include <LibOperator/OperatorHandler.h>
#include <Schema/Operator.capnp.h>

namespace Chicorydock {

/// Serves an `OperatorHandler` over RPC. An `Error` of the handler is sent to the caller as the name of its kind, a
/// colon and the message.
///
/// Thread safety: used on the kj thread only; the handler is called through `post`, on any thread, and calls may run
/// concurrently.
class OperatorServer final : public Schema::Operator::Server {
public:
    /// The handler outlives the server and every function handed to `post`, which runs on threads that may block.
    OperatorServer(OperatorHandler& handler, Post post);

    kj::Promise<void> status(StatusContext) override;
    kj::Promise<void> endpoints(EndpointsContext) override;
    kj::Promise<void> apply(ApplyContext) override;
    kj::Promise<void> configuration(ConfigurationContext) override;
    kj::Promise<void> history(HistoryContext) override;
    kj::Promise<void> submitJob(SubmitJobContext) override;
    kj::Promise<void> jobStatus(JobStatusContext) override;
    kj::Promise<void> jobResults(JobResultsContext) override;
    kj::Promise<void> cancelJob(CancelJobContext) override;
    kj::Promise<void> drain(DrainContext) override;
    kj::Promise<void> timeline(TimelineContext) override;
    kj::Promise<void> explainRequest(ExplainRequestContext) override;

private:
    OperatorHandler& m_handler;
    const Post m_post;
};

}

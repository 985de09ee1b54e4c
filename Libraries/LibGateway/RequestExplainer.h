#pragma once

#include <LibGateway/GatewayEnvironment.h>
#include <LibGateway/JobController.h>
#include <LibGateway/RequestExplanation.h>
#include <LibGateway/SlotMember.h>
#include <LibGateway/SlotScheduler.h>
#include <LibHTTP/HttpMessage.h>

#include <string>

namespace Chicorydock {

/// Explains where a request would go now, without sending it. Asks the code that decides about real requests, and
/// queues, charges, books and logs nothing.
///
/// Thread safety: used on the I/O thread.
class RequestExplainer {
public:
    /// The arguments outlive the explainer, except for the name.
    RequestExplainer(
        const GatewayEnvironment&, SlotScheduler&, const SlotMember&, const JobController&, std::string node);

    /// Explains a request of a caller to this node. A request that submits a job is explained by the job's first item.
    /// Calls about jobs that exist, such as reads of results, have no place to go and are refused as malformed.
    RequestExplanation explain(const HttpRequest&) const;

private:
    struct Subject;

    /// Returns why the request would not be queued, and sets what is known of it until then.
    std::optional<Error> findRefusal(const HttpRequest&, Subject&, RequestExplanation&) const;
    std::optional<Error> findJobRefusal(const HttpRequest&, Subject&, RequestExplanation&) const;
    std::vector<ServiceExplanation> explainServices(const Subject&) const;
    SlotExplanation explainSlots(const Subject&, const std::string& service) const;

    const GatewayEnvironment& m_environment;
    SlotScheduler& m_scheduler;
    const SlotMember& m_member;
    const JobController& m_jobs;
    const std::string m_node;
};

}

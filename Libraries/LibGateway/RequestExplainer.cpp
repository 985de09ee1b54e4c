#include <LibGateway/RequestExplainer.h>

#include <LibGateway/CallerAuthentication.h>
#include <LibGateway/RequestFingerprint.h>
#include <LibGateway/RequestWork.h>
#include <LibGateway/RouteLookup.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace Chicorydock {

/// What is known about a request while it is explained.
struct RequestExplainer::Subject {
    ForwardRequest request;
    const GatewayRoute* route { nullptr };
    /// Set for the submission of a job.
    std::optional<SubmittedJob> job {};
};

RequestExplainer::RequestExplainer(const GatewayEnvironment& environment, SlotScheduler& scheduler,
    const SlotMember& member, const JobController& jobs, std::string node)
    : m_environment(environment)
    , m_scheduler(scheduler)
    , m_member(member)
    , m_jobs(jobs)
    , m_node(std::move(node))
{
}

RequestExplanation RequestExplainer::explain(const HttpRequest& request) const
{
    RequestExplanation explanation { .node = m_node, .configuration = m_environment.configuration->version };
    Subject subject { m_environment.wire.decodeRequest(request) };
    explanation.refusal = findRefusal(request, subject, explanation);
    explanation.coordinator = m_member.coordinator();
    if (!explanation.refusal && m_member.isIndependent())
        explanation.services = explainServices(subject);
    return explanation;
}

std::optional<Error> RequestExplainer::findRefusal(
    const HttpRequest& request, Subject& subject, RequestExplanation& explanation) const
{
    const GatewayConfiguration& configuration = *m_environment.configuration;
    if (m_environment.wire.decodeJobCall(request))
        return Error(ErrorKind::MalformedRequest, "a call about a job is answered by the node that receives it");
    const auto found = findRoute(m_environment, subject.request);
    if (const auto* route = std::get_if<const GatewayRoute*>(&found))
        subject.route = *route;
    for (const GatewayRoute& it : configuration.routes) {
        if (it.host == subject.request.host && &it != subject.route)
            explanation.otherPrefixes.push_back(it.prefix);
    }
    if (const auto* error = std::get_if<Error>(&found))
        return *error;
    explanation.route = subject.route->name;
    explanation.prefix = subject.route->prefix;
    const auto caller = identifyCaller(m_environment, subject.request.key, subject.route->allowsAnonymous);
    if (const auto* error = std::get_if<Error>(&caller))
        return *error;
    subject.request.setCaller(std::get<CallerIdentity>(caller));
    explanation.workspace = subject.request.caller.workspace;
    explanation.priority = subject.request.caller.priority.value_or(subject.route->priority);
    if (!subject.route->isServable())
        return Error(ErrorKind::NoEndpoint, "the configuration of the route names no service");
    if (subject.route->kind == RouteKind::Batch)
        return findJobRefusal(request, subject, explanation);
    // A copy decides, because a request that is let through on trial changes the quarantine.
    PromptQuarantine quarantine = m_environment.quarantine;
    std::vector<std::string> parts = subject.request.promptParts;
    parts.push_back(requestFingerprint(request, subject.request.caller.workspace));
    if (quarantine.decide(parts, m_environment.clock.now()).kind == PromptDecision::Kind::Refuse)
        return Error(ErrorKind::PromptQuarantined, "endpoints crash on the request or on a part of its prompt");
    return std::nullopt;
}

std::optional<Error> RequestExplainer::findJobRefusal(
    const HttpRequest& request, Subject& subject, RequestExplanation& explanation) const
{
    subject.job = m_environment.wire.decodeSubmission(request);
    if (request.method != "POST" || !subject.job || subject.job->items.empty())
        return Error(ErrorKind::MalformedRequest, "the request is not a valid job submission");
    subject.job->workspace = subject.request.caller.workspace;
    explanation.items = static_cast<uint32_t>(subject.job->items.size());
    return m_jobs.limitExceededBy(*subject.job, *subject.route);
}

std::vector<ServiceExplanation> RequestExplainer::explainServices(const Subject& subject) const
{
    const EndpointDirectory& directory = m_environment.directory;
    const std::vector<ServiceShare>& shares = subject.route->shares;
    // While endpoints offer none of the services, requests wait for any of them.
    const bool isAnyOffered
        = std::ranges::any_of(shares, [&](const ServiceShare& it) { return directory.offers(it.service); });
    std::vector<ServiceExplanation> services;
    for (const ServiceShare& it : shares) {
        if (!isAnyOffered || directory.offers(it.service))
            services.push_back({ it.weight, explainSlots(subject, it.service) });
    }
    return services;
}

SlotExplanation RequestExplainer::explainSlots(const Subject& subject, const std::string& service) const
{
    const MonotonicTime now = m_environment.clock.now();
    if (!subject.job) {
        OnlineWork work = makeOnlineWork(subject.request, *subject.route, service, now);
        work.excluded = m_environment.directory.excluded();
        return m_scheduler.explain(work, now);
    }
    BatchWork work;
    work.service = service;
    work.dueAt = now + subject.route->completionTarget;
    work.excluded = m_environment.directory.excluded();
    work.profile = m_environment.wire.workProfile(subject.job->items.front().headers);
    work.profile.workspace = subject.request.profile.workspace;
    return m_scheduler.explain(work, now);
}

}

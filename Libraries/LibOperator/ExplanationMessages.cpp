#include <LibOperator/ExplanationMessages.h>

#include <LibOperator/OperatorMessages.h>

#include <array>

namespace Chicorydock {

namespace {

    /// Stands for a time that is unknown or does not apply.
    constexpr int64_t noTime = -1;

    constexpr std::array obstacles { EndpointObstacle::None, EndpointObstacle::OtherService,
        EndpointObstacle::OtherVersion, EndpointObstacle::Excluded, EndpointObstacle::Avoided, EndpointObstacle::Full,
        EndpointObstacle::Remote, EndpointObstacle::OtherTurn };

    constexpr std::array refusals { RefusalReason::Load, RefusalReason::Quota };

    kj::StringPtr toText(const std::string& text) { return { text.c_str(), text.size() }; }

    std::string toString(capnp::Text::Reader text) { return { text.begin(), text.size() }; }

    int64_t toNumber(const std::optional<Milliseconds>& time) { return time ? time->count() : noTime; }

    std::optional<Milliseconds> toTime(int64_t number)
    {
        return number < 0 ? std::nullopt : std::optional(Milliseconds { number });
    }

    template <typename Values, typename NameOf> auto parse(const Values& values, NameOf nameOf, const std::string& name)
    {
        for (const auto it : values) {
            if (nameOf(it) == name)
                return it;
        }
        throw Error(ErrorKind::MalformedRequest, "unknown name \"" + name + "\"");
    }

    std::optional<Error> readRefusal(Schema::RequestExplanation::Reader in)
    {
        const std::string name = toString(in.getRefusal());
        if (name.empty())
            return std::nullopt;
        const ErrorRow* row = findErrorRow(name);
        if (!row)
            throw Error(ErrorKind::MalformedRequest, "unknown kind of error \"" + name + "\"");
        return Error(row->kind, toString(in.getRefusalMessage()), toTime(in.getRefusalRetryAfterMs()));
    }

}

std::string_view refusalName(RefusalReason reason) { return reason == RefusalReason::Quota ? "quota" : "load"; }

void write(const QuotaView& quota, Schema::QuotaView::Builder out)
{
    out.setWorkspace(toText(quota.limits.name));
    out.setRequestsPerSecond(quota.limits.requestsPerSecond);
    out.setBurst(quota.limits.burst);
    out.setLevel(quota.level);
    out.setGroupShare(quota.groupShare);
    out.setOwnShare(quota.ownShare);
    out.setRetryAfterMs(toNumber(quota.retryAfter));
}

QuotaView read(Schema::QuotaView::Reader in)
{
    return {
        .limits = { toString(in.getWorkspace()), in.getRequestsPerSecond(), in.getBurst() },
        .level = in.getLevel(),
        .groupShare = in.getGroupShare(),
        .ownShare = in.getOwnShare(),
        .retryAfter = toTime(in.getRetryAfterMs()),
    };
}

void write(const EndpointEvaluation& evaluation, Schema::EndpointEvaluation::Builder out)
{
    out.setEndpoint(toText(evaluation.endpoint));
    out.setFailureDomain(toText(evaluation.failureDomain));
    out.setObstacle(std::string(obstacleName(evaluation.obstacle)).c_str());
    out.setLoad(evaluation.cost.load);
    out.setDistance(evaluation.cost.distance);
    out.setSlowness(evaluation.cost.slowness);
    out.setSpread(evaluation.cost.spread);
    out.setYield(evaluation.cost.yield);
    out.setRateLimit(evaluation.cost.rateLimit);
    out.setPrompt(evaluation.cost.prompt);
    out.setOnline(evaluation.view.online);
    out.setBatch(evaluation.view.batch);
    out.setSlots(evaluation.view.slotCount);
    out.setSlotsAgeMs(toNumber(evaluation.view.age));
}

EndpointEvaluation read(Schema::EndpointEvaluation::Reader in)
{
    return {
        .endpoint = toString(in.getEndpoint()),
        .failureDomain = toString(in.getFailureDomain()),
        .obstacle = parse(obstacles, obstacleName, toString(in.getObstacle())),
        .cost = { in.getLoad(), in.getDistance(), in.getSlowness(), in.getSpread(), in.getYield(), in.getRateLimit(),
            in.getPrompt() },
        .view = { in.getOnline(), in.getBatch(), in.getSlots(), toTime(in.getSlotsAgeMs()) },
    };
}

void write(const ServiceExplanation& explanation, Schema::ServiceExplanation::Builder out)
{
    const SlotExplanation& decision = explanation.decision;
    out.setService(toText(decision.service));
    out.setWeight(explanation.weight);
    out.setEndpoint(toText(decision.endpoint));
    if (decision.refusal)
        out.setRefusal(std::string(refusalName(*decision.refusal)).c_str());
    out.setRetryAfterMs(decision.retryAfter.count());
    out.setAhead(decision.ahead);
    out.setExpectedWaitMs(decision.expectedWait.count());
    out.setExpectedSlotMs(decision.expectedSlotTime.count());
    if (decision.quota)
        write(*decision.quota, out.initQuota());
    writeList(decision.endpoints, out.initEndpoints(static_cast<uint32_t>(decision.endpoints.size())));
}

ServiceExplanation read(Schema::ServiceExplanation::Reader in)
{
    SlotExplanation decision;
    decision.service = toString(in.getService());
    decision.endpoint = toString(in.getEndpoint());
    if (const std::string refusal = toString(in.getRefusal()); !refusal.empty())
        decision.refusal = parse(refusals, refusalName, refusal);
    decision.retryAfter = Milliseconds { in.getRetryAfterMs() };
    decision.ahead = in.getAhead();
    decision.expectedWait = Milliseconds { in.getExpectedWaitMs() };
    decision.expectedSlotTime = Milliseconds { in.getExpectedSlotMs() };
    if (in.hasQuota())
        decision.quota = read(in.getQuota());
    decision.endpoints = readList(in.getEndpoints());
    return { in.getWeight(), std::move(decision) };
}

void write(const RequestExplanation& explanation, Schema::RequestExplanation::Builder out)
{
    out.setNode(toText(explanation.node));
    out.setConfiguration(explanation.configuration);
    if (const auto& refusal = explanation.refusal) {
        out.setRefusal(std::string(errorRow(refusal->kind()).name).c_str());
        out.setRefusalMessage(toText(refusal->message()));
        out.setRefusalRetryAfterMs(toNumber(refusal->retryAfter()));
    }
    out.setRoute(toText(explanation.route));
    out.setPrefix(toText(explanation.prefix));
    auto prefixes = out.initOtherPrefixes(static_cast<uint32_t>(explanation.otherPrefixes.size()));
    for (uint32_t n = 0; n < explanation.otherPrefixes.size(); ++n)
        prefixes.set(n, toText(explanation.otherPrefixes[n]));
    if (explanation.workspace)
        out.setWorkspace(toText(*explanation.workspace));
    out.setPriority(explanation.priority);
    out.setItems(explanation.items);
    out.setCoordinator(toText(explanation.coordinator));
    writeList(explanation.services, out.initServices(static_cast<uint32_t>(explanation.services.size())));
}

RequestExplanation read(Schema::RequestExplanation::Reader in)
{
    RequestExplanation explanation { .node = toString(in.getNode()), .configuration = in.getConfiguration() };
    explanation.refusal = readRefusal(in);
    explanation.route = toString(in.getRoute());
    explanation.prefix = toString(in.getPrefix());
    for (const auto it : in.getOtherPrefixes())
        explanation.otherPrefixes.push_back(toString(it));
    if (in.hasWorkspace())
        explanation.workspace = toString(in.getWorkspace());
    explanation.priority = in.getPriority();
    explanation.items = in.getItems();
    explanation.coordinator = toString(in.getCoordinator());
    explanation.services = readList(in.getServices());
    return explanation;
}

}

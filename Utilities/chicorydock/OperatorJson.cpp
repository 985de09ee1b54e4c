#include <Utilities/chicorydock/OperatorJson.h>

#include <LibOperator/ExplanationMessages.h>
#include <LibOperator/OperatorMessages.h>

#include <QJsonDocument>

namespace Chicorydock {

namespace {

    QString toText(std::string_view text)
    {
        return QString::fromUtf8(text.data(), static_cast<qsizetype>(text.size()));
    }

    QJsonObject toJson(const MemberUpdate& member)
    {
        return {
            { "node_id", toText(member.nodeId) },
            { "address", toText(member.address) },
            { "region", toText(member.region) },
            { "failure_domain", toText(member.failureDomain) },
            { "incarnation", static_cast<qint64>(member.incarnation) },
            { "state", toText(stateName(member.state)) },
        };
    }

    QJsonObject toJson(const ServiceStatus& service)
    {
        return {
            { "name", toText(service.name) },
            { "online_queued", static_cast<qint64>(service.counters.onlineQueued) },
            { "batch_queued", static_cast<qint64>(service.counters.batchQueued) },
            { "online_in_flight", static_cast<qint64>(service.counters.onlineInFlight) },
            { "batch_in_flight", static_cast<qint64>(service.counters.batchInFlight) },
            { "refused", static_cast<qint64>(service.counters.refused) },
            { "yielded", static_cast<qint64>(service.counters.yielded) },
            { "hedged", static_cast<qint64>(service.counters.hedged) },
        };
    }

}

QJsonObject toJson(const NodeStatus& status)
{
    QJsonArray members;
    for (const MemberUpdate& it : status.members)
        members.append(toJson(it));
    QJsonArray services;
    for (const ServiceStatus& it : status.services)
        services.append(toJson(it));
    return {
        { "node_id", toText(status.nodeId) },
        { "region", toText(status.region) },
        { "failure_domain", toText(status.failureDomain) },
        { "revision", static_cast<qint64>(status.revision) },
        { "ready", status.isReady },
        { "stopping", status.isStopping },
        { "platform_reachable", status.isPlatformReachable },
        { "uptime_ms", static_cast<qint64>(status.uptime.count()) },
        { "members", members },
        { "services", services },
        { "claimed_chunks", static_cast<qint64>(status.claimedChunks) },
        { "holds_placement_lease", status.holdsPlacementLease },
    };
}

QJsonObject toJson(const EndpointStatus& endpoint)
{
    return {
        { "id", toText(endpoint.id) },
        { "address", toText(endpoint.address) },
        { "service", toText(endpoint.service) },
        { "region", toText(endpoint.region) },
        { "failure_domain", toText(endpoint.failureDomain) },
        { "state", toText(stateName(endpoint.state)) },
        { "online_in_flight", static_cast<qint64>(endpoint.onlineInFlight) },
        { "batch_in_flight", static_cast<qint64>(endpoint.batchInFlight) },
        { "limit", static_cast<qint64>(endpoint.limit) },
        { "health", endpoint.health },
        { "first_token_ms", endpoint.firstTokenMs },
        { "token_gap_ms", endpoint.tokenGapMs },
    };
}

QJsonObject toJson(const RevisionInfo& summary)
{
    return {
        { "revision", static_cast<qint64>(summary.revision) },
        { "author", toText(summary.author) },
        { "request_id", toText(summary.requestId) },
        { "accepted_ms", static_cast<qint64>(toUnixMilliseconds(summary.accepted)) },
    };
}

QJsonObject toJson(const JobView& job)
{
    return {
        { "id", toText(job.id) },
        { "workspace", toText(job.workspace) },
        { "state", toText(stateName(job.state)) },
        { "total", static_cast<qint64>(job.total) },
        { "completed", static_cast<qint64>(job.completed) },
        { "failed", static_cast<qint64>(job.failed) },
        { "created_ms", static_cast<qint64>(toUnixMilliseconds(job.created)) },
        { "deadline_ms", static_cast<qint64>(toUnixMilliseconds(job.deadline)) },
    };
}

QJsonObject toJson(const EndpointEvaluation& evaluation)
{
    QJsonObject json {
        { "endpoint", toText(evaluation.endpoint) },
        { "failure_domain", toText(evaluation.failureDomain) },
        { "obstacle", toText(obstacleName(evaluation.obstacle)) },
        { "cost", evaluation.cost.total() },
        { "load", evaluation.cost.load },
        { "distance", evaluation.cost.distance },
        { "slowness", evaluation.cost.slowness },
        { "spread", evaluation.cost.spread },
        { "yield", evaluation.cost.yield },
        { "rate_limit", evaluation.cost.rateLimit },
        { "prompt", evaluation.cost.prompt },
        { "online", static_cast<qint64>(evaluation.view.online) },
        { "batch", static_cast<qint64>(evaluation.view.batch) },
        { "slots", static_cast<qint64>(evaluation.view.slotCount) },
    };
    if (evaluation.view.age)
        json["slots_age_ms"] = static_cast<qint64>(evaluation.view.age->count());
    return json;
}

QJsonObject toJson(const ServiceExplanation& explanation)
{
    const SlotExplanation& decision = explanation.decision;
    QJsonObject json {
        { "service", toText(decision.service) },
        { "weight", static_cast<qint64>(explanation.weight) },
        { "endpoint", toText(decision.endpoint) },
        { "ahead", static_cast<qint64>(decision.ahead) },
        { "expected_wait_ms", static_cast<qint64>(decision.expectedWait.count()) },
        { "expected_slot_ms", static_cast<qint64>(decision.expectedSlotTime.count()) },
        { "endpoints", toJsonArray(decision.endpoints) },
    };
    if (decision.refusal) {
        json["refusal"] = toText(refusalName(*decision.refusal));
        json["retry_after_ms"] = static_cast<qint64>(decision.retryAfter.count());
    }
    if (const auto& quota = decision.quota)
        json["quota"] = QJsonObject { { "requests_per_second", quota->limits.requestsPerSecond },
            { "burst", quota->limits.burst }, { "level", quota->level }, { "group_share", quota->groupShare },
            { "own_share", quota->ownShare } };
    return json;
}

QJsonObject toJson(const RequestExplanation& explanation)
{
    QJsonArray prefixes;
    for (const std::string& it : explanation.otherPrefixes)
        prefixes.append(toText(it));
    QJsonObject json {
        { "node", toText(explanation.node) },
        { "configuration", static_cast<qint64>(explanation.configuration) },
        { "route", toText(explanation.route) },
        { "prefix", toText(explanation.prefix) },
        { "other_prefixes", prefixes },
        { "priority", static_cast<qint64>(explanation.priority) },
        { "items", static_cast<qint64>(explanation.items) },
        { "coordinator", toText(explanation.coordinator) },
        { "services", toJsonArray(explanation.services) },
    };
    if (explanation.workspace)
        json["workspace"] = toText(*explanation.workspace);
    if (const auto& refusal = explanation.refusal) {
        const ErrorRow& row = errorRow(refusal->kind());
        json["refusal"] = QJsonObject { { "kind", toText(row.name) }, { "status", row.httpStatus },
            { "message", toText(refusal->message()) } };
    }
    return json;
}

std::string toLine(const QJsonObject& object)
{
    return QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString();
}

}

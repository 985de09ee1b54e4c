#include <Utilities/chicorydock/OperatorJson.h>

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

std::string toLine(const QJsonObject& object)
{
    return QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString();
}

}

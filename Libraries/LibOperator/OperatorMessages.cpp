#include <LibOperator/OperatorMessages.h>

#include <LibCore/Error.h>

#include <QJsonDocument>

#include <algorithm>
#include <array>
#include <utility>

namespace Chicorydock {

namespace {

    constexpr uint64_t maxMessageBytes = 1024ULL * 1024 * 1024;

    template <typename State> using StateName = std::pair<State, std::string_view>;

    constexpr std::array memberStateNames {
        StateName<MemberUpdate::State> { MemberUpdate::State::Alive, "alive" },
        StateName<MemberUpdate::State> { MemberUpdate::State::Suspect, "suspect" },
        StateName<MemberUpdate::State> { MemberUpdate::State::Leaving, "leaving" },
        StateName<MemberUpdate::State> { MemberUpdate::State::Dead, "dead" },
    };

    constexpr std::array endpointStateNames {
        StateName<EndpointStatus::State> { EndpointStatus::State::Live, "live" },
        StateName<EndpointStatus::State> { EndpointStatus::State::Leaving, "leaving" },
        StateName<EndpointStatus::State> { EndpointStatus::State::Unreachable, "unreachable" },
    };

    const std::array jobStateNames {
        StateName<JobView::State> { JobView::State::InProgress, stateName(JobView::State::InProgress) },
        StateName<JobView::State> { JobView::State::Completed, stateName(JobView::State::Completed) },
        StateName<JobView::State> { JobView::State::Cancelling, stateName(JobView::State::Cancelling) },
        StateName<JobView::State> { JobView::State::Cancelled, stateName(JobView::State::Cancelled) },
    };

    template <typename Names, typename State> std::string_view findName(const Names& names, State state)
    {
        return std::ranges::find(names, state, &StateName<State>::first)->second;
    }

    template <typename Names> auto parseState(const Names& names, capnp::Text::Reader name)
    {
        const std::string_view text(name.begin(), name.size());
        const auto it = std::ranges::find(names, text, &Names::value_type::second);
        if (it == names.end())
            throw Error(ErrorKind::MalformedRequest, "unknown state \"" + std::string(text) + "\"");
        return it->first;
    }

    kj::StringPtr toText(const std::string& text) { return { text.c_str(), text.size() }; }

    std::string toString(capnp::Text::Reader text) { return { text.begin(), text.size() }; }

}

std::string_view stateName(MemberUpdate::State state) { return findName(memberStateNames, state); }

std::string_view stateName(EndpointStatus::State state) { return findName(endpointStateNames, state); }

void write(const MemberUpdate& member, Schema::MemberStatus::Builder out)
{
    out.setNodeId(toText(member.nodeId));
    out.setAddress(toText(member.address));
    out.setRegion(toText(member.region));
    out.setFailureDomain(toText(member.failureDomain));
    out.setIncarnation(member.incarnation);
    out.setState(std::string(stateName(member.state)).c_str());
}

MemberUpdate read(Schema::MemberStatus::Reader in)
{
    return {
        .nodeId = toString(in.getNodeId()),
        .address = toString(in.getAddress()),
        .region = toString(in.getRegion()),
        .failureDomain = toString(in.getFailureDomain()),
        .incarnation = in.getIncarnation(),
        .state = parseState(memberStateNames, in.getState()),
    };
}

void write(const ServiceStatus& service, Schema::ServiceStatus::Builder out)
{
    out.setName(toText(service.name));
    out.setOnlineQueued(service.counters.onlineQueued);
    out.setBatchQueued(service.counters.batchQueued);
    out.setOnlineInFlight(service.counters.onlineInFlight);
    out.setBatchInFlight(service.counters.batchInFlight);
    out.setRefused(service.counters.refused);
    out.setYielded(service.counters.yielded);
    out.setHedged(service.counters.hedged);
}

ServiceStatus read(Schema::ServiceStatus::Reader in)
{
    return {
        .name = toString(in.getName()),
        .counters = {
            .onlineQueued = in.getOnlineQueued(),
            .batchQueued = in.getBatchQueued(),
            .onlineInFlight = in.getOnlineInFlight(),
            .batchInFlight = in.getBatchInFlight(),
            .refused = in.getRefused(),
            .yielded = in.getYielded(),
            .hedged = in.getHedged(),
        },
    };
}

void write(const NodeStatus& status, Schema::NodeStatus::Builder out)
{
    out.setNodeId(toText(status.nodeId));
    out.setRegion(toText(status.region));
    out.setFailureDomain(toText(status.failureDomain));
    out.setRevision(status.revision);
    out.setReady(status.isReady);
    out.setStopping(status.isStopping);
    out.setPlatformReachable(status.isPlatformReachable);
    out.setUptimeMs(static_cast<uint64_t>(status.uptime.count()));
    writeList(status.members, out.initMembers(static_cast<uint32_t>(status.members.size())));
    writeList(status.services, out.initServices(static_cast<uint32_t>(status.services.size())));
    out.setClaimedChunks(status.claimedChunks);
    out.setHoldsPlacementLease(status.holdsPlacementLease);
}

NodeStatus read(Schema::NodeStatus::Reader in)
{
    return {
        .nodeId = toString(in.getNodeId()),
        .region = toString(in.getRegion()),
        .failureDomain = toString(in.getFailureDomain()),
        .revision = in.getRevision(),
        .isReady = in.getReady(),
        .isStopping = in.getStopping(),
        .isPlatformReachable = in.getPlatformReachable(),
        .uptime = Milliseconds { in.getUptimeMs() },
        .members = readList(in.getMembers()),
        .services = readList(in.getServices()),
        .claimedChunks = in.getClaimedChunks(),
        .holdsPlacementLease = in.getHoldsPlacementLease(),
    };
}

void write(const EndpointStatus& endpoint, Schema::EndpointStatus::Builder out)
{
    out.setId(toText(endpoint.id));
    out.setAddress(toText(endpoint.address));
    out.setService(toText(endpoint.service));
    out.setRegion(toText(endpoint.region));
    out.setFailureDomain(toText(endpoint.failureDomain));
    out.setState(std::string(stateName(endpoint.state)).c_str());
    out.setOnlineInFlight(endpoint.onlineInFlight);
    out.setBatchInFlight(endpoint.batchInFlight);
    out.setLimit(endpoint.limit);
    out.setHealth(endpoint.health);
    out.setFirstTokenMs(endpoint.firstTokenMs);
    out.setTokenGapMs(endpoint.tokenGapMs);
}

EndpointStatus read(Schema::EndpointStatus::Reader in)
{
    return {
        .id = toString(in.getId()),
        .address = toString(in.getAddress()),
        .service = toString(in.getService()),
        .region = toString(in.getRegion()),
        .failureDomain = toString(in.getFailureDomain()),
        .state = parseState(endpointStateNames, in.getState()),
        .onlineInFlight = in.getOnlineInFlight(),
        .batchInFlight = in.getBatchInFlight(),
        .limit = in.getLimit(),
        .health = in.getHealth(),
        .firstTokenMs = in.getFirstTokenMs(),
        .tokenGapMs = in.getTokenGapMs(),
    };
}

void write(const RevisionInfo& summary, Schema::RevisionSummary::Builder out)
{
    out.setRevision(summary.revision);
    out.setAuthor(toText(summary.author));
    out.setRequestId(toText(summary.requestId));
    out.setAcceptedMs(toUnixMilliseconds(summary.accepted));
}

RevisionInfo read(Schema::RevisionSummary::Reader in)
{
    return {
        .revision = in.getRevision(),
        .author = toString(in.getAuthor()),
        .requestId = toString(in.getRequestId()),
        .accepted = fromUnixMilliseconds(in.getAcceptedMs()),
    };
}

void write(const JobSubmission& job, Schema::BatchJob::Builder out)
{
    out.setId(toText(job.id));
    out.setWorkspace(toText(job.workspace));
    out.setItems(kj::arrayPtr(reinterpret_cast<const kj::byte*>(job.items.data()), job.items.size()));
    out.setCompletionWindowMs(static_cast<uint64_t>(job.completionWindow.count()));
    out.setUnrepeatable(job.unrepeatable);
}

JobSubmission read(Schema::BatchJob::Reader in)
{
    const auto items = in.getItems().asChars();
    return {
        .id = toString(in.getId()),
        .workspace = toString(in.getWorkspace()),
        .items = std::string(items.begin(), items.size()),
        .unrepeatable = in.getUnrepeatable(),
        .completionWindow = Milliseconds { in.getCompletionWindowMs() },
    };
}

void write(const JobView& job, Schema::JobStatus::Builder out)
{
    out.setId(toText(job.id));
    out.setWorkspace(toText(job.workspace));
    out.setState(std::string(stateName(job.state)).c_str());
    out.setTotal(job.total);
    out.setCompleted(job.completed);
    out.setFailed(job.failed);
    out.setCreatedMs(toUnixMilliseconds(job.created));
    out.setDeadlineMs(toUnixMilliseconds(job.deadline));
}

JobView read(Schema::JobStatus::Reader in)
{
    return {
        .id = toString(in.getId()),
        .workspace = toString(in.getWorkspace()),
        .state = parseState(jobStateNames, in.getState()),
        .total = in.getTotal(),
        .completed = in.getCompleted(),
        .failed = in.getFailed(),
        .created = fromUnixMilliseconds(in.getCreatedMs()),
        .deadline = fromUnixMilliseconds(in.getDeadlineMs()),
    };
}

void write(const Event& event, Schema::TimelineEvent::Builder out)
{
    out.setWallMs(event.time.wallMilliseconds);
    out.setCounter(event.time.counter);
    out.setNode(toText(event.node));
    out.setFailureDomain(toText(event.failureDomain));
    out.setSubject(toText(event.subject));
    out.setAction(toText(event.action));
    out.setId(toText(event.id));
    out.setTraceId(toText(event.traceId));
    out.setDetails(QJsonDocument(event.details).toJson(QJsonDocument::Compact).constData());
}

Event read(Schema::TimelineEvent::Reader in)
{
    const auto details = in.getDetails();
    const QByteArray json(details.begin(), static_cast<qsizetype>(details.size()));
    return {
        .time = { in.getWallMs(), in.getCounter() },
        .node = toString(in.getNode()),
        .failureDomain = toString(in.getFailureDomain()),
        .subject = toString(in.getSubject()),
        .action = toString(in.getAction()),
        .id = toString(in.getId()),
        .traceId = toString(in.getTraceId()),
        .details = QJsonDocument::fromJson(json).object(),
    };
}

capnp::ReaderOptions operatorReaderOptions()
{
    capnp::ReaderOptions options;
    options.traversalLimitInWords = maxMessageBytes / sizeof(capnp::word);
    return options;
}

}

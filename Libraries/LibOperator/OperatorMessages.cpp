#include <LibOperator/OperatorMessages.h>

#include <LibCore/Error.h>

#include <QJsonDocument>

#include <algorithm>
#include <array>
#include <utility>

namespace Chicorydock {

namespace {

    constexpr uint64_t maxMessageBytes = 1024ULL * 1024 * 1024;

    template <typename State> using StateNames = std::pair<State, std::string_view>;

    constexpr std::array memberStates {
        StateNames<MemberUpdate::State> { MemberUpdate::State::Alive, "alive" },
        StateNames<MemberUpdate::State> { MemberUpdate::State::Suspect, "suspect" },
        StateNames<MemberUpdate::State> { MemberUpdate::State::Leaving, "leaving" },
        StateNames<MemberUpdate::State> { MemberUpdate::State::Dead, "dead" },
    };

    constexpr std::array endpointStates {
        StateNames<EndpointStatus::State> { EndpointStatus::State::Live, "live" },
        StateNames<EndpointStatus::State> { EndpointStatus::State::Leaving, "leaving" },
        StateNames<EndpointStatus::State> { EndpointStatus::State::Unreachable, "unreachable" },
    };

    constexpr std::array jobStates {
        StateNames<JobView::State> { JobView::State::InProgress, "in_progress" },
        StateNames<JobView::State> { JobView::State::Completed, "completed" },
        StateNames<JobView::State> { JobView::State::Cancelling, "cancelling" },
        StateNames<JobView::State> { JobView::State::Cancelled, "cancelled" },
    };

    template <typename Names, typename State> std::string_view nameOf(const Names& names, State state)
    {
        return std::ranges::find(names, state, &StateNames<State>::first)->second;
    }

    template <typename Names> auto stateOf(const Names& names, capnp::Text::Reader name)
    {
        const std::string_view text(name.begin(), name.size());
        const auto it = std::ranges::find(names, text, &Names::value_type::second);
        if (it == names.end())
            throw Error(ErrorKind::MalformedRequest, "unknown state \"" + std::string(text) + "\"");
        return it->first;
    }

    kj::StringPtr toText(const std::string& text) { return { text.c_str(), text.size() }; }

    std::string toString(capnp::Text::Reader text) { return { text.begin(), text.size() }; }

    template <typename ListBuilder> void writeTexts(const std::vector<std::string>& texts, ListBuilder list)
    {
        for (uint32_t n = 0; n < texts.size(); ++n)
            list.set(n, toText(texts[n]));
    }

    std::vector<std::string> readTexts(capnp::List<capnp::Text>::Reader list)
    {
        std::vector<std::string> texts;
        texts.reserve(list.size());
        for (const auto it : list)
            texts.push_back(toString(it));
        return texts;
    }

    Service::Kind readKind(Schema::Service::Kind kind)
    {
        switch (kind) {
        case Schema::Service::Kind::ENGINE:
            return Service::Kind::Engine;
        case Schema::Service::Kind::PLAIN:
            return Service::Kind::Plain;
        }
        throw Error(ErrorKind::MalformedRequest, "unknown kind of service");
    }

}

std::string_view stateName(MemberUpdate::State state) { return nameOf(memberStates, state); }

std::string_view stateName(EndpointStatus::State state) { return nameOf(endpointStates, state); }

std::string_view stateName(JobView::State state) { return nameOf(jobStates, state); }

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
        .state = stateOf(memberStates, in.getState()),
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

void write(const Service& service, Schema::Service::Builder out)
{
    out.setName(toText(service.name));
    out.setKind(service.kind == Service::Kind::Plain ? Schema::Service::Kind::PLAIN : Schema::Service::Kind::ENGINE);
    out.setChecksFencing(service.checksFencing);
    const auto routes = static_cast<uint32_t>(service.unrepeatableRoutes.size());
    writeTexts(service.unrepeatableRoutes, out.initUnrepeatableRoutes(routes));
    out.setFirstTokenTargetMs(service.firstTokenTargetMs);
    out.setTokenGapTargetMs(service.tokenGapTargetMs);
}

Service read(Schema::Service::Reader in)
{
    return {
        .name = toString(in.getName()),
        .kind = readKind(in.getKind()),
        .checksFencing = in.getChecksFencing(),
        .unrepeatableRoutes = readTexts(in.getUnrepeatableRoutes()),
        .firstTokenTargetMs = in.getFirstTokenTargetMs(),
        .tokenGapTargetMs = in.getTokenGapTargetMs(),
    };
}

void write(const Model& model, Schema::Model::Builder out)
{
    out.setName(toText(model.name));
    out.setService(toText(model.service));
    out.setVersion(toText(model.version));
    writeTexts(model.adapters, out.initAdapters(static_cast<uint32_t>(model.adapters.size())));
    out.setReplicasPerDomain(model.replicasPerDomain);
}

Model read(Schema::Model::Reader in)
{
    return {
        .name = toString(in.getName()),
        .service = toString(in.getService()),
        .version = toString(in.getVersion()),
        .adapters = readTexts(in.getAdapters()),
        .replicasPerDomain = in.getReplicasPerDomain(),
    };
}

void write(const Workspace& workspace, Schema::Workspace::Builder out)
{
    out.setName(toText(workspace.name));
    writeTexts(workspace.keyDigests, out.initKeyDigests(static_cast<uint32_t>(workspace.keyDigests.size())));
    out.setWorth(workspace.worth);
    out.setMaxInFlight(workspace.maxInFlight);
}

Workspace read(Schema::Workspace::Reader in)
{
    return {
        .name = toString(in.getName()),
        .keyDigests = readTexts(in.getKeyDigests()),
        .worth = in.getWorth(),
        .maxInFlight = in.getMaxInFlight(),
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
        .state = stateOf(endpointStates, in.getState()),
        .onlineInFlight = in.getOnlineInFlight(),
        .batchInFlight = in.getBatchInFlight(),
        .limit = in.getLimit(),
        .health = in.getHealth(),
        .firstTokenMs = in.getFirstTokenMs(),
        .tokenGapMs = in.getTokenGapMs(),
    };
}

void write(const Configuration& configuration, Schema::Configuration::Builder out)
{
    out.setRevision(configuration.revision);
    out.setRequestId(toText(configuration.requestId));
    out.setAuthor(toText(configuration.author));
    writeList(configuration.services, out.initServices(static_cast<uint32_t>(configuration.services.size())));
    writeList(configuration.models, out.initModels(static_cast<uint32_t>(configuration.models.size())));
    writeList(configuration.workspaces, out.initWorkspaces(static_cast<uint32_t>(configuration.workspaces.size())));
}

Configuration read(Schema::Configuration::Reader in)
{
    return {
        .revision = in.getRevision(),
        .requestId = toString(in.getRequestId()),
        .author = toString(in.getAuthor()),
        .services = readList(in.getServices()),
        .models = readList(in.getModels()),
        .workspaces = readList(in.getWorkspaces()),
    };
}

void write(const RevisionSummary& summary, Schema::RevisionSummary::Builder out)
{
    out.setRevision(summary.revision);
    out.setAuthor(toText(summary.author));
    out.setRequestId(toText(summary.requestId));
    out.setAcceptedMs(toUnixMilliseconds(summary.accepted));
}

RevisionSummary read(Schema::RevisionSummary::Reader in)
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
        .state = stateOf(jobStates, in.getState()),
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

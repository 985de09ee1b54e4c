#pragma once

#include <LibBatch/JobService.h>
#include <LibConfiguration/ConfigurationStore.h>
#include <LibLog/EventLog.h>
#include <LibOperator/OperatorTypes.h>
#include <Schema/Operator.capnp.h>

#include <capnp/message.h>

#include <string_view>

namespace Chicorydock {

/// Conversions between the value types of the operator interface and their Cap'n Proto structs; those of a
/// configuration are in LibConfiguration. `read()` throws Error(MalformedRequest) on a state that is unknown to this
/// version. May be called from any thread.
void write(const MemberUpdate&, Schema::MemberStatus::Builder);
void write(const ServiceStatus&, Schema::ServiceStatus::Builder);
void write(const NodeStatus&, Schema::NodeStatus::Builder);
void write(const EndpointStatus&, Schema::EndpointStatus::Builder);
void write(const RevisionInfo&, Schema::RevisionSummary::Builder);
void write(const JobSubmission&, Schema::BatchJob::Builder);
void write(const JobView&, Schema::JobStatus::Builder);
void write(const Event&, Schema::TimelineEvent::Builder);

MemberUpdate read(Schema::MemberStatus::Reader);
ServiceStatus read(Schema::ServiceStatus::Reader);
NodeStatus read(Schema::NodeStatus::Reader);
EndpointStatus read(Schema::EndpointStatus::Reader);
RevisionInfo read(Schema::RevisionSummary::Reader);
JobSubmission read(Schema::BatchJob::Reader);
JobView read(Schema::JobStatus::Reader);
Event read(Schema::TimelineEvent::Reader);

/// Names of states on the wire and in the output of the command-line tool.
std::string_view stateName(MemberUpdate::State);
std::string_view stateName(EndpointStatus::State);

/// Converts a list of structs with `write()` or `read()`.
template <typename Value, typename ListBuilder> void writeList(const std::vector<Value>& values, ListBuilder list)
{
    for (uint32_t n = 0; n < values.size(); ++n)
        write(values[n], list[n]);
}

template <typename ListReader> auto readList(ListReader list)
{
    std::vector<decltype(read(list[0]))> values;
    values.reserve(list.size());
    for (const auto it : list)
        values.push_back(read(it));
    return values;
}

/// Limits for reading messages of the operator interface. A job of 200,000 items is larger than Cap'n Proto's default
/// limit of 64 MiB, so the RPC port that serves `OperatorServer` has to use these options, too.
capnp::ReaderOptions operatorReaderOptions();

}

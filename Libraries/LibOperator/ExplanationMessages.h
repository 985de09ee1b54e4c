#pragma once

#include <LibGateway/RequestExplanation.h>
#include <Schema/Operator.capnp.h>

#include <string_view>

namespace Chicorydock {

/// Conversions between the explanation of a request and its Cap'n Proto structs. `read()` throws
/// Error(MalformedRequest) on a name that is unknown to this version. May be called from any thread.
void write(const QuotaView&, Schema::QuotaView::Builder);
void write(const EndpointEvaluation&, Schema::EndpointEvaluation::Builder);
void write(const ServiceExplanation&, Schema::ServiceExplanation::Builder);
void write(const RequestExplanation&, Schema::RequestExplanation::Builder);

QuotaView read(Schema::QuotaView::Reader);
EndpointEvaluation read(Schema::EndpointEvaluation::Reader);
ServiceExplanation read(Schema::ServiceExplanation::Reader);
RequestExplanation read(Schema::RequestExplanation::Reader);

/// Returns the name of the reason on the wire and in the output of the command-line tool.
std::string_view refusalName(RefusalReason);

}

#pragma once

#include <LibGateway/GatewayEnvironment.h>

#include <optional>
#include <string>

namespace Chicorydock {

/// Returns the endpoint of a run that has just ended, if the same work may be sent to it once more in the slot that it
/// still has. It may not if the endpoint is leaving, offers something else now, or limits its rate, because requests
/// to such an endpoint have to be granted one by one. `softwareVersion` is the one that the work needs, if any.
///
/// Thread safety: used on the I/O thread.
std::optional<EndpointRecord> endpointForFurtherRun(const GatewayEnvironment&, const std::string& endpoint,
    const std::string& service, const std::optional<std::string>& softwareVersion, const EndpointAnswerHead&);

}

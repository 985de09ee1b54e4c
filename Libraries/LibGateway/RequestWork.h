#pragma once

#include <LibGateway/GatewayConfiguration.h>
#include <LibGateway/SlotTypes.h>
#include <LibGateway/WireFormat.h>

namespace Chicorydock {

/// Returns how long a request may take: the caller's deadline, or the limit of the operator if that is shorter. May be
/// called from any thread.
Milliseconds timeLimit(const ForwardRequest&, const GatewayRoute&);

/// Returns the latest start at which the first byte usually comes within the target, for a caller that waits since that
/// time. May be called from any thread.
MonotonicTime latestStart(Milliseconds target, MonotonicTime since);

/// Returns the first attempt of a request as work for a slot of the service. Its identifier and the excluded endpoints
/// are not set. May be called from any thread.
OnlineWork makeOnlineWork(
    const ForwardRequest&, const GatewayRoute&, const std::string& service, MonotonicTime arrival);

}

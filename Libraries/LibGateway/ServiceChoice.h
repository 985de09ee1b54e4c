#pragma once

#include <LibGateway/EndpointDirectory.h>
#include <LibGateway/GatewayConfiguration.h>

#include <string>

namespace Chicorydock {

/// Selects a service of the route for new work, as `chooseService()` does, but only among those that endpoints offer
/// now, as long as there are any.
std::string chooseOfferedService(const GatewayRoute&, const EndpointDirectory&, double draw);

/// Returns whether work of the route that is queued for the service may stay there: the route leads to it, and
/// endpoints offer it or none of the route's services. Load: services that lose their last endpoint, and routes that
/// move, while work waits.
bool mayWaitFor(const std::string& service, const GatewayRoute&, const EndpointDirectory&);

}

#pragma once

#include <LibCore/Error.h>
#include <LibGateway/GatewayEnvironment.h>

#include <variant>

namespace Chicorydock {

/// Returns the route of a request by the present configuration, or why the request is refused without one: UnknownRoute
/// if there is none, and NotReady, which callers retry, if this node has no configuration yet or a peer has a newer one
/// that may hold the route. The route is valid as long as the configuration. Precondition: called on the I/O thread.
std::variant<const GatewayRoute*, Error> findRoute(const GatewayEnvironment&, const ForwardRequest&);

}

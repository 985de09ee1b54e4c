#include <LibGateway/RouteLookup.h>

namespace Chicorydock {

namespace {

    /// Time in which a node usually receives a newer configuration.
    constexpr Milliseconds configurationRetryAfter { 500 };

}

std::variant<const GatewayRoute*, Error> findRoute(const GatewayEnvironment& environment, const ForwardRequest& request)
{
    const GatewayConfiguration& configuration = *environment.configuration;
    if (configuration.version == 0)
        return Error(ErrorKind::NotReady, "no configuration has been received yet", configurationRetryAfter);
    if (const GatewayRoute* route = configuration.findRoute(request.host, request.path))
        return route;
    if (environment.isConfigurationOutdated())
        return Error(ErrorKind::NotReady, "the route is not known here yet", configurationRetryAfter);
    return Error(ErrorKind::UnknownRoute, "no route matches the request");
}

}

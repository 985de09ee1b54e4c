#include <LibGateway/OriginLookup.h>

#include <algorithm>
#include <optional>
#include <utility>

namespace Chicorydock {

namespace {

    /// Delay after which the store may be reachable again, or another node that reaches it is asked.
    constexpr Milliseconds originRetryAfter { 300 };

    /// Returns where a stream began if only one origin is possible.
    std::optional<StreamOrigin> onlyPossibleOrigin(
        const GatewayEnvironment& environment, const GatewayRoute& route, const std::string& service)
    {
        const auto services = environment.directory.softwareVersions();
        const auto versions = services.find(service);
        if (route.shares.size() != 1 || versions == services.end() || versions->second.size() != 1)
            return {};
        const std::string& softwareVersion = versions->second.begin()->first;
        if (environment.origins.defaultVersion(service) != softwareVersion)
            return {};
        return StreamOrigin { service, softwareVersion };
    }

    Error unknownNow()
    {
        return { ErrorKind::PlatformUnavailable, "the store does not tell where the stream began", originRetryAfter };
    }

    OriginResult checkOrigin(const GatewayRoute& route, const std::optional<StreamOrigin>& origin)
    {
        if (!origin)
            return Error(ErrorKind::StreamNotResumable, "it is not known which software version began the stream");
        if (std::ranges::find(route.shares, origin->service, &ServiceShare::service) == route.shares.end())
            return Error(
                ErrorKind::StreamNotResumable, "the route no longer leads to the service that began the stream");
        return *origin;
    }

    /// Replies with the only possible origin of a stream that its caller does not name. This node may be out of step:
    /// endpoints of another version may have joined, and may have begun the stream, without its knowledge. So its views
    /// are brought up to date first.
    void lookUpUnnamed(GatewayEnvironment& environment, const GatewayRoute& route, const std::string& service,
        std::function<void(const OriginResult&)> reply)
    {
        const auto decide
            = [&environment, route, service, reply](const StoreResult<std::optional<std::string>>& result) {
                  if (std::holds_alternative<StoreFailure>(result))
                      reply(unknownNow());
                  else
                      reply(checkOrigin(route, onlyPossibleOrigin(environment, route, service)));
              };
        environment.endpointView.refresh([&environment, service, reply, decide](bool isCurrent) {
            if (isCurrent)
                environment.origins.readDefault(service, decide);
            else
                reply(unknownNow());
        });
    }

}

void lookUpOrigin(GatewayEnvironment& environment, const GatewayRoute& route, const std::string& service,
    const std::string& firstAttempt, std::function<void(const OriginResult&)> reply)
{
    if (firstAttempt.empty()) {
        lookUpUnnamed(environment, route, service, std::move(reply));
        return;
    }
    // Without a record, a stream of a route with several services may have begun at any of them.
    const bool isOneService = route.shares.size() == 1;
    environment.origins.find(firstAttempt, isOneService ? std::optional(service) : std::nullopt,
        [route, reply = std::move(reply)](const StoreResult<std::optional<StreamOrigin>>& result) {
            if (std::holds_alternative<StoreFailure>(result))
                reply(unknownNow());
            else
                reply(checkOrigin(route, std::get<std::optional<StreamOrigin>>(result)));
        });
}

}

#include <LibGateway/CallerAuthentication.h>

#include <algorithm>

namespace Chicorydock {

namespace {

    /// Time in which a node usually receives a newer configuration.
    constexpr Milliseconds configurationRetryAfter { 500 };

    void countRefusal(const GatewayEnvironment& environment, const char* reason)
    {
        environment.metrics
            .counter("chicorydock_unauthenticated_total", "Requests whose caller was not identified, by reason.",
                { { "reason", reason } })
            .add(1);
    }

}

std::variant<CallerIdentity, Error> identifyCaller(
    const GatewayEnvironment& environment, const QByteArray& key, bool allowsAnonymous)
{
    const GatewayConfiguration& configuration = *environment.configuration;
    if (configuration.version == 0)
        return Error(ErrorKind::NotReady, "no configuration has been received yet", configurationRetryAfter);
    if (!configuration.hasWorkspaces)
        return CallerIdentity {};
    if (key.isEmpty() && allowsAnonymous)
        return CallerIdentity { .workspace = std::string(), .priority = {} };
    if (!key.isEmpty()) {
        if (const auto found = environment.keys().find(key)) {
            const GatewayWorkspace& workspace = configuration.workspaces[*found];
            return CallerIdentity { workspace.limits.name, workspace.priority };
        }
    }
    // A route without a key may be new as well.
    if (environment.isConfigurationCurrent && !environment.isConfigurationCurrent())
        return Error(ErrorKind::NotReady, "a newer configuration may hold the key", configurationRetryAfter);
    return Error(ErrorKind::Unauthorized,
        key.isEmpty() ? "the request has no key" : "no workspace of the configuration holds the key");
}

std::variant<CallerIdentity, Error> authenticateCaller(
    const GatewayEnvironment& environment, const QByteArray& key, bool allowsAnonymous)
{
    std::variant<CallerIdentity, Error> result = identifyCaller(environment, key, allowsAnonymous);
    const auto* error = std::get_if<Error>(&result);
    if (!error || environment.configuration->version == 0)
        return result;
    if (error->kind() == ErrorKind::NotReady)
        countRefusal(environment, "configuration_outdated");
    else
        countRefusal(environment, key.isEmpty() ? "no_key" : "unknown_key");
    return result;
}

CallerIdentity identityOf(const GatewayConfiguration& configuration, const std::string& workspace)
{
    const auto it = std::ranges::find(
        configuration.workspaces, workspace, [](const GatewayWorkspace& known) { return known.limits.name; });
    return { workspace, it == configuration.workspaces.end() ? std::nullopt : it->priority };
}

}

#pragma once

#include <LibCore/Error.h>
#include <LibGateway/GatewayConfiguration.h>
#include <LibGateway/GatewayEnvironment.h>
#include <LibGateway/StreamOrigin.h>

#include <functional>
#include <string>
#include <variant>

namespace Chicorydock {

/// Where a stream began, or why the request to resume it must be refused.
using OriginResult = std::variant<StreamOrigin, Error>;

/// Finds out where the stream began that a request on the route resumes. `firstAttempt` names the attempt that brought
/// its first event, empty if the caller names none; `service` is the one that the route would choose for a new request.
/// The reply may follow during the call or later, on the thread of the environment.
void lookUpOrigin(GatewayEnvironment&, const GatewayRoute&, const std::string& service, const std::string& firstAttempt,
    std::function<void(const OriginResult&)> reply);

}

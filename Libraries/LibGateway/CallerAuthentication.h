#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Error.h>
#include <LibGateway/CallerIdentity.h>
#include <LibGateway/GatewayEnvironment.h>

#include <QByteArray>

#include <string>
#include <variant>

namespace Chicorydock {

/// Identifies the caller that presents the key, by the present configuration. Returns Unauthorized if the caller must
/// not be served, and NotReady, which callers retry, if a newer configuration may hold the key: this node has none, a
/// peer has a newer one, or this node does not reach the source of the configuration. An unknown key is refused also
/// where callers need none. Precondition: called on the I/O thread.
std::variant<CallerIdentity, Error> identifyCaller(
    const GatewayEnvironment&, const QByteArray& key, bool allowsAnonymous);

/// The same for the caller of a request that is to be served: counts refusals in the metrics.
std::variant<CallerIdentity, Error> authenticateCaller(
    const GatewayEnvironment&, const QByteArray& key, bool allowsAnonymous);

/// Returns the identity of a caller that a peer has authenticated.
CallerIdentity identityOf(const GatewayConfiguration&, const std::string& workspace);

}

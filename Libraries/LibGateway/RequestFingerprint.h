#pragma once

#include <LibHTTP/HttpMessage.h>

#include <optional>
#include <string>

namespace Chicorydock {

/// Returns an identifier of what a request asks for and who asks: requests with the same method, host, target, body and
/// credentials have the same one, whatever their other fields are. If the workspace of the caller is known, its name
/// stands for the credentials: identifiers are logged and sent to peers, and nothing of a key may be. May be called
/// from any thread.
std::string requestFingerprint(const HttpRequest&, const std::optional<std::string>& workspace = {});

}

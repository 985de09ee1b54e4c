#pragma once

#include <LibHTTP/HttpMessage.h>

#include <string>

namespace Chicorydock {

/// Returns an identifier of what a request asks for and who asks: requests with the same method, host, target, body and
/// credentials have the same one, whatever their other fields are. It reveals neither body nor credentials. May be
/// called from any thread.
std::string requestFingerprint(const HttpRequest&);

}

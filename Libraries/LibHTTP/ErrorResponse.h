#pragma once

#include <LibCore/Error.h>
#include <LibHTTP/HttpMessage.h>

#include <string_view>

namespace Chicorydock {

/// Returns the answer that tells a caller of `error`: status, JSON body and `Retry-After` as the error table says, and
/// `X-Trace-Id` unless `traceId` is empty. May be called from any thread.
HttpResponse errorResponse(const Error& error, std::string_view traceId = {});

}

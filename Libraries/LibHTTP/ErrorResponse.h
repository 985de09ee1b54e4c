#pragma once

#include <LibCore/Error.h>
#include <LibHTTP/HttpMessage.h>

#include <string_view>

namespace Chicorydock {

/// Returns the response that reports `error` to a caller: status, JSON body and `Retry-After` according to the error
/// table, and `X-Trace-Id` unless `traceId` is empty. May be called from any thread.
HttpResponse errorResponse(const Error& error, std::string_view traceId = {});

}

#pragma once

#include <LibCore/ErrorKind.h>

#include <span>
#include <string_view>

namespace Chicorydock {

/// Describes the response to one kind of error.
struct ErrorRow {
    ErrorKind kind;
    /// Stable name in responses, logs and metrics.
    std::string_view name;
    /// HTTP status of the response.
    int httpStatus;
    /// Whether the same request may succeed later, unchanged.
    bool retryable;
    /// Whether the request is known not to have run: no byte of it was sent to an endpoint.
    bool notRun;
    /// Whether the response includes a retry delay (`Retry-After`).
    bool sendsRetryAfter;
};

/// Returns one row for each kind, in the order of the enumeration. May be called from any thread.
std::span<const ErrorRow> errorTable();

/// Returns the row of `kind`. May be called from any thread.
const ErrorRow& errorRow(ErrorKind kind);

/// Returns the row with the given name, or null if there is none. May be called from any thread.
const ErrorRow* findErrorRow(std::string_view name);

}

#pragma once

#include <LibCore/ErrorKind.h>

#include <span>
#include <string_view>

namespace Chicorydock {

/// The answer to one kind of error.
struct ErrorRow {
    ErrorKind kind;
    /// Stable name in answers, logs and metrics.
    std::string_view name;
    /// HTTP status of the answer.
    int httpStatus;
    /// Whether the same request may succeed later without a change.
    bool retryable;
    /// Whether the request certainly did not run: no byte of it was handed to an endpoint.
    bool notRun;
    /// Whether the answer tells the caller when to come back (`Retry-After`).
    bool sendsRetryAfter;
};

/// Returns one row for each kind, in the order of the enumeration. May be called from any thread.
std::span<const ErrorRow> errorTable();

/// Returns the row of `kind`. May be called from any thread.
const ErrorRow& errorRow(ErrorKind kind);

/// Returns the row with that name, or null. May be called from any thread.
const ErrorRow* findErrorRow(std::string_view name);

}

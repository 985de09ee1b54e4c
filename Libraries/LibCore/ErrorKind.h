#pragma once

#include <cstdint>

namespace Chicorydock {

/// The closed list of errors that cross a module boundary or reach a caller. `errorTable()` gives the answer to each.
enum class ErrorKind : uint8_t {
    MalformedRequest,
    UnsupportedMethod,
    UnknownRoute,
    UnknownModel,
    UnknownService,
    NotFound,
    Unauthorized,
    BodyTooLarge,
    HeaderTooLarge,
    RequestTimeout,
    Overloaded,
    DeadlineUnattainable,
    NoEndpoint,
    NotReady,
    ShuttingDown,
    PlatformUnavailable,
    InvalidConfiguration,
    Conflict,
    CallInProgress,
    KeyReused,
    DeadlineExceeded,
    EndpointFailed,
    EndpointRejected,
    MayHaveRun,
    OutcomeUnknown,
    Cancelled,
    Internal,
};

}

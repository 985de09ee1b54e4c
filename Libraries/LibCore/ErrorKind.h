#pragma once

#include <cstdint>

namespace Chicorydock {

/// All errors that cross a module boundary or reach a caller. `errorTable()` describes the response to each.
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
    QuotaExceeded,
    DeadlineUnattainable,
    NoEndpoint,
    NotReady,
    ShuttingDown,
    PlatformUnavailable,
    PromptQuarantined,
    StreamNotResumable,
    MemoryExhausted,
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

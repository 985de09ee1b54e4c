#include <LibCore/ErrorTable.h>

#include <algorithm>
#include <array>
#include <cassert>

namespace Chicorydock {

namespace {

    constexpr std::array rows {
        //       kind                            name                   status retryable notRun sendsRetryAfter
        ErrorRow { ErrorKind::MalformedRequest, "malformed_request", 400, false, true, false },
        ErrorRow { ErrorKind::UnsupportedMethod, "unsupported_method", 405, false, true, false },
        ErrorRow { ErrorKind::UnknownRoute, "unknown_route", 404, false, true, false },
        ErrorRow { ErrorKind::UnknownModel, "unknown_model", 404, false, true, false },
        ErrorRow { ErrorKind::UnknownService, "unknown_service", 404, false, true, false },
        ErrorRow { ErrorKind::NotFound, "not_found", 404, false, true, false },
        ErrorRow { ErrorKind::Unauthorized, "unauthorized", 401, false, true, false },
        ErrorRow { ErrorKind::BodyTooLarge, "body_too_large", 413, false, true, false },
        ErrorRow { ErrorKind::HeaderTooLarge, "header_too_large", 431, false, true, false },
        ErrorRow { ErrorKind::RequestTimeout, "request_timeout", 408, true, true, false },
        ErrorRow { ErrorKind::Overloaded, "overloaded", 429, true, true, true },
        ErrorRow { ErrorKind::QuotaExceeded, "quota_exceeded", 429, true, true, true },
        ErrorRow { ErrorKind::DeadlineUnattainable, "deadline_unattainable", 503, true, true, true },
        ErrorRow { ErrorKind::NoEndpoint, "no_endpoint", 503, true, true, true },
        ErrorRow { ErrorKind::NotReady, "not_ready", 503, true, true, true },
        ErrorRow { ErrorKind::ShuttingDown, "shutting_down", 503, true, true, true },
        ErrorRow { ErrorKind::PlatformUnavailable, "platform_unavailable", 503, true, true, true },
        ErrorRow { ErrorKind::PromptQuarantined, "prompt_quarantined", 503, true, true, true },
        ErrorRow { ErrorKind::StreamNotResumable, "stream_not_resumable", 503, false, true, false },
        ErrorRow { ErrorKind::MemoryExhausted, "memory_exhausted", 503, true, true, true },
        ErrorRow { ErrorKind::InvalidConfiguration, "invalid_configuration", 400, false, true, false },
        ErrorRow { ErrorKind::Conflict, "conflict", 409, false, true, false },
        ErrorRow { ErrorKind::CallInProgress, "call_in_progress", 409, true, false, true },
        ErrorRow { ErrorKind::KeyReused, "key_reused", 422, false, true, false },
        ErrorRow { ErrorKind::DeadlineExceeded, "deadline_exceeded", 504, true, false, true },
        ErrorRow { ErrorKind::EndpointFailed, "endpoint_failed", 502, true, false, true },
        ErrorRow { ErrorKind::EndpointRejected, "endpoint_rejected", 400, false, false, false },
        ErrorRow { ErrorKind::MayHaveRun, "may_have_run", 502, false, false, false },
        ErrorRow { ErrorKind::OutcomeUnknown, "outcome_unknown", 503, true, false, true },
        ErrorRow { ErrorKind::Cancelled, "cancelled", 499, false, false, false },
        ErrorRow { ErrorKind::Internal, "internal", 500, false, false, false },
    };

    constexpr bool isOrdered()
    {
        for (size_t n = 0; n < rows.size(); ++n) {
            if (rows[n].kind != static_cast<ErrorKind>(n))
                return false;
        }
        return rows.size() == static_cast<size_t>(ErrorKind::Internal) + 1;
    }
    static_assert(isOrdered(), "the table must have one row for each kind, in the order of the enumeration");

}

std::span<const ErrorRow> errorTable() { return rows; }

const ErrorRow& errorRow(ErrorKind kind)
{
    assert(static_cast<size_t>(kind) < rows.size());
    return rows[static_cast<size_t>(kind)];
}

const ErrorRow* findErrorRow(std::string_view name)
{
    const auto it = std::ranges::find(rows, name, &ErrorRow::name);
    return it == rows.end() ? nullptr : &*it;
}

}

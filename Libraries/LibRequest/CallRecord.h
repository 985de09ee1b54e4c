#pragma once

#include <LibHTTP/HttpMessage.h>

#include <optional>
#include <string>

namespace Chicorydock {

/// The durable record of a call that carries an idempotency key.
struct CallRecord {
    enum class State : uint8_t {
        /// The call may have been sent to an endpoint.
        Started,
        /// The response of the call is stored, and every resend gets it.
        Answered,
        /// The call was sent, but its outcome cannot be determined.
        MayHaveRun,
    };

    State state { State::Started };
    /// Identifies the attempt that wrote the record, so that a node recognises its own write if the response was lost.
    std::string writeToken;
    /// SHA-256 digest of method, path, query and body, which detects that a key is reused for another call.
    std::string digest;
    bool isUnrepeatable { false };
    /// Time by which the call has ended, whatever its outcome, in milliseconds since the Unix epoch.
    int64_t deadlineMs { 0 };
    std::optional<HttpResponse> answer;

    bool operator==(const CallRecord&) const = default;

    /// Returns the value of the table row.
    std::string toRow() const;
    /// Throws Error(Internal) if the row is not a call record.
    static CallRecord fromRow(const std::string&);
};

}

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
        /// The call has an answer, which every resend gets.
        Answered,
        /// The call was sent, and its outcome cannot be known.
        MayHaveRun,
    };

    State state { State::Started };
    /// Identifies the attempt to insert the record, to recognise an own write whose response was lost.
    std::string token;
    /// SHA-256 digest of method, path and body; a key must not be used again for another call.
    std::string digest;
    bool isUnrepeatable { false };
    /// When the call is over, whatever became of it, in milliseconds since the Unix epoch.
    int64_t deadlineMs { 0 };
    std::optional<HttpResponse> answer;

    bool operator==(const CallRecord&) const = default;

    /// Returns the value of the row.
    std::string toRow() const;
    /// Throws Error(Internal) if the row is not a record.
    static CallRecord fromRow(const std::string&);
};

}

#pragma once

#include <LibGateway/EndpointRecord.h>
#include <LibGateway/GatewayConfiguration.h>
#include <LibGateway/JobTypes.h>
#include <LibGateway/SlotScheduler.h>
#include <LibHTTP/HttpMessage.h>

#include <optional>
#include <string>

namespace Chicorydock {

/// A request of a caller to forward.
struct ForwardRequest {
    /// Identifier that the caller gave this attempt.
    std::string id;
    std::string host;
    /// Path without query, as it was sent.
    std::string path;
    /// How long the caller waits.
    std::optional<Milliseconds> deadline;
    /// Event after which the caller wants a stream to go on.
    std::optional<uint64_t> lastEventId;
};

/// What the head of an endpoint's answer tells.
struct EndpointAnswerHead {
    int status { 0 };
    /// The endpoint states that it did not run the request.
    bool isNotRun { false };
    /// Another endpoint has the address.
    bool isOtherEndpoint { false };
    /// Whether the endpoint vouches for the answer.
    bool isSigned { false };
    /// Load of the endpoint, if stated.
    std::optional<ObservedLoad> load;

    /// Returns whether the answer claims a success for which no endpoint vouches.
    bool isUnvouchedSuccess() const { return status >= 200 && status < 300 && !isSigned; }

    auto operator<=>(const EndpointAnswerHead&) const = default;
};

/// A call about a job, beside its submission.
struct JobCall {
    enum class Kind : uint8_t {
        ReadResults,
        ReadItem,
        EndJob,
    };

    Kind kind { Kind::ReadResults };
    std::string jobId;
    std::string itemId;
    /// First position to return.
    size_t after { 0 };
    /// How long the caller waits for a result.
    Milliseconds wait { 0 };

    auto operator<=>(const JobCall&) const = default;
};

/// Translates between the formats of a deployment and the values of this library. It decides nothing.
///
/// Thread safety: all methods may be called from any thread. Methods that decode return nothing for input that they
/// cannot read.
class WireFormat {
public:
    virtual ~WireFormat() = default;

    virtual std::string configurationTable() const = 0;
    virtual std::string configurationKey() const = 0;
    virtual std::string endpointTable() const = 0;
    virtual std::optional<GatewayConfiguration> decodeConfiguration(const QByteArray& document) const = 0;
    virtual std::optional<EndpointRecord> decodeEndpoint(const std::string& id, const QByteArray& document) const = 0;

    virtual bool isReadinessCall(const HttpRequest&) const = 0;
    virtual std::optional<JobCall> decodeJobCall(const HttpRequest&) const = 0;
    virtual ForwardRequest decodeRequest(const HttpRequest&) const = 0;

    /// Returns the items of a submitted job, or nothing if the body is malformed.
    virtual std::optional<SubmittedJob> decodeSubmission(const HttpRequest&) const = 0;

    /// Returns the header fields for an endpoint. `deadline` is the time that is left; nothing leaves it out.
    virtual HttpHeaders endpointHeaders(const HttpHeaders& caller, const std::string& endpointId,
        std::optional<Milliseconds> deadline, std::optional<uint64_t> lastEventId) const = 0;

    /// Returns the header fields for an endpoint that runs an item. The parameters are those of `endpointHeaders()`.
    virtual HttpHeaders itemHeaders(const JobItem&, const std::string& host, const std::string& endpointId,
        std::optional<uint64_t> lastEventId) const = 0;

    /// Returns the field of a request that its answer repeats.
    virtual QByteArray requestIdField() const = 0;

    virtual EndpointAnswerHead decodeAnswerHead(int status, const HttpHeaders&) const = 0;

    virtual HttpResponse errorAnswer(const Error&, const std::string& requestId) const = 0;
    virtual HttpResponse acceptedAnswer() const = 0;
    virtual HttpResponse resultsAnswer(const JobResultPage&) const = 0;
};

}

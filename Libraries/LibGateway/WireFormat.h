#pragma once

#include <LibGateway/CallerIdentity.h>
#include <LibGateway/EndpointRecord.h>
#include <LibGateway/GatewayConfiguration.h>
#include <LibGateway/JobTypes.h>
#include <LibGateway/SlotTypes.h>
#include <LibHTTP/HttpMessage.h>

#include <optional>
#include <string>
#include <vector>

namespace Chicorydock {

/// Header field of a request that a node has a peer forward. Such a request is not handed over once more.
inline const QByteArray relayField = "Chicorydock-Relay";

/// Header field of such a request: `=` and the name of the workspace of its caller, which is empty for an anonymous
/// one. Counts only on the address for peers, since callers may send it too.
inline const QByteArray relayedWorkspaceField = "Chicorydock-Workspace";

/// Header field of the response to such a request: the endpoint that it comes from.
inline const QByteArray relayedEndpointField = "Chicorydock-Endpoint";

/// A request of a caller that is to be forwarded.
struct ForwardRequest {
    /// Identifier that the caller gave this attempt.
    std::string id;
    std::string host;
    /// Path without the query, not decoded.
    std::string path;
    /// Time for which the caller waits for the response.
    std::optional<Milliseconds> deadline;
    /// Last event that the caller has received, after which the stream should resume.
    std::optional<uint64_t> lastEventId;
    /// Identifier of the attempt that brought the first event of the stream to resume, empty if the caller names none.
    std::string resumes;
    /// Identifiers of the parts of the prompt that other requests may have too, in order. Empty if there is no prompt.
    std::vector<std::string> promptParts;
    /// Key that the caller presents, empty if it presents none.
    QByteArray key;
    /// The workspace follows from the key and is not set by the decoder.
    WorkProfile profile;
    /// Follows from the key and is not set by the decoder, see `setCaller()`.
    CallerIdentity caller {};
    /// Whether a peer handed the request over. Not set by the decoder, since callers may send the field of peers too.
    bool isFromPeer { false };

    /// Sets the caller, and with it the workspace of the profile.
    void setCaller(const CallerIdentity& identity)
    {
        caller = identity;
        profile.workspace = identity.workspace.value_or("");
    }
};

/// Status line and header fields of an endpoint's response, decoded.
struct EndpointAnswerHead {
    int status { 0 };
    /// Whether the endpoint states that it did not run the request.
    bool isNotRun { false };
    /// Whether the endpoint refuses the request as not meant for it: the address belongs to another endpoint than the
    /// intended one, or a condition that the caller has stated does not hold.
    bool isMisdirected { false };
    /// Identifier of the endpoint that responds, if it states it.
    std::optional<std::string> instance;
    /// Whether the response carries the endpoint's signature.
    bool isSigned { false };
    /// Whether the endpoint states that it is draining and should be sent no further requests.
    bool isLeaving { false };
    /// Load of the endpoint, if reported.
    std::optional<ObservedLoad> load;
    /// Requests per second that the endpoint takes from all nodes together, `unlimitedRate` if it states no limit.
    /// Empty if the response does not tell, because the statement is malformed or the response is not the endpoint's.
    std::optional<double> rateLimit;

    /// Returns whether the response has a success status but no signature of an endpoint.
    bool isUnsignedSuccess() const { return status >= 200 && status < 300 && !isSigned; }

    auto operator<=>(const EndpointAnswerHead&) const = default;
};

/// A call concerning a job, other than its submission.
struct JobCall {
    enum class Kind : uint8_t {
        ReadResults,
        ReadItem,
        EndJob,
    };

    Kind kind { Kind::ReadResults };
    std::string jobId;
    std::string itemId;
    /// Position of the first result to return.
    size_t after { 0 };
    /// Time for which the caller waits for a result.
    Milliseconds wait { 0 };

    auto operator<=>(const JobCall&) const = default;
};

/// Translates between the wire formats of a deployment and the types of this library. It contains no policy.
///
/// Methods that decode return nothing for malformed input.
///
/// Thread safety: all methods may be called from any thread.
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

    /// Returns the identifiers of the parts of a prompt that other requests may have too, from the fields of a request
    /// or an item.
    virtual std::vector<std::string> promptParts(const HttpHeaders&) const = 0;

    /// Returns how much work a request or an item is, from its fields. The workspace is not set.
    virtual WorkProfile workProfile(const HttpHeaders&) const = 0;

    /// Returns whether the fields of a request or an item state a condition that has nothing to do with the identity of
    /// the endpoint, and for which it may refuse the request as misdirected.
    virtual bool hasCondition(const HttpHeaders&) const = 0;

    /// Returns the items of a submitted job, or nothing if the body is malformed.
    virtual std::optional<SubmittedJob> decodeSubmission(const HttpRequest&) const = 0;

    /// Returns the header fields of a request to an endpoint. `deadline` is the remaining time; without it, the field
    /// is omitted. With a workspace, the fields of the key and of the workspace are not those of the caller: the
    /// endpoint is told the workspace, or nothing if it is empty.
    virtual HttpHeaders endpointHeaders(const HttpHeaders& caller, const std::string& endpointId,
        std::optional<Milliseconds> deadline, std::optional<uint64_t> lastEventId,
        const std::optional<std::string>& workspace) const = 0;

    /// Returns the header fields of a request that a peer forwards for this node. `resumes` names the attempt that
    /// brought the first event of the stream, empty if there has been none. With a workspace, the peer is told it in
    /// place of the key.
    virtual HttpHeaders peerHeaders(const HttpHeaders& caller, Milliseconds deadline,
        std::optional<uint64_t> lastEventId, const std::string& resumes,
        const std::optional<std::string>& workspace) const = 0;

    /// Returns the workspace that a peer names in a request that it hands over.
    virtual std::optional<std::string> relayedWorkspace(const HttpHeaders&) const = 0;

    /// Returns the header fields of a request that runs an item at an endpoint. The parameters are those of
    /// `endpointHeaders()`.
    virtual HttpHeaders itemHeaders(const JobItem&, const std::string& host, const std::string& endpointId,
        std::optional<uint64_t> lastEventId, const std::optional<std::string>& workspace) const = 0;

    /// Returns the name of the request header field that is echoed in the response.
    virtual QByteArray requestIdField() const = 0;

    virtual EndpointAnswerHead decodeAnswerHead(int status, const HttpHeaders&) const = 0;

    virtual HttpResponse errorAnswer(const Error&, const std::string& requestId) const = 0;
    virtual HttpResponse acceptedAnswer() const = 0;
    virtual HttpResponse resultsAnswer(const JobResultPage&) const = 0;
};

}

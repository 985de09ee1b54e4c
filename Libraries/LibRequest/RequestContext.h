#pragma once

#include <LibConfiguration/Configuration.h>
#include <LibCore/Error.h>
#include <LibHTTP/HttpExchange.h>

#include <QJsonObject>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Chicorydock {

/// The operations that requests can address.
enum class Route : uint8_t {
    Generation,
    Service,
    ListModels,
    Model,
    UploadFile,
    File,
    FileContent,
    SubmitJob,
    ListJobs,
    Job,
    CancelJob,
};

/// The state of one request, which the filters fill in.
///
/// Thread safety: none; lives on the I/O thread of its exchange.
struct RequestContext {
    std::shared_ptr<HttpExchange> exchange;
    std::string traceId;
    MonotonicTime received;
    MonotonicTime deadline;
    std::shared_ptr<const Configuration> configuration;
    Route route { Route::Generation };
    /// The part of the path that names the model, service, file or job.
    std::string resourceName;
    /// Points into `configuration`.
    const Workspace* workspace { nullptr };
    const Service* service { nullptr };
    const Model* model { nullptr };
    /// The body of a generation.
    QJsonObject body;
    bool isUnrepeatable { false };
    std::string idempotencyKey;
    /// Called once at the end, with the response that the caller gets, or null if the caller disconnected before.
    std::vector<std::function<void(const HttpResponse*)>> endHooks;
    /// Whether the caller disconnected before any byte of the call was passed to a connection.
    bool isCertainlyNotRun { false };
    bool hasEnded { false };

    /// Sends the response and calls the end hooks, unless the request has ended.
    void answer(const HttpResponse&);
    /// Sends the response that the error table defines for the error.
    void fail(const Error&);
    /// Ends the request and calls the end hooks after a stream, or because the caller disconnected (null).
    void end(const HttpResponse*);
};

using RequestContextPtr = std::shared_ptr<RequestContext>;

}

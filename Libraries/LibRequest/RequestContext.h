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

/// What a request asks for.
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

/// What the filters have found out about one request.
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
    std::string name;
    /// Points into `configuration`.
    const Workspace* workspace { nullptr };
    const Service* service { nullptr };
    const Model* model { nullptr };
    /// The body of a generation.
    QJsonObject body;
    bool isUnrepeatable { false };
    std::string idempotencyKey;
    /// Called once with the answer that the caller gets, or nothing if the caller left before there was one.
    std::vector<std::function<void(const HttpResponse*)>> endHooks;
    /// Whether the caller left before any byte of the call was handed to a connection.
    bool isCertainlyNotRun { false };
    bool hasEnded { false };

    /// Answers the request, unless it was answered, and calls the hooks.
    void answer(const HttpResponse&);
    /// Answers with the row of the error table.
    void fail(const Error&);
    /// Notes that the answer has ended in another way: as a stream, or because the caller left.
    void end(const HttpResponse*);
};

using RequestContextPtr = std::shared_ptr<RequestContext>;

}

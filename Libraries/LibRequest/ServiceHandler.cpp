#include <LibRequest/ServiceHandler.h>

#include <LibDispatch/ServiceRunner.h>

#include <QUrl>

namespace Chicorydock {

namespace {

    /// Keeps the runner alive until the request has ended, and sends its response.
    class RunningCall final : public ServiceSink {
    public:
        RunningCall(
            RunnerEnvironment& environment, RequestContextPtr context, RunnerRequest request, HttpCallRequest call)
            : m_context(std::move(context))
            , m_runner(std::make_shared<ServiceRunner>(environment, std::move(request), std::move(call), *this))
        {
        }

        ServiceRunner& runner() { return *m_runner; }

        void onAnswer(const HttpResponse& answer) override { m_context->answer(answer); }
        void onFailed(const Error& error) override { m_context->fail(error); }

    private:
        RequestContextPtr m_context;
        std::shared_ptr<ServiceRunner> m_runner;
    };

    bool isForwarded(const QByteArray& name)
    {
        static const QByteArrayList dropped { "host", "connection", "keep-alive", "authorization", "content-length",
            "transfer-encoding", "te", "upgrade", "expect", "x-unrepeatable", "x-request-deadline-ms" };
        return !dropped.contains(name.toLower());
    }

    HttpCallRequest makeCall(const RequestContext& context)
    {
        const HttpRequest& request = context.exchange->request();
        const qsizetype prefixLength
            = QByteArray("/services/").size() + static_cast<qsizetype>(context.resourceName.size());
        const QByteArray path = request.path.mid(prefixLength);
        HttpCallRequest call;
        call.method = request.method;
        call.target = path.isEmpty() ? QByteArray("/") : QUrl::toPercentEncoding(QString::fromUtf8(path), "/");
        if (!request.query.isEmpty())
            call.target += '?' + request.query;
        for (const auto& [name, value] : request.headers.fields()) {
            if (isForwarded(name))
                call.headers.add(name, value);
        }
        call.headers.add("X-Trace-Id", QByteArray::fromStdString(context.traceId));
        call.body = request.body;
        return call;
    }

    RunnerRequest makeRequest(const RequestContext& context)
    {
        RunnerRequest request { context.service->name, {}, context.traceId };
        request.work.workspace = context.workspace->name;
        request.work.worth = context.workspace->worth;
        request.work.maxTokens = 1;
        request.work.deadline = context.deadline;
        request.work.repeatable = !context.isUnrepeatable;
        return request;
    }

}

ServiceHandler::ServiceHandler(RunnerEnvironment& environment)
    : m_environment(environment)
{
}

void ServiceHandler::handle(const RequestContextPtr& context, const Next& next)
{
    if (context->route != Route::Service) {
        next(context);
        return;
    }
    m_environment.eventLog.record("request", "accepted", context->traceId, context->traceId,
        { { "service", QString::fromStdString(context->service->name) },
            { "workspace", QString::fromStdString(context->workspace->name) } });
    const auto running
        = std::make_shared<RunningCall>(m_environment, context, makeRequest(*context), makeCall(*context));
    context->endHooks.emplace_back(
        [running, post = m_environment.post](const HttpResponse*) { post([running] { running->runner().cancel(); }); });
    // Cancelling does not undo an unrepeatable call, so the call continues after its caller disconnects, and its
    // outcome is recorded for a resend.
    if (!context->isUnrepeatable) {
        context->exchange->setCallerDisconnectedHandler(
            [weak = std::weak_ptr(context), runner = std::weak_ptr(running)] {
                const auto strong = weak.lock();
                if (!strong)
                    return;
                if (const auto it = runner.lock())
                    strong->isCertainlyNotRun = !it->runner().wasHandedOver();
                strong->end(nullptr);
            });
    }
    running->runner().start();
}

}

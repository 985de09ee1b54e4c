#include <LibRequest/GenerationHandler.h>

#include <LibRequest/CallerStream.h>
#include <LibRequest/GenerationWork.h>

namespace Chicorydock {

namespace {

    /// Keeps the runner and its sink alive until the request has ended.
    struct RunningGeneration {
        RunningGeneration(RunnerEnvironment& environment, RequestMetrics& metrics, const RequestContextPtr& context,
            RunnerRequest request)
            : stream(context, environment.clock, metrics)
            , runner(std::make_shared<GenerationRunner>(environment, std::move(request),
                  context->exchange->request().path.toStdString(), context->body, stream))
        {
        }

        CallerStream stream;
        std::shared_ptr<GenerationRunner> runner;
    };

}

GenerationHandler::GenerationHandler(RunnerEnvironment& environment, RequestMetrics& metrics)
    : m_environment(environment)
    , m_metrics(metrics)
{
}

void GenerationHandler::handle(const RequestContextPtr& context, const Next& next)
{
    if (context->route != Route::Generation) {
        next(context);
        return;
    }
    RunnerRequest request { context->service->name,
        makeGenerationWork(context->body, *context->model, *context->workspace), context->traceId };
    request.work.deadline = context->deadline;
    request.work.repeatable = !context->isUnrepeatable;
    m_environment.eventLog.record("request", "accepted", context->traceId, context->traceId,
        { { "model", context->body.value("model") },
            { "workspace", QString::fromStdString(context->workspace->name) } });

    const auto running = std::make_shared<RunningGeneration>(m_environment, m_metrics, context, std::move(request));
    // The hook keeps the runner alive until the request ends, and the posted function until the callback that ended the
    // request has returned.
    context->endHooks.emplace_back(
        [running, post = m_environment.post](const HttpResponse*) { post([running] { running->runner->cancel(); }); });
    context->exchange->setCallerDisconnectedHandler([weak = std::weak_ptr(context), runner = std::weak_ptr(running)] {
        const auto strong = weak.lock();
        if (!strong)
            return;
        if (const auto it = runner.lock())
            strong->isCertainlyNotRun = !it->runner->wasHandedOver();
        strong->end(nullptr);
    });
    running->runner->start();
}

}

#include <LibRequest/BatchItemExecutor.h>

#include <LibDispatch/GenerationRunner.h>
#include <LibDispatch/ServiceRunner.h>
#include <LibHTTP/ErrorResponse.h>
#include <LibRequest/CallerStream.h>
#include <LibRequest/ClassifyFilter.h>
#include <LibRequest/GenerationWork.h>

#include <QJsonDocument>

namespace Chicorydock {

namespace {

    constexpr std::string_view servicesPrefix = "/services/";

    // Accepted items run even after the deadline of their job, so every attempt gets at least this much time.
    constexpr std::chrono::hours minAttemptTime { 1 };

    ItemOutcome outcomeOf(const Error& error)
    {
        using Kind = ItemOutcome::Kind;
        const HttpResponse answer = errorResponse(error, {});
        const ItemResult result { answer.status, QJsonDocument::fromJson(answer.body).object() };
        switch (error.kind()) {
        case ErrorKind::MalformedRequest:
        case ErrorKind::EndpointRejected:
        case ErrorKind::UnknownService:
            return { Kind::Completed, result };
        case ErrorKind::MayHaveRun:
            return { Kind::MayHaveRun, result };
        default:
            return { errorRow(error.kind()).notRun ? Kind::NotRun : Kind::Failed, result };
        }
    }

    std::string serviceNameOf(const std::string& path)
    {
        const size_t end = path.find('/', servicesPrefix.size());
        return path.substr(servicesPrefix.size(), end == std::string::npos ? end : end - servicesPrefix.size());
    }

    bool isServicePath(const std::string& path) { return path.starts_with(servicesPrefix); }

}

class BatchItemExecutor::Execution final : public GenerationSink, public ServiceSink {
public:
    Execution(BatchItemExecutor& executor, Handle handle, BatchItem item, Callback callback)
        : m_executor(executor)
        , m_handle(handle)
        , m_item(std::move(item))
        , m_callback(std::move(callback))
    {
    }

    void start()
    {
        const auto configuration = m_executor.m_configuration.read();
        RunnerRequest request;
        request.traceId = m_item.jobId + '/' + std::to_string(m_item.index);
        if (isServicePath(m_item.path))
            prepareService(*configuration, request);
        else
            prepareGeneration(*configuration, request);
        m_runner->start();
    }

    void cancel()
    {
        if (!m_runner || m_runner->hasEnded())
            return;
        const bool mayHaveRun = m_item.unrepeatable && m_runner->wasHandedOver();
        m_runner->cancel();
        m_executor.end(m_handle, { mayHaveRun ? ItemOutcome::Kind::MayHaveRun : ItemOutcome::Kind::NotRun, {} });
    }

    void report(const ItemOutcome& outcome) { m_callback(outcome); }

    void onTokens(const std::string&) override { }

    void onFinished(const std::string& fullText, const GenerationEnd& end) override
    {
        const auto seconds = toUnixMilliseconds(m_executor.m_environment.clock.wallNow()) / 1000;
        const QJsonObject body = makeGenerationBody(m_item.path.ends_with("/chat/completions"), m_item.customId,
            seconds, m_item.body.value("model").toString(), fullText, end);
        m_executor.end(m_handle, { ItemOutcome::Kind::Completed, { 200, body } });
    }

    void onAnswer(const HttpResponse& answer) override
    {
        QJsonObject body = QJsonDocument::fromJson(answer.body).object();
        if (body.isEmpty() && !answer.body.isEmpty())
            body.insert("text", QString::fromUtf8(answer.body));
        m_executor.end(m_handle, { ItemOutcome::Kind::Completed, { answer.status, body } });
    }

    void onFailed(const Error& error) override { m_executor.end(m_handle, outcomeOf(error)); }

private:
    void fillWork(Work& work, const std::string& workspace) const
    {
        const RunnerEnvironment& environment = m_executor.m_environment;
        const auto untilDeadline = m_item.deadline - environment.clock.wallNow();
        work.workClass = WorkClass::Batch;
        work.workspace = workspace;
        work.repeatable = !m_item.unrepeatable;
        work.deadline = environment.clock.now()
            + std::max(std::chrono::duration_cast<MonotonicTime::duration>(untilDeadline),
                MonotonicTime::duration { minAttemptTime });
    }

    void prepareGeneration(const Configuration& configuration, RunnerRequest& request)
    {
        checkGenerationBody(m_item.body, QByteArray::fromStdString(m_item.path));
        const std::string name = m_item.body.value("model").toString().toStdString();
        const Model* model = configuration.findModel(name);
        if (!model)
            throw Error { ErrorKind::EndpointRejected, "no model '" + name + "' is declared" };
        Workspace workspace;
        workspace.name = m_item.workspace;
        request.service = model->service;
        request.work = makeGenerationWork(m_item.body, *model, workspace);
        fillWork(request.work, m_item.workspace);
        m_runner = std::make_shared<GenerationRunner>(
            m_executor.m_environment, std::move(request), m_item.path, m_item.body, *this);
    }

    void prepareService(const Configuration& configuration, RunnerRequest& request)
    {
        const std::string name = serviceNameOf(m_item.path);
        if (!configuration.findService(name))
            throw Error { ErrorKind::UnknownService, "no plain service '" + name + "' is declared" };
        request.service = name;
        request.work.maxTokens = 1;
        fillWork(request.work, m_item.workspace);
        HttpCallRequest call;
        call.method = "POST";
        call.target = QByteArray::fromStdString(m_item.path.substr(servicesPrefix.size() + name.size()));
        if (call.target.isEmpty())
            call.target = "/";
        call.headers.add("Content-Type", "application/json");
        call.headers.add("X-Call-Id", QByteArray::fromStdString(request.traceId));
        call.body = QJsonDocument(m_item.body).toJson(QJsonDocument::Compact);
        m_runner
            = std::make_shared<ServiceRunner>(m_executor.m_environment, std::move(request), std::move(call), *this);
    }

    BatchItemExecutor& m_executor;
    Handle m_handle;
    BatchItem m_item;
    Callback m_callback;
    std::shared_ptr<WorkRunner> m_runner;
};

BatchItemExecutor::BatchItemExecutor(RunnerEnvironment& environment, const RcuCell<Configuration>& configuration)
    : m_environment(environment)
    , m_configuration(configuration)
{
}

BatchItemExecutor::~BatchItemExecutor() = default;

ItemExecutor::Handle BatchItemExecutor::execute(const BatchItem& item, Callback callback)
{
    const Handle handle = ++m_lastHandle;
    m_environment.post([this, handle, item, callback = std::move(callback)] { start(handle, item, callback); });
    return handle;
}

void BatchItemExecutor::cancel(Handle handle)
{
    m_environment.post([this, handle] {
        const auto it = m_executions.find(handle);
        if (it == m_executions.end())
            return;
        const auto execution = it->second;
        execution->cancel();
    });
}

uint32_t BatchItemExecutor::freeCapacity(const std::string& path) const
{
    const std::string service = serviceOf(path);
    return service.empty() ? 0 : m_environment.dispatcher.batchRoom(service);
}

void BatchItemExecutor::start(Handle handle, const BatchItem& item, Callback callback)
{
    const auto execution = std::make_shared<Execution>(*this, handle, item, std::move(callback));
    m_executions.emplace(handle, execution);
    try {
        execution->start();
    } catch (const Error& error) {
        end(handle, outcomeOf(error));
    }
}

void BatchItemExecutor::end(Handle handle, const ItemOutcome& outcome)
{
    const auto it = m_executions.find(handle);
    if (it == m_executions.end())
        return;
    const auto execution = it->second;
    m_executions.erase(it);
    execution->report(outcome);
    // The runner may be inside one of its callbacks, so the event loop destroys it later.
    m_environment.post([execution] {});
}

std::string BatchItemExecutor::serviceOf(const std::string& path) const
{
    if (isServicePath(path))
        return serviceNameOf(path);
    // The items of one job may use models of several services; the first engine service represents them all.
    const auto configuration = m_configuration.read();
    for (const Service& service : configuration->services) {
        if (service.kind == Service::Kind::Engine)
            return service.name;
    }
    return {};
}

}

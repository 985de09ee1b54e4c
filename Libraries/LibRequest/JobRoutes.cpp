#include <LibRequest/JobRoutes.h>

#include <LibHTTP/Multipart.h>

#include <QJsonArray>
#include <QJsonDocument>
#include <QUrlQuery>

namespace Chicorydock {

namespace {

    // The results of a finished job can be read as a file whose id is this prefix followed by the id of the job.
    constexpr std::string_view outputPrefix = "output-";

    constexpr uint32_t resultsPerPage = 1000;

    HttpResponse jsonAnswer(const QJsonObject& object)
    {
        return { 200, { { "Content-Type", "application/json" } },
            QJsonDocument(object).toJson(QJsonDocument::Compact) };
    }

    qint64 toUnixSeconds(WallTime time) { return toUnixMilliseconds(time) / 1000; }

    QJsonObject toJson(const JobView& job)
    {
        const bool hasOutput = job.state == JobView::State::Completed || job.state == JobView::State::Cancelled;
        const QString id = QString::fromStdString(job.id);
        return {
            { "id", id },
            { "object", "batch" },
            { "status", QString::fromUtf8(stateName(job.state).data()) },
            { "created_at", toUnixSeconds(job.created) },
            { "expires_at", toUnixSeconds(job.deadline) },
            { "output_file_id",
                hasOutput ? QJsonValue(QString::fromUtf8(outputPrefix.data()) + id) : QJsonValue::Null },
            { "request_counts",
                QJsonObject { { "total", static_cast<qint64>(job.total) },
                    { "completed", static_cast<qint64>(job.completed) },
                    { "failed", static_cast<qint64>(job.failed) } } },
        };
    }

    QJsonObject fileObject(const std::string& id, qsizetype bytes, qint64 createdSeconds, const char* purpose)
    {
        return {
            { "id", QString::fromStdString(id) },
            { "object", "file" },
            { "bytes", static_cast<qint64>(bytes) },
            { "created_at", createdSeconds },
            { "filename", QString::fromStdString(id) + ".jsonl" },
            { "purpose", purpose },
            { "status", "processed" },
        };
    }

    QJsonObject parseObject(const QByteArray& body)
    {
        const QJsonDocument document = QJsonDocument::fromJson(body);
        if (!document.isObject())
            throw Error { ErrorKind::MalformedRequest, "the body must be a JSON object" };
        return document.object();
    }

    Milliseconds parseCompletionWindow(const QJsonValue& value)
    {
        if (value.isUndefined())
            return std::chrono::hours { 24 };
        const QString text = value.toString();
        bool isNumber = false;
        const int n = text.chopped(std::min<qsizetype>(1, text.size())).toInt(&isNumber);
        constexpr int maxHours = 24 * 14;
        if (isNumber && n > 0 && text.endsWith('h') && n <= maxHours)
            return std::chrono::hours { n };
        if (isNumber && n > 0 && text.endsWith('m') && n <= maxHours * 60)
            return std::chrono::minutes { n };
        throw Error { ErrorKind::MalformedRequest,
            "member 'completion_window' must be a number of hours or minutes up to 14 days, for example '24h'" };
    }

    QByteArray readResults(JobService& jobs, const std::string& workspace, const std::string& id)
    {
        QByteArray content;
        uint32_t after = 0;
        for (bool isComplete = false; !isComplete;) {
            const ResultPage page = jobs.results(workspace, id, after, resultsPerPage);
            for (const std::string& line : page.lines)
                content += QByteArray::fromStdString(line) + '\n';
            isComplete = page.complete || page.next == after;
            after = page.next;
        }
        return content;
    }

    bool isJobRoute(Route route)
    {
        switch (route) {
        case Route::UploadFile:
        case Route::File:
        case Route::FileContent:
        case Route::SubmitJob:
        case Route::ListJobs:
        case Route::Job:
        case Route::CancelJob:
            return true;
        default:
            return false;
        }
    }

}

JobRoutes::JobRoutes(JobService& jobs, const Clock& clock, Post toPlatform, Post toIoThread)
    : m_jobs(jobs)
    , m_clock(clock)
    , m_toPlatform(std::move(toPlatform))
    , m_toIoThread(std::move(toIoThread))
{
}

void JobRoutes::handle(const RequestContextPtr& context, const Next& next)
{
    if (!isJobRoute(context->route)) {
        next(context);
        return;
    }
    m_toPlatform([this, context] {
        try {
            const HttpResponse answer = makeAnswer(*context);
            m_toIoThread([context, answer] { context->answer(answer); });
        } catch (const Error& error) {
            m_toIoThread([context, error] { context->fail(error); });
        } catch (const std::exception& exception) {
            const Error error { ErrorKind::Internal, exception.what() };
            m_toIoThread([context, error] { context->fail(error); });
        }
    });
}

HttpResponse JobRoutes::makeAnswer(const RequestContext& context)
{
    const std::string& workspace = context.workspace->name;
    switch (context.route) {
    case Route::UploadFile:
        return uploadFile(context);
    case Route::File:
        return describeFile(context);
    case Route::FileContent:
        return fileContent(context);
    case Route::SubmitJob:
        return submitJob(context);
    case Route::ListJobs:
        return listJobs(context);
    case Route::Job:
        return jsonAnswer(toJson(m_jobs.status(workspace, context.resourceName)));
    default:
        return jsonAnswer(toJson(m_jobs.cancel(workspace, context.resourceName)));
    }
}

HttpResponse JobRoutes::uploadFile(const RequestContext& context)
{
    const HttpRequest& request = context.exchange->request();
    const auto parts = parseMultipart(request.headers.find("Content-Type").value_or(QByteArray {}), request.body);
    const MultipartPart* file = findPart(parts, "file");
    if (!file)
        throw Error { ErrorKind::MalformedRequest, "the form has no part 'file'" };
    const MultipartPart* purpose = findPart(parts, "purpose");
    if (!purpose || purpose->content.trimmed() != "batch")
        throw Error { ErrorKind::MalformedRequest, "the form's part 'purpose' must be 'batch'" };
    const std::string id = m_jobs.putFile(context.workspace->name, file->content.toStdString());
    return jsonAnswer(fileObject(id, file->content.size(), toUnixSeconds(m_clock.wallNow()), "batch"));
}

HttpResponse JobRoutes::describeFile(const RequestContext& context)
{
    const HttpResponse content = fileContent(context);
    const char* purpose = context.resourceName.starts_with(outputPrefix) ? "batch_output" : "batch";
    return jsonAnswer(fileObject(context.resourceName, content.body.size(), toUnixSeconds(m_clock.wallNow()), purpose));
}

HttpResponse JobRoutes::fileContent(const RequestContext& context)
{
    const std::string& workspace = context.workspace->name;
    const QByteArray content = context.resourceName.starts_with(outputPrefix)
        ? readResults(m_jobs, workspace, context.resourceName.substr(outputPrefix.size()))
        : QByteArray::fromStdString(m_jobs.file(workspace, context.resourceName));
    return { 200, { { "Content-Type", "application/jsonl" } }, content };
}

HttpResponse JobRoutes::submitJob(const RequestContext& context)
{
    const QJsonObject body = parseObject(context.exchange->request().body);
    const QJsonValue file = body.value("input_file_id");
    if (!file.isString())
        throw Error { ErrorKind::MalformedRequest, "member 'input_file_id' must be a string" };
    JobSubmission submission;
    submission.workspace = context.workspace->name;
    submission.items = m_jobs.file(context.workspace->name, file.toString().toStdString());
    submission.completionWindow = parseCompletionWindow(body.value("completion_window"));
    const QJsonObject metadata = body.value("metadata").toObject();
    submission.id = metadata.value("job_id").toString().toStdString();
    submission.unrepeatable = metadata.value("unrepeatable").toString() == "true";
    QJsonObject object = toJson(m_jobs.submit(submission));
    object.insert("input_file_id", file);
    object.insert("endpoint", body.value("endpoint"));
    object.insert("completion_window", body.value("completion_window"));
    return jsonAnswer(object);
}

HttpResponse JobRoutes::listJobs(const RequestContext& context)
{
    const QUrlQuery query(QString::fromUtf8(context.exchange->request().query));
    constexpr size_t defaultLimit = 20;
    constexpr size_t maxLimit = 100;
    const std::string after = query.queryItemValue("after").toStdString();
    size_t limit = query.queryItemValue("limit").toUInt();
    limit = limit == 0 ? defaultLimit : std::min(limit, maxLimit);
    const auto jobs = m_jobs.list(context.workspace->name, after, limit + 1);
    QJsonArray data;
    for (size_t n = 0; n < std::min(limit, jobs.size()); ++n)
        data.append(toJson(jobs[n]));
    return jsonAnswer({ { "object", "list" }, { "data", data }, { "has_more", jobs.size() > limit } });
}

}

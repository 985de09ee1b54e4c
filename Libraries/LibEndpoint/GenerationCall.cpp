#include <LibEndpoint/GenerationCall.h>

#include <LibCore/Error.h>

#include <QJsonDocument>

#include <algorithm>

namespace Chicorydock {

namespace {

    /// Enough of an error response for a log line.
    constexpr qsizetype maxErrorBodyBytes = 4096;

    HttpCallRequest toHttpRequest(const GenerationRequest& request)
    {
        QJsonObject body = request.body;
        body["stream"] = true;
        body["stream_options"] = QJsonObject { { "include_usage", true } };
        if (request.resumeFrom > 0) {
            body["resume_from"] = static_cast<qint64>(request.resumeFrom);
            body["resume_text"] = QString::fromStdString(request.resumeText);
        }
        HttpCallRequest call { .address = request.address,
            .method = "POST",
            .target = QByteArray::fromStdString(request.path),
            .headers = { { "Content-Type", "application/json" }, { "Accept", "text/event-stream" } },
            .body = QJsonDocument(body).toJson(QJsonDocument::Compact),
            .progressTimeout = request.progressTimeout,
            .freshConnection = request.freshConnection };
        if (!request.traceId.empty())
            call.headers.add("X-Trace-Id", QByteArray::fromStdString(request.traceId));
        if (request.remaining.count() > 0)
            call.headers.add("X-Request-Deadline-Ms", QByteArray::number(qlonglong { request.remaining.count() }));
        return call;
    }

    bool isRefusal(int status) { return status == 429 || status == 503; }

}

GenerationCall::GenerationCall(HttpClient& client, const GenerationRequest& request, GenerationObserver& observer)
    : m_observer(observer)
    , m_nextToken(request.resumeFrom)
    , m_call(client.start(toHttpRequest(request), *this))
{
}

void GenerationCall::onHandedOver() { m_observer.onHandedOver(); }

void GenerationCall::onHeaders(int status, const HttpHeaders& headers)
{
    m_status = status;
    const QByteArray type = headers.find("Content-Type").value_or(QByteArray());
    if (status == 200 && !type.startsWith("text/event-stream"))
        fail(HttpFailure::Phase::Answering, HttpFailure::Reason::Protocol, "the answer is not an event stream");
}

void GenerationCall::onData(const QByteArray& data)
{
    if (m_status != 200) {
        m_errorBody += data.first(std::min(data.size(), maxErrorBodyBytes - m_errorBody.size()));
        return;
    }
    const std::weak_ptr<char> alive = m_alive;
    try {
        readEvents(data);
    } catch (const Error& error) {
        if (!alive.expired())
            fail(HttpFailure::Phase::Answering, HttpFailure::Reason::Protocol, error.message());
    }
}

void GenerationCall::readEvents(const QByteArray& data)
{
    const std::weak_ptr<char> alive = m_alive;
    for (const QByteArray& it : m_parser.feed(data)) {
        handleEvent(parseGenerationEvent(it));
        if (alive.expired())
            return;
    }
}

void GenerationCall::handleEvent(const GenerationEvent& event)
{
    checkSequence(event);
    if (event.isDone) {
        m_isDone = true;
        return;
    }
    if (event.usage) {
        m_end.promptTokens = event.usage->promptTokens;
        m_end.completionTokens = event.usage->completionTokens;
        m_end.cachedPromptTokens = event.usage->cachedPromptTokens;
    }
    if (!event.finishReason.empty())
        m_end.finishReason = event.finishReason;
    if (event.text.empty())
        return;
    m_nextToken += event.tokenCount;
    m_observer.onTokens({ .text = event.text, .count = event.tokenCount });
}

void GenerationCall::checkSequence(const GenerationEvent& event) const
{
    if (m_isDone)
        throw Error(ErrorKind::EndpointFailed, "an event follows [DONE]");
    if (event.isDone && m_end.finishReason.empty())
        throw Error(ErrorKind::EndpointFailed, "[DONE] came without a finish reason");
    if (event.text.empty())
        return;
    if (!m_end.finishReason.empty())
        throw Error(ErrorKind::EndpointFailed, "a token follows the finish reason");
    if (event.tokenIndex != m_nextToken) {
        const std::string index = event.tokenIndex ? std::to_string(*event.tokenIndex) : "no index";
        throw Error(ErrorKind::EndpointFailed, "expected token " + std::to_string(m_nextToken) + ", got " + index);
    }
}

void GenerationCall::onFinished()
{
    if (m_status != 200) {
        fail(HttpFailure::Phase::Answering, HttpFailure::Reason::Closed,
            "status " + std::to_string(m_status) + ": " + m_errorBody.toStdString());
        return;
    }
    if (m_isDone)
        finish();
    else
        fail(HttpFailure::Phase::Answering, HttpFailure::Reason::Closed, "the stream ended before [DONE]");
}

void GenerationCall::onFailed(const HttpFailure& failure)
{
    // The generation is complete even if the connection broke between [DONE] and the end of the body.
    if (m_isDone)
        finish();
    else
        fail(failure.phase, failure.reason, failure.message);
}

void GenerationCall::finish()
{
    m_call.reset();
    m_observer.onFinished(m_end);
}

void GenerationCall::fail(HttpFailure::Phase phase, HttpFailure::Reason reason, const std::string& message)
{
    m_call.reset();
    const bool isErrorStatus = m_status != 0 && m_status != 200;
    m_observer.onFailed({ .phase = phase,
        .reason = reason,
        .httpStatus = isErrorStatus ? m_status : 0,
        .refused = isRefusal(m_status),
        .message = message });
}

}

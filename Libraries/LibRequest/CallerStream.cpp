#include <LibRequest/CallerStream.h>

#include <LibHTTP/ErrorResponse.h>

#include <QJsonArray>
#include <QJsonDocument>

namespace Chicorydock {

namespace {

    // Bounds the memory of a stream: if this much is unsent because the caller reads too slowly, the stream is aborted.
    constexpr qint64 maxUnsentBytes = 4 * 1024 * 1024;

    QByteArray compact(const QJsonObject& object) { return QJsonDocument(object).toJson(QJsonDocument::Compact); }

    QJsonObject usageOf(const GenerationEnd& end)
    {
        return {
            { "prompt_tokens", static_cast<qint64>(end.promptTokens) },
            { "completion_tokens", static_cast<qint64>(end.completionTokens) },
            { "total_tokens", static_cast<qint64>(end.promptTokens) + end.completionTokens },
            { "prompt_tokens_details",
                QJsonObject { { "cached_tokens", static_cast<qint64>(end.cachedPromptTokens) } } },
        };
    }

}

QJsonObject makeGenerationBody(bool isChat, const std::string& id, int64_t createdSeconds, const QString& model,
    const std::string& text, const GenerationEnd& end)
{
    QJsonObject choice { { "index", 0 }, { "finish_reason", QString::fromStdString(end.finishReason) },
        { "logprobs", QJsonValue::Null } };
    if (isChat) {
        choice.insert("message", QJsonObject { { "role", "assistant" }, { "content", QString::fromStdString(text) } });
    } else {
        choice.insert("text", QString::fromStdString(text));
    }
    return {
        { "id", QString::fromStdString(id) },
        { "object", isChat ? "chat.completion" : "text_completion" },
        { "created", static_cast<qint64>(createdSeconds) },
        { "model", model },
        { "choices", QJsonArray { choice } },
        { "usage", usageOf(end) },
    };
}

CallerStream::CallerStream(RequestContextPtr context, const Clock& clock, RequestMetrics& metrics)
    : m_context(std::move(context))
    , m_clock(clock)
    , m_metrics(metrics)
    , m_createdSeconds(toUnixMilliseconds(clock.wallNow()) / 1000)
    , m_isChat(m_context->exchange->request().path.endsWith("/chat/completions"))
    , m_isStream(m_context->body.value("stream").toBool())
{
}

void CallerStream::onTokens(const std::string& text)
{
    recordTokenTime();
    if (!m_isStream || m_context->hasEnded)
        return;
    if (m_context->exchange->bytesToWrite() > maxUnsentBytes) {
        m_context->exchange->abortStream();
        m_context->end(nullptr);
        return;
    }
    startStream();
    sendEvent(makeChunk(QString::fromStdString(text), QJsonValue::Null));
}

void CallerStream::onFinished(const std::string& fullText, const GenerationEnd& end)
{
    const HttpResponse answer = makeAnswer(fullText, end);
    if (!m_isStream) {
        m_context->answer(answer);
        return;
    }
    if (m_context->hasEnded)
        return;
    startStream();
    sendEvent(makeChunk({}, QString::fromStdString(end.finishReason)));
    if (m_context->body.value("stream_options").toObject().value("include_usage").toBool()) {
        QJsonObject last = makeChunk({}, QJsonValue::Null);
        last.insert("choices", QJsonArray {});
        last.insert("usage", usageOf(end));
        sendEvent(last);
    }
    m_context->exchange->sendChunk("data: [DONE]\n\n");
    m_context->exchange->finishStream();
    // Resends of a call with a key get the complete response as one object, because a stream cannot be replayed.
    m_context->end(&answer);
}

void CallerStream::onFailed(const Error& error)
{
    if (!m_hasStarted) {
        m_context->fail(error);
        return;
    }
    if (m_context->hasEnded)
        return;
    const HttpResponse answer = errorResponse(error, m_context->traceId);
    m_context->exchange->sendChunk("data: " + answer.body + "\n\n");
    m_context->exchange->abortStream();
    m_context->end(&answer);
}

void CallerStream::recordTokenTime()
{
    const MonotonicTime now = m_clock.now();
    if (m_lastTokenTime)
        m_metrics.recordTokenGap(now - *m_lastTokenTime);
    else
        m_metrics.recordFirstToken(now - m_context->received);
    m_lastTokenTime = now;
}

void CallerStream::startStream()
{
    if (m_hasStarted)
        return;
    m_hasStarted = true;
    m_context->exchange->startStream(200,
        { { "Content-Type", "text/event-stream" }, { "Cache-Control", "no-cache" },
            { "X-Trace-Id", QByteArray::fromStdString(m_context->traceId) } });
    if (!m_isChat)
        return;
    QJsonObject first = makeChunk({}, QJsonValue::Null);
    first.insert("choices",
        QJsonArray { QJsonObject { { "index", 0 }, { "delta", QJsonObject { { "role", "assistant" } } },
            { "finish_reason", QJsonValue::Null } } });
    sendEvent(first);
}

void CallerStream::sendEvent(const QJsonObject& event)
{
    m_context->exchange->sendChunk("data: " + compact(event) + "\n\n");
}

QJsonObject CallerStream::makeChunk(const QString& text, const QJsonValue& finishReason) const
{
    QJsonObject choice { { "index", 0 }, { "finish_reason", finishReason } };
    if (m_isChat)
        choice.insert("delta", text.isEmpty() ? QJsonObject {} : QJsonObject { { "content", text } });
    else
        choice.insert("text", text);
    return {
        { "id", QString::fromStdString(m_context->traceId) },
        { "object", m_isChat ? "chat.completion.chunk" : "text_completion" },
        { "created", static_cast<qint64>(m_createdSeconds) },
        { "model", m_context->body.value("model") },
        { "choices", QJsonArray { choice } },
    };
}

HttpResponse CallerStream::makeAnswer(const std::string& text, const GenerationEnd& end) const
{
    const QJsonObject body = makeGenerationBody(
        m_isChat, m_context->traceId, m_createdSeconds, m_context->body.value("model").toString(), text, end);
    return { 200, { { "Content-Type", "application/json" } }, compact(body) };
}

}

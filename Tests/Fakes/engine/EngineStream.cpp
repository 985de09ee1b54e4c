#include <Tests/Fakes/engine/EngineStream.h>

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

namespace Chicorydock {

EngineStream::EngineStream(std::shared_ptr<HttpExchange> exchange, EngineCompletion completion, Options options)
    : m_exchange(std::move(exchange))
    , m_completion(std::move(completion))
    , m_options(options)
    , m_next(options.resumeFrom)
{
}

bool EngineStream::step()
{
    if (!m_hasStarted)
        startResponse();
    if (m_options.failAfter && sentTokens() >= *m_options.failAfter) {
        m_hasFailed = true;
        m_exchange->abortStream();
        return false;
    }
    if (m_next < m_completion.tokens)
        sendToken();
    if (m_next < m_completion.tokens)
        return true;
    finish();
    return false;
}

void EngineStream::startResponse()
{
    m_hasStarted = true;
    if (m_options.isStream)
        m_exchange->startStream(200, { { "Content-Type", "text/event-stream" } });
}

void EngineStream::sendToken()
{
    const std::string text = m_completion.token(m_next);
    if (m_options.isStream)
        sendEvent(choice(QByteArray::fromStdString(text), false) + ",\"token_index\":" + QByteArray::number(m_next));
    else
        m_text += text;
    ++m_next;
}

void EngineStream::finish()
{
    if (m_options.isStream)
        finishStream();
    else
        sendCompleteResponse();
}

void EngineStream::finishStream()
{
    sendEvent(choice("", true));
    if (m_options.includeUsage)
        sendEvent("\"choices\":[],\"usage\":" + usage());
    m_exchange->sendChunk("data: [DONE]\n\n");
    m_exchange->finishStream();
}

void EngineStream::sendCompleteResponse()
{
    const QString text = QString::fromStdString(m_text);
    QJsonObject choice { { "index", 0 }, { "finish_reason", QString::fromStdString(m_completion.finishReason) } };
    if (m_options.isChat)
        choice["message"] = QJsonObject { { "role", "assistant" }, { "content", text } };
    else
        choice["text"] = text;
    const QJsonObject body { { "id", "fake" }, { "object", m_options.isChat ? "chat.completion" : "text_completion" },
        { "model", QString::fromStdString(m_completion.model) }, { "choices", QJsonArray { choice } },
        { "usage", QJsonDocument::fromJson(usage()).object() } };
    m_exchange->answer({ .status = 200,
        .headers = { { "Content-Type", "application/json" } },
        .body = QJsonDocument(body).toJson(QJsonDocument::Compact) });
}

void EngineStream::sendEvent(const QByteArray& fields)
{
    const QByteArray object = m_options.isChat ? "chat.completion.chunk" : "text_completion";
    m_exchange->sendChunk("data: {\"id\":\"fake\",\"object\":\"" + object + "\"," + fields + "}\n\n");
}

// Generated words need no JSON escaping.
QByteArray EngineStream::choice(const QByteArray& text, bool isLast) const
{
    const QByteArray content
        = m_options.isChat ? "\"delta\":{\"content\":\"" + text + "\"}" : "\"text\":\"" + text + '"';
    const QByteArray reason = isLast ? '"' + QByteArray::fromStdString(m_completion.finishReason) + '"' : "null";
    return "\"choices\":[{\"index\":0," + content + ",\"finish_reason\":" + reason + "}]";
}

QByteArray EngineStream::usage() const
{
    return "{\"prompt_tokens\":" + QByteArray::number(m_completion.promptTokens)
        + ",\"completion_tokens\":" + QByteArray::number(m_completion.tokens)
        + ",\"total_tokens\":" + QByteArray::number(m_completion.promptTokens + m_completion.tokens)
        + ",\"prompt_tokens_details\":{\"cached_tokens\":" + QByteArray::number(m_options.cachedTokens) + "}}";
}

}

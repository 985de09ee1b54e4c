#include <LibEndpoint/GenerationEvent.h>

#include <LibCore/Error.h>

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

namespace Chicorydock {

namespace {

    /// Returns the value, or nothing if it is absent or not an integer in the range of `uint32_t`.
    std::optional<uint32_t> toCount(const QJsonValue& value)
    {
        const qint64 n = value.toInteger(-1);
        if (n < 0 || n > UINT32_MAX)
            return {};
        return static_cast<uint32_t>(n);
    }

    std::string textOf(const QJsonObject& choice)
    {
        const QJsonValue text = choice.value("text");
        return (text.isString() ? text : choice.value("delta")["content"]).toString().toStdString();
    }

    GenerationEvent::Usage toUsage(const QJsonValue& usage)
    {
        return { .promptTokens = toCount(usage["prompt_tokens"]).value_or(0),
            .completionTokens = toCount(usage["completion_tokens"]).value_or(0),
            .cachedPromptTokens = toCount(usage["prompt_tokens_details"]["cached_tokens"]).value_or(0) };
    }

}

GenerationEvent parseGenerationEvent(const QByteArray& data)
{
    GenerationEvent event;
    if (data == "[DONE]") {
        event.isDone = true;
        return event;
    }
    const QJsonDocument document = QJsonDocument::fromJson(data);
    if (!document.isObject())
        throw Error(ErrorKind::EndpointFailed, "an event of the stream is not a JSON object");
    const QJsonObject fields = document.object();
    if (fields.value("error").isObject())
        throw Error(ErrorKind::EndpointFailed, fields["error"]["message"].toString().toStdString());
    const QJsonObject choice = fields.value("choices").toArray().first().toObject();
    event.text = textOf(choice);
    event.tokenIndex = toCount(fields.value("token_index"));
    event.tokenCount = toCount(fields.value("token_count")).value_or(1);
    event.finishReason = choice.value("finish_reason").toString().toStdString();
    if (fields.value("usage").isObject())
        event.usage = toUsage(fields.value("usage"));
    return event;
}

}

#pragma once

#include <LibDispatch/GenerationRunner.h>
#include <LibRequest/RequestContext.h>
#include <LibRequest/RequestMetrics.h>

namespace Chicorydock {

/// Sends a generation to its caller as one JSON object, or as server-sent events if the caller requested a stream. A
/// stream that fails ends with an error event and a closed connection, and never with `[DONE]`.
///
/// Thread safety: none; lives on the I/O thread of its exchange.
class CallerStream final : public GenerationSink {
public:
    CallerStream(RequestContextPtr, const Clock&, RequestMetrics&);

    void onTokens(const std::string& text) override;
    void onFinished(const std::string& fullText, const GenerationEnd&) override;
    void onFailed(const Error&) override;

private:
    void recordTokenTime();
    void startStream();
    void sendEvent(const QJsonObject&);
    QJsonObject makeChunk(const QString& text, const QJsonValue& finishReason) const;
    HttpResponse makeAnswer(const std::string& text, const GenerationEnd&) const;

    RequestContextPtr m_context;
    const Clock& m_clock;
    RequestMetrics& m_metrics;
    int64_t m_createdSeconds;
    bool m_isChat;
    bool m_isStream;
    bool m_hasStarted { false };
    std::optional<MonotonicTime> m_lastTokenTime;
};

/// Returns the JSON body of the response to a completed generation. Its `object` is `chat.completion` or
/// `text_completion`.
QJsonObject makeGenerationBody(bool isChat, const std::string& id, int64_t createdSeconds, const QString& model,
    const std::string& text, const GenerationEnd&);

}

#pragma once

#include <LibDispatch/GenerationRunner.h>
#include <LibRequest/RequestContext.h>
#include <LibRequest/RequestMetrics.h>

namespace Chicorydock {

/// Turns a generation into the answer of its caller: one JSON object, or server-sent events if the caller asked for a
/// stream. A stream that fails ends with an error event and a closed connection, and never with `[DONE]`.
///
/// Thread safety: none; lives on the I/O thread of its exchange.
class CallerStream final : public GenerationSink {
public:
    CallerStream(RequestContextPtr, const Clock&, RequestMetrics&);

    void onTokens(const std::string& text) override;
    void onFinished(const std::string& wholeText, const GenerationEnd&) override;
    void onFailed(const Error&) override;

private:
    void measure();
    void startStream();
    void sendEvent(const QJsonObject&);
    QJsonObject chunk(const QString& text, const QJsonValue& finishReason) const;
    HttpResponse wholeAnswer(const std::string& text, const GenerationEnd&) const;

    RequestContextPtr m_context;
    const Clock& m_clock;
    RequestMetrics& m_metrics;
    int64_t m_createdSeconds;
    bool m_isChat;
    bool m_isStream;
    bool m_hasStarted { false };
    std::optional<MonotonicTime> m_lastToken;
};

/// Returns the JSON body of a whole generation. `object` is `chat.completion` or `text_completion`.
QJsonObject generationAnswer(bool isChat, const std::string& id, int64_t createdSeconds, const QString& model,
    const std::string& text, const GenerationEnd&);

}

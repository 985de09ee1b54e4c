#pragma once

#include <LibHTTP/HttpExchange.h>
#include <Tests/Fakes/engine/EngineText.h>

#include <memory>
#include <optional>

namespace Chicorydock {

/// One generation of a fake engine: formats its tokens as the caller asked for them.
class EngineStream {
public:
    struct Options {
        bool isChat { true };
        bool isStream { true };
        bool includeUsage { false };
        uint32_t resumeFrom { 0 };
        uint32_t cachedTokens { 0 };
        MonotonicTime prefillEnd;
        /// Break the stream off after this many tokens.
        std::optional<uint32_t> failAfter;
    };

    EngineStream(std::shared_ptr<HttpExchange>, EngineAnswer, Options);

    HttpExchange& exchange() { return *m_exchange; }
    MonotonicTime prefillEnd() const { return m_options.prefillEnd; }
    uint32_t sentTokens() const { return m_next - m_options.resumeFrom; }

    /// Generates the next token. Returns whether the stream goes on.
    bool step();

    /// Returns whether the stream was broken off as a test asked.
    bool hasFailed() const { return m_hasFailed; }

private:
    void begin();
    void sendToken();
    void finish();
    void finishStream();
    void answerWhole();
    void sendEvent(const QByteArray& choiceAndRest);
    QByteArray choice(const QByteArray& text, bool isLast) const;
    QByteArray usage() const;

    std::shared_ptr<HttpExchange> m_exchange;
    EngineAnswer m_answer;
    Options m_options;
    uint32_t m_next;
    std::string m_text;
    bool m_hasBegun { false };
    bool m_hasFailed { false };
};

}

#pragma once

#include <LibHTTP/HttpExchange.h>
#include <Tests/Fakes/engine/EngineCompletion.h>

#include <memory>
#include <optional>

namespace Chicorydock {

/// One generation of a fake engine. Formats its tokens as the request specifies.
class EngineStream {
public:
    struct Options {
        bool isChat { true };
        bool isStream { true };
        bool includeUsage { false };
        /// Index of the first token to send.
        uint32_t resumeFrom { 0 };
        uint32_t cachedTokens { 0 };
        MonotonicTime prefillEnd;
        /// Abort the stream after this many tokens.
        std::optional<uint32_t> failAfter;
    };

    EngineStream(std::shared_ptr<HttpExchange>, EngineCompletion, Options);

    HttpExchange& exchange() { return *m_exchange; }
    MonotonicTime prefillEnd() const { return m_options.prefillEnd; }
    uint32_t sentTokens() const { return m_next - m_options.resumeFrom; }

    /// Generates the next token. Returns whether the stream continues.
    bool step();

    /// Returns whether the stream was aborted by `Options::failAfter`.
    bool hasFailed() const { return m_hasFailed; }

private:
    void startResponse();
    void sendToken();
    void finish();
    void finishStream();
    void sendCompleteResponse();
    void sendEvent(const QByteArray& fields);
    QByteArray choice(const QByteArray& text, bool isLast) const;
    QByteArray usage() const;

    std::shared_ptr<HttpExchange> m_exchange;
    EngineCompletion m_completion;
    Options m_options;
    uint32_t m_next;
    std::string m_text;
    bool m_hasStarted { false };
    bool m_hasFailed { false };
};

}

#pragma once

#include <LibDispatch/WorkRunner.h>

#include <functional>

namespace Chicorydock {

/// Receives the output of a generation, on the thread of its runner.
class GenerationSink {
public:
    virtual ~GenerationSink() = default;

    /// Receives the next part of the text. No part is delivered twice, even if the stream moves to another endpoint.
    virtual void onTokens(const std::string& text) = 0;
    /// The generation is complete. No further calls follow.
    virtual void onFinished(const std::string& fullText, const GenerationEnd&) = 0;
    /// The generation has failed for good and is incomplete. No further calls follow.
    virtual void onFailed(const Error&) = 0;
};

/// Runs a generation. When an endpoint fails in the middle of a repeatable stream, the stream resumes on another
/// endpoint after the last token received.
///
/// Thread safety: none; lives on the thread of its environment.
class GenerationRunner final : public WorkRunner {
public:
    /// `path` and `body` are those of the caller's request. The sink outlives the runner.
    GenerationRunner(RunnerEnvironment&, RunnerRequest, std::string path, QJsonObject body, GenerationSink&);

private:
    class GenerationAttempt;

    std::unique_ptr<Attempt> makeAttempt(const KnownEndpoint&) override;
    void deliverAnswer() override;
    void deliverError(const Error&) override;
    void handleTokens(const Attempt&, const GeneratedTokens&);

    std::string m_path;
    QJsonObject m_body;
    GenerationSink& m_sink;
    std::string m_text;
    uint32_t m_tokenCount { 0 };
    GenerationEnd m_end;
};

}

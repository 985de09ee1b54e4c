#pragma once

#include <LibDispatch/WorkRunner.h>

#include <functional>

namespace Chicorydock {

/// Receives the answer of a generation, on the thread of its runner.
class GenerationSink {
public:
    virtual ~GenerationSink() = default;

    /// The next part of the answer; no part comes twice, also when the stream moved to another endpoint.
    virtual void onTokens(const std::string& text) = 0;
    /// The answer is whole. Nothing more comes.
    virtual void onFinished(const std::string& wholeText, const GenerationEnd&) = 0;
    /// The answer is not whole and never will be. Nothing more comes.
    virtual void onFailed(const Error&) = 0;
};

/// Runs a generation. When an endpoint fails in the middle of a repeatable stream, the stream resumes on another
/// endpoint after the last token received.
///
/// Thread safety: none; lives on the thread of its environment.
class GenerationRunner final : public WorkRunner {
public:
    /// `path` and `body` are those of the caller. The sink outlives the runner.
    GenerationRunner(RunnerEnvironment&, RunnerRequest, std::string path, QJsonObject body, GenerationSink&);

private:
    class GenerationAttempt;

    std::unique_ptr<Attempt> makeAttempt(const KnownEndpoint&) override;
    void deliverAnswer() override;
    void deliverError(const Error&) override;
    void takeTokens(const Attempt&, const GeneratedTokens&);

    std::string m_path;
    QJsonObject m_body;
    GenerationSink& m_sink;
    std::string m_text;
    uint32_t m_tokenCount { 0 };
    GenerationEnd m_end;
};

}

#include <LibDispatch/GenerationRunner.h>

namespace Chicorydock {

class GenerationRunner::GenerationAttempt final : public Attempt, private GenerationObserver {
public:
    GenerationAttempt(GenerationRunner& runner, const KnownEndpoint& endpoint)
        : Attempt(runner, endpoint)
        , m_generation(runner)
    {
    }

    void send(bool freshConnection) override
    {
        GenerationRequest request;
        request.address = endpoint().address;
        request.path = m_generation.m_path;
        request.body = m_generation.m_body;
        request.resumeFrom = m_generation.m_tokenCount;
        request.resumeText = m_generation.m_text;
        request.traceId = m_generation.request().traceId;
        request.remaining = m_generation.remaining();
        request.progressTimeout = std::min(m_generation.environment().progressTimeout, request.remaining);
        request.freshConnection = freshConnection;
        m_call = m_generation.environment().client.generate(request, *this);
    }

private:
    void onHandedOver() override { noteHandedOver(); }
    void onTokens(const GeneratedTokens& tokens) override { m_generation.takeTokens(*this, tokens); }
    void onFailed(const EndpointFailure& failure) override { noteFailure(failure); }

    void onFinished(const GenerationEnd& end) override
    {
        m_generation.m_end = end;
        noteCompleted();
    }

    GenerationRunner& m_generation;
};

GenerationRunner::GenerationRunner(
    RunnerEnvironment& environment, RunnerRequest request, std::string path, QJsonObject body, GenerationSink& sink)
    : WorkRunner(environment, std::move(request))
    , m_path(std::move(path))
    , m_body(std::move(body))
    , m_sink(sink)
{
}

std::unique_ptr<WorkRunner::Attempt> GenerationRunner::makeAttempt(const KnownEndpoint& endpoint)
{
    return std::make_unique<GenerationAttempt>(*this, endpoint);
}

void GenerationRunner::takeTokens(const Attempt& attempt, const GeneratedTokens& tokens)
{
    // Both attempts of a hedge began at the same token, so only the one that answers first may go on.
    keepOnly(attempt);
    m_text += tokens.text;
    m_tokenCount += tokens.count;
    reportTokens(attempt, tokens.count);
    m_sink.onTokens(tokens.text);
}

void GenerationRunner::deliverAnswer()
{
    m_end.completionTokens = std::max(m_end.completionTokens, m_tokenCount);
    m_sink.onFinished(m_text, m_end);
}

void GenerationRunner::deliverError(const Error& error) { m_sink.onFailed(error); }

}

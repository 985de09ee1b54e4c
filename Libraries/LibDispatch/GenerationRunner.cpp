#include <LibDispatch/GenerationRunner.h>

namespace Chicorydock {

namespace {

    // Engines generate a token of every stream in each step, and a step takes far less than this even on a slowed
    // engine, so a longer silence in the middle of a stream means that its connection or its engine is lost.
    constexpr std::chrono::seconds maxTokenSilence { 2 };

}

class GenerationRunner::GenerationAttempt final : public Attempt, private GenerationObserver {
public:
    GenerationAttempt(GenerationRunner& runner, const KnownEndpoint& endpoint)
        : Attempt(runner, endpoint)
        , m_generationRunner(runner)
    {
    }

    ~GenerationAttempt() override { m_generationRunner.environment().deadlines.remove(m_silenceCheck); }

    void send(bool freshConnection) override
    {
        GenerationRequest request;
        request.address = endpoint().address;
        request.path = m_generationRunner.m_path;
        request.body = m_generationRunner.m_body;
        request.resumeFrom = m_generationRunner.m_tokenCount;
        request.resumeText = m_generationRunner.m_text;
        request.traceId = m_generationRunner.request().traceId;
        request.remaining = m_generationRunner.remaining();
        request.progressTimeout = std::min(m_generationRunner.environment().progressTimeout, request.remaining);
        request.freshConnection = freshConnection;
        m_generationRunner.environment().deadlines.remove(m_silenceCheck);
        m_silenceCheck = 0;
        m_call = m_generationRunner.environment().client.generate(request, *this);
    }

private:
    void onHandedOver() override { markHandedOver(); }

    void onTokens(const GeneratedTokens& tokens) override
    {
        m_lastToken = m_generationRunner.environment().clock.now();
        if (m_silenceCheck == 0)
            scheduleSilenceCheck();
        m_generationRunner.handleTokens(*this, tokens);
    }

    void scheduleSilenceCheck()
    {
        m_silenceCheck
            = m_generationRunner.environment().deadlines.add(m_lastToken + maxTokenSilence, [this] { checkSilence(); });
    }

    void checkSilence()
    {
        m_silenceCheck = 0;
        if (m_generationRunner.environment().clock.now() < m_lastToken + maxTokenSilence) {
            scheduleSilenceCheck();
            return;
        }
        m_call.reset();
        reportFailure({ HttpFailure::Phase::Answering, HttpFailure::Reason::TimedOut, 0, false,
            "no token for 2 s in the middle of a stream" });
    }

    void onFailed(const EndpointFailure& failure) override { reportFailure(failure); }

    void onFinished(const GenerationEnd& end) override
    {
        m_generationRunner.m_end = end;
        reportCompleted();
    }

    GenerationRunner& m_generationRunner;
    MonotonicTime m_lastToken;
    DeadlineQueue::Id m_silenceCheck { 0 };
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

void GenerationRunner::handleTokens(const Attempt& attempt, const GeneratedTokens& tokens)
{
    // Both attempts of a hedge start at the same token, so only the first one to deliver tokens may continue.
    cancelOtherAttempts(attempt);
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

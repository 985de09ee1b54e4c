#include <LibDispatch/GenerationRunner.h>

namespace Chicorydock {

namespace {

    // Engines give every stream a token in each step, and even a slowed one takes far less than this, so a longer
    // silence in the middle of a stream means that its connection or its engine is lost.
    constexpr std::chrono::seconds maxTokenSilence { 2 };

}

class GenerationRunner::GenerationAttempt final : public Attempt, private GenerationObserver {
public:
    GenerationAttempt(GenerationRunner& runner, const KnownEndpoint& endpoint)
        : Attempt(runner, endpoint)
        , m_generation(runner)
    {
    }

    ~GenerationAttempt() override { m_generation.environment().deadlines.remove(m_silenceCheck); }

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
        m_generation.environment().deadlines.remove(m_silenceCheck);
        m_silenceCheck = 0;
        m_call = m_generation.environment().client.generate(request, *this);
    }

private:
    void onHandedOver() override { noteHandedOver(); }

    void onTokens(const GeneratedTokens& tokens) override
    {
        m_lastToken = m_generation.environment().clock.now();
        if (m_silenceCheck == 0)
            scheduleSilenceCheck();
        m_generation.takeTokens(*this, tokens);
    }

    void scheduleSilenceCheck()
    {
        m_silenceCheck
            = m_generation.environment().deadlines.add(m_lastToken + maxTokenSilence, [this] { checkSilence(); });
    }

    void checkSilence()
    {
        m_silenceCheck = 0;
        if (m_generation.environment().clock.now() < m_lastToken + maxTokenSilence) {
            scheduleSilenceCheck();
            return;
        }
        m_call.reset();
        noteFailure({ HttpFailure::Phase::Answering, HttpFailure::Reason::TimedOut, 0, false,
            "no token for 2 s in the middle of a stream" });
    }

    void onFailed(const EndpointFailure& failure) override { noteFailure(failure); }

    void onFinished(const GenerationEnd& end) override
    {
        m_generation.m_end = end;
        noteCompleted();
    }

    GenerationRunner& m_generation;
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

#include <LibGateway/PromptAttempts.h>

#include <utility>

namespace Chicorydock {

namespace {

    /// An endpoint that crashes on a part does so when it begins to write, so the event after the first one shows that
    /// the part is sound.
    constexpr unsigned eventsOfAnswer = 2;

}

PromptAttempts::PromptAttempts(PromptQuarantine& quarantine, const Clock& clock, std::vector<std::string> parts)
    : m_quarantine(quarantine)
    , m_clock(clock)
    , m_parts(std::move(parts))
{
}

std::optional<Milliseconds> PromptAttempts::refusal()
{
    if (m_parts.empty() || m_isTrial)
        return {};
    const PromptDecision decision = m_quarantine.decide(m_parts, m_clock.now());
    m_isTrial = decision.kind == PromptDecision::Kind::SendOnTrial;
    return decision.kind == PromptDecision::Kind::Refuse ? std::optional(decision.retryAfter) : std::nullopt;
}

void PromptAttempts::begin(const EndpointRecord& endpoint)
{
    m_endpoint = endpoint;
    m_events = 0;
    m_isAnswered = false;
}

void PromptAttempts::recordEvent()
{
    if (++m_events == eventsOfAnswer)
        recordAnswer();
}

void PromptAttempts::recordAnswer()
{
    if (!m_parts.empty() && !std::exchange(m_isAnswered, true))
        m_quarantine.recordAnswer(m_parts, m_clock.now());
}

void PromptAttempts::recordFailure(const HttpFailure& failure)
{
    m_isTrial = false;
    if (failure.reason == HttpFailure::Reason::Closed)
        recordBrokenStream();
}

void PromptAttempts::recordBrokenStream()
{
    m_isTrial = false;
    if (!m_isAnswered)
        m_quarantine.recordBrokenConnection(m_parts, m_endpoint, m_clock.now());
}

}

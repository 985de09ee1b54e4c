#include <LibGateway/PromptAttempts.h>

#include <utility>

namespace Chicorydock {

namespace {

    /// An endpoint that crashes on a part does so when it begins to write, so the event after the first one shows that
    /// the part is sound.
    constexpr unsigned eventsOfAnswer = 2;

}

PromptAttempts::PromptAttempts(
    PromptQuarantine& quarantine, const Clock& clock, std::vector<std::string> parts, std::string fingerprint)
    : m_quarantine(quarantine)
    , m_clock(clock)
    , m_parts(std::move(parts))
    , m_fingerprint(std::move(fingerprint))
    , m_suspects(m_parts)
{
    if (!m_fingerprint.empty())
        m_suspects.push_back(m_fingerprint);
}

std::optional<PromptDecision> PromptAttempts::refusal()
{
    if (m_suspects.empty())
        return {};
    const PromptDecision decision = m_quarantine.decide(m_suspects, m_clock.now());
    return decision.kind == PromptDecision::Kind::Refuse ? std::optional(decision) : std::nullopt;
}

void PromptAttempts::begin(const EndpointRecord& endpoint)
{
    m_endpoint = endpoint;
    m_events = 0;
    m_isPromptSound = false;
    m_quarantine.recordSent(m_suspects, m_clock.now());
}

void PromptAttempts::recordEvent()
{
    if (++m_events == eventsOfAnswer)
        recordSoundPrompt();
}

void PromptAttempts::recordSoundPrompt()
{
    if (!m_parts.empty() && !std::exchange(m_isPromptSound, true))
        m_quarantine.recordAnswer(m_parts, m_clock.now());
}

void PromptAttempts::recordAnswer()
{
    recordSoundPrompt();
    if (!m_fingerprint.empty())
        m_quarantine.recordAnswer({ m_fingerprint }, m_clock.now());
}

void PromptAttempts::recordFailure(const HttpFailure& failure)
{
    if (failure.reason == HttpFailure::Reason::Closed)
        recordBrokenStream();
}

void PromptAttempts::recordBrokenStream()
{
    if (!m_isPromptSound)
        m_quarantine.recordBrokenConnection(m_suspects, m_endpoint, m_clock.now());
    else if (!m_fingerprint.empty())
        m_quarantine.recordBrokenConnection({ m_fingerprint }, m_endpoint, m_clock.now());
}

}

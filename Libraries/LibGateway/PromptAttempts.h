#pragma once

#include <LibCore/Clock.h>
#include <LibGateway/PromptQuarantine.h>
#include <LibHTTP/HttpClient.h>

#include <optional>
#include <string>
#include <vector>

namespace Chicorydock {

/// Asks the quarantine whether one request or item may be sent, and reports how its attempts end.
///
/// Thread safety: none.
class PromptAttempts {
public:
    /// The quarantine and the clock outlive this object. `parts` is empty for requests without a prompt. `fingerprint`
    /// identifies the request as a whole (see `requestFingerprint()`); it is empty for work that must be done whatever
    /// happens to its endpoints.
    PromptAttempts(PromptQuarantine&, const Clock&, std::vector<std::string> parts, std::string fingerprint = {});

    /// Returns nothing if the request may be sent now, otherwise why and for how long it may not.
    std::optional<PromptDecision> refusal();

    /// Begins an attempt at an endpoint. Precondition: `refusal()` has just returned nothing.
    void begin(const EndpointRecord&);

    /// Records an event of the response to the attempt.
    void recordEvent();

    /// Records that the response to the attempt is complete and no failure.
    void recordAnswer();

    /// Records that the response to the attempt broke off, so that its endpoint may have crashed.
    void recordBrokenStream();

    /// Records that the attempt failed after the request was sent.
    void recordFailure(const HttpFailure&);

private:
    /// Records that the parts of the prompt are sound, which says nothing about the request as a whole.
    void recordSoundPrompt();

    PromptQuarantine& m_quarantine;
    const Clock& m_clock;
    const std::vector<std::string> m_parts;
    const std::string m_fingerprint;
    /// The parts and, if there is one, the fingerprint.
    std::vector<std::string> m_suspects;
    EndpointRecord m_endpoint;
    bool m_isPromptSound { false };
    unsigned m_events { 0 };
};

}

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
    /// The quarantine and the clock outlive this object. `parts` is empty for requests without a prompt.
    PromptAttempts(PromptQuarantine&, const Clock&, std::vector<std::string> parts);

    /// Returns nothing if the request may be sent now, otherwise the time after which it may be tried again.
    std::optional<Milliseconds> refusal();

    /// Begins an attempt at an endpoint.
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
    PromptQuarantine& m_quarantine;
    const Clock& m_clock;
    const std::vector<std::string> m_parts;
    EndpointRecord m_endpoint;
    /// Whether the attempt is the one that shows whether a part still crashes endpoints.
    bool m_isTrial { false };
    bool m_isAnswered { false };
    unsigned m_events { 0 };
};

}

#pragma once

#include <LibEndpoint/EndpointMessages.h>

#include <QByteArray>

#include <optional>
#include <string>

namespace Chicorydock {

/// One event of an engine's stream.
struct GenerationEvent {
    /// Whether it is the `[DONE]` that ends every complete stream.
    bool isDone { false };
    std::string text;
    /// Index of the first token of `text` in the generation; tokens before a resumption count too.
    std::optional<uint32_t> tokenIndex;
    uint32_t tokenCount { 1 };
    /// Empty before the end.
    std::string finishReason;
    struct Usage {
        uint32_t promptTokens { 0 };
        uint32_t completionTokens { 0 };
        uint32_t cachedPromptTokens { 0 };

        auto operator<=>(const Usage&) const = default;
    };
    std::optional<Usage> usage;

    auto operator<=>(const GenerationEvent&) const = default;
};

/// Parses the `data` of an event. Throws `Error` (EndpointFailed) if it is malformed or reports an error of the engine.
/// May be called from any thread.
GenerationEvent parseGenerationEvent(const QByteArray& data);

}

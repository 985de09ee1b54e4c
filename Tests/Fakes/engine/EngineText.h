#pragma once

#include <Tests/Fakes/engine/EngineSettings.h>

#include <QJsonObject>

#include <cstdint>
#include <string>

namespace Chicorydock {

/// What an engine generates for a request. All of it follows from model and prompt, so every engine gives the same
/// answer, and a resumed stream continues with the same tokens.
struct EngineAnswer {
    std::string model;
    std::string prompt;
    uint32_t promptTokens { 0 };
    /// Length of the whole answer.
    uint32_t tokens { 0 };
    /// `stop` or `length`.
    std::string finishReason;

    /// Returns the text of token `n`: a word that starts with a space.
    std::string token(uint32_t n) const;
};

/// Returns the prompt as the system under test hashes it for prefix affinity.
std::string promptOf(const QJsonObject& body);

EngineAnswer makeEngineAnswer(const QJsonObject& body, const EngineSettings&);

}

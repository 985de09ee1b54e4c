#pragma once

#include <Tests/Fakes/engine/EngineSettings.h>

#include <QJsonObject>

#include <cstdint>
#include <string>

namespace Chicorydock {

/// The completion that an engine generates for a request. Its tokens depend only on model and prompt, so that every
/// engine generates the same tokens and a resumed stream continues with them.
struct EngineCompletion {
    std::string model;
    std::string prompt;
    uint32_t promptTokens { 0 };
    /// Length of the complete text in tokens.
    uint32_t tokens { 0 };
    /// `stop` or `length`.
    std::string finishReason;

    /// Returns the text of token `n`: a word that starts with a space.
    std::string token(uint32_t n) const;
};

/// Returns the prompt as the system under test hashes it for prefix affinity.
std::string promptOf(const QJsonObject& body);

EngineCompletion makeEngineCompletion(const QJsonObject& body, const EngineSettings&);

}

#pragma once

#include <LibCore/Clock.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Chicorydock {

/// Properties of one fake engine. The speed is not exposed to callers.
struct EngineSettings {
    Microseconds prefillPerToken { 100 };
    /// Time between two tokens of a stream that runs alone.
    Microseconds baseGap { 5'000 };
    /// Time that each concurrent stream adds to the time between two tokens.
    Microseconds gapPerStream { 200 };
    uint32_t maxRunning { 256 };
    uint32_t maxWaiting { 4096 };
    /// Bounds of the length of a completion without a token limit. A hash of the prompt determines the length.
    uint32_t minTokens { 16 };
    uint32_t maxTokens { 128 };
    /// Share of prompts whose completion is `stragglerFactor` times as long.
    double stragglerShare { 0 };
    uint32_t stragglerFactor { 50 };
    uint32_t cacheTokens { 200'000 };
    Milliseconds cacheEventDelay { 0 };
    /// Share of cache events that are never published.
    double cacheEventLoss { 0 };
    Milliseconds loadDelay { 0 };
    Milliseconds orderTime { 0 };
    bool checkFencing { true };
    /// Loaded models. Empty: every model is served.
    std::vector<std::string> models;
    std::string role { "mixed" };
    bool allowPoison { false };
    std::string poisonMarker { "POISON" };
    uint64_t seed { 1 };
};

}

#pragma once

#include <LibCore/Clock.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Chicorydock {

/// The properties of one fake engine. Its callers cannot read the speed.
struct EngineSettings {
    Microseconds prefillPerToken { 100 };
    /// Time between two tokens of a stream that runs alone.
    Microseconds baseGap { 5'000 };
    /// What each concurrent stream adds to the time between two tokens.
    Microseconds gapPerStream { 200 };
    uint32_t maxRunning { 256 };
    uint32_t maxWaiting { 4096 };
    /// Natural length of an answer without a limit: between both, by a hash of the prompt.
    uint32_t minTokens { 16 };
    uint32_t maxTokens { 128 };
    /// Share of prompts with an answer that is `stragglerFactor` times as long.
    double stragglerShare { 0 };
    uint32_t stragglerFactor { 50 };
    uint32_t cacheTokens { 200'000 };
    Milliseconds cacheEventDelay { 0 };
    /// Share of cache events that are never published.
    double cacheEventLoss { 0 };
    Milliseconds loadDelay { 0 };
    Milliseconds orderTime { 0 };
    bool checkFencing { true };
    /// Empty: every model is served.
    std::vector<std::string> models;
    std::string role { "mixed" };
    bool allowPoison { false };
    std::string poisonMarker { "POISON" };
    uint64_t seed { 1 };
};

}

#pragma once

#include <LibCore/Clock.h>
#include <LibCore/ErrorKind.h>
#include <LibHTTP/HttpClient.h>

#include <QJsonObject>

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Chicorydock {

/// A generation to start or to resume on an engine.
struct GenerationRequest {
    /// `HOST:PORT` of the engine.
    std::string address;
    /// `/v1/chat/completions` or `/v1/completions`.
    std::string path;
    /// The caller's body; the client sets `stream` and, to resume, `resume_from` and `resume_text` in it.
    QJsonObject body;
    /// Number of tokens that the caller already has; 0 starts a new generation.
    uint32_t resumeFrom { 0 };
    /// The text of those tokens.
    std::string resumeText;
    std::string traceId;
    /// Time left until the caller's deadline.
    Milliseconds remaining { 0 };
    /// Longest time without a byte in either direction before the call fails.
    Milliseconds progressTimeout { 10'000 };
    bool freshConnection { false };
};

/// The tokens of one stream event.
struct GeneratedTokens {
    std::string text;
    uint32_t count { 1 };

    auto operator<=>(const GeneratedTokens&) const = default;
};

/// The end of a complete generation.
struct GenerationEnd {
    /// `stop` or `length`.
    std::string finishReason;
    uint32_t promptTokens { 0 };
    uint32_t completionTokens { 0 };
    uint32_t cachedPromptTokens { 0 };

    auto operator<=>(const GenerationEnd&) const = default;
};

/// Why a call to an endpoint failed.
struct EndpointFailure {
    HttpFailure::Phase phase { HttpFailure::Phase::NotSent };
    HttpFailure::Reason reason { HttpFailure::Reason::Closed };
    /// Status of the error response; 0 if there was none.
    int httpStatus { 0 };
    /// Whether the endpoint itself rejected the request without running it (status 503 or 429), so another may run it.
    bool refused { false };
    std::string message;

    bool operator==(const EndpointFailure&) const = default;
};

/// An endpoint's own report of its load at a time in the past.
struct LoadReport {
    uint32_t running { 0 };
    uint32_t waiting { 0 };
    /// Share of the KV cache in use, in [0, 1].
    double cacheUse { 0 };
    WallTime measuredAt;

    auto operator<=>(const LoadReport&) const = default;
};

/// One change of an engine's prefix cache.
struct CacheEvent {
    uint64_t sequence { 0 };
    bool stored { false };
    /// Hash of the prefix, as `prefixKeys()` computes it.
    uint64_t prefix { 0 };

    auto operator<=>(const CacheEvent&) const = default;
};

/// Cache events in the order of their sequence numbers; a jump in the numbers means that events are missing.
struct CacheEvents {
    std::vector<CacheEvent> events;

    auto operator<=>(const CacheEvents&) const = default;
};

/// A model, with version and adapters, that an engine has or should have loaded.
struct LoadedModel {
    std::string model;
    std::string version;
    std::vector<std::string> adapters;

    auto operator<=>(const LoadedModel&) const = default;
};

/// What an engine has loaded, and the highest fencing number that it has seen (0 if it ignores fencing numbers).
struct EndpointState {
    std::vector<LoadedModel> models;
    std::string role;
    uint64_t fencingNumber { 0 };

    auto operator<=>(const EndpointState&) const = default;
};

/// An order to an endpoint, which describes the desired state.
struct EndpointOrder {
    enum class Kind : uint8_t {
        Load,
        Unload,
        ChangeRole,
    };

    Kind kind { Kind::Load };
    LoadedModel model;
    std::string role;
    uint64_t fencingNumber { 0 };

    auto operator<=>(const EndpointOrder&) const = default;
};

/// The outcome of an order.
enum class OrderOutcome : uint8_t {
    Done,
    /// The endpoint rejected the order because it has seen a higher fencing number.
    StaleFencingNumber,
    Failed,
    /// There was no response, so the endpoint may still execute the order.
    Unknown,
};

}

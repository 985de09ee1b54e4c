#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Error.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Chicorydock {

/// Identifies one piece of work at one node for as long as it is queued or in flight.
using WorkId = uint64_t;

enum class WorkClass : uint8_t {
    Online,
    Batch,
};

/// A request or batch item to be scheduled on an endpoint of one service.
struct Work {
    WorkId id { 0 };
    WorkClass workClass { WorkClass::Online };
    /// Model with version and adapter; empty for plain services.
    std::string model;
    std::string workspace;
    uint32_t promptTokens { 0 };
    /// The caller's limit on generated tokens.
    uint32_t maxTokens { 0 };
    /// Worth of an answer; weighs requests against each other when not all can be served.
    double worth { 1 };
    /// When the whole answer is due.
    MonotonicTime deadline;
    /// Keys of ever longer prefixes of the prompt, shortest first.
    std::vector<uint64_t> prefixes;
    /// Whether the work may be sent to a second endpoint.
    bool repeatable { true };
    /// 0 for the first attempt.
    uint32_t attempt { 0 };
    /// Endpoints that already failed this work.
    std::vector<std::string> excludedEndpoints;
};

/// An endpoint as the scheduler sees it.
struct SchedulerEndpoint {
    std::string id;
    std::string failureDomain;
    /// Whether it is in another region than this node.
    bool isRemote { false };
    /// A leaving endpoint gets no new work.
    bool isLeaving { false };
    /// Whether this node may dispatch batch work there.
    bool ownsBatch { true };
    /// Models loaded there; empty means any.
    std::vector<std::string> models;

    auto operator<=>(const SchedulerEndpoint&) const = default;
};

/// What the scheduler wants done.
struct Decision {
    enum class Kind : uint8_t {
        /// Send the work to the endpoint. If it is in flight elsewhere, this is a hedge.
        Start,
        /// Cancel the work on the endpoint: batch that must give way (it is queued again inside the scheduler), or the
        /// loser of a hedge.
        Cancel,
        /// Answer the work with the error; it is forgotten.
        Refuse,
    };

    Kind kind { Kind::Start };
    WorkId work { 0 };
    std::string endpoint;
    std::optional<Error> error;

    bool operator==(const Decision&) const = default;
};

/// How an attempt on an endpoint ended.
enum class AttemptOutcome : uint8_t {
    /// The whole answer came.
    Completed,
    /// The endpoint failed or went silent.
    Failed,
    /// The endpoint refused the work without running it.
    Refused,
    /// The caller or the scheduler cancelled it.
    Cancelled,
};

}

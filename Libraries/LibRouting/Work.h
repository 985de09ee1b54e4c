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
    /// Relative worth of the answer; decides which requests are served when not all can be.
    double worth { 1 };
    /// When the complete answer is due.
    MonotonicTime deadline;
    /// Keys of prefixes of the prompt, by increasing length.
    std::vector<uint64_t> prefixes;
    /// Whether the work may be sent to a second endpoint.
    bool repeatable { true };
    /// 0 for the first attempt.
    uint32_t attempt { 0 };
    /// Endpoints that already failed this work.
    std::vector<std::string> excludedEndpoints;
};

/// Properties of an endpoint that the scheduler needs.
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

/// An action that the scheduler requests from its caller.
struct Decision {
    enum class Kind : uint8_t {
        /// Send the work to the endpoint. If it is in flight elsewhere, this is a hedge.
        Start,
        /// Cancel the work on the endpoint: batch work that is preempted, which the scheduler queues again, or the
        /// slower attempt of a hedged request.
        Cancel,
        /// Answer the work with the error. The scheduler no longer tracks it.
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
    /// The answer is complete.
    Completed,
    /// The endpoint failed or stopped responding.
    Failed,
    /// The endpoint refused the work without running it.
    Refused,
    /// The caller or the scheduler cancelled it.
    Cancelled,
};

}

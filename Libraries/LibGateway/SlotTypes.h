#pragma once

#include <LibCore/Clock.h>
#include <LibGateway/WorkProfile.h>

#include <compare>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <vector>

namespace Chicorydock {

/// An online request that is queued for a slot of an endpoint. An endpoint runs one request or item in each of its
/// slots, so the number of slots limits what it runs at a time.
struct OnlineWork {
    uint64_t id { 0 };
    std::string service;
    /// 0 is the highest.
    uint32_t priority { 0 };
    /// Latest start that meets the latency target.
    MonotonicTime startBy;
    /// Time after which the response is of no use to the caller.
    MonotonicTime deadline;
    /// Whether the caller was probably refused before and will not retry again.
    bool isLastAttempt { false };
    /// Endpoints that must not be used because an earlier attempt failed there.
    std::vector<std::string> excluded;
    /// Whether the scheduler has admitted the request to the queue. Set by the scheduler.
    bool isAccepted { false };
    /// Set by the scheduler.
    MonotonicTime submittedAt;
    /// Version of the endpoints that may run the request, if it resumes a stream. Empty for any.
    std::optional<std::string> softwareVersion {};
    WorkProfile profile {};
    /// Expected time for which the request holds its slot. Set by the scheduler.
    Milliseconds slotTime { 0 };
    /// Whether an earlier run of the request was charged to the rate limit of its workspace.
    bool isCharged { false };
    /// Whether an earlier allocator has accepted the request, which it may not be able to refund. The request is
    /// charged to the rate limit and not refused for it.
    bool isTakenOver { false };

    bool operator==(const OnlineWork&) const = default;
};

/// An item of a batch job that is queued for a slot.
struct BatchWork {
    uint64_t id { 0 };
    std::string service;
    /// Time by which the item should be completed to meet the completion target of its job.
    MonotonicTime dueAt;
    /// Endpoints that must not be used because an earlier attempt failed there.
    std::vector<std::string> excluded;
    /// Total time for which earlier runs of the item held a slot.
    Milliseconds slotTimeUsed { 0 };
    /// Version of the endpoints that may run the item, if it has output to continue. Empty for any.
    std::optional<std::string> softwareVersion {};
    WorkProfile profile {};

    bool operator==(const BatchWork&) const = default;
};

/// Work that holds a slot.
struct RunningWork {
    uint64_t id { 0 };
    std::string service;
    std::string endpoint;
    bool isBatch { false };
    MonotonicTime startedAt;
    /// Set for batch items only, see `BatchWork`.
    MonotonicTime dueAt;
    Milliseconds slotTimeUsed { 0 };
    WorkProfile profile {};
    /// Slots of the endpoint in use when the work started, itself included; 0 if another scheduler started it.
    uint32_t startLoad { 0 };

    bool operator==(const RunningWork&) const = default;
};

/// State of an endpoint's slots on which a decision was based.
struct SlotView {
    /// Slots in use by all nodes before the decision, as far as known to this node.
    uint32_t online { 0 };
    uint32_t batch { 0 };
    uint32_t slotCount { 0 };
    /// Time since the last change of those numbers that is known to this node, nothing if none is.
    std::optional<Milliseconds> age {};
    /// Expected time in the queue; set for refusals only.
    Milliseconds expectedWait { 0 };
    /// Expected time for which the work holds its slot; set for starts of requests and items only.
    Milliseconds expectedSlotTime { 0 };

    auto operator<=>(const SlotView&) const = default;
};

/// Why a request was refused.
enum class RefusalReason : uint8_t {
    /// The request cannot be served in time.
    Load,
    /// The workspace has used up its rate limit.
    Quota,
};

/// A scheduling decision about one request or item.
struct SlotDecision {
    enum class Kind : uint8_t {
        /// Start the work at the endpoint.
        Start,
        /// Refuse the request.
        Refuse,
        /// Preempt the running item. It resumes later, at any endpoint.
        Yield,
    };

    Kind kind { Kind::Start };
    uint64_t work { 0 };
    std::string endpoint;
    /// Time after which the caller should retry; set for refusals only.
    Milliseconds retryAfter { 0 };
    SlotView view {};
    /// Set for refusals only.
    RefusalReason reason { RefusalReason::Load };

    bool operator==(const SlotDecision&) const = default;
};

/// Number of slots that one node uses at one endpoint.
struct SlotUse {
    uint32_t online { 0 };
    uint32_t batch { 0 };

    auto operator<=>(const SlotUse&) const = default;
};

/// Load that an endpoint reported in a response.
struct ObservedLoad {
    /// Requests that hold a slot, and requests queued at the endpoint itself.
    uint32_t running { 0 };
    uint32_t waiting { 0 };
    /// Current duration of work on the endpoint's machine, in percent of the normal duration.
    uint32_t workTimePercent { 100 };

    auto operator<=>(const ObservedLoad&) const = default;
};

/// Rate of an endpoint that states no limit.
constexpr double unlimitedRate = std::numeric_limits<double>::infinity();

/// Returns whether the number is a rate limit, which includes `unlimitedRate`.
constexpr bool isRate(double perSecond) { return perSecond >= 0; }

/// Rate limit that an endpoint states in a response.
struct RateStatement {
    /// Requests per second that the endpoint takes from all nodes together, `unlimitedRate` if it states no limit.
    double perSecond { unlimitedRate };
    /// Time for which the statement holds: the arrival of the response. If the response states no limit, the time at
    /// which its request was sent, because the endpoint may have stated a limit since then in other responses.
    MonotonicTime at;

    auto operator<=>(const RateStatement&) const = default;
};

/// Outcome of work at an endpoint, for health tracking.
enum class EndpointOutcome : uint8_t {
    Answered,
    /// The endpoint did not respond, or the response broke off.
    Failed,
    /// The work was cancelled for reasons unrelated to the endpoint's health.
    Cancelled,
};

}

#pragma once

#include <LibGateway/SlotTypes.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Chicorydock {

/// The messages between a node (member) and the node that allocates slots for it (coordinator). Each report contains
/// the whole state of the member and each reply all decisions that the member has not acknowledged, so a lost or
/// repeated message is made up for by the next one. Times are relative, because the clocks of the nodes differ.

/// An online request that is queued at a member, see `OnlineWork`.
struct QueuedRequest {
    uint64_t work { 0 };
    std::string service;
    uint32_t priority { 0 };
    /// Time until the latest start that meets the latency target. Negative if that has passed.
    Milliseconds startIn { 0 };
    Milliseconds deadlineIn { 0 };
    bool isLastAttempt { false };
    std::vector<std::string> excluded;
    std::optional<std::string> softwareVersion {};
    WorkProfile profile {};
    bool isCharged { false };
    bool isTakenOver { false };

    bool operator==(const QueuedRequest&) const = default;
};

/// An item that is queued at a member, see `BatchWork`.
struct QueuedItem {
    uint64_t work { 0 };
    std::string service;
    Milliseconds dueIn { 0 };
    Milliseconds slotTimeUsed { 0 };
    std::vector<std::string> excluded;
    std::optional<std::string> softwareVersion {};
    WorkProfile profile {};

    bool operator==(const QueuedItem&) const = default;
};

/// Work that a member runs at an endpoint, see `RunningWork`.
struct HeldSlot {
    uint64_t work { 0 };
    std::string service;
    std::string endpoint;
    bool isBatch { false };
    Milliseconds heldFor { 0 };
    /// Set for items only.
    Milliseconds dueIn { 0 };
    Milliseconds slotTimeUsed { 0 };
    WorkProfile profile {};

    bool operator==(const HeldSlot&) const = default;
};

struct FinishedWork {
    uint64_t work { 0 };
    EndpointOutcome outcome { EndpointOutcome::Answered };

    auto operator<=>(const FinishedWork&) const = default;
};

struct EndpointLoad {
    std::string endpoint;
    ObservedLoad load;

    auto operator<=>(const EndpointLoad&) const = default;
};

/// Rate limit that an endpoint stated to a member, see `RateStatement`.
struct EndpointRate {
    std::string endpoint;
    double perSecond { unlimitedRate };
    Milliseconds age { 0 };

    auto operator<=>(const EndpointRate&) const = default;
};

/// State of a member.
struct SlotReport {
    /// Incremented with each report of the member.
    uint64_t sequence { 0 };
    /// Sequence of the latest reply that the member has processed, 0 if none.
    uint64_t acknowledged { 0 };
    /// Whether the member stops using this coordinator. All other fields are empty then.
    bool isLeaving { false };
    bool expectsReply { false };
    /// Work that the coordinator has not acknowledged.
    std::vector<QueuedRequest> requests;
    std::vector<QueuedItem> items;
    std::vector<HeldSlot> held;
    /// All other queued and running work.
    std::vector<uint64_t> queued;
    std::vector<uint64_t> running;
    std::vector<FinishedWork> finished;
    std::vector<EndpointLoad> loads;
    std::vector<EndpointRate> rates;

    bool operator==(const SlotReport&) const = default;
};

/// Reply of a coordinator.
struct SlotReply {
    /// Incremented with each reply to the member.
    uint64_t sequence { 0 };
    /// Sequence of the latest report that the coordinator has processed.
    uint64_t acknowledged { 0 };
    /// Whether the member must send all its work again, because the coordinator does not know some of it.
    bool needsAllWork { false };
    /// All decisions that the member has not acknowledged.
    std::vector<SlotDecision> decisions;

    bool operator==(const SlotReply&) const = default;
};

}

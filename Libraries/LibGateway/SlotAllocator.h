#pragma once

#include <LibGateway/EndpointRecord.h>
#include <LibGateway/SlotTypes.h>
#include <LibGateway/WorkspaceLimits.h>

#include <vector>

namespace Chicorydock {

/// Decides when and at which endpoint the work of a node starts, and which of it must yield.
///
/// Thread safety: none.
class SlotAllocator {
public:
    virtual ~SlotAllocator() = default;

    /// Replaces the set of usable endpoints. Work that runs at other endpoints continues.
    virtual void setEndpoints(const std::vector<EndpointRecord>&) = 0;

    /// Replaces what the operator grants to the workspaces. Work of an unknown workspace has no rate limit and
    /// weight 1.
    virtual void setWorkspaces(const std::vector<WorkspaceLimits>&) = 0;

    /// Queues work. Work without a service is refused. Precondition: its identifier has not been used before.
    virtual void submit(const OnlineWork&, MonotonicTime now) = 0;
    virtual void submit(const BatchWork&) = 0;

    /// Removes queued work. Work that is already running is not affected.
    virtual void withdraw(uint64_t work) = 0;

    /// Frees the slot of started work and records the outcome for its endpoint. Unknown identifiers are ignored.
    virtual void finish(uint64_t work, EndpointOutcome, MonotonicTime now) = 0;

    /// Records the load that an endpoint reported.
    virtual void observe(const std::string& endpoint, const ObservedLoad&, MonotonicTime now) = 0;

    /// Records the rate limit that an endpoint stated. Of several statements the latest one holds.
    virtual void observeRate(const std::string& endpoint, const RateStatement&, MonotonicTime now) = 0;

    /// Returns the decisions that are due now. Started work holds its slot from now on; yielded work no longer does.
    virtual std::vector<SlotDecision> poll(MonotonicTime now) = 0;

    /// Returns whether `poll()` has to be called repeatedly because time alone can lead to decisions.
    virtual bool needsPolling() const = 0;
};

}

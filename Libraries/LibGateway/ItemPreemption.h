#pragma once

#include <LibGateway/SlotTimeEstimator.h>
#include <LibGateway/SlotUsage.h>

#include <optional>

namespace Chicorydock {

/// Decides which running items of this node yield their slots to online work, and how many of them.
///
/// Load: online requests that arrive while items hold the slots they need.
///
/// Thread safety: none.
class ItemPreemption {
public:
    /// The arguments outlive the object.
    ItemPreemption(const SlotUsage&, const SlotPeers&, const SlotTimeEstimator&);

    /// Returns the item of this node that yields first at the endpoint, or nothing if none runs there.
    std::optional<uint64_t> chooseItem(const SlotEndpoint&) const;

    /// Returns how many items of this node have to yield at the endpoint so that all nodes together free the slots that
    /// are in use in excess of those that it has.
    uint32_t ownShareOfYields(const SlotEndpoint&) const;

private:
    const SlotUsage& m_usage;
    const SlotPeers& m_peers;
    const SlotTimeEstimator& m_slotTimes;
};

}
